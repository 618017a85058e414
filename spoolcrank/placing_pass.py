"""Limit the work of each part of a pass over waiting tasks, and record what the pass has tried."""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.objective import Prospect
from spoolcrank.workflow import StepKey

Kind = tuple[ServiceName, str]
"""A service and an image: tasks of one kind compete for the same capacity."""

MAX_PAIRS_PER_PART = 20_000
"""Number of pairs of task and runner that one part of a pass may evaluate; the leader handles what
has arrived meanwhile before the next part. At 6 microseconds a pair, a part takes 0.12 s on a whole
core and 0.4 s on the smallest instance. Without parts, 2,128 tasks over 350 runners took 4.5 s
during which the leader wrote and read nothing; others claim leadership after 1.3 s."""


RETRY_LASTING_S = 0.5
"""Delay before a lasting task that ran before and found no runner is tried again, seconds. The
retry may come within the same pass, so that such a task is first to get capacity freed
meanwhile."""


class PlacingResult(Enum):
    """Outcome of placing the waiting tasks of one step.

    Attributes:
        ALL: every task that waited is bound.
        HELD_BACK: some tasks wait for something else than capacity: a retry delay, an exclusive
            runner or the destination of a move.
        NO_PLACE: a task found no runner.
        PART_SPENT: the limits of the current part were reached first.
    """

    ALL = "all"
    HELD_BACK = "held-back"
    NO_PLACE = "no-place"
    PART_SPENT = "part-spent"


class FillerRefusal(NamedTuple):
    """Smallest filler of one kind that was refused, and when fillers that large are tried again.

    Attributes:
        millicores: processors that the refused filler wanted.
        until: time from which such fillers are tried again, monotonic seconds.
    """

    millicores: int
    until: float


@dataclass
class PlacingPass:
    """One pass over all waiting work, in parts.

    Attributes:
        pairs_left: number of pairs of task and runner that the current part may still evaluate.
        bytes_left: size of the starts that the current part may still bind, limited by the
            capacity of the leader's link.
        misses: by kind, number of steps that found no runner in the current part. Misses of an
            earlier part do not predict the result for a job that arrived since.
        claimed: by kind, the prospect of the first job whose filler found no runner. Jobs of worse
            prospect leave the next place of that kind to it.
        tried: by step, when it found no runner or was held back, monotonic seconds. Later parts do
            not try these steps again, so that each part gets further than the previous one.
    """

    pairs_left: int = MAX_PAIRS_PER_PART
    bytes_left: float = math.inf
    misses: dict[Kind, int] = field(default_factory=dict)
    claimed: dict[Kind, Prospect] = field(default_factory=dict)
    tried: dict[StepKey, float] = field(default_factory=dict)

    def begin_part(self, bytes_left: float = math.inf) -> None:
        """Reset the limits and misses for the next part."""
        self.pairs_left = MAX_PAIRS_PER_PART
        self.bytes_left = bytes_left
        self.misses.clear()

    def should_skip(self, step: StepKey, may_retry: bool, now: float) -> bool:
        """Return whether to skip a step that was tried in this pass.

        With `may_retry`, a step is skipped only until RETRY_LASTING_S has passed.
        """
        tried_at = self.tried.get(step)
        return tried_at is not None and not (may_retry and now - tried_at >= RETRY_LASTING_S)

    @property
    def spent(self) -> bool:
        """Return whether the current part has to end."""
        return self.pairs_left <= 0 or self.link_full

    @property
    def link_full(self) -> bool:
        """Return whether the link is saturated, so that no more starts may be bound now."""
        return self.bytes_left <= 0

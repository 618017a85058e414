"""Limit the work of each part of a pass over waiting tasks, and record what the pass has tried."""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.objective import Prospect
from spoolcrank.openings import Openings, Scope, Shortage
from spoolcrank.runner_state import RunnerState
from spoolcrank.short_task_room import USUAL_RESERVE, ShortTaskRoom
from spoolcrank.workflow import StepKey

Kind = tuple[ServiceName, str]
"""A service and an image: tasks of one kind compete for the same capacity."""

MAX_PAIRS_PER_PART = 20_000
"""Number of pairs of task and runner that one part of a pass may evaluate; the leader handles what
has arrived meanwhile before the next part. Even on the smallest instance a part has to end well
within the time without a write after which others claim leadership."""

MAX_RETRY_PAIRS_PER_PART = MAX_PAIRS_PER_PART // 2
"""Number of the pairs of one part that steps tried before in the same pass may use, so that each
part gets further than the previous one."""

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
        PASSED_OVER: none was tried, as a miss before shows that they fit nowhere.
        PART_SPENT: the limits of the current part were reached first.
    """

    ALL = "all"
    HELD_BACK = "held-back"
    NO_PLACE = "no-place"
    PASSED_OVER = "passed-over"
    PART_SPENT = "part-spent"


class Candidates(NamedTuple):
    """Runners for a waiting step.

    Attributes:
        runners: the runners, of which quarantined ones come last.
        reserve: millicores to leave to short tasks on each runner.
        quarantined: whether quarantined runners are among them.
        room: whole runners kept for short tasks, in place of the reserve.
    """

    runners: list[RunnerState]
    reserve: int
    quarantined: bool = False
    room: ShortTaskRoom = USUAL_RESERVE


class FillerRefusal(NamedTuple):
    """Shortage found when a filler was refused, and when such fillers are tried again.

    Attributes:
        shortage: what the refusal shows of other fillers of its scope.
        until: time from which all are tried again, monotonic seconds.
    """

    shortage: Shortage
    until: float


@dataclass
class PlacingPass:
    """One pass over all waiting work, in parts.

    Attributes:
        pairs_left: number of pairs of task and runner that the current part may still evaluate.
        bytes_left: size of the starts that the current part may still bind, limited by the
            capacity of the leader's link.
        shortages: by scope, what the last miss in the current part shows. Misses of an earlier
            part do not predict the result for a job that arrived since.
        retry_pairs_left: how many of these are left to steps tried before in this pass.
        claimed: by kind, the prospect of the first job whose filler found no runner. Jobs of worse
            prospect leave the next place of that kind to it.
        room: by scope, the openings for fillers apart from processors, when first asked in the
            current part.
        mostly_idle: by service, whether under half of its processors were in use when first asked
            in the current part.
        last_resort: by service, its usual and its quarantined runners, as far as that was needed in
            the current part.
        tried: by step, when it found no runner, monotonic seconds. Later parts do not try these
            steps again, so that each part gets further than the previous one.
        held_back: steps that were tried and are tried again in each part: they waited for something
            else than capacity, or used up a part without a task being bound.
    """

    pairs_left: int = MAX_PAIRS_PER_PART
    bytes_left: float = math.inf
    shortages: dict[Scope, Shortage] = field(default_factory=dict)
    claimed: dict[Kind, Prospect] = field(default_factory=dict)
    room: dict[Scope, Openings] = field(default_factory=dict)
    mostly_idle: dict[ServiceName, bool] = field(default_factory=dict)
    last_resort: dict[ServiceName, list[RunnerState]] = field(default_factory=dict)
    tried: dict[StepKey, float] = field(default_factory=dict)
    held_back: set[StepKey] = field(default_factory=set)
    retry_pairs_left: int = MAX_RETRY_PAIRS_PER_PART

    def begin_part(self, bytes_left: float = math.inf) -> None:
        """Reset the limits, and what was found of runners, for the next part."""
        self.pairs_left = MAX_PAIRS_PER_PART
        self.retry_pairs_left = MAX_RETRY_PAIRS_PER_PART
        self.bytes_left = bytes_left
        self.shortages.clear()
        self.room.clear()
        self.mostly_idle.clear()
        self.last_resort.clear()

    def should_skip(self, step: StepKey, may_retry: bool, now: float) -> bool:
        """Return whether to skip a step that was tried in this pass.

        With `may_retry`, a step that found no runner is skipped only until RETRY_LASTING_S has
        passed.
        """
        if self.retry_pairs_left <= 0 and self.was_tried(step):
            return True
        tried_at = self.tried.get(step)
        return tried_at is not None and not (may_retry and now - tried_at >= RETRY_LASTING_S)

    def was_tried(self, step: StepKey) -> bool:
        """Return whether a step was tried in this pass without all of its tasks being bound."""
        return step in self.tried or step in self.held_back

    def withhold_pairs(self, step: StepKey) -> int:
        """Withhold and return the pairs that a step may not use because it was tried before."""
        if not self.was_tried(step):
            return 0
        withheld = max(0, self.pairs_left - self.retry_pairs_left)
        self.pairs_left -= withheld
        return withheld

    def return_pairs(self, withheld: int, used: int) -> None:
        """Return the pairs withheld from a step that used the given number of the others."""
        self.pairs_left += withheld
        if withheld:
            self.retry_pairs_left -= used

    @property
    def spent(self) -> bool:
        """Return whether the current part has to end."""
        return self.pairs_left <= 0 or self.link_full

    @property
    def link_full(self) -> bool:
        """Return whether the link is saturated, so that no more starts may be bound now."""
        return self.bytes_left <= 0

"""Bound one pass over waiting work, and remember what it tried until it has seen everything."""

from dataclasses import dataclass, field

from spoolcrank.ids import JobId, ServiceName
from spoolcrank.objective import Prospect

Kind = tuple[ServiceName, str]
"""A service and an image: tasks of one kind compete for the same places."""

StepKey = tuple[JobId, int, int]
"""A step of one round of a job."""

MOST_WEIGHED = 20_000
"""A part of a pass ends once so many pairs of task and runner were weighed, and the next follows
after what has arrived meanwhile: at 6 microseconds a pair 0.12 s on a whole core, 0.4 s on the
smallest instance. In one go 2,128 tasks over 350 runners took 4.5 s, in which nothing was written
or read; others claim the lead after 1.3 s."""


@dataclass
class PlacingPass:
    """One pass over all waiting work, in parts.

    Attributes:
        left: pairs of task and runner that the present part may still weigh.
        misses: by kind, how many steps found no place.
        claimed: by kind, the prospect of the first job that found none.
        tried: steps that found no place; no part tries them again, so that each part comes
            further than the last one.
    """

    left: int = MOST_WEIGHED
    misses: dict[Kind, int] = field(default_factory=dict)
    claimed: dict[Kind, Prospect] = field(default_factory=dict)
    tried: set[StepKey] = field(default_factory=set)

    @property
    def spent(self) -> bool:
        """Tell whether the present part has to end."""
        return self.left <= 0

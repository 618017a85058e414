"""What a leader has logged of jobs that wait beside free capacity."""

import math
from dataclasses import dataclass, field

from spoolcrank.ids import JobId


@dataclass
class HoldWatch:
    """The last check for jobs that wait beside free capacity.

    Attributes:
        checked_at: time of the check, in monotonic seconds.
        held: number of such jobs.
        logged_at: when each of them was last logged, in monotonic seconds.
    """

    checked_at: float = -math.inf
    held: int = 0
    logged_at: dict[JobId, float] = field(default_factory=dict)

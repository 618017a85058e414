"""Track the busy slots of a runner, to reserve processors for no more slots than needed.

A processor reserved for every slot, used or not, would leave nothing of a small instance for batch
work. An owner knows the exact number of requests at its runners, so the reservation follows the
recent peak of simultaneous requests.
"""

import math
from typing import NamedTuple

HALF_LIFE_S = 10.0
"""Time in which a peak of requests decays to half, seconds. A burst that recurs within seconds
finds its processors reserved, and a backend server that is new to its owner accepts batch work
within half a minute."""

SPARE_SLOTS = 1
"""Number of slots reserved beyond the peak, so that the next request finds a processor too."""


class SlotUse(NamedTuple):
    """Decaying peak of the number of busy slots of one runner.

    Attributes:
        peak: recent maximum of simultaneously busy slots, decayed since.
        at: time of the last update, monotonic seconds.
    """

    peak: float
    at: float


def assume_all_busy(slots: int, now: float) -> SlotUse:
    """Return the use of a runner without observations, which may be full."""
    return SlotUse(float(slots), now)


def record_busy(use: SlotUse, busy: int, now: float) -> SlotUse:
    """Return the use after an observation of `busy` slots in use."""
    decayed_peak = use.peak * 0.5 ** (max(0.0, now - use.at) / HALF_LIFE_S)
    return SlotUse(max(float(busy), decayed_peak), now)


def reserved_slots(use: SlotUse, slots: int) -> int:
    """Return the number of slots of a runner for which processors are reserved."""
    # Halves are rounded up, so that a peak of one slot is reserved for one half-life.
    return min(slots, math.floor(use.peak + 0.5) + SPARE_SLOTS)

"""Measure how many slots of a runner are in use, to set aside processors for no more.

A processor set aside for each slot, used or not, takes all of a small instance from batch work.
An owner counts the requests at its runners exactly, so what is set aside follows the most that
were there at once of late.
"""

import math
from typing import NamedTuple

HALF_LIFE_S = 10.0
"""A peak of requests counts half after so long, s: a burst that comes again within seconds finds
its processors, and a server that is new to its owner opens to batch work within half a minute."""

SPARE_SLOTS = 1
"""Set aside beyond the peak, so that the next request finds a processor too."""


class SlotUse(NamedTuple):
    """The most slots of one runner that were busy at once, older peaks counting less.

    Attributes:
        peak: in slots.
        at: when it was last brought up to date, monotonic seconds.
    """

    peak: float
    at: float


def all_busy(slots: int, now: float) -> SlotUse:
    """Return the use of a runner that was not watched yet: it may be full."""
    return SlotUse(float(slots), now)


def seen(use: SlotUse, busy: int, now: float) -> SlotUse:
    """Return the use after `busy` slots were seen in use."""
    faded = use.peak * 0.5 ** (max(0.0, now - use.at) / HALF_LIFE_S)
    return SlotUse(max(float(busy), faded), now)


def kept_slots(use: SlotUse, slots: int) -> int:
    """Return for how many of a runner's slots processors are set aside."""
    # Halves are rounded up, so that a peak of one slot counts for one half-life.
    return min(slots, math.floor(use.peak + 0.5) + SPARE_SLOTS)

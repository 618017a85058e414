"""Capacity of a runner that is kept for one task."""

from typing import NamedTuple

from spoolcrank.workflow import Demand


class Reservation(NamedTuple):
    """Capacity reserved, until a monotonic time, for a task that is moving from another runner."""

    demand: Demand
    until: float

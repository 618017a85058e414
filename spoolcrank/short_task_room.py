"""Keep whole runners for short tasks that are too wide for the usual reserve.

The usual reserve is the same amount on each runner. Wide short tasks cannot use it where it is
smaller than one of them, whatever its total (fragmentation). For these, the runners with the most
capacity free of lasting tasks are kept: no lasting task starts there that has not run before.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.workflow import RunnerId

WIDE_DEMAND_SHARE = 0.9
"""Share of the demand of short tasks, by processors, that tasks up to the wide size make up."""

FITS_IN_RESERVES = 2
"""Number of the usual reserves of one runner in which a wide task must fit for the usual reserve to
suffice. Some capacity beside the reserve is free on most runners."""

MIN_AVERAGE_MILLICORES = 10.0
"""Average demand of one task size below which it is forgotten, millicores. It bounds the number of
sizes to those of the last minute."""

SizedDemand = Mapping[tuple[ServiceName, int], int]
"""Demand of short tasks by service and millicores of one task, millicores."""


class RunnerRoom(NamedTuple):
    """A runner that takes new work, and its capacity that no lasting task takes, millicores."""

    runner: RunnerId
    free_millicores: int


class ShortTaskRoom(NamedTuple):
    """Whole runners kept for the short tasks of one service; none while the usual reserve suffices.

    Attributes:
        kept: runners on which no lasting task may start that has not run before.
        kept_millicores: capacity of these that no lasting task takes.
        wide_millicores: size of a wide task; 0 while the usual reserve suffices.
    """

    kept: frozenset[RunnerId] = frozenset()
    kept_millicores: int = 0
    wide_millicores: int = 0

    def open_to_lasting(self) -> "ShortTaskRoom":
        """Return the same without the runners kept from lasting tasks."""
        return self._replace(kept=frozenset())

    def openings_lost(self, free_millicores: int, millicores: int) -> int:
        """Return how many wide tasks fewer fit in free capacity once a task has taken its part."""
        wide = self.wide_millicores
        return free_millicores // wide - (free_millicores - millicores) // wide


USUAL_RESERVE = ShortTaskRoom()
"""Nothing is kept whole, as the usual reserve suffices."""


@dataclass
class AverageDemand:
    """Average demand of short tasks by their size, over an exponentially decaying window.

    Attributes:
        weight: sum of the weights of all samples; below 1 until the window is full, so that the
            first samples of a new leader already give the whole average.
        sums: weighted sum of the samples by service and millicores of one task.
    """

    weight: float = 0.0
    sums: dict[tuple[ServiceName, int], float] = field(default_factory=dict)

    def add(self, demand: SizedDemand, share: float) -> None:
        """Add a sample, which counts with the given share of the window."""
        self.weight += share * (1.0 - self.weight)
        faded = {kind: amount * (1.0 - share) for kind, amount in self.sums.items()}
        for kind, amount in demand.items():
            faded[kind] = faded.get(kind, 0.0) + share * amount
        self.sums = {
            kind: amount for kind, amount in faded.items() if amount >= MIN_AVERAGE_MILLICORES
        }

    def by_service(self) -> dict[ServiceName, dict[int, float]]:
        """Return the average demand of each service by millicores of one task, millicores."""
        averages: dict[ServiceName, dict[int, float]] = {}
        for (service, millicores), amount in self.sums.items():
            averages.setdefault(service, {})[millicores] = amount / self.weight
        return averages


@dataclass
class ShortTaskRooms:
    """What is kept for the short tasks of each service, in the memory of one leader.

    Attributes:
        demand: average demand of short tasks.
        by_service: what is kept, for the services whose wide tasks need whole runners.
        sufficient_since: time since which the usual reserve would suffice for such a service,
            monotonic seconds.
        assumed: services whose demand is assumed, as no short task of theirs is known yet.
    """

    demand: AverageDemand = field(default_factory=AverageDemand)
    by_service: dict[ServiceName, ShortTaskRoom] = field(default_factory=dict)
    sufficient_since: dict[ServiceName, float] = field(default_factory=dict)
    assumed: frozenset[ServiceName] = frozenset()

    def of(self, service: ServiceName) -> ShortTaskRoom:
        """Return what is kept for a service."""
        return self.by_service.get(service, USUAL_RESERVE)

    def keeps(self, service: ServiceName, runner: RunnerId) -> bool:
        """Return whether a runner of a service is kept from new lasting tasks."""
        return runner in self.of(service).kept

    @property
    def runner_count(self) -> int:
        """Return the number of runners kept for all services."""
        return sum(len(room.kept) for room in self.by_service.values())

    @property
    def wide_millicores(self) -> int:
        """Return the largest size of a wide task of any service; 0 if nothing is kept whole."""
        return max((room.wide_millicores for room in self.by_service.values()), default=0)


def wide_size(averages: Mapping[int, float], largest_millicores: int) -> int:
    """Return the task size that 90 % of the demand does not exceed, millicores; 0 without demand.

    Tasks larger than the largest runner start nowhere and do not count.
    """
    sizes = sorted(size for size in averages if size <= largest_millicores)
    limit = WIDE_DEMAND_SHARE * sum(averages[size] for size in sizes)
    reached = 0.0
    for size in sizes:
        reached += averages[size]
        if reached >= limit:
            return size
    return 0


def usual_reserve_suffices(wide_millicores: int, reserve_millicores: int) -> bool:
    """Return whether the same reserve on each runner serves tasks up to the wide size."""
    return wide_millicores <= FITS_IN_RESERVES * reserve_millicores


def keep_runners(
    rooms: Sequence[RunnerRoom],
    needed_millicores: float,
    wide_millicores: int,
    before: frozenset[RunnerId],
) -> ShortTaskRoom:
    """Return the runners with the most capacity free of lasting tasks, as many as are needed.

    A runner that was kept before stays unless another one has capacity for one more wide task, so
    that the set does not change with each run that ends.
    """
    ordered = sorted(
        rooms,
        key=lambda room: -room.free_millicores - (room.runner in before) * wide_millicores,
    )
    kept: list[RunnerId] = []
    kept_millicores = 0
    for room in ordered:
        if kept_millicores >= needed_millicores:
            break
        if room.free_millicores > 0:
            kept.append(room.runner)
            kept_millicores += room.free_millicores
    return ShortTaskRoom(frozenset(kept), kept_millicores, wide_millicores)

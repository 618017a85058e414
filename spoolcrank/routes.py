"""Match requests to the queues of the configuration in force."""

from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.workflow import RouteName


class Route(NamedTuple):
    """One queue.

    Attributes:
        name: unique in a configuration.
        host: the Host header of its requests.
        prefix: its paths begin so.
        service: whose runners run its tasks.
        priority: 0 is first.
        max_attempts: failed runs of one task that fail a job.
        objective_ms: fixed part of the time in which a job should finish.
        stretch: times a job's longest chain that are added to it.
    """

    name: RouteName
    host: str
    prefix: str
    service: ServiceName
    priority: int
    max_attempts: int
    objective_ms: int
    stretch: float


class RouteTable:
    """The queues of one version of the configuration."""

    def __init__(self, version: int, routes: tuple[Route, ...]) -> None:
        self.version = version
        self.routes = routes
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda one: -len(one.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the queue of the longest prefix, or None."""
        bare = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(bare.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

"""Match requests to the queues of the current configuration."""

from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.workflow import RouteName


class Route(NamedTuple):
    """A queue of jobs and the requests that belong to it.

    Attributes:
        name: unique within a configuration.
        host: Host header of its requests.
        prefix: prefix of the paths of its requests.
        service: service whose runners run its tasks.
        priority: 0 is the highest.
        max_attempts: number of failed runs of one task after which its job fails.
        objective_ms: fixed part of the time within which a job should finish.
        stretch: factor of the duration of a job's longest chain of steps, which is added to
            `objective_ms`.
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
        for route in sorted(routes, key=lambda candidate: -len(candidate.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the queue with the longest matching prefix, or None."""
        hostname = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(hostname.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

"""End the requests that a stopping instance can't wait for any longer."""

from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.route_state import InFlightRequest, Refuse, RouteAction, Router

LEAVING = Refusal(ErrorKind.LEAVING, "this instance is leaving", retry_after_s=0.1)


def give_up(router: Router) -> list[RouteAction]:
    """Refuse all requests in flight: as unknown if a runner may have run them, else as not run."""
    calls = list(router.in_flight.values())
    router.in_flight.clear()
    router.queue.clear()
    return [Refuse(call.req.id, _refusal(call)) for call in calls]


def _refusal(call: InFlightRequest) -> Refusal:
    if not call.open_attempts and not call.maybe_ran:
        return LEAVING
    detail = "no runner answered before this instance had to end"
    return Refusal(ErrorKind.RUNNER_SILENT, detail)

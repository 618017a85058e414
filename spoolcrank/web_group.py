"""Treat the HTTP servers of one process as one in a planned stop."""

from collections.abc import Sequence

from spoolcrank._web import UnsentAnswer, WebServer
from spoolcrank._web_sockets import AcceptResult, StopCounts


class WebGroup:
    """Several HTTP servers that stop together."""

    def __init__(self, webs: Sequence[WebServer]) -> None:
        self._webs = webs

    @property
    def unanswered(self) -> int:
        """Return how many complete requests have answers not yet passed to the kernel."""
        return sum(web.unanswered for web in self._webs)

    @property
    def unsent(self) -> list[UnsentAnswer]:
        """Return the answers that are not yet completely passed to the kernel."""
        return [answer for web in self._webs for answer in web.unsent]

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return sum(web.connections for web in self._webs)

    @property
    def connections_with_work(self) -> int:
        """Return how many open connections hold bytes not handled or answers not sent yet."""
        return sum(web.connections_with_work for web in self._webs)

    @property
    def partly_received(self) -> int:
        """Return how many connections hold a partly received request."""
        return sum(web.partly_received for web in self._webs)

    @property
    def stop_counts(self) -> StopCounts:
        """Return what was done to connections in a stop so far."""
        counts = [web.stop_counts for web in self._webs]
        return StopCounts(*(sum(values) for values in zip(*counts, strict=True)))

    def close_after_answers(self) -> None:
        """Close each connection with its next answer."""
        for web in self._webs:
            web.close_after_answers()

    def read_until(self, at: float) -> None:
        """Read nothing from a time of the monotonic clock on."""
        for web in self._webs:
            web.read_until(at)

    def stop_listening(self) -> AcceptResult:
        """Close the listeners; connections that are open or pending are still served."""
        results = [web.stop_listening() for web in self._webs]
        failures = [result.failure for result in results if result.failure]
        return AcceptResult(sum(result.accepted for result in results), "; ".join(failures))

    def close_idle(self) -> None:
        """Close the connections that hold no request, not even a partly received one."""
        for web in self._webs:
            web.close_idle()

    def stop_reading(self) -> None:
        """Stop reading; requests that were read completely are still answered."""
        for web in self._webs:
            web.stop_reading()

    def close_unanswerable(self) -> None:
        """Close, after `stop_reading`, the connections whose request can't be completed."""
        for web in self._webs:
            web.close_unanswerable()

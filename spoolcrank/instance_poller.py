"""Poll the platform's instance list over HTTP."""

import time

from circuits import BaseComponent
from pydantic import ValidationError

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank._timers import Timers
from spoolcrank.events import fleet_list_failed, fleet_list_read, fleet_listed
from spoolcrank.fleet import parse_list
from spoolcrank.ids import Address
from spoolcrank.membership import LIST_POLL_INTERVAL_S, LIST_TIMEOUT_S
from spoolcrank.metrics import Metrics


class InstancePoller(BaseComponent):
    """A poller of the instance list.

    It fires `fleet_list_read` for each good read, `fleet_listed` before it when the list has
    changed or the read before failed, and `fleet_list_failed` for each failed read.
    """

    channel = "instances"

    def __init__(
        self, http: HttpClient, timers: Timers, address: Address, metrics: Metrics
    ) -> None:
        super().__init__()
        self._http = http
        self._timers = timers
        self._address = address
        self._metrics = metrics
        self._last_body = b""

    def begin(self) -> None:
        """Request the list and schedule the next request after each result."""
        asked_at = time.monotonic()
        call = HttpCall(self._address, "GET", "/instances", {}, b"", LIST_TIMEOUT_S)
        self._http.send(call, lambda result: self._on_result(asked_at, result))

    def _on_result(self, asked_at: float, result: HttpResult) -> None:
        self._timers.after(LIST_POLL_INTERVAL_S, self.begin)
        if not result.ok:
            self._fail("failed")
            return
        if result.body != self._last_body:
            try:
                instances = parse_list(result.body)
            except ValidationError:
                self._fail("unreadable")
                return
            self._last_body = result.body
            self.fire(fleet_listed(instances))
        self.fire(fleet_list_read(asked_at))

    def _fail(self, why: str) -> None:
        self._metrics.incr(f"instances.{why}")
        self._last_body = b""
        self.fire(fleet_list_failed())

"""Send commands to workers, one at a time to each worker, in the order they were queued."""

import time
from collections import deque

from circuits import BaseComponent
from pydantic import ValidationError

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank.events import worker_refused, worker_reported, worker_silent
from spoolcrank.ids import Address, InstanceId
from spoolcrank.metrics import Metrics
from spoolcrank.worker import COMMAND_PATHS, Command, Refused, Report

_COMMAND_TIMEOUT_S = 1.0
_HTTP_CONFLICT = 409


class WorkerLink(BaseComponent):
    """Component that queues commands for workers and fires events for their answers."""

    channel = "worker"

    def __init__(self, http: HttpClient, metrics: Metrics) -> None:
        super().__init__()
        self._http = http
        self._metrics = metrics
        self._queues: dict[InstanceId, deque[Command]] = {}
        self._busy: set[InstanceId] = set()
        self._addresses: dict[InstanceId, Address] = {}

    def update_addresses(self, server: InstanceId, address: Address) -> None:
        """Set the address to which a worker's commands are sent."""
        self._addresses[server] = address

    def outstanding(self, server: InstanceId) -> int:
        """Return how many commands to a worker are queued or in flight."""
        return len(self._queues.get(server, ())) + (server in self._busy)

    def command(self, server: InstanceId, command: Command) -> None:
        """Queue a command, and send it at once if the worker has none in flight."""
        self._queues.setdefault(server, deque()).append(command)
        self._send_next(server)

    def drop(self, server: InstanceId) -> None:
        """Drop the queued commands of a worker; one in flight is not affected."""
        self._queues.pop(server, None)

    def _send_next(self, server: InstanceId) -> None:
        queue = self._queues.get(server)
        if server in self._busy or not queue:
            return
        address = self._addresses.get(server)
        if address is None:
            queue.clear()
            return
        command = queue.popleft()
        self._busy.add(server)
        sent_at = time.monotonic()
        call = HttpCall(
            address,
            "POST",
            COMMAND_PATHS[type(command)],
            {"Content-Type": "application/json"},
            command.model_dump_json().encode(),
            _COMMAND_TIMEOUT_S,
        )
        self._metrics.incr(f"worker.{type(command).__name__.lower()}")
        self._http.send(call, lambda result: self._on_result(server, sent_at, result))

    def _on_result(self, server: InstanceId, sent_at: float, result: HttpResult) -> None:
        self._busy.discard(server)
        try:
            if result.ok:
                self.fire(worker_reported(server, Report.model_validate_json(result.body), sent_at))
            elif result.failed is None and result.status == _HTTP_CONFLICT:
                refused = Refused.model_validate_json(result.body)
                self._metrics.incr(f"worker.refused.{refused.reason.replace(' ', '-')}")
                self.fire(worker_refused(server, refused))
            else:
                self._metrics.incr("worker.silent")
                self.drop(server)
                self.fire(worker_silent(server))
        except ValidationError:
            self._metrics.incr("worker.unreadable")
            self.fire(worker_silent(server))
        self._send_next(server)

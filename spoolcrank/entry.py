"""Assemble the daemon of an entry instance and stop it without aborting requests in flight."""

import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from spoolcrank import logs
from spoolcrank._runtime import Runtime, address_of_url, print_ready, split_address
from spoolcrank._web import HttpRequest, Reply, json_reply, refusal_reply
from spoolcrank.callers import Callers
from spoolcrank.config_api import ConfigApi
from spoolcrank.controller import Controller
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import Incarnation, unique
from spoolcrank.instance_poller import InstancePoller
from spoolcrank.jobs_api import JobsApi, not_found_reply
from spoolcrank.log_link import LogLink
from spoolcrank.membership import Members
from spoolcrank.metrics import Metrics
from spoolcrank.operators import Operators
from spoolcrank.peer_link import PeerLink
from spoolcrank.settings import EntrySettings
from spoolcrank.state import Core
from spoolcrank.trace import Recorder
from spoolcrank.worker_link import WorkerLink

_METRICS_FLUSH_INTERVAL_S = 1.0
_METHODS_THAT_CHANGE = frozenset({"POST", "PUT", "PATCH"})
_DRAIN_CHECK_INTERVAL_S = 0.05
_MIN_SENDING_CHECKS = 6
"""Minimum number of timely checks between the end of reading and a forced end; they leave 0.3 s
for sending answers."""


class DrainTimes(NamedTuple):
    """Latest times of what follows the end of intake, in seconds after it.

    Attributes:
        idle_end_s: time from which connections without a request are closed.
        answers_end_s: time at which requests without an answer get one, and reading ends.
        end_s: end of the process; later after a standstill, until the event loop has run for long
            enough to send the answers.
    """

    idle_end_s: float
    answers_end_s: float
    end_s: float


DRAIN_TIMES = DrainTimes(idle_end_s=0.5, answers_end_s=19.0, end_s=20.0)


class Entry:
    """Daemon of one entry instance: its components, HTTP routes and planned stop."""

    def __init__(self, runtime: Runtime, settings: EntrySettings) -> None:
        self._runtime = runtime
        self._settings = settings
        self._check_due_at = 0.0
        self._sending_checks = 0
        self.metrics = Metrics()
        if settings.statsd:
            self.metrics.send_to(settings.statsd)
        incarnation = Incarnation(unique(settings.instance_id))
        members = Members(
            settings.instance_id, incarnation, settings.availability_zone, time.monotonic()
        )
        timers, http = runtime.timers, runtime.http
        log_address = address_of_url(settings.log)
        self.log_link = LogLink(http, timers, log_address, incarnation, self.metrics).register(
            runtime
        )
        self.peers = PeerLink(
            settings.instance_id,
            split_address(settings.peer_listen),
            runtime.dialer,
            timers,
            self.metrics,
        ).register(runtime)
        workers = WorkerLink(http, self.metrics).register(runtime)
        self.controller = Controller(
            Core(members), timers, self.log_link, self.peers, workers, self.metrics
        ).register(runtime)
        if settings.trace_file:
            self.controller.recorder = Recorder(settings.trace_file, members)
        self.callers = Callers(self.controller, http, timers, self.metrics).register(runtime)
        self.jobs = JobsApi(self.controller, timers, self.metrics)
        self.config = ConfigApi(self.controller, self.jobs, timers)
        self.operators = Operators(
            self.controller, self.jobs, self.config, self.callers.decisions, timers, self.metrics
        )
        instance_poller = InstancePoller(
            http, timers, address_of_url(settings.instances), self.metrics
        )
        instance_poller.register(runtime)
        self.web = runtime.serve(settings.listen, self.answer)
        runtime.on_stop(self.stop)
        timers.every(_METRICS_FLUSH_INTERVAL_S, self.metrics.flush)
        instance_poller.begin()
        self.log_link.begin()

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Route one HTTP request by its path; work of a client that has left is not begun."""
        if req.method in _METHODS_THAT_CHANGE and req.client_left():
            refusal = Refusal(ErrorKind.CLIENT_LEFT, "the connection was closed before")
            self.jobs.refuse(refusal, reply)
        elif req.path.startswith("/services/"):
            self.callers.serve(req, reply)
        elif req.path == "/jobs" or req.path.startswith("/jobs/"):
            self.jobs.serve(req, reply)
        elif req.path == "/commands" and req.method == "POST":
            self.operators.serve(req, reply)
        elif req.path in ("/config", "/config/check"):
            self.config.serve(req, reply)
        elif req.path == "/health/live":
            reply(json_reply(200, {"live": True}))
        elif req.path == "/health/ready":
            self._answer_ready(reply)
        elif req.path == "/metrics":
            reply(json_reply(200, self.metrics.snapshot()))
        else:
            reply(not_found_reply(req.path))

    def _answer_ready(self, reply: Reply) -> None:
        reason = self.controller.not_ready_reason()
        if reason:
            refusal = Refusal(ErrorKind.NOT_READY, f"this instance {reason}", retry_after_s=1.0)
            reply(refusal_reply(refusal))
        else:
            reply(json_reply(200, {"ready": True}))

    def stop(self, finish: Callable[[], None]) -> None:
        """Report not ready, hand over the owned servers, finish requests in flight, call `finish`.

        Connections are accepted for `linger_s` more, each closed with its next answer. Then intake
        ends: what can't be answered at once is refused, and what was read before is answered within
        `DRAIN_TIMES`.
        """
        logs.log("stop.begun", instance=self._settings.instance_id)
        # Schedule the next step of a stop first, so that an exception in this one does not end it.
        self._runtime.timers.after(self._settings.linger_s, lambda: self._drain(finish))
        self.web.close_after_answers()
        self.controller.hand_over_all()

    def _drain(self, finish: Callable[[], None]) -> None:
        began_at = time.monotonic()
        check = partial(self._check_drained, began_at, finish)
        self._runtime.timers.after(DRAIN_TIMES.idle_end_s, check)
        self._check_due_at = began_at + DRAIN_TIMES.idle_end_s
        self.callers.closing = True
        self.jobs.closing = True
        self.web.stop_listening()

    def _check_drained(self, began_at: float, finish: Callable[[], None]) -> None:
        now = time.monotonic()
        since_s = now - began_at
        if since_s >= DRAIN_TIMES.end_s and self._sending_checks >= _MIN_SENDING_CHECKS:
            self._end(finish)
            return
        check = partial(self._check_drained, began_at, finish)
        timer = self._runtime.timers.after(_DRAIN_CHECK_INTERVAL_S, check)
        in_time = now - self._check_due_at <= _DRAIN_CHECK_INTERVAL_S
        self._check_due_at = now + _DRAIN_CHECK_INTERVAL_S
        if since_s >= DRAIN_TIMES.answers_end_s:
            self._sending_checks += in_time
            self.web.stop_reading()
            self.callers.give_up()
            self.web.close_unanswerable()
        else:
            # A request that arrived on an idle connection since the last check would be lost.
            self.web.close_idle()
        if not self._busy:
            timer.cancel()
            self._end(finish)

    @property
    def _busy(self) -> bool:
        waiting = self.callers.unanswered or self.log_link.pending_count
        return bool(waiting or self.web.connections)

    def _end(self, finish: Callable[[], None]) -> None:
        logs.log(
            "stop.done",
            instance=self._settings.instance_id,
            busy=self._busy,
            unanswered=self.web.unanswered,
            **self.web.stop_counts._asdict(),
        )
        finish()


def run(settings: EntrySettings) -> None:
    """Run an entry instance in this process until it is stopped."""
    logs.write_to(settings.log_file)
    runtime = Runtime()
    entry = Entry(runtime, settings)
    print_ready(
        role="entry",
        instance=settings.instance_id,
        listen=f"{entry.web.host}:{entry.web.port}",
        peer_listen=entry.peers.listen,
    )
    runtime.run_here()

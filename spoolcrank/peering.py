"""Assemble what an instance needs to forward requests to peers and to answer theirs."""

import time
from collections.abc import Callable, Iterable

from spoolcrank._runtime import Runtime
from spoolcrank._web import WebServer
from spoolcrank.forwarded_requests import AnswerForwarded, ForwardedRequests
from spoolcrank.ids import InstanceId
from spoolcrank.job_intake import JobIntake
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.leadership import Leadership
from spoolcrank.log_follower import LogFollower
from spoolcrank.peer_directory import PeerDirectory, PeerRecord
from spoolcrank.peer_registration import PeerRegistration
from spoolcrank.prometheus_metrics import PrometheusMetrics
from spoolcrank.request_forwarder import RequestForwarder
from spoolcrank.store_health import ReadTiming, StoreHealth
from spoolcrank.store_port import LogPort
from spoolcrank.telemetry import Telemetry


class OwnInstance:
    """What the forwarder has to know of its own instance."""

    def __init__(self, follower: LogFollower, intake: JobIntake, leadership: Leadership) -> None:
        self._follower = follower
        self._intake = intake
        self._leadership = leadership

    @property
    def contact(self) -> bool:
        """Return whether the store answers this instance, or has never answered it yet.

        Before the first answer no peer is known, so that nothing could be forwarded.
        """
        return self._follower.contact or self._follower.answered_at < 0

    @property
    def answered_at(self) -> float:
        """Return when the store last answered this instance, monotonic seconds."""
        return self._follower.answered_at

    @property
    def leader(self) -> InstanceId | None:
        """Return the instance that leads, if it is another one.

        A leader that resigned still stores records until its successor's claim is read.
        """
        instance = self._leadership.claim.instance
        return instance if instance and instance != self._leadership.instance else None

    @property
    def append_sent_at(self) -> float | None:
        """Return when the append of clients' records in flight was sent; None if there is none."""
        return self._intake.append_sent_at

    @property
    def intake_ended(self) -> bool:
        """Return whether a planned stop has ended the intake of requests."""
        return self._intake.ended


class Peering:
    """The peers of one instance: its own record and listener, and the forwarding to theirs."""

    def __init__(
        self,
        runtime: Runtime,
        own: PeerRecord,
        log: LogPort,
        followers: tuple[LogFollower, ...],
        intake: JobIntake,
        leadership: Leadership,
        answer: AnswerForwarded,
        on_unreadable: Callable[[KeyedRecord, str], None],
        telemetry: Telemetry,
        metrics: PrometheusMetrics,
    ) -> None:
        self._registration = PeerRegistration(log, own, runtime.timers)
        self._directory = PeerDirectory(own, on_unreadable)
        self._health = StoreHealth()
        self.forwarder = RequestForwarder(
            runtime.http,
            self._directory,
            self._health,
            OwnInstance(followers[0], intake, leadership),
            telemetry,
            metrics,
            time.monotonic,
        )
        for follower in followers:
            follower.on_read_timed = self._on_read
        intake.on_append_answered = self._on_append
        intake.confirms_by_reads = True
        intake.is_store_slow = lambda: self._health.answers_late
        requests = ForwardedRequests(answer, metrics, time.monotonic, own.instance)
        self.web: WebServer = runtime.serve(own.address, requests.answer, "peers")

    def begin(self) -> None:
        """Store the record of this instance."""
        self._registration.begin()

    def on_records(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records read from the scheduler's log."""
        for record in records:
            self._directory.apply_record(record)
            self._registration.on_record(record)

    @property
    def peers(self) -> int:
        """Return the number of peers whose addresses are known."""
        return len(self._directory)

    def end(self) -> None:
        """Delete the record of this instance; requests of peers are still answered."""
        self._registration.end()

    def _on_read(self, read: ReadTiming) -> None:
        self._health.record_read(read)
        self.forwarder.update()

    def _on_append(self, sent_at: float) -> None:
        self._health.record_append(sent_at, time.monotonic())
        self.forwarder.update()

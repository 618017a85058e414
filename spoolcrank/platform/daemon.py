"""Assemble and run the scheduler daemon of one instance on the platform."""

import os
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from spoolcrank._runtime import Runtime
from spoolcrank._web import HttpReply, HttpRequest, Reply, WebServer
from spoolcrank.compiled_import import FULL_COMMAND_LINE, DecisionCode
from spoolcrank.decoding import Unreadable
from spoolcrank.dispatcher import Dispatcher
from spoolcrank.errors import EXIT_BAD_SETTINGS, SettingsError
from spoolcrank.ids import Address, Incarnation, unique
from spoolcrank.instance_stop import InstanceStop
from spoolcrank.job_index import JobIndex
from spoolcrank.job_intake import JobIntake
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.leader_gauges import leader_gauges
from spoolcrank.leadership import Leadership
from spoolcrank.log_follower import LogFollower
from spoolcrank.mechanisms import Mechanism, switched_off
from spoolcrank.peer_directory import PeerRecord
from spoolcrank.peers_setting import peer_port, peers_setting
from spoolcrank.planned_stop import stop_times
from spoolcrank.platform.clients import ClientApi
from spoolcrank.platform.documents import (
    decode_configuration,
    decode_runner_entry,
    evacuated_zones,
    is_heartbeat,
)
from spoolcrank.platform.runners import PlatformRunners
from spoolcrank.platform.settings import FILE_VARIABLE, PlatformSettings, read_settings
from spoolcrank.platform.store import StoreLog
from spoolcrank.prometheus_metrics import TEXT_TYPE, PrometheusMetrics
from spoolcrank.routes import RouteTable
from spoolcrank.runner_directory import RunnerDirectory
from spoolcrank.runner_state import LEASE_MS
from spoolcrank.scheduler import RoutePolicy
from spoolcrank.takeover import log_unreadable_entry
from spoolcrank.telemetry import Telemetry
from spoolcrank.web_group import WebGroup
from spoolcrank.workflow import RouteName

if TYPE_CHECKING:
    from spoolcrank.peering import Peering

JOBS_LOG = "jobs"
"""Name of the log that holds the scheduler's own records."""

OPERATOR_LOG = "op"
RUNNERS_LOG = "servers"
_CONFIGURATION_KEY = "config"
_READY_PATH = "/api/readyz"

STORE_CONTACT_TIMEOUT_S = 1.5
"""Time without a store answer after which the instance reports itself not ready, seconds."""

MAX_CONFIGURATION_AGE_S = 1.7
"""Maximum age of the configuration from which requests are answered, seconds.

An older one is read again first. The platform guarantees that a configuration is in force 2 s
after it was acknowledged.
"""

READY_CONFIGURATION_AGE_S = 3.0
"""Age of the configuration from which the instance reports itself not ready, seconds.

It refuses new jobs then. A store that takes 0.4 s for an answer leaves it 2.5 s old.
"""


class PlatformDaemon:
    """One instance, which accepts jobs and schedules them while it is the leader."""

    def __init__(
        self,
        runtime: Runtime,
        cfg: PlatformSettings,
        metrics_port: int,
        without: frozenset[Mechanism] = frozenset(),
        code: DecisionCode = FULL_COMMAND_LINE,
        peer_port: int | None = None,
    ) -> None:
        self._runtime = runtime
        self._cfg = cfg
        self._routes: RouteTable | None = None
        self._stopping = False
        timers, http = runtime.timers, runtime.http
        self.metrics = PrometheusMetrics()
        self.telemetry = Telemetry(timers, cfg.instance_id)
        self.telemetry.count = self.metrics.count
        self._contacted_at = -STORE_CONTACT_TIMEOUT_S
        log = self._open_log(JOBS_LOG)
        self.index = JobIndex(self._on_unreadable)
        self.follower = self._follow(log, self._on_job_records, JOBS_LOG)
        self._configuration = self._follow(
            self._open_log(OPERATOR_LOG), self._on_operator_records, OPERATOR_LOG
        )
        self._runners = self._follow(
            self._open_log(RUNNERS_LOG), self._on_runner_entries, RUNNERS_LOG
        )
        self.intake = JobIntake(log, self.follower, self.index, timers, time.monotonic)
        on_unreadable_entry = partial(log_unreadable_entry, self.telemetry)
        incarnation = Incarnation(unique(cfg.instance_id))
        self.dispatcher = Dispatcher(
            Leadership(cfg.instance_id, incarnation, time.monotonic(), cfg.processors),
            log,
            self.follower,
            self._runners,
            RunnerDirectory(decode_runner_entry, on_unreadable_entry, is_heartbeat),
            PlatformRunners(http),
            timers,
            self.telemetry,
            lease_ms=min(LEASE_MS, cfg.longest_lease_ms),
            without=without,
        )
        self._api = ClientApi(
            self.intake,
            lambda: self._routes,
            partial(self.intake.confirm, self._configuration, MAX_CONFIGURATION_AGE_S),
            self.telemetry,
            self.metrics,
        )
        self._peering: Peering | None = None
        if peer_port is not None:
            self._peering = self._open_peering(peer_port, log, incarnation)
        self._clients = runtime.serve(cfg.clients, self._api.answer, "clients")
        self._ready = runtime.serve(cfg.ready, self._answer_ready, "ready")
        runtime.serve(address_on(cfg.ip, metrics_port), self._answer_metrics, "metrics")
        runtime.on_stop(self._stop)
        self.telemetry.log(
            "start",
            important=True,
            incarnation=incarnation,
            clients=cfg.clients,
            without=sorted(mechanism.value for mechanism in without),
            decisions=code.form,
            plain_because=code.why,
            **({"peers": address_on(cfg.ip, peer_port)} if peer_port is not None else {}),
        )
        self._configuration.begin()
        self.follower.begin()
        if self._peering is not None:
            self._peering.begin()

    def _open_peering(self, port: int, log: StoreLog, incarnation: Incarnation) -> "Peering":
        # Its codec takes an eighth of the start-up time, which instances without peers do not need.
        from spoolcrank.peering import Peering

        cfg = self._cfg
        own = PeerRecord(
            cfg.instance_id, incarnation, address_on(cfg.ip, port), cfg.availability_zone
        )
        followers = (self.follower, self._configuration, self._runners)
        peering = Peering(
            self._runtime,
            own,
            log,
            followers,
            self.intake,
            self.dispatcher.leadership,
            self._api.answer_forwarded,
            self._on_unreadable,
            self.telemetry,
            self.metrics,
        )
        self._api.forwarder = peering.forwarder
        return peering

    def _open_log(self, name: str) -> StoreLog:
        def on_unreadable(why: str) -> None:
            self.telemetry.log("item-unreadable", important=True, log=name, why=why)

        return StoreLog(self._runtime.http, self._cfg.store, name, on_unreadable)

    def _follow(
        self, log: StoreLog, on_records: Callable[[list[KeyedRecord]], None], name: str
    ) -> LogFollower:
        def on_contact(contact: bool, detail: str) -> None:
            event = "store-regained" if contact else "store-lost"
            self.telemetry.log(event, important=True, log=name, detail=detail)
            if self._peering is not None:
                self._peering.forwarder.update()

        def on_error(trace: str) -> None:
            self.telemetry.log("internal-error", important=True, log=name, trace=trace)

        timers = self._runtime.timers
        return LogFollower(log, timers, time.monotonic, on_records, on_contact, on_error)

    # Handlers of records that were read from the logs

    def _on_job_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self.index.apply_record(record)
        if self._peering is not None:
            self._peering.on_records(records)
        self.dispatcher.on_log_records(records)

    def _on_operator_records(self, records: list[KeyedRecord]) -> None:
        self.dispatcher.evacuate_zones(evacuated_zones(self._configuration.copy))
        for record in records:
            if record.key != _CONFIGURATION_KEY or not record.value:
                continue
            try:
                table = decode_configuration(record.value)
            except Unreadable as exc:
                # The previous configuration stays in force, with all its routes.
                self.telemetry.log(
                    "configuration-refused", important=True, offset=record.offset, why=str(exc)
                )
                continue
            self._on_configuration(table, record.offset)

    def _on_unreadable(self, record: KeyedRecord, why: str) -> None:
        self.telemetry.log(
            "record-unreadable", important=True, key=record.key, offset=record.offset, why=why
        )

    def _on_configuration(self, table: RouteTable, offset: int) -> None:
        if self._routes is not None and table.version <= self._routes.version:
            return
        self._routes = table
        policies: dict[RouteName, RoutePolicy] = {
            route.name: RoutePolicy(route.service, route.priority, route.max_attempts)
            for route in table.routes
        }
        self.dispatcher.set_routes(policies)
        self.telemetry.log(
            "configuration",
            important=True,
            version=table.version,
            offset=offset,
            routes=len(table.routes),
        )

    def _on_runner_entries(self, records: list[KeyedRecord]) -> None:
        # Runs even if no record could be read: with this page the list may have become complete.
        self.dispatcher.on_runner_entries(self._runners.copy, records)

    # Readiness, metrics and shutdown

    def _answer_ready(self, req: HttpRequest, reply: Reply) -> None:
        ok = req.path == _READY_PATH and self.ready
        reply(HttpReply(200 if ok else 503, {}, b""))

    def _answer_metrics(self, req: HttpRequest, reply: Reply) -> None:
        scheduler = self.dispatcher.scheduler
        self.metrics.gauge("leads", float(scheduler is not None))
        self.metrics.gauge("log_offset", self.follower.copy.next_offset)
        self.metrics.gauge("configuration", self._routes.version if self._routes else 0)
        self.metrics.gauge("lines_left_out", self.telemetry.left_out)
        self.metrics.gauge("unanswered", self._clients.unanswered)
        if self._peering is not None:
            self.metrics.gauge("peers", self._peering.peers)
        if scheduler is not None:
            for name, value in leader_gauges(scheduler).items():
                self.metrics.gauge(name, value)
        reply(HttpReply(200, {"Content-Type": TEXT_TYPE}, self.metrics.text()))

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send clients to this instance."""
        contacted_at = max(self.follower.copy.read_at, self._configuration.copy.read_at)
        store_answers = time.monotonic() - contacted_at <= STORE_CONTACT_TIMEOUT_S
        accepts_jobs = self._configuration.is_fresh(READY_CONFIGURATION_AGE_S)
        loaded = self.follower.copy.loaded and self._routes is not None
        return loaded and store_answers and accepts_jobs and not self._stopping

    def _stop(self, finish: Callable[[], None]) -> None:
        self._stopping = True
        webs: WebServer | WebGroup = self._clients
        if self._peering is not None:
            self._peering.end()
            webs = WebGroup((self._clients, self._peering.web))
        InstanceStop(
            stop_times(self._cfg.grace_s),
            webs,
            self.intake,
            self._api.open_requests,
            self._api.give_up,
            # A leadership claim in flight at the signal may still be stored after it.
            lambda: self.dispatcher.scheduler is not None,
            finish,
            self._runtime.timers,
            self.telemetry,
            time.monotonic,
        ).begin()
        self.dispatcher.leave(lambda: None)

    def reload(self) -> None:
        """Read the settings file again and log whether it differs.

        The listening addresses stay as they were, because they cannot change at run time.
        """
        try:
            cfg = read_settings(os.environ[FILE_VARIABLE])
        except SettingsError as exc:
            self.telemetry.log("reload-failed", important=True, why=str(exc))
            return
        self.telemetry.log("reload", important=True, changed=cfg != self._cfg)
        self._cfg = cfg._replace(clients=self._cfg.clients, ready=self._cfg.ready)


def run(metrics_port: int, peers: str = "", code: DecisionCode = FULL_COMMAND_LINE) -> None:
    """Run the daemon until a stop signal.

    Invalid settings end the process with one line on standard error and exit code 2.

    Args:
        metrics_port: port of the metrics.
        peers: value of `--peers`; empty if it is not given.
        code: which form of the decisions was imported.
    """
    try:
        cfg = read_settings(os.environ.get(FILE_VARIABLE, ""))
        without = switched_off()
        setting = peers_setting(peers, os.environ)
        allowed = Mechanism.FORWARDING not in without
        port = peer_port(setting, cfg.zones, cfg.internal_ports, allowed)
    except SettingsError as exc:
        sys.stderr.write(f"spoolcrank: {exc}\n")
        sys.exit(EXIT_BAD_SETTINGS)
    runtime = Runtime()
    daemon = PlatformDaemon(runtime, cfg, metrics_port, without, code, port)
    signal.signal(signal.SIGHUP, lambda number, frame: runtime.post(daemon.reload))
    runtime.run_here()


def address_on(ip: str, port: int) -> Address:
    """Return `IP:PORT`."""
    return Address(f"{ip}:{port}")

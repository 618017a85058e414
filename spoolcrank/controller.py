"""Run the core of an entry instance: pass events to it and carry out its actions."""

import json
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from circuits import BaseComponent, handler

from spoolcrank import assignment, membership, ownership, ownership_transfer, policy, replay, trace
from spoolcrank import core as decisions
from spoolcrank._timers import Timers
from spoolcrank._wire import Answer, Frame, HandoverMessage, Query
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import InstanceId
from spoolcrank.interference import parse_model
from spoolcrank.log_link import ConfigEntry, LogLink, Snapshot, dump_snapshot, parse_snapshot
from spoolcrank.logs import log
from spoolcrank.membership import Heartbeat
from spoolcrank.metrics import Metrics
from spoolcrank.owned_server import Append, Send
from spoolcrank.peer_link import PeerLink
from spoolcrank.pending_lookups import PendingLookups
from spoolcrank.published_config import PublishedConfig
from spoolcrank.records import Entry
from spoolcrank.state import Core, CoreAction, Handover, LogEvent
from spoolcrank.state_source import StateSource
from spoolcrank.worker import Refused, Report
from spoolcrank.worker_link import WorkerLink

TICK_S = 0.05
MAX_APPENDS_PER_S = 90.0
_RECORD_CLEANUP_INTERVAL_S = 10.0
_MAX_SNAPSHOT_INTERVAL_S = 60.0
_STATE_QUERY_INTERVAL_S = 3.0
_QUERY_TIMEOUT_S = 2.0
WHAT_STATE = "state"
WHAT_CONFIG = "config"
WHAT_LEARNED = "learnt"
_LEARNED_INTERVAL_S = 2.0
Responder = Callable[[str], str]
LatencyOf = Callable[[InstanceId], float]
FreeSlots = Callable[[InstanceId], int]


class Controller(BaseComponent):
    """The owner of the core and of the links through which the core acts."""

    channel = "controller"

    def __init__(
        self,
        core: Core,
        timers: Timers,
        log_link: LogLink,
        peers: PeerLink,
        workers: WorkerLink,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.core = core
        self.log_link = log_link
        self.peers = peers
        self.config = PublishedConfig()
        self.lookups = PendingLookups(timers)
        self.recorder: trace.Recorder | None = None
        self.free_slots: FreeSlots = lambda server: 0
        self.latency_s: LatencyOf = lambda server: 0.0
        self.responders: dict[str, Responder] = {
            WHAT_STATE: lambda text: json.dumps(dump_snapshot(self._snapshot())),
            WHAT_LEARNED: self._merge_learned,
            WHAT_CONFIG: lambda text: json.dumps([self.config.version, self.config.toml]),
        }
        self._timers = timers
        self._workers = workers
        self._metrics = metrics
        self._seq = 0
        self._queries: dict[int, Callable[[str | None], None]] = {}
        self._query_count = 0
        self._state_asked_at = float("-inf")
        self._state_source = StateSource()
        self._snapshot_at = float("-inf")
        self._caught_up = False
        timers.every(TICK_S, self._tick)
        timers.after(0.0, self._send_periodic_heartbeat)
        timers.every(_RECORD_CLEANUP_INTERVAL_S, lambda: assignment.drop_stale_records(self.core))
        timers.every(1.0, self._write_snapshot_if_due)
        timers.every(_LEARNED_INTERVAL_S, self._publish_learned)

    @property
    def ready(self) -> bool:
        """Return whether callers may send requests to this instance."""
        return not self.not_ready_reason()

    def not_ready_reason(self) -> str:
        """Return why this instance is not ready, or an empty string if it is."""
        if self.core.stopping:
            return "leaving"
        if not self._caught_up:
            return "has neither read the log nor received its state from a peer"
        if not membership.settled(self.core.members, self.core.policy, time.monotonic()):
            return "is still waiting for heartbeats of its peers"
        if membership.is_drained(self.core.members, self.core.members.me, self.core.ledger):
            return "is drained"
        return ""

    def _tick(self) -> None:
        now = time.monotonic()
        for server, owned in self.core.owned.items():
            owned.waiting = self._workers.outstanding(server)
        wall = time.time()
        traced = replay.tick_input(self.core, wall) if self.recorder else {}
        self._carry_out(now, traced, decisions.tick(self.core, now, wall))
        self._query_state(now)

    def _carry_out(self, now: float, traced: dict[str, Any], actions: list[CoreAction]) -> None:
        """Carry out the actions decided on an input; record both if a trace is written."""
        if self.recorder is not None:
            self.recorder.record_input(now, traced, actions)
        self.act(actions)

    def _trace_input(self, now: float, traced: dict[str, Any]) -> None:
        if self.recorder is not None:
            self.recorder.record_input(now, traced)

    def on_latency(self, server: InstanceId, latency_s: float, now: float) -> None:
        """Update the interference model with the latency of one request."""
        self._trace_input(now, {"kind": "latency", "server": server, "latency_s": latency_s})
        self.core.interference_model.on_latency(server, latency_s, now)

    def hand_over_all(self) -> None:
        """Hand over every server and announce at once to all peers that this instance leaves."""
        self.act(ownership_transfer.hand_over_all(self.core, time.monotonic()))
        self._send_heartbeat(all_zones=True)

    def act(self, actions: list[CoreAction]) -> None:
        """Carry out the actions that the core decided on."""
        for action in actions:
            match action:
                case Append():
                    if self.log_link.append(action.record) is None:
                        decisions.on_not_appended(self.core, action.record)
                case Send():
                    self._workers.command(action.server, action.command)
                case Handover():
                    self._workers.drop(action.server)
                    self.peers.send(
                        action.to, HandoverMessage(action.server, action.epoch, action.busy)
                    )
                case LogEvent():
                    self._metrics.incr(f"core.{action.name}")
                    log(action.name, instance=self.core.members.me, **action.fields)

    @handler("log_read", channel="*")
    def _on_log_read(self, entries: list[Entry], asked_at: float, at_end: bool) -> None:
        now = time.monotonic()
        for entry in entries:
            traced = trace.entry_input(entry) if self.recorder else {}
            self._carry_out(now, traced, decisions.on_entry(self.core, entry, now))
            if entry.envelope.writer == self.core.members.incarnation:
                self.log_link.confirm_applied(entry.envelope.seq)
        if at_end:
            self._trace_input(now, {"kind": "read", "asked_at": asked_at})
            decisions.on_log_read(self.core, asked_at)
            self._caught_up = True
            self.lookups.on_log_read(asked_at)

    @handler("log_failed", channel="*")
    def _on_log_failed(self) -> None:
        now = time.monotonic()
        self._trace_input(now, {"kind": "log-failed"})
        decisions.on_log_failed(self.core, now)
        self._metrics.incr("log.failed")

    @handler("snapshot_read", channel="*")
    def _on_snapshot_read(self, snapshot: Snapshot) -> None:
        self._apply_snapshot(snapshot)

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        if self.config.adopt(snapshot.config_version, snapshot.config_toml):
            self._apply_config()
        if snapshot.ledger.offset <= self.core.ledger.offset:
            return
        now = time.monotonic()
        traced = trace.ledger_input(snapshot.ledger) if self.recorder else {}
        self._carry_out(now, traced, decisions.replace_ledger(self.core, snapshot.ledger, now))
        self.log_link.skip_to(snapshot.ledger.offset)
        writer = snapshot.ledger.writers.get(self.core.members.incarnation)
        if writer is not None:
            self.log_link.confirm_applied(writer.seq)

    @handler("config_read", channel="*")
    def _on_config_read(self, records: list[ConfigEntry], asked_at: float, at_end: bool) -> None:
        for entry in records:
            if self.config.apply_entry(entry):
                self._apply_config()
        if at_end:
            self._trace_input(time.monotonic(), {"kind": "config-read", "asked_at": asked_at})
            decisions.on_config_read(self.core, asked_at)

    def _apply_config(self) -> None:
        self.core.policy = policy.parse(self.config.toml).value_or(self.core.policy)
        self.core.config_version = self.config.version
        traced = {"kind": "config", "version": self.config.version, "toml": self.config.toml}
        self._trace_input(time.monotonic(), traced)
        self._metrics.gauge("config.version", self.config.version)
        log("config.applied", instance=self.core.members.me, version=self.config.version)

    @handler("fleet_listed", channel="*")
    def _on_fleet_listed(self, instances: list[Instance]) -> None:
        now = time.monotonic()
        self._trace_input(now, trace.list_input(instances) if self.recorder else {})
        membership.on_list(self.core.members, instances, now)
        addresses = {}
        entries = 0
        for instance in instances:
            if instance.role is Role.BACKEND:
                self._workers.update_addresses(instance.id, instance.address)
            else:
                entries += 1
                addresses[instance.id] = instance.peer_address
        self.peers.update_addresses(addresses)
        self.log_link.interval_s = max(1, entries) / MAX_APPENDS_PER_S

    @handler("fleet_list_read", channel="*")
    def _on_fleet_list_read(self, asked_at: float) -> None:
        self._trace_input(time.monotonic(), {"kind": "list-read", "asked_at": asked_at})
        membership.on_list_read(self.core.members, asked_at)

    @handler("fleet_list_failed", channel="*")
    def _on_fleet_list_failed(self) -> None:
        self._trace_input(time.monotonic(), {"kind": "list-failed"})
        membership.on_list_failed(self.core.members)

    @handler("worker_reported", channel="*")
    def _on_worker_reported(self, server: InstanceId, report: Report, sent_at: float) -> None:
        now = time.monotonic()
        traced = trace.report_input(server, report, sent_at) if self.recorder else {}
        self._carry_out(now, traced, decisions.on_report(self.core, server, report, sent_at, now))

    @handler("worker_refused", channel="*")
    def _on_worker_refused(self, server: InstanceId, refused: Refused) -> None:
        now = time.monotonic()
        traced = trace.refusal_input(server, refused) if self.recorder else {}
        self._carry_out(now, traced, decisions.on_refused(self.core, server, refused, now))

    @handler("worker_silent", channel="*")
    def _on_worker_silent(self, server: InstanceId) -> None:
        now = time.monotonic()
        self._trace_input(now, {"kind": "silent", "server": server})
        decisions.on_silence(self.core, server, now)

    @handler("peer_heard", channel="*")
    def _on_peer_heard(self, frame: Frame) -> None:
        match frame.message:
            case Heartbeat() as heartbeat:
                self._on_heartbeat(heartbeat)
            case HandoverMessage() as handover:
                now = time.monotonic()
                traced = {"kind": "handover", **handover._asdict()}
                actions = ownership_transfer.on_handover(
                    self.core, handover.server, handover.epoch, handover.busy, now
                )
                self._carry_out(now, traced, actions)
            case Query() as query:
                self._answer(frame.sender, query)
            case Answer() as answer:
                done = self._queries.pop(answer.number, None)
                if done is not None:
                    done(answer.text)
            case _:
                pass

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = time.monotonic()
        self._trace_input(now, trace.heartbeat_input(heartbeat) if self.recorder else {})
        if not decisions.on_heartbeat(self.core, heartbeat, now):
            return
        if heartbeat.config_version > self.config.version:
            self.ask(heartbeat.sender, WHAT_CONFIG, "", self._on_config_answer)

    def _on_config_answer(self, text: str | None) -> None:
        if text is None:
            return
        version, toml = json.loads(text)
        if self.config.adopt(version, toml):
            self._apply_config()

    def _send_periodic_heartbeat(self) -> None:
        self._timers.after(self.core.policy.membership.heartbeat_s, self._send_periodic_heartbeat)
        members = self.core.policy.membership
        far_interval = max(1, round(members.far_heartbeat_s / members.heartbeat_s))
        self._send_heartbeat(all_zones=self._seq % far_interval == 0)

    def _send_heartbeat(self, all_zones: bool) -> None:
        self._seq += 1
        heartbeat = self._heartbeat(time.monotonic())
        near: list[InstanceId] = []
        far: list[InstanceId] = []
        for instance in membership.other_entries(self.core.members):
            same_zone = instance.availability_zone == self.core.members.zone
            (near if same_zone else far).append(instance.id)
        self.peers.broadcast(near + (far if all_zones else []), heartbeat)

    def _heartbeat(self, now: float) -> Heartbeat:
        members = self.core.members
        return Heartbeat(
            sender=members.me,
            incarnation=members.incarnation,
            zone=members.zone,
            seq=self._seq,
            sent_at=now,
            leaving=members.leaving,
            ready=self.ready,
            config_version=self.config.version,
            ledger_offset=self.core.ledger.offset,
            log_ok=self.core.log_status(now).log_ok,
            servers=self.core.server_status(self.free_slots, self.latency_s),
            echoes=membership.echoes(members, now),
        )

    def _publish_learned(self) -> None:
        """Publish the learned estimates to the peers, so that no successor starts without them."""
        text = json.dumps(self.core.interference_model.snapshot(time.monotonic()))
        peers = [entry.id for entry in membership.other_entries(self.core.members)]
        self.peers.broadcast(peers, Query(0, WHAT_LEARNED, text))

    def _merge_learned(self, text: str) -> str:
        self.core.interference_model.merge_snapshot(parse_model(text), time.monotonic())
        return ""

    def ask(self, to: InstanceId, what: str, text: str, done: Callable[[str | None], None]) -> None:
        """Query the peer `to`; call `done` with JSON text, or with None if no answer arrives."""
        self._query_count += 1
        number = self._query_count
        if not self.peers.send(to, Query(number, what, text)):
            done(None)
            return
        self._queries[number] = done

        def expire() -> None:
            unanswered = self._queries.pop(number, None)
            if unanswered is not None:
                unanswered(None)

        self._timers.after(_QUERY_TIMEOUT_S, expire)

    def _answer(self, peer: InstanceId, query: Query) -> None:
        responder = self.responders.get(query.what)
        if responder is None:
            return
        text = responder(query.text)
        if text:
            self.peers.send(peer, Answer(query.number, text))

    def _query_state(self, now: float) -> None:
        """While the log cannot be read, request the ledger of a peer that is ahead."""
        if self.core.log_status(now).log_ok or now - self._state_asked_at < _STATE_QUERY_INTERVAL_S:
            return
        ahead = [
            peer.heartbeat
            for peer in self.core.members.peers.values()
            if membership.is_alive(self.core.members, peer.heartbeat.sender, self.core.policy, now)
            and (peer.heartbeat.ledger_offset > self.core.ledger.offset or not self._caught_up)
            and peer.heartbeat.ready
        ]
        best = self._state_source.pick(ahead)
        if best is None:
            return
        self._state_asked_at = now
        self.ask(best.sender, WHAT_STATE, "", partial(self._on_state_answer, best.sender))

    def _on_state_answer(self, peer: InstanceId, text: str | None) -> None:
        self._state_source.record_answer(peer, text is not None)
        snapshot = parse_snapshot(json.loads(text)) if text else None
        if snapshot is None:
            return
        self._metrics.incr("state.from-peer")
        self._apply_snapshot(snapshot)
        self._caught_up = True

    def _snapshot(self) -> Snapshot:
        return Snapshot(self.core.ledger, self.config.version, self.config.toml)

    def _write_snapshot_if_due(self) -> None:
        now = time.monotonic()
        period_s = min(_MAX_SNAPSHOT_INTERVAL_S, self.log_link.retention_s / 4)
        if now - self._snapshot_at < period_s or not self.core.log_status(now).log_ok:
            return
        if not self.ready or not self.core.ledger.offset:
            return
        alive = membership.alive_entries(self.core.members, self.core.policy, now)
        if ownership.preferred("snapshot", alive) == self.core.members.me:
            self._snapshot_at = now
            self._metrics.incr("snapshot.written")
            self.log_link.write_snapshot(self._snapshot())

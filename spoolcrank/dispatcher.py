"""Carry out the leader's decisions: read the log, write records and send orders to runners.

Every instance has one dispatcher. It claims leadership when the leader is silent, builds the
scheduler's state from the records, and writes and sends what the decisions require.
"""

import time
import traceback
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from spoolcrank._timers import Timers
from spoolcrank.batching import on_batch_stored, order_starts
from spoolcrank.claiming import Claiming
from spoolcrank.debounce import Debouncer
from spoolcrank.decoding import Unreadable
from spoolcrank.giving_way import gives_way, resignation_due
from spoolcrank.ids import AvailabilityZone
from spoolcrank.keyed_log import (
    LEADER_KEY,
    LEADER_ONLY_KINDS,
    KeyedLog,
    KeyedRecord,
    RecordKind,
    job_of_key,
    kind_of,
)
from spoolcrank.leader_records import next_record
from spoolcrank.leader_writer import AppendTiming, LeaderWriter, PendingAppend
from spoolcrank.leadership import NO_SUCCESSOR, SELF_FENCE_S, Claim, Leadership
from spoolcrank.leadership_monitor import (
    LeadershipMonitor,
    PlacingBlock,
    log_progress,
    update_placing_block,
)
from spoolcrank.list_probe import ListProbe, is_copy_old
from spoolcrank.log_event_groups import LOG_GROUP_INTERVAL_S, LogEventGroups
from spoolcrank.log_follower import LogFollower
from spoolcrank.mechanisms import Mechanism
from spoolcrank.order_sender import OrderSender
from spoolcrank.orders import Order, OrderResult, Poll
from spoolcrank.pending_writes import Batch
from spoolcrank.periodic_work import run_periodic_work
from spoolcrank.placing import place
from spoolcrank.placing_pass import PlacingPass
from spoolcrank.polling import polls_due
from spoolcrank.preassignment import LATE_RECORD_S, Preassignments
from spoolcrank.regrouping import Regrouping
from spoolcrank.runner_directory import RunnerDirectory
from spoolcrank.runner_listing import list_runners
from spoolcrank.runner_port import RunnerPort
from spoolcrank.runner_state import LEASE_MS
from spoolcrank.scheduler import RoutePolicy, Scheduler
from spoolcrank.store_port import Append, LogPort
from spoolcrank.takeover import log_unreadable_record, read_job, restore_state
from spoolcrank.telemetry import Telemetry
from spoolcrank.unreached_runners import begin_term, claim_stored, own_claim, resignation
from spoolcrank.workflow import RouteName, encode

TICK_S = 0.1
"""Interval between checks for work that becomes due with time alone, in seconds. It is a tenth of
the shortest period checked."""


class Dispatcher:
    """Log access, writes and runner orders of one instance's scheduler."""

    def __init__(
        self,
        leadership: Leadership,
        log: LogPort,
        follower: LogFollower,
        runner_follower: LogFollower,
        directory: RunnerDirectory,
        runners: RunnerPort,
        timers: Timers,
        telemetry: Telemetry,
        clock: Callable[[], float] = time.monotonic,
        time_of_day: Callable[[], float] = time.time,
        lease_ms: int = LEASE_MS,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self.leadership = leadership
        self.scheduler: Scheduler | None = None
        self._log = log
        self._follower = follower
        self._runner_follower = runner_follower
        self._directory = directory
        self._sender = OrderSender(runners, clock, self._on_answer, self._guard)
        self._timers = timers
        self._telemetry = telemetry
        self._lease_ms = lease_ms
        self._without = without
        self._clock = clock
        self._time_of_day = time_of_day
        self._writer: LeaderWriter | None = None
        self._log_groups = LogEventGroups()
        self._regrouping = Regrouping()
        self._preassignments = Preassignments()
        self._claiming = Claiming(leadership, log, follower, telemetry, clock)
        self._list_probe = ListProbe(leadership, follower, runner_follower, clock)
        self._leaving = False
        debouncer = Debouncer(timers, clock, self._decide_now)
        self._decide_soon, self._decide_at_once = debouncer.schedule_decision, debouncer.decide
        self._successor = NO_SUCCESSOR
        self._monitor = LeadershipMonitor(clock())
        self._on_resigned: Callable[[], None] | None = None
        self._evacuated_zones: frozenset[AvailabilityZone] = frozenset()
        self._routes: Mapping[RouteName, RoutePolicy] = {}
        timers.every(TICK_S, self._tick)
        timers.every(LOG_GROUP_INTERVAL_S, lambda: self._log_groups.write(telemetry.log, clock()))

    def set_routes(self, routes: Mapping[RouteName, RoutePolicy]) -> None:
        """Apply the queues of the current configuration and read the list of runners again."""
        self._routes = routes
        if self.scheduler is not None:
            self.scheduler.routes = dict(routes)
            self._reread_runners()

    def evacuate_zones(self, zones: frozenset[AvailabilityZone]) -> None:
        """Set the availability zones in which the operator wants no further starts."""
        if zones == self._evacuated_zones:
            return
        self._evacuated_zones = zones
        self._telemetry.log("zones-emptied", important=True, zones=sorted(zones))
        if self.scheduler is not None:
            self.scheduler.evacuate_zones(zones)
            self._decide_soon()

    def leave(self, done: Callable[[], None]) -> None:
        """Resign permanently; call `done` once that is stored, or at once if not leading."""
        self._leaving = True
        self._claiming.allowed = False
        self._on_resigned = done
        if self.scheduler is None:
            self._report_resigned()
        else:
            self._decide_soon()

    def _report_resigned(self) -> None:
        done, self._on_resigned = self._on_resigned, None
        if done is not None:
            done()

    def on_log_records(self, records: list[KeyedRecord]) -> None:
        """Apply records read from the scheduler's log; log and skip unreadable ones."""
        now = self._clock()
        for record in records:
            try:
                self._on_record(record, now)
            except Unreadable as exc:
                log_unreadable_record(self._telemetry, record, str(exc))

    def _on_record(self, record: KeyedRecord, now: float) -> None:
        kind = kind_of(record.key)
        if kind is RecordKind.LEADER:
            self._on_claim(record, now)
        elif kind in LEADER_ONLY_KINDS:
            if self.scheduler is None:
                self.leadership.record_leader_write(now)
        elif kind is RecordKind.OFFER:
            self._on_offer(record, now)
        elif kind is not RecordKind.PEER and self.scheduler is not None and record.value:
            scheduler = self.scheduler
            self._guard(scheduler, lambda: self._on_client_record(scheduler, record, kind, now))

    def _on_client_record(
        self, scheduler: Scheduler, record: KeyedRecord, kind: RecordKind | None, now: float
    ) -> None:
        job = job_of_key(record.key)
        if kind is RecordKind.JOB:
            copy, time_of_day_ms = self._follower.copy, self._time_of_day() * 1000.0
            read_job(scheduler, copy, record, self._telemetry, now, time_of_day_ms)
            if job in scheduler.jobs and not scheduler.routed(scheduler.jobs[job].record.service):
                self._reread_runners()
        elif kind is RecordKind.CANCEL:
            self._telemetry.log("cancel-read", job=job, offset=record.offset)
            scheduler.cancel(job, now)
        self._decide_soon()

    def _on_claim(self, record: KeyedRecord, now: float) -> None:
        claim = self._claiming.read_claim(record, now)
        if claim is None:
            return
        self._telemetry.log(
            "leader",
            important=True,
            term=claim.term,
            leader=claim.instance,
            resigned=claim.resigned,
            offset=record.offset,
        )
        if self.scheduler is not None:
            self._step_down("a newer claim was read")
        if self._claiming.may_take_over():
            self._take_over(claim.term, now)

    def _on_offer(self, record: KeyedRecord, now: float) -> None:
        offer = self._claiming.read_offer(record, now)
        # The first offer read names the successor; a second one would claim at the same time.
        if offer is None or self.scheduler is None or self._successor:
            return
        to, processors = offer.instance, offer.processors
        self._telemetry.log("hands-over", important=True, to=to, processors=processors)
        self._successor = offer.incarnation
        self._decide_soon()

    def _take_over(self, term: int, now: float) -> None:
        self._follower.eager = True
        self._writer = LeaderWriter(self._log, self._timers, self._clock, term, self._step_down)
        self._regrouping = Regrouping()
        self._monitor = LeadershipMonitor(now)
        self._successor = NO_SUCCESSOR
        scheduler = begin_term(self.leadership, now, self._lease_ms, self._without)
        scheduler.routes = dict(self._routes)
        scheduler.evacuate_zones(self._evacuated_zones)
        self.scheduler = scheduler
        # Count the claim from when it was sent: successors count from when it was stored, and this
        # instance may read it back much later.
        self._record_confirmed_write(scheduler, self.leadership.claimed_at)
        self._list_probe.take_over()
        copy, time_of_day_ms = self._follower.copy, self._time_of_day() * 1000.0
        restore = partial(restore_state, scheduler, copy, self._telemetry, now, time_of_day_ms)
        self._guard(scheduler, restore)
        self._reread_runners()
        self._decide_soon()

    def _step_down(self, why: str) -> None:
        if self.scheduler is None:
            return
        self._collect_log_events(self.scheduler)
        self._log_groups.write(self._telemetry.log, self._clock())
        self._telemetry.log("stepped-down", important=True, term=self.scheduler.term, why=why)
        self.leadership.resign(self.scheduler.term, self._successor)
        self.scheduler = None
        self._follower.eager = False
        self._runner_follower.pause()
        if self._writer is not None:
            self._writer.close()
        self._report_resigned()

    def _tick(self) -> None:
        now = self._clock()
        self.leadership.record_unanswered(self._follower.unanswered_s, now)
        scheduler = self.scheduler
        if scheduler is None:
            if self._claiming.may_take_over():
                self._take_over(self.leadership.claim.term, now)
            else:
                self._list_probe.check()
                self._claiming.claim_or_offer(now)
            return
        scheduler.polls.record_tick(now, TICK_S, len(scheduler.runners))
        if self.leadership.may_extend(now):
            due = partial(run_periodic_work, scheduler, self._preassignments, self._regrouping, now)
            self._guard(scheduler, due)
        log_progress(self._monitor, scheduler, now)
        self._decide_at_once()

    def _decide_now(self) -> None:
        scheduler = self.scheduler
        if scheduler is not None:
            self._guard(scheduler, lambda: self._decide(scheduler))

    def _guard(self, scheduler: Scheduler, decide: Callable[[], None]) -> None:
        """Run a decision; an unexpected exception ends the term."""
        if self.scheduler is not scheduler:
            return
        started_at = self._clock()
        try:
            decide()
        except Exception:
            # The state in memory may be wrong; the next leader builds its own from the records.
            self._telemetry.log("internal-error", important=True, trace=traceback.format_exc())
            self._step_down("an internal error")
        self._sender.busy_s += self._clock() - started_at

    def _decide(self, scheduler: Scheduler) -> None:
        now = self._clock()
        listing, writer = self._runner_follower.copy, self._writer
        overdue = writer is not None and writer.busy and now - writer.busy_since > LATE_RECORD_S
        if overdue and listing.loaded and not self._leaving:
            self._preassignments.start(scheduler, now)
        log = self._follower.copy
        block = update_placing_block(self._monitor, scheduler, self._leaving, listing, log, now)
        self.leadership.lacks_copy = is_copy_old(self._monitor, now)
        if block is not PlacingBlock.NONE:
            scheduler.placing = PlacingPass()
        elif not place(scheduler, now, self._time_of_day() * 1000.0):
            if not scheduler.starts.held_back:
                self._decide_soon()
        self._write(scheduler, now)
        self._order(scheduler, now)

    def _write(self, scheduler: Scheduler, now: float) -> None:
        writer = self._writer
        if writer is None or writer.busy or writer.closed:
            return
        leaves = bool(self._leaving or self._successor)
        if leaves or gives_way(scheduler, self._follower, self.leadership, now):
            # Pending starts were not ordered, and runners report ends that are not stored again.
            if leaves or resignation_due(scheduler, self.leadership, now):
                self.leadership.wrote_at = now
                resigned = resignation(self.leadership, scheduler, self._successor, now)
                self._write_claim(writer, resigned)
            return
        batch, claim = next_record(scheduler, self.leadership, now)
        if batch is not None:
            self.leadership.wrote_at = now
            if not batch.records:
                on_batch_stored(scheduler, batch, now)
                return
            append = Append(batch.records)
            then = partial(self._on_batch_stored, scheduler, batch)
            writer.write(PendingAppend(append, lambda timing: self._on_append_stored(timing, then)))
        elif claim:
            self.leadership.wrote_at = now
            self._write_claim(writer, own_claim(self.leadership, scheduler, now))

    def _write_claim(
        self, writer: LeaderWriter, claim: Claim, then: Callable[[], None] | None = None
    ) -> None:
        def on_stored(timing: AppendTiming) -> None:
            if claim.resigned and (self._leaving or self._successor):
                return self._step_down("handed over")
            if self.scheduler is not None and claim_stored(self.scheduler, claim):
                self._decide_soon()
            return self._on_append_stored(timing, then)

        writer.write(PendingAppend(Append([KeyedRecord(LEADER_KEY, encode(claim))]), on_stored))

    def _record_confirmed_write(self, scheduler: Scheduler, sent_at: float) -> None:
        """Record a stored write; leases may be extended until SELF_FENCE_S after `sent_at`."""
        self.leadership.record_confirmed_write(sent_at)
        scheduler.extends_until = self.leadership.extends_until

    def _on_append_stored(self, timing: AppendTiming, then: Callable[[], None] | None) -> None:
        """Continue with `then` once a write was answered on its first attempt."""
        scheduler, writer = self.scheduler, self._writer
        if scheduler is None or writer is None:
            return
        if then is not None and self._clock() - timing.sent_at > SELF_FENCE_S / 2:
            self._step_down("a write was confirmed too late")
        elif timing.repeated:
            # Others may have read the record after the first attempt and count this leader's leases
            # from then. Show by a new claim that it still leads before extending any lease.
            self._write_claim(
                writer, own_claim(self.leadership, scheduler, self._clock()), then=then
            )
        else:
            self._record_confirmed_write(scheduler, timing.sent_at)
            if then is not None:
                then()

    def _on_batch_stored(self, scheduler: Scheduler, batch: Batch) -> None:
        self._guard(scheduler, lambda: on_batch_stored(scheduler, batch, self._clock()))
        self._decide_at_once()

    def _order(self, scheduler: Scheduler, now: float) -> None:
        # The store's answer to the claim that permits grants may be lost.
        scheduler.stated.granting |= self.leadership.grants_read
        may_extend = scheduler.stated.granting and self.leadership.may_extend(now)
        order_starts(scheduler, now)
        scheduler.orders += polls_due(scheduler, now, may_extend)
        orders, scheduler.orders = scheduler.orders, []
        for order in orders:
            self._sender.send(scheduler, order)
        self._collect_log_events(scheduler)

    def _on_answer(self, scheduler: Scheduler, order: Order, result: OrderResult) -> None:
        if self.scheduler is not scheduler:
            return
        if result is OrderResult.OUTRANKED and not scheduler.outranked_by_itself(order.target):
            self._step_down("a runner has seen a higher fence")
        elif isinstance(order, Poll) or result is not OrderResult.DONE or scheduler.starts.blocked:
            self._decide_soon()

    def _collect_log_events(self, scheduler: Scheduler) -> None:
        log_events, scheduler.log_events = scheduler.log_events, []
        self._log_groups.add_all(log_events, self._clock())

    def on_runner_entries(self, copy: KeyedLog, records: Sequence[KeyedRecord]) -> None:
        """Apply the list of runners, of which `records` were read last, if this instance leads."""
        scheduler = self.scheduler
        now = self._clock()
        if scheduler is None:
            return
        listing = self._directory.update(copy, records, scheduler, now)
        if listing is not None:
            back_at = self._runner_follower.reconnected_at
            self._guard(scheduler, partial(list_runners, scheduler, listing, back_at, now))
        if listing is not None or scheduler.ready:
            self._decide_soon()

    def _reread_runners(self) -> None:
        """Apply the list of runners again, because other services may be in use now."""
        self._directory.forget_listing()
        self.on_runner_entries(self._runner_follower.copy, ())

"""Schedule jobs on runners: the state of the leader and its decisions, without any I/O.

The leader sends a start only after the start's record is stored, and lets a runner forget an ended
run only after the end is stored. The next leader therefore finds everything that this process
leaves unfinished either in the records or on the runners.
"""

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from spoolcrank.contention import ContentionModel
from spoolcrank.crash_history import CrashHistory
from spoolcrank.crash_verdict import independent_crashes, needs_isolation
from spoolcrank.hold_watch import HoldWatch
from spoolcrank.ids import AvailabilityZone, JobId, ServiceName
from spoolcrank.job_state import NO_RUNNER, JobState, TaskState
from spoolcrank.late_starts import LateStarts
from spoolcrank.leadership import SELF_FENCE_S
from spoolcrank.log_events import LogEvent
from spoolcrank.mechanisms import Mechanism
from spoolcrank.objective import objective_s
from spoolcrank.openings import Scope
from spoolcrank.orders import Order, Start, Stop, Target
from spoolcrank.pending_writes import PendingWrites
from spoolcrank.placing_pass import FillerRefusal, PlacingPass
from spoolcrank.poll_budget import PollBudget
from spoolcrank.runner_ids import FENCES_PER_TERM, FenceRanks
from spoolcrank.runner_state import (
    ASSUMED_PACE_PERCENT,
    CLOCK_DRIFT,
    LEASE_MS,
    RunnerEntry,
    RunnerState,
    unlisted_entry,
)
from spoolcrank.runs import Run, RunStage
from spoolcrank.short_task_room import ShortTaskRooms
from spoolcrank.start_window import START_OVERHEAD_BYTES, StartWindow
from spoolcrank.stated_runners import StatedRunners
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import (
    FINAL,
    JobPhase,
    JobRecord,
    Phase,
    Progress,
    RouteName,
    RunnerId,
    TaskKey,
)


class RoutePolicy(NamedTuple):
    """Settings of one queue in the active configuration."""

    service: ServiceName
    priority: int
    max_attempts: int


class Scheduler:
    """State and decisions of one leader during its term.

    Attributes:
        polls: budget for polls.
        without: mechanisms that are switched off.
        predecessor_wrote_at: time from which an earlier leader's leases may run, monotonic seconds.
        stated: the runners that leaders have stated as never reached.
        resigned: whether this leader's resignation is being written.
        contention: model of how fillers slow serving tasks.
        times: model of the run times of tasks.
        extends_until: time until which leases may be extended, monotonic seconds.
        reserve: millicores that lasting tasks leave to short tasks on each runner.
        short_demand: average demand of short tasks, millicores.
        short_rooms: whole runners kept for short tasks that are too wide for the reserve.
        evacuated: availability zones in which nothing more starts.
        orders: orders to be sent to runners.
        ready: ids of the jobs that may have tasks to place, used as an ordered set.
        placing: pass over the waiting work in progress.
        last_pass: the last pass that was completed.
        placing_blocked: whether no task may be placed now, as what was read is too old.
        places_nothing: whether that was logged, as it has lasted for a while.
        hold_watch: what was logged of jobs that wait beside free capacity.
        held_fillers_at: time of the last search for held fillers, monotonic seconds.
        ended: ended jobs whose records are still stored, with the time of their end.
        unreadable_jobs: jobs whose records cannot be read, so that they are not in `jobs`.
        unknown_cancelled: ids that were cancelled and have no job, with the time when that was
            read; a job that is stored late under such an id must not run.
        unknown_runs: tasks of which each runner lists a run that this leader does not have.
    """

    def __init__(
        self,
        term: int,
        now: float,
        predecessor_wrote_at: float,
        lease_ms: int = LEASE_MS,
        processors: float = math.inf,
    ) -> None:
        self.term = term
        self.polls = PollBudget(processors)
        self.lease_ms = lease_ms
        self.without: frozenset[Mechanism] = frozenset()
        self.began_at = now
        self.predecessor_wrote_at = predecessor_wrote_at
        self.stated = StatedRunners()
        self.resigned = False
        self.jobs: dict[JobId, JobState] = {}
        self.runners: dict[RunnerId, RunnerState] = {}
        self.ranks = FenceRanks()
        self.routes: dict[RouteName, RoutePolicy] = {}
        self.contention = ContentionModel()
        self.times = StepTimes()
        self.extends_until = math.inf
        self.reserve = 0
        self.short_demand = 0.0
        self.short_rooms = ShortTaskRooms()
        self.forecast_at = now
        self.evacuated: frozenset[AvailabilityZone] = frozenset()
        self.orders: list[Order] = []
        self.log_events: list[LogEvent] = []
        self.ready: dict[JobId, None] = {}
        self.placing = PlacingPass()
        self.last_pass = PlacingPass()
        self.hold_watch = HoldWatch()
        self.placing_blocked = False
        self.places_nothing = False
        self.filler_refusals: dict[Scope, FillerRefusal] = {}
        self.held_fillers_at = -math.inf
        self.pending_writes = PendingWrites()
        self.crash_history = CrashHistory(now)
        self.starts = StartWindow()
        self.late_starts = LateStarts(now)
        self.ended: list[tuple[float, JobId]] = []
        self.unreadable_jobs: set[JobId] = set()
        self.unknown_cancelled: dict[JobId, float] = {}
        self.unknown_runs: dict[RunnerId, frozenset[TaskKey]] = {}
        self.recurring_jobs: dict[JobId, None] = {}
        self.learned_state_stored_at = now
        self.backlog_logged_at = -math.inf

    def log_event(self, name: str, **fields: Any) -> None:
        """Append a log event for one decision."""
        self.log_events.append(LogEvent(name, fields))

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.without

    # Jobs

    def add_job(
        self,
        job_id: JobId,
        record: JobRecord,
        order: int,
        progress: Progress | None,
        cancelled: bool,
        now: float,
        time_of_day_ms: float,
    ) -> None:
        """Add a job from the records, with the progress made under earlier leaders."""
        if job_id in self.jobs:
            return
        job = JobState(job_id, record, order)
        job.objective_s = objective_s(job, self.times)
        job.accepted_at = job.started_at = job.idle_since = now
        if progress is not None:
            job.restore(progress)
            self.crash_history.restore(job)
            job.accepted_at = now - max(0.0, time_of_day_ms - record.accepted_ms) / 1000.0
        self.jobs[job_id] = job
        self.unknown_cancelled.pop(job_id, None)
        for key, task in job.bound():
            self._inherit(key, task, job)
        if job.phase in FINAL:
            self.ended.append((now, job_id))
            return
        if record.workflow.rounds:
            self.recurring_jobs[job_id] = None
        job.open_due(time_of_day_ms)
        self.ready[job_id] = None
        if cancelled:
            self.cancel(job_id, now)

    def _inherit(self, key: TaskKey, task: TaskState, job: JobState) -> None:
        runner = self.runners.get(task.runner)
        if runner is None:
            entry = unlisted_entry(task.runner, job.record.service)
            runner = self.register(entry, self.began_at, listed=False)
        run = self.new_run(job, key, task.run, RunStage.UNCONFIRMED, self.began_at)
        run.resumed = run.inherited = True
        run.ordered_at = self.began_at
        if run.fills:
            run.pace = ASSUMED_PACE_PERCENT
        runner.add(key, run)
        if needs_isolation(job.accountable(key).crashes):
            runner.isolated_for = key

    def new_run(self, job: JobState, key: TaskKey, number: int, stage: RunStage, now: float) -> Run:
        """Return a new run of a task, with the resources that it takes on a runner."""
        step = job.rounds[key.round].steps[key.step]
        spec = step.spec
        evidence = step.accountable(key.number).crashes
        return Run(
            number,
            stage,
            spec.demand,
            spec.millicores,
            now,
            image=spec.image,
            fills=spec.fills,
            target_ms=spec.target_ms,
            lasting=spec.lasting,
            checkpoints=spec.checkpoints,
            load=step.load,
            bound_at=now,
            has_crash_evidence=bool(evidence),
            suspect=bool(independent_crashes(evidence)),
        )

    def cancel(self, job_id: JobId, now: float) -> None:
        """End a job that its submitter cancelled, unless it has ended; remember an unknown id."""
        job = self.jobs.get(job_id)
        if job is None:
            if job_id not in self.unreadable_jobs:
                self.unknown_cancelled.pop(job_id, None)
                self.unknown_cancelled[job_id] = now
        elif job.phase not in FINAL:
            self.end_job(job, JobPhase.CANCELLED, now)

    def fail_job(self, job: JobState, now: float) -> None:
        """End a job as failed and stop its remaining runs."""
        if job.phase not in FINAL:
            self.end_job(job, JobPhase.FAILED, now)

    def end_job(self, job: JobState, phase: JobPhase, now: float) -> None:
        """End a job in the given phase and stop its remaining runs."""
        job.phase = phase
        self.pending_writes.add_changed_job(job.id)
        self.ready.pop(job.id, None)
        self.recurring_jobs.pop(job.id, None)
        job.drop_preassigned()
        job.abandoned.clear()
        self.ended.append((now, job.id))
        self.log_event("job-ended", job=job.id, phase=phase.value)
        for key, task in list(job.bound()):
            self.stop_run(key, task.runner, now)

    def service_of(self, job: JobState) -> ServiceName:
        """Return the service whose runners currently execute a job."""
        policy = self.routes.get(job.record.route)
        return policy.service if policy is not None else job.record.service

    def routed(self, service: ServiceName) -> bool:
        """Return whether any configured queue sends work to a service."""
        return any(policy.service == service for policy in self.routes.values())

    def services(self) -> frozenset[ServiceName] | None:
        """Return the services that receive work, or None (any) before a configuration is read."""
        if not self.routes:
            return None
        named = {policy.service for policy in self.routes.values()}
        return frozenset(named | {job.record.service for job in self.jobs.values()})

    def max_attempts(self, job: JobState) -> int:
        """Return the maximum number of failed runs of one task."""
        policy = self.routes.get(job.record.route)
        return policy.max_attempts if policy is not None else job.record.max_attempts

    # Runners

    def register(self, entry: RunnerEntry, now: float, listed: bool = True) -> RunnerState:
        """Register a new incarnation of a runner and return its state."""
        runner = RunnerState(
            entry,
            rank=self.ranks.register(entry.id),
            first_seen_at=now,
            listed=listed,
            lease_ms=self.lease_ms,
            evacuated=entry.availability_zone in self.evacuated,
        )
        self.runners[entry.id] = runner
        return runner

    def evacuate_zones(self, zones: frozenset[AvailabilityZone]) -> None:
        """Start nothing more in the given availability zones; tasks already there keep running."""
        self.evacuated = zones
        for runner in self.runners.values():
            runner.evacuated = runner.entry.availability_zone in zones

    def leases_run_from(self, runner: RunnerId) -> float:
        """Return the time from which leases of earlier leaders may run on a runner."""
        return self.stated.inherited_since.get(runner, self.predecessor_wrote_at)

    @property
    def max_inherited_run_s(self) -> float:
        """Return how long leases of an earlier leader may run after its last write, in seconds.

        It extends leases for SELF_FENCE_S, each by one lease; the factor allows for clock drift.
        """
        return (SELF_FENCE_S + self.lease_ms / 1000.0) * (1.0 + 1.5 * CLOCK_DRIFT)

    def target(self, runner: RunnerState) -> Target:
        """Return the address and fence for orders to a runner."""
        fence = self.term * FENCES_PER_TERM + runner.rank
        return Target(runner.id, runner.entry.address, fence)

    def outranked_by_itself(self, target: Target) -> bool:
        """Return whether this leader gave a later incarnation of the runner a higher fence."""
        return target.fence < self.term * FENCES_PER_TERM + self.ranks.newest(target.runner)

    # Runs

    def release(self, key: TaskKey, runner: RunnerState, why: str, now: float) -> None:
        """Release a run that certainly is not, and never will be, on its runner."""
        run = runner.remove(key)
        job = self.jobs.get(key.job)
        if run is None or job is None or not job.has(key):
            return
        task = job.task(key)
        if task.phase is Phase.BOUND and task.runner == runner.id and task.run == run.number:
            self.log_event("run-released", task=key, run=run.number, runner=runner.id, why=why)
            job.idle_since = now
            self.requeue_task(job, key, task)

    def requeue_task(self, job: JobState, key: TaskKey, task: TaskState) -> None:
        """Return a task to the tasks that wait for a runner."""
        task.phase = Phase.WAITING
        task.runner = NO_RUNNER
        job.rounds[key.round].steps[key.step].waiting[key.number] = None
        self.pending_writes.add_changed_job(job.id)
        if job.phase not in FINAL:
            self.ready[job.id] = None

    def stop_run(self, key: TaskKey, runner_id: RunnerId, now: float) -> None:
        """Stop a run, or release it at once if its start was not ordered yet.

        A stopped run either appears in its runner's list of ends or never starts.
        """
        runner = self.runners.get(runner_id)
        run = runner.runs.get(key) if runner is not None else None
        if runner is None or run is None:
            return
        if run.stage is RunStage.RECORDED:
            self.release(key, runner, "not ordered yet", now)
            return
        if run.stage is RunStage.STOPPING:
            return
        job = self.jobs.get(key.job)
        if run.stage is RunStage.RUNNING and job is not None:
            job.idle_since = now
        run.stage = RunStage.STOPPING
        run.since = now
        run.tries = 0
        self.order_stop(key, runner, run)

    def order_stop(self, key: TaskKey, runner: RunnerState, run: Run) -> None:
        """Order a runner to stop a run; a runner not taken over yet gets the order afterwards."""
        run.tries += 1
        if not runner.adopted:
            return
        run.in_flight = True
        self.orders.append(Stop(self.target(runner), key, run.number))

    def order_start(self, key: TaskKey, runner: RunnerState, run: Run, now: float) -> None:
        """Order a runner to start a run whose record is stored."""
        job = self.jobs[key.job]
        task, payload = job.task(key), job.record.workflow.payload
        run.tries += 1
        run.in_flight = True
        if run.ordered_at is None:
            run.ordered_at = now
        # While the store is unreachable, another process may have become leader, which relies on
        # this one granting no further leases.
        may_extend = now <= self.extends_until
        until_ms = runner.grant(now) if may_extend else int(self.lease_until_ms(runner, now))
        # A retry goes to a runner that did not answer the first attempt: it takes none of the
        # link's window, so that other runners' starts do not wait for it.
        size = START_OVERHEAD_BYTES + len(payload) + len(task.saved) if run.tries == 1 else 0
        self.starts.sent(key, run.number, size, now, runner.entry.availability_zone)
        to = self.target(runner)
        run.start_fence = to.fence
        self.orders.append(Start(to, key, run.number, payload, task.saved, until_ms))

    def lease_until_ms(self, runner: RunnerState, now: float) -> float:
        """Return the time, on a runner's clock, until which orders may let its lease run.

        One reached after `extends_until` may have leases of earlier leaders, but gets none here.
        """
        late_ms = max(0.0, now - self.extends_until) * 1000.0 * (1.0 - CLOCK_DRIFT)
        return min(runner.granted_ms, runner.clock_lower(now) + runner.lease_ms - late_ms)

    def waiting_jobs(self) -> Iterable[JobState]:
        """Return the jobs that have tasks waiting for a runner."""
        return (self.jobs[job_id] for job_id in self.ready)

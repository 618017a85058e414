"""Tell for what a task that does not run is held now, from the leader's state alone.

For a waiting task that is what keeps it from being bound, for a bound task how far the order to
start or to stop it has got. Nothing here changes the state.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from spoolcrank.crash_verdict import needs_isolation
from spoolcrank.filler_claims import leaves_place
from spoolcrank.idle_capacity import last_resort
from spoolcrank.isolation import MAX_ISOLATION_WAIT_S, MAX_SETTLE_WAIT_S
from spoolcrank.job_state import NO_RUNNER, JobState, StepState, TaskState
from spoolcrank.objective import prospect
from spoolcrank.openings import scope_of, size_of
from spoolcrank.packing import (
    Obstacle,
    PlacementRequest,
    choose,
    filler_obstacle,
    leaves_reserve,
)
from spoolcrank.placing_pass import Candidates, PlacingPass
from spoolcrank.runner_hold import runner_hold
from spoolcrank.runner_pools import may_take_work, usable_runners, usual_candidates
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.shortages import known_shortage
from spoolcrank.unknown_runs import unknown_run_at
from spoolcrank.waiting_needs import Need, could_take
from spoolcrank.workflow import FINAL, Phase, RunnerId, TaskKey


class HoldReason(Enum):
    """Reason why a task does not run.

    Attributes:
        EARLIER_STEP: an earlier step of its round is not done.
        NOT_IN_READY_LIST: its job is not among those that are placed.
        PLACES_NOTHING: the leader places no task, as what it read is too old.
        RETRY_DELAY: it waits after a failure or a crash.
        UNKNOWN_RUN: a runner lists a run of it that the leader does not have, and has to stop it.
        GANG_MEMBERS: other members of its gang have not been released.
        GANG: no runners have capacity for all members of its gang at once.
        ISOLATION: it waits for a runner of its own, as it may crash runners.
        MOVE: it waits for capacity on the runner to which it moves.
        NO_RUNNER: no runner of its service takes work.
        NOT_ASKED: only runners without a recent answer have its room or label; the leader asks some
            of them at a time.
        LABEL: no runner has its label.
        SPREAD: each runner has as many tasks of its step as are allowed.
        CAPACITY: no runner has its processors, memory or accelerators free.
        RESERVE: the free capacity is reserved for short tasks.
        PROCESSORS: too few processors are idle for a filler.
        OVER_TARGET: serving tasks exceed their latency targets.
        HARM: a filler would slow serving tasks too much.
        START_WINDOW: the leader's link carries no more starts now.
        SHORTAGE: it was passed over, as others at most as large had found no runner.
        CLAIMED: the next place of its kind is left to a job of better prospect.
        TRIED: it was tried in the present pass, which has not ended.
        PLACEABLE: a runner could take it; nothing else is known.
        RUN_UNKNOWN: it is bound to a runner that has no such run.
        RECORD_PENDING: the record of its run waits to be written.
        UNORDERED_RUN: the record of its run is being stored, or its start was never ordered.
        START_UNANSWERED: its start is not answered yet.
        START_UNCONFIRMED: its start got no answer.
        STOP_UNFINISHED: its run was ordered to stop and its end is not known.
    """

    EARLIER_STEP = "earlier-step"
    NOT_IN_READY_LIST = "not-in-ready-list"
    PLACES_NOTHING = "places-nothing"
    RETRY_DELAY = "retry-delay"
    UNKNOWN_RUN = "unknown-run"
    GANG_MEMBERS = "gang-members"
    GANG = "gang"
    ISOLATION = "isolation"
    MOVE = "move"
    NO_RUNNER = "no-runner-in-pool"
    NOT_ASKED = "runner-not-asked"
    LABEL = "label"
    SPREAD = "spread"
    CAPACITY = "capacity"
    RESERVE = "reserve"
    PROCESSORS = "processors"
    OVER_TARGET = "over-target"
    HARM = "harm"
    START_WINDOW = "start-window"
    SHORTAGE = "shortage"
    CLAIMED = "claimed"
    TRIED = "tried"
    PLACEABLE = "placeable"
    RUN_UNKNOWN = "run-unknown"
    RECORD_PENDING = "record-pending"
    UNORDERED_RUN = "unordered-run"
    START_UNANSWERED = "start-unanswered"
    START_UNCONFIRMED = "start-unconfirmed"
    STOP_UNFINISHED = "stop-unfinished"


class Hold(NamedTuple):
    """What holds a task, and what is known about it.

    Attributes:
        reason: what holds it.
        left_s: time after which this reason ends at the latest, seconds; None if that is unknown.
        runner: runner for which it waits, or to which it is bound; empty if there is none.
        runners: number of runners by what keeps each of them from the task.
    """

    reason: HoldReason
    left_s: float | None = None
    runner: RunnerId = NO_RUNNER
    runners: dict[str, int] = {}


_OBSTACLES = {
    Obstacle.CAPACITY: HoldReason.CAPACITY,
    Obstacle.PROCESSORS: HoldReason.PROCESSORS,
    Obstacle.OVER_TARGET: HoldReason.OVER_TARGET,
    Obstacle.HARM: HoldReason.HARM,
}

_STAGES = {
    RunStage.ORDERED: HoldReason.START_UNANSWERED,
    RunStage.UNCONFIRMED: HoldReason.START_UNCONFIRMED,
    RunStage.STOPPING: HoldReason.STOP_UNFINISHED,
}


def hold_of(state: Scheduler, key: TaskKey, now: float) -> Hold | None:
    """Return for what a task is held now; None if it runs, has ended or is unknown."""
    job = state.jobs.get(key.job)
    if job is None or job.phase in FINAL or not job.has(key):
        return None
    task = job.task(key)
    if task.phase is Phase.BOUND:
        return _hold_of_bound(state, key, task, now)
    return _hold_of_waiting(state, job, key, task, now) if task.phase is Phase.WAITING else None


# Bound tasks


def _hold_of_bound(state: Scheduler, key: TaskKey, task: TaskState, now: float) -> Hold | None:
    runner = state.runners.get(task.runner)
    run = runner.runs.get(key) if runner is not None else None
    if runner is None or run is None or run.number != task.run:
        return Hold(HoldReason.RUN_UNKNOWN, runner=task.runner)
    if run.stage is RunStage.RUNNING:
        return None
    present = runner_hold(runner, state.starts.zones.silent(now), now)
    runners = {present.value: 1} if present is not None else {}
    return Hold(_reason_of_run(state, key, run), None, runner.id, runners)


def _reason_of_run(state: Scheduler, key: TaskKey, run: Run) -> HoldReason:
    if run.stage in _STAGES:
        return _STAGES[run.stage]
    if any(bound.task == key and bound.number == run.number for bound in state.starts.waiting):
        return HoldReason.START_WINDOW
    pending = any(bound.task == key for bound in state.pending_writes.starts)
    return HoldReason.RECORD_PENDING if pending else HoldReason.UNORDERED_RUN


# Waiting tasks


def _hold_of_waiting(
    state: Scheduler, job: JobState, key: TaskKey, task: TaskState, now: float
) -> Hold:
    round_state = job.rounds[key.round]
    step = round_state.steps[key.step]
    if not all(round_state.steps[earlier].finished for earlier in step.spec.after):
        return Hold(HoldReason.EARLIER_STEP)
    if job.id not in state.ready:
        return Hold(HoldReason.NOT_IN_READY_LIST)
    if state.places_nothing:
        return Hold(HoldReason.PLACES_NOTHING)
    delayed = step.tasks[0] if step.spec.gang else task
    if delayed.not_before > now:
        return Hold(HoldReason.RETRY_DELAY, delayed.not_before - now)
    lists_run = unknown_run_at(state, key, now)
    if lists_run != NO_RUNNER:
        return Hold(HoldReason.UNKNOWN_RUN, runner=lists_run)
    if step.spec.gang and len(step.waiting) < len(step.tasks):
        return Hold(HoldReason.GANG_MEMBERS)
    isolation = _isolation(state, key, task, now)
    if isolation is not None and not step.spec.gang:
        return isolation
    service_pool = usable_runners(state, now).get(state.service_of(job), [])
    silent = state.starts.zones.silent(now)
    pool = [runner for runner in service_pool if runner.entry.availability_zone not in silent]
    pool = pool or service_pool
    more = last_resort(state, PlacingPass(), job, step.spec, pool, now)
    candidates = more or usual_candidates(state, state.service_of(job), pool)
    return _hold_by_runners(state, job, key, step, candidates, now)


def _isolation(state: Scheduler, key: TaskKey, task: TaskState, now: float) -> Hold | None:
    if not needs_isolation(task.crashes):
        return None
    for runner in state.runners.values():
        if runner.isolated_for == key:
            left_s = max(0.0, runner.isolated_since + MAX_SETTLE_WAIT_S - now)
            return Hold(HoldReason.ISOLATION, left_s, runner.id)
    since = task.isolation_wanted_since
    left_s = MAX_ISOLATION_WAIT_S - (now - since if since is not None else 0.0)
    return Hold(HoldReason.ISOLATION, left_s) if left_s > 0.0 else None


def _hold_by_runners(
    state: Scheduler,
    job: JobState,
    key: TaskKey,
    step: StepState,
    candidates: Candidates,
    now: float,
) -> Hold:
    task, pool = step.tasks[key.number], candidates.runners
    in_pool = {runner.id for runner in pool}
    obstacles = Counter(
        hold.value
        for runner in state.runners.values()
        if runner.entry.service == state.service_of(job) and runner.id not in in_pool
        if (hold := runner_hold(runner, state.starts.zones.silent(now), now)) is not None
    )
    if not pool:
        return Hold(HoldReason.NO_RUNNER, runners=dict(obstacles))
    if task.move_destination in in_pool and now < task.move_until:
        return Hold(HoldReason.MOVE, task.move_until - now, task.move_destination)
    request = PlacementRequest(
        step.spec,
        step.per_runner() if step.spec.max_per_instance else {},
        task.refused_by,
        reserve=0 if task.run else candidates.reserve,
        task=key,
        room=candidates.room.open_to_lasting() if task.run else candidates.room,
    )
    if choose(request, pool, state.contention, now) is not None:
        reason = _hold_by_order(state, job, key, step, candidates, now)
        return Hold(reason, runners=dict(obstacles))
    by_reason = Counter(_obstacle(state, request, runner, now) for runner in pool)
    obstacles.update({reason.value: count for reason, count in by_reason.items()})
    reason = by_reason.most_common(1)[0][0]
    if request.room.kept and HoldReason.RESERVE in by_reason:
        # Only the reserve keeps the task from the kept runners; the others are full.
        reason = HoldReason.RESERVE
    if reason in (HoldReason.CAPACITY, HoldReason.LABEL) and _fits_unasked(state, job, step, now):
        reason = HoldReason.NOT_ASKED
    return Hold(reason, runners=dict(obstacles))


def _fits_unasked(state: Scheduler, job: JobState, step: StepState, now: float) -> bool:
    """Return whether a runner that has not answered lately could take a task of a step."""
    need = Need(state.service_of(job), step.spec.demand, step.spec.label)
    return any(
        may_take_work(runner, now) and not runner.answers(now) and could_take(runner, need)
        for runner in state.runners.values()
    )


def _obstacle(
    state: Scheduler, request: PlacementRequest, runner: RunnerState, now: float
) -> HoldReason:
    """Return why a runner that takes work cannot take a task."""
    step = request.step
    if step.label and step.label not in runner.entry.labels:
        return HoldReason.LABEL
    if not runner.fits(step.demand, request.task):
        return HoldReason.CAPACITY
    if step.lasting and not leaves_reserve(request, runner):
        return HoldReason.RESERVE
    if step.max_per_instance and (
        request.tasks_per_runner.get(runner.id, 0) >= step.max_per_instance
    ):
        return HoldReason.SPREAD
    if step.lasting and runner.id in request.room.kept:
        return HoldReason.RESERVE
    filler = filler_obstacle(step, runner, state.contention, now) if step.fills else None
    return _OBSTACLES[filler] if filler is not None else HoldReason.CAPACITY


def _hold_by_order(
    state: Scheduler,
    job: JobState,
    key: TaskKey,
    step: StepState,
    candidates: Candidates,
    now: float,
) -> HoldReason:
    """Return why a task that a runner could take was not bound to it."""
    if state.starts.held_back:
        return HoldReason.START_WINDOW
    if _passed_over(state, job, key, step, candidates, now):
        return HoldReason.SHORTAGE
    if step.spec.gang:
        return HoldReason.GANG
    if state.placing.was_tried(key.step_key):
        return HoldReason.TRIED
    kind = (state.service_of(job), step.spec.image)
    claims = PlacingPass(claimed=state.last_pass.claimed)
    own = prospect(job, state.times, now)
    behind = step.spec.fills and leaves_place(state, claims, kind, job, own, now)
    return HoldReason.CLAIMED if behind else HoldReason.PLACEABLE


def _passed_over(
    state: Scheduler,
    job: JobState,
    key: TaskKey,
    step: StepState,
    candidates: Candidates,
    now: float,
) -> bool:
    """Return whether a miss of the last pass ruled out a step that was not tried there."""
    if step.spec.lasting or key.step_key in state.last_pass.tried:
        return False
    scope = scope_of(state.service_of(job), step.spec, candidates.quarantined)
    shortage = known_shortage(state, state.last_pass, scope, now)
    return shortage is not None and shortage.rules_out(size_of(step.spec))

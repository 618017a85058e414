"""Bind waiting tasks to runners in order of work."""

from collections.abc import Mapping

from spoolcrank.binding import bind, start_bytes
from spoolcrank.crash_verdict import independent_crashes, needs_isolation
from spoolcrank.demand_forecast import keep_from_first_pass
from spoolcrank.filler_claims import claim, leaves_place
from spoolcrank.filler_pace import slow_fillers_for
from spoolcrank.gangs import place_gang
from spoolcrank.held_fillers import start_held_fillers
from spoolcrank.idle_capacity import last_resort
from spoolcrank.ids import ServiceName
from spoolcrank.isolation import place_isolated, waits_for_isolation, without_suspects
from spoolcrank.job_state import NO_RUNNER, JobState, StepState, TaskState
from spoolcrank.mechanisms import Mechanism
from spoolcrank.objective import Prospect, work_order
from spoolcrank.openings import scope_of
from spoolcrank.packing import PlacementRequest, choose, slows_nothing
from spoolcrank.placing_pass import (
    MAX_PAIRS_PER_PART,
    Candidates,
    PlacingPass,
    PlacingResult,
)
from spoolcrank.ranking import Ranking
from spoolcrank.runner_pools import (
    quarantined_runners,
    responsive_runners,
    usable_runners,
    usual_candidates,
)
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.shortages import is_hopeless, record_miss
from spoolcrank.start_window import LATE_TURN_INTERVAL_S, TURN_INTERVAL_S, TURN_WAIT_S
from spoolcrank.unknown_runs import may_start
from spoolcrank.workflow import RunnerId, StepKey, TaskKey

LASTING_BATCH_S = 0.25
"""Time for which a new lasting job waits so that jobs arriving together are placed by image,
seconds. Lasting jobs run for minutes, so this wait costs them little."""


def place(state: Scheduler, now: float, time_of_day_ms: float) -> bool:
    """Bind waiting tasks to runners with free capacity; return whether the pass is complete."""
    for job_id in list(state.recurring_jobs):
        _open_due(state, state.jobs[job_id], time_of_day_ms, now)
    if not state.ready:
        state.starts.held_back = False
        return True
    keep_from_first_pass(state, now)
    pools = responsive_runners(state, now)
    current = state.placing
    current.begin_part(state.starts.bindable_bytes(_pending_start_bytes(state), now))
    ready = [(_rank(state, state.jobs[job_id], now), state.jobs[job_id]) for job_id in state.ready]
    ready.sort(key=lambda ranked: ranked[0])
    if state.starts.held_back and not current.spent:
        in_time = any(rank[3][0] <= Prospect.FRESH for rank, job in ready if not job.lasting)
        interval_s = TURN_INTERVAL_S if in_time else LATE_TURN_INTERVAL_S
        if now - state.starts.last_turn_at >= interval_s:
            _give_turn(state, pools, current, now)
    for rank, job in ready:
        _place_job(state, job, Prospect(max(0, rank[3][0])), pools, current, now)
        if current.spent:
            break
    start_held_fillers(state, pools, current, now)
    if current.spent:
        return _end_part(state, current)
    state.last_pass, state.placing = current, PlacingPass()
    state.starts.held_back = False
    return True


def _pending_start_bytes(state: Scheduler) -> int:
    """Return the size of the starts that are bound but not sent yet, bytes."""
    bound = (*state.starts.waiting, *state.pending_writes.starts)
    return sum(start_bytes(state, bound_run.task) for bound_run in bound)


def _give_turn(
    state: Scheduler,
    pools: Mapping[ServiceName, list[RunnerState]],
    current: PlacingPass,
    now: float,
) -> None:
    """Start one task of the job that has waited longest for a start while the link is saturated.

    By the order of work alone, the last job gets nothing until all others are started, although
    runners are free. A job of which no task can start passes the turn on, and waits for its next
    turn as long as if it had had a start.
    """
    waiting = [state.jobs[job_id] for job_id in state.ready]
    overdue = [job for job in waiting if not job.lasting and now - job.started_at >= TURN_WAIT_S]
    if not overdue:
        return
    state.starts.last_turn_at = now
    # A budget of one byte ends this pass with its first start.
    turn = PlacingPass(bytes_left=1.0)
    overdue.sort(key=lambda job: max(job.started_at, job.passed_over_at))
    for job in overdue:
        _place_job(state, job, Prospect.HOPELESS, pools, turn, now)
        if turn.link_full:
            break
        job.passed_over_at = now
        if turn.spent:
            break
    current.pairs_left -= MAX_PAIRS_PER_PART - turn.pairs_left
    current.bytes_left -= 1.0 - turn.bytes_left


def _end_part(state: Scheduler, current: PlacingPass) -> bool:
    state.starts.held_back = current.link_full
    if current.link_full:
        # The pair limit was not reached: the next part starts with the jobs then first in order.
        state.placing = PlacingPass()
    return False


def _open_due(state: Scheduler, job: JobState, time_of_day_ms: float, now: float) -> None:
    before = len(job.rounds)
    job.open_due(time_of_day_ms)
    if len(job.rounds) != before:
        state.ready[job.id] = None
        job.idle_since = job.idle_since if before else now


_NOT_PLACED = (PlacingResult.NO_PLACE, PlacingResult.PASSED_OVER, PlacingResult.HELD_BACK)


def _place_job(
    state: Scheduler,
    job: JobState,
    prospect: Prospect,
    pools: Mapping[ServiceName, list[RunnerState]],
    current: PlacingPass,
    now: float,
) -> None:
    batched = state.uses(Mechanism.LASTING_BATCHES) and job.lasting and not job.ever_bound
    if batched and now - job.accepted_at < LASTING_BATCH_S:
        return
    service = state.service_of(job)
    runners = pools.get(service, [])
    usual = usual_candidates(state, service, runners)
    still_waits = False
    for round_state in list(job.rounds.values()):
        for step_number, step in list(round_state.ready()):
            kind = (service, step.spec.image)
            step_key = StepKey(job.id, round_state.number, step_number)
            resumes = step.spec.lasting and job.ever_bound
            if current.should_skip(step_key, resumes, now):
                still_waits = True
                continue
            if step.spec.fills and leaves_place(state, current, kind, job, prospect, now):
                still_waits = True
                continue
            result = _try_step(state, job, step_key, step, usual, current, now)
            if result is PlacingResult.ALL:
                continue
            still_waits = True
            if result is PlacingResult.NO_PLACE:
                current.tried[step_key] = now
            if step.spec.fills and result in (PlacingResult.NO_PLACE, PlacingResult.PASSED_OVER):
                claim(state, current, kind, prospect, step, runners, now)
            if current.spent:
                return
    if not still_waits:
        state.ready.pop(job.id, None)


def _try_step(
    state: Scheduler,
    job: JobState,
    step_key: StepKey,
    step: StepState,
    usual: Candidates,
    current: PlacingPass,
    now: float,
) -> PlacingResult:
    """Place the waiting tasks of a step, which uses few pairs if it was tried before."""
    withheld, waiting_count = current.withhold_pairs(step_key), len(step.waiting)
    pairs_before = current.pairs_left
    result = _try_candidates(state, job, step_key, step, usual, current, now)
    if result in _NOT_PLACED:
        more = last_resort(state, current, job, step.spec, usual.runners, now)
        if more is not None:
            with_more = _try_candidates(state, job, step_key, step, more, current, now)
            result = result if with_more is PlacingResult.PASSED_OVER else with_more
    used = pairs_before - current.pairs_left
    current.return_pairs(withheld, used)
    fruitless = used > 0 and len(step.waiting) == waiting_count
    if result is PlacingResult.HELD_BACK or (result is PlacingResult.PART_SPENT and fruitless):
        current.held_back.add(step_key)
    return result


def _try_candidates(
    state: Scheduler,
    job: JobState,
    step_key: StepKey,
    step: StepState,
    candidates: Candidates,
    current: PlacingPass,
    now: float,
) -> PlacingResult:
    """Place the waiting tasks of a step, unless a miss before shows that none can start."""
    scope = scope_of(state.service_of(job), step.spec, candidates.quarantined)
    if is_hopeless(state, current, scope, step, candidates.runners, now):
        return PlacingResult.PASSED_OVER
    result = _place_step(state, job, step_key, step, candidates, current, now)
    if result is PlacingResult.NO_PLACE:
        record_miss(state, current, scope, step, now)
    return result


def _place_step(
    state: Scheduler,
    job: JobState,
    step_key: StepKey,
    step: StepState,
    candidates: Candidates,
    current: PlacingPass,
    now: float,
) -> PlacingResult:
    round_number, step_number, runners = step_key.round, step_key.step, candidates.runners
    if step.spec.gang:
        current.pairs_left -= len(runners) * len(step.tasks)
        ran_before = any(task.run for task in step.tasks)
        room = candidates.room.open_to_lasting() if ran_before else candidates.room
        gang_placed = place_gang(
            state, job, round_number, step_number, step, runners, now, room=room
        )
        if gang_placed:
            task_bytes = start_bytes(state, TaskKey(job.id, round_number, step_number, 0))
            current.bytes_left -= task_bytes * len(step.tasks)
        return PlacingResult.ALL if gang_placed else PlacingResult.NO_PLACE
    tasks_per_runner = step.per_runner() if step.spec.max_per_instance else {}
    held_back = False
    ranking: Ranking | None = None
    # Tasks that ran before come first: the reserve applies to the others only.
    for index in sorted(step.waiting, key=lambda waiting_index: step.tasks[waiting_index].run == 0):
        task = step.tasks[index]
        key = TaskKey(job.id, round_number, step_number, index)
        delayed = not may_start(state, key, task, now)
        if delayed and not needs_isolation(task.crashes):
            held_back = True
            continue
        if current.spent:
            return PlacingResult.PART_SPENT
        request = PlacementRequest(
            step.spec,
            tasks_per_runner,
            task.refused_by,
            reserve=0 if task.run else candidates.reserve,
            task=key,
            service=state.service_of(job),
            room=candidates.room.open_to_lasting() if task.run else candidates.room,
        )
        if needs_isolation(task.crashes):
            current.pairs_left -= len(runners)
            runner = place_isolated(state, key, task, request, runners, now)
            if runner is None and not delayed and not waits_for_isolation(task, now):
                runner = _choose_for_rerun(state, task, request, runners, now)
            if runner is None or delayed:
                # Other tasks of the step need no exclusive runner and may still find a place.
                held_back = True
                continue
        elif task.run:
            # Unlike the step's other tasks, it may have a runner to avoid or a destination.
            current.pairs_left -= len(runners)
            runner = _choose_for_rerun(state, task, request, runners, now)
        else:
            current.pairs_left -= len(runners) if ranking is None else 1
            ranking = ranking or Ranking(request, runners, state.contention, now)
            runner = ranking.best()
        if runner is None:
            if task.move_destination != NO_RUNNER:
                held_back = True
                continue
            return PlacingResult.NO_PLACE
        tasks_per_runner[runner.id] = tasks_per_runner.get(runner.id, 0) + 1
        bind(state, job, key, task.run + 1, runner, now)
        current.bytes_left -= start_bytes(state, key)
        if step.spec.target_ms and state.uses(Mechanism.YIELDING):
            slow_fillers_for(state, runner, step.spec.image, now)
        if ranking is not None:
            ranking.rescore_best()
    return PlacingResult.HELD_BACK if held_back else PlacingResult.ALL


def _choose_for_rerun(
    state: Scheduler,
    task: TaskState,
    request: PlacementRequest,
    runners: list[RunnerState],
    now: float,
) -> RunnerState | None:
    """Return the runner for a task that ran before; a suspect prefers one without suspects."""
    if independent_crashes(task.crashes):
        chosen = _choose_destination(state, task, request, without_suspects(runners), now)
        if chosen is not None:
            return chosen
    return _choose_destination(state, task, request, runners, now)


def _choose_destination(
    state: Scheduler,
    task: TaskState,
    request: PlacementRequest,
    runners: list[RunnerState],
    now: float,
) -> RunnerState | None:
    """Return a moved task's destination; without one, or after a time-out, the best runner."""
    destinations = [runner for runner in runners if runner.id == task.move_destination]
    chosen = choose(request, destinations, state.contention, now)
    if chosen is None and destinations and now < task.move_until:
        return None
    chosen = chosen or choose(request, runners, state.contention, now)
    if chosen is None and request.step.lasting and task.run:
        # For a lasting task that has to resume, a quarantined runner is better than none: the
        # task itself may have caused the failures there.
        quarantined = quarantined_runners(state, request.service, now)
        chosen = choose(request, quarantined, state.contention, now)
    return chosen


def has_harmless_place(state: Scheduler, key: TaskKey, away_from: RunnerId, now: float) -> bool:
    """Return whether a filler could run on another runner without slowing serving tasks."""
    job = state.jobs[key.job]
    step = job.record.workflow.steps[key.step]
    pool = usable_runners(state, now).get(state.service_of(job), [])
    # Any runner will do: the search ends at the first, without ranking all of them.
    return any(
        slows_nothing(step, runner, state.contention, now)
        for runner in pool
        if runner.id != away_from
    )


def _rank(state: Scheduler, job: JobState, now: float) -> tuple[int, int, str, tuple[int, float]]:
    policy = state.routes.get(job.record.route)
    priority = policy.priority if policy is not None else job.record.priority
    if job.lasting:
        # A job that lost its runner goes first; one that never ran gets what short jobs leave.
        if job.ever_bound:
            return (priority, 0, "", (-1, job.order))
        return (priority, 1, job.record.workflow.steps[0].image, (0, job.order))
    return (priority, 0, "", work_order(job, state.times, now))

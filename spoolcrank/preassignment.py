"""Preassign waiting tasks to runners in the records, so that tasks start during a store outage.

A run starts only after its record is stored. Without preassignment, nothing starts while the
store accepts no records, and most running fillers end in that time, so that their processors stand
idle. A preassigned task is recorded as a bound run that has not been ordered yet, and may start on
its runner without another record.
The next leader asks the runner about it as about any bound run, so that a start without a later
record is never repeated on another runner.
"""

from collections import Counter
from collections.abc import Iterator

from spoolcrank.binding import bind, preassign
from spoolcrank.crash_verdict import independent_crashes
from spoolcrank.job_state import NO_RUNNER, JobState, StepState
from spoolcrank.objective import work_order
from spoolcrank.packing import PlacementRequest, choose, fits_when_empty, max_effect
from spoolcrank.runner_pools import usable_runners
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.unknown_runs import may_start
from spoolcrank.workflow import FINAL, RunnerId, Step, TaskKey

PREASSIGN_INTERVAL_S = 0.5
"""Time between two updates of the preassignments, seconds; each rewrites the records of some jobs.
It is about a tenth of the outages to bridge."""

MAX_PREASSIGNED = 4
"""Maximum preassigned tasks per runner: about the number that end there in an outage of 5 s."""

MAX_CANDIDATES = 24
"""Maximum number of runners considered for one task, in rotation. Considering all runners of a
large fleet would take too much processor time."""

MAX_RUNNERS = 64
"""Number of runners above which nothing is preassigned, as each update goes over all jobs and
waiting tasks."""

MIN_LEASE_LEFT_MS = 2500.0
"""Minimum remaining lease for the start of a preassigned task, ms. Such a start extends no lease,
as the store may have another leader by then. With less than about one task's duration left, the
task would usually be killed while running. With leases of 7.5 s the limit also stops starts about
6 s after the last read of the list of runners, which shows whether a runner leaves."""

LATE_RECORD_S = 0.12
"""Time after which a record that is not stored is late, seconds: thirty times the usual response
time of the store. Preassigned tasks then start first."""


class Preassignments:
    """Periodic preassignment; keeps the time of the last update and the next runner in rotation."""

    def __init__(self) -> None:
        self._updated_at = -PREASSIGN_INTERVAL_S
        self._next_candidate = 0
        self._active = False

    def start(self, state: Scheduler, now: float) -> None:
        """Start the tasks whose preassignment is stored, if preassignment is active."""
        if self._active:
            start_preassigned(state, now)

    def renew(self, state: Scheduler, now: float) -> None:
        """Preassign the next tasks, up to a limit for each runner; do nothing between updates."""
        if now - self._updated_at < PREASSIGN_INTERVAL_S:
            return
        self._updated_at = now
        pools = usable_runners(state, now)
        self._active = 0 < sum(len(pool) for pool in pools.values()) <= MAX_RUNNERS
        if not self._active:
            return
        remaining = MAX_PREASSIGNED * sum(len(pool) for pool in pools.values())
        preassigned_counts: Counter[RunnerId] = Counter()
        for job in _in_order(state, now):
            pool = pools.get(state.service_of(job), [])
            for key, step in _next_tasks(job, pool):
                if remaining <= 0:
                    return
                remaining -= 1
                runner = self._runner_for(state, key, step, pool, preassigned_counts, now)
                preassign(state, job, key, runner)
                if runner != NO_RUNNER:
                    preassigned_counts[runner] += 1

    def _runner_for(
        self,
        state: Scheduler,
        key: TaskKey,
        step: StepState,
        pool: list[RunnerState],
        preassigned_counts: Counter[RunnerId],
        now: float,
    ) -> RunnerId:
        """Return the present preassigned runner while it is usable, else the best candidate."""
        task = step.tasks[key.number]
        present = state.runners.get(task.preassigned)
        if (
            present is not None
            and present.usable(now)
            and preassigned_counts[present.id] < MAX_PREASSIGNED
        ):
            return present.id
        candidates = [
            pool[(self._next_candidate + offset) % len(pool)]
            for offset in range(min(MAX_CANDIDATES, len(pool)))
        ]
        self._next_candidate += len(candidates)
        suitable = [
            runner
            for runner in candidates
            if preassigned_counts[runner.id] < MAX_PREASSIGNED
            and runner.id != task.refused_by
            and fits_when_empty(step.spec, runner)
        ]
        if not suitable:
            return NO_RUNNER
        return max(
            suitable,
            key=lambda candidate: _score(
                state, step.spec, candidate, preassigned_counts[candidate.id]
            ),
        ).id


def _score(
    state: Scheduler, step: Step, runner: RunnerState, preassigned_count: int
) -> tuple[float, ...]:
    """Return the sort key of a runner for a task, highest for the best.

    The runner where the task slows serving tasks least comes first, then the one with the fewest
    preassigned tasks, then the one with the most idle processors.
    """
    effect = 0.0
    if step.fills:
        share = runner.share(step.millicores)
        effect = max_effect(step.image, share, runner, state.contention)
    return (-round(effect, 1), -preassigned_count, float(runner.idle_millicores))


def _in_order(state: Scheduler, now: float) -> list[JobState]:
    """Return the jobs with tasks to preassign, in work order."""
    unfinished = [job for job in state.jobs.values() if job.phase not in FINAL]
    jobs = [job for job in unfinished if job.rounds and not job.lasting]
    return sorted(jobs, key=lambda job: work_order(job, state.times, now))


def _next_tasks(job: JobState, pool: list[RunnerState]) -> Iterator[tuple[TaskKey, StepState]]:
    """Yield the waiting tasks that are ready, or become ready when the running tasks are done.

    Tasks that fit no runner are left out, unless a preassignment of theirs is to be removed.
    """
    for round_state in job.rounds.values():
        for number, step in enumerate(round_state.steps):
            spec = step.spec
            if not step.waiting or spec.gang or spec.max_per_instance or spec.lasting:
                continue
            if any(round_state.steps[earlier].waiting for earlier in spec.after):
                continue
            has_place = any(fits_when_empty(spec, runner) for runner in pool)
            for index in step.waiting:
                task = step.tasks[index]
                if not has_place and task.preassigned == NO_RUNNER:
                    continue
                if not independent_crashes(task.crashes):
                    # The runner of a suspect task is chosen only when it starts.
                    yield TaskKey(job.id, round_state.number, number, index), step


def start_preassigned(state: Scheduler, now: float) -> None:
    """Start tasks with a stored preassignment where capacity is free, without a new record."""
    if not state.stated.granting:
        return
    ready = [state.jobs[job_id] for job_id in state.ready]
    ready.sort(key=lambda job: work_order(job, state.times, now))
    for job in ready:
        for round_state in list(job.rounds.values()):
            for number, step in list(round_state.ready()):
                for index in list(step.waiting):
                    key = TaskKey(job.id, round_state.number, number, index)
                    runner = _startable_runner(state, job, key, now)
                    if runner is not None:
                        bind(state, job, key, step.tasks[index].run + 1, runner, now)


def _startable_runner(
    state: Scheduler, job: JobState, key: TaskKey, now: float
) -> RunnerState | None:
    """Return the preassigned runner of a task, or None if the task may not start there now."""
    task = job.task(key)
    runner = state.runners.get(task.preassigned) if task.preassigned_stored else None
    if runner is None or not runner.usable(now) or not may_start(state, key, task, now):
        return None
    if runner.entry.service != state.service_of(job):
        return None
    if state.lease_until_ms(runner, now) - runner.clock_lower(now) < MIN_LEASE_LEFT_MS:
        return None
    step = job.record.workflow.steps[key.step]
    request = PlacementRequest(step, {}, task.refused_by, task=key)
    return choose(request, [runner], state.contention, now)

"""Promise waiting tasks a runner in the records, so that starts go on while the store is away.

A start goes out only after its record is kept. Without promises nothing starts while the store
takes no records, 4 to 6 s in the users' days, and most of what works on fillers ends meanwhile. A
promise stands in the records as a bound run that was not ordered yet. Whoever leads next asks its
runner for it as for any other, so that a start made on a promise alone is never made twice.
"""

from collections import Counter
from collections.abc import Iterator

from spoolcrank.job_state import NO_RUNNER, JobState, StepState, TaskState
from spoolcrank.objective import work_order
from spoolcrank.packing import PlacementRequest, choose, could_ever_hold, worst_effect
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, RunnerId, TaskKey

PROMISE_EVERY_S = 0.5
"""Between two rounds of promises, s: each rewrites the records of some jobs. Chosen; a tenth of the
outages that it is for."""

MOST_PROMISES = 4
"""Tasks promised to one runner: about what ends there in an outage of 5 s."""

RUNNERS_TRIED = 24
"""Runners weighed for one promise, in turn; all of a large fleet would cost processor time."""

LEAST_LEASE_MS = 2500.0
"""A start by promise extends no lease, as the store may have another leader by now: with less left
than about one task's time, ms, it would mostly be killed at work."""

RECORDS_LATE_S = 0.12
"""A record that is on its way for so long, s, is late: thirty times the store's usual answer.
What is promised then starts first."""


class Promises:
    """When the leader promised last, and where it goes on looking for runners."""

    def __init__(self) -> None:
        self._at = -PROMISE_EVERY_S
        self._next = 0

    def renew(self, state: Scheduler, now: float) -> None:
        """Promise a runner to the tasks that come next, up to a bound for each runner."""
        if now - self._at < PROMISE_EVERY_S:
            return
        self._at = now
        pools = state.pools(now)
        left = MOST_PROMISES * sum(len(pool) for pool in pools.values())
        held: Counter[RunnerId] = Counter()
        for job in _in_order(state, now):
            pool = pools.get(state.service_of(job), [])
            for key, step, task in _next_tasks(job):
                if left <= 0:
                    return
                left -= 1
                self._promise(state, job, key, step, task, pool, held, now)

    def _promise(
        self,
        state: Scheduler,
        job: JobState,
        key: TaskKey,
        step: StepState,
        task: TaskState,
        pool: list[RunnerState],
        held: Counter[RunnerId],
        now: float,
    ) -> None:
        promised = state.runners.get(task.ahead)
        if promised is not None and promised.usable(now) and held[promised.id] < MOST_PROMISES:
            held[promised.id] += 1
            return
        best: RunnerState | None = None
        best_score: tuple[float, ...] = ()
        for number in range(min(RUNNERS_TRIED, len(pool))):
            runner = pool[(self._next + number) % len(pool)]
            full = held[runner.id] >= MOST_PROMISES
            if full or runner.id == task.refused_by or not could_ever_hold(step.spec, runner):
                continue
            effect = 0.0
            if step.spec.fills:
                share = runner.share(step.spec.millicores)
                effect = worst_effect(step.spec.image, share, runner, state.contention)
            score = (-round(effect, 1), -held[runner.id], float(runner.idle_millicores))
            if best is None or score > best_score:
                best, best_score = runner, score
        self._next += RUNNERS_TRIED
        state.promise(job, key, NO_RUNNER if best is None else best.id)
        if best is not None:
            held[best.id] += 1


def _in_order(state: Scheduler, now: float) -> list[JobState]:
    """Return the jobs that promises are made to, in the order of work."""
    alive = [job for job in state.jobs.values() if job.phase not in FINAL]
    jobs = [job for job in alive if job.rounds and not job.lasting]
    return sorted(jobs, key=lambda job: work_order(job, state.times, now))


def _next_tasks(job: JobState) -> Iterator[tuple[TaskKey, StepState, TaskState]]:
    """Yield the waiting tasks whose turn has come, or comes once what works now is done."""
    for held in job.rounds.values():
        for number, step in enumerate(held.steps):
            spec = step.spec
            if not step.waiting or spec.gang or spec.max_per_instance or spec.lasting:
                continue
            if any(held.steps[earlier].waiting for earlier in spec.after):
                continue
            for index in step.waiting:
                key = TaskKey(job.id, held.number, number, index)
                yield key, step, step.tasks[index]


def start_promised(state: Scheduler, now: float) -> None:
    """Start what is promised and kept where there is room for it, without a new record."""
    ready = [state.jobs[job_id] for job_id in state.ready]
    ready.sort(key=lambda job: work_order(job, state.times, now))
    for job in ready:
        for held in list(job.rounds.values()):
            for number, step in list(held.ready()):
                for index in list(step.waiting):
                    key = TaskKey(job.id, held.number, number, index)
                    runner = _promised_runner(state, job, key, now)
                    if runner is not None:
                        state.bind(job, key, step.tasks[index].run + 1, runner, now)


def _promised_runner(
    state: Scheduler, job: JobState, key: TaskKey, now: float
) -> RunnerState | None:
    """Return the runner that a task was promised to, if it may start there now."""
    task = job.task(key)
    runner = state.runners.get(task.ahead) if task.ahead_kept else None
    if runner is None or not runner.usable(now) or task.not_before > now:
        return None
    if runner.entry.service != state.service_of(job):
        return None
    if runner.granted_ms - runner.clock_lower(now) < LEAST_LEASE_MS:
        return None
    step = job.record.workflow.steps[key.step]
    request = PlacementRequest(step, {}, task.refused_by, task=key)
    return choose(request, [runner], state.contention, now)

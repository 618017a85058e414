"""Preassign waiting tasks to runners in the records, so that starts go on without the store.

A start goes out only after its record is kept. Without more nothing starts while the store takes
no records, 4 to 6 s in the users' days, and most of what works on fillers ends meanwhile: 200 cores
at work fall to 40. A preassigned task stands in the records as a bound run that was not ordered
yet, and may start there without another one. Whoever leads next asks the runner for it as for any
bound run, so that a start which no later record tells of is never made again elsewhere.
"""

from collections import Counter
from collections.abc import Iterator

from spoolcrank.binding import bind, preassign
from spoolcrank.crash_record import own_marks
from spoolcrank.job_state import NO_RUNNER, JobState, StepState
from spoolcrank.objective import work_order
from spoolcrank.packing import PlacementRequest, choose, could_ever_hold, worst_effect
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, RunnerId, Step, TaskKey

PREASSIGN_EVERY_S = 0.5
"""Between two rounds, s: each rewrites the records of some jobs. Chosen; a tenth of the outages
that it is for."""

MOST_PREASSIGNED = 4
"""Tasks for one runner: about what ends there in an outage of 5 s."""

RUNNERS_TRIED = 24
"""Runners weighed for one task, in turn; all of a large fleet would cost processor time."""

MOST_RUNNERS = 64
"""Over larger fleets nothing is preassigned, as each round goes over all jobs and waiting tasks. Of
246 runners the same day earned 0.451 with it and 0.535 without (one play each), with 7 % more
processor time; up to 33 runners it was measured to gain."""

LEAST_LEASE_MS = 2500.0
"""Such a start extends no lease, as the store may have another leader by now: with less left than
about one task's time, ms, it would mostly be killed at work. With leases of 7.5 s that also ends
starts some 6 s after the list of runners, which may say that one leaves, was read last."""

RECORDS_LATE_S = 0.12
"""A record that is on its way for so long, s, is late: thirty times the store's usual answer.
What is preassigned then starts first."""


class Preassignments:
    """When the leader preassigned last, and where it goes on looking for runners."""

    def __init__(self) -> None:
        self._at = -PREASSIGN_EVERY_S
        self._next = 0
        self._active = False

    def start(self, state: Scheduler, now: float) -> None:
        """Start what is preassigned by a kept record, if anything is."""
        if self._active:
            start_preassigned(state, now)

    def renew(self, state: Scheduler, now: float) -> None:
        """Preassign the tasks that come next, up to a bound for each runner."""
        if now - self._at < PREASSIGN_EVERY_S:
            return
        self._at = now
        pools = state.pools(now)
        self._active = 0 < sum(len(pool) for pool in pools.values()) <= MOST_RUNNERS
        if not self._active:
            return
        left = MOST_PREASSIGNED * sum(len(pool) for pool in pools.values())
        held: Counter[RunnerId] = Counter()
        for job in _in_order(state, now):
            pool = pools.get(state.service_of(job), [])
            for key, step in _next_tasks(job):
                if left <= 0:
                    return
                left -= 1
                runner = self._runner_for(state, key, step, pool, held, now)
                preassign(state, job, key, runner)
                if runner != NO_RUNNER:
                    held[runner] += 1

    def _runner_for(
        self,
        state: Scheduler,
        key: TaskKey,
        step: StepState,
        pool: list[RunnerState],
        held: Counter[RunnerId],
        now: float,
    ) -> RunnerId:
        """Return the runner that a task has already, while it is usable, or the best of some."""
        task = step.tasks[key.number]
        present = state.runners.get(task.preassigned)
        if present is not None and present.usable(now) and held[present.id] < MOST_PREASSIGNED:
            return present.id
        tried = [
            pool[(self._next + one) % len(pool)] for one in range(min(RUNNERS_TRIED, len(pool)))
        ]
        self._next += len(tried)
        fit = [
            runner
            for runner in tried
            if held[runner.id] < MOST_PREASSIGNED
            and runner.id != task.refused_by
            and could_ever_hold(step.spec, runner)
        ]
        if not fit:
            return NO_RUNNER
        return max(fit, key=lambda one: _score(state, step.spec, one, held[one.id])).id


def _score(state: Scheduler, step: Step, runner: RunnerState, held: int) -> tuple[float, ...]:
    """Order runners: where it slows what serves least, then those with the fewest others."""
    effect = 0.0
    if step.fills:
        share = runner.share(step.millicores)
        effect = worst_effect(step.image, share, runner, state.contention)
    return (-round(effect, 1), -held, float(runner.idle_millicores))


def _in_order(state: Scheduler, now: float) -> list[JobState]:
    """Return the jobs with tasks to preassign, in the order of work."""
    alive = [job for job in state.jobs.values() if job.phase not in FINAL]
    jobs = [job for job in alive if job.rounds and not job.lasting]
    return sorted(jobs, key=lambda job: work_order(job, state.times, now))


def _next_tasks(job: JobState) -> Iterator[tuple[TaskKey, StepState]]:
    """Yield the waiting tasks whose turn has come, or comes once what works now is done."""
    for held in job.rounds.values():
        for number, step in enumerate(held.steps):
            spec = step.spec
            if not step.waiting or spec.gang or spec.max_per_instance or spec.lasting:
                continue
            if any(held.steps[earlier].waiting for earlier in spec.after):
                continue
            for index in step.waiting:
                if not own_marks(step.tasks[index].crashes):
                    # Which runner a suspect may have is decided only as it starts.
                    yield TaskKey(job.id, held.number, number, index), step


def start_preassigned(state: Scheduler, now: float) -> None:
    """Start what is preassigned by a kept record where there is room, without a new one."""
    ready = [state.jobs[job_id] for job_id in state.ready]
    ready.sort(key=lambda job: work_order(job, state.times, now))
    for job in ready:
        for held in list(job.rounds.values()):
            for number, step in list(held.ready()):
                for index in list(step.waiting):
                    key = TaskKey(job.id, held.number, number, index)
                    runner = _runner_now(state, job, key, now)
                    if runner is not None:
                        bind(state, job, key, step.tasks[index].run + 1, runner, now)


def _runner_now(state: Scheduler, job: JobState, key: TaskKey, now: float) -> RunnerState | None:
    """Return the runner that a task is preassigned to, if it may start there now."""
    task = job.task(key)
    runner = state.runners.get(task.preassigned) if task.preassigned_kept else None
    if runner is None or not runner.usable(now) or task.not_before > now:
        return None
    if runner.entry.service != state.service_of(job):
        return None
    if runner.granted_ms - runner.clock_lower(now) < LEAST_LEASE_MS:
        return None
    step = job.record.workflow.steps[key.step]
    request = PlacementRequest(step, {}, task.refused_by, task=key)
    return choose(request, [runner], state.contention, now)

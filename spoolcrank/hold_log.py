"""Log the jobs that have nothing running beside free capacity, and for what each one is held."""

import math

from spoolcrank.hold_words import TASK_WAITS
from spoolcrank.ids import JobId, ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.runner_pools import usable_runners
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.task_hold import Hold, HoldReason, hold_of
from spoolcrank.workflow import FINAL, Phase, TaskKey

HOLD_CHECK_INTERVAL_S = 1.0
"""Interval between two checks, seconds."""

MIN_HELD_S = 2.0
"""Time with nothing running from which a job is logged, seconds. After 3 s it counts as lost."""

HOLD_REPEAT_S = 2.0
"""Minimum time between two lines about the same job, seconds."""

MIN_FREE_SHARE = 0.5
"""Share of a service's capacity that must be free for its waiting jobs to be logged. With less,
they wait for others to end."""

MAX_HOLD_LINES = 4
"""Maximum number of lines of one check. Each evaluates all runners for one task."""


def log_holds_periodically(state: Scheduler, now: float) -> None:
    """Count the jobs that wait beside free capacity, and log the longest waits."""
    watch = state.hold_watch
    if now - watch.checked_at < HOLD_CHECK_INTERVAL_S:
        return
    watch.checked_at = now
    held_jobs = _held_jobs(state, now)
    watch.held = len(held_jobs)
    watch.logged_at = {
        job.id: watch.logged_at[job.id] for job in held_jobs if job.id in watch.logged_at
    }
    # Those logged longest ago come first, so that each of them gets its line.
    held_jobs.sort(key=lambda job: watch.logged_at.get(job.id, -math.inf))
    for job in held_jobs[:MAX_HOLD_LINES]:
        if now - watch.logged_at.get(job.id, -math.inf) >= HOLD_REPEAT_S:
            watch.logged_at[job.id] = now
            _log_hold(state, job, now)


def _held_jobs(state: Scheduler, now: float) -> list[JobState]:
    """Return the jobs with nothing running beside free capacity, the longest waits first."""
    idle = [
        job
        for job in state.jobs.values()
        if job.rounds and job.phase not in FINAL and now - job.idle_since >= MIN_HELD_S
    ]
    if not idle:
        return []
    running = _running_jobs(state)
    shares: dict[ServiceName, float] = {}
    held: list[JobState] = []
    for job in idle:
        service = state.service_of(job)
        if service not in shares:
            shares[service] = _free_share(state, service)
        if job.id not in running and shares[service] >= MIN_FREE_SHARE:
            held.append(job)
    return sorted(held, key=lambda job: job.idle_since)


def _running_jobs(state: Scheduler) -> set[JobId]:
    return {
        key.job
        for runner in state.runners.values()
        for key, run in runner.runs.items()
        if run.stage is RunStage.RUNNING
    }


def _listed(state: Scheduler, service: ServiceName) -> list[RunnerState]:
    return [
        runner
        for runner in state.runners.values()
        if runner.entry.service == service and runner.listed and not runner.gone
    ]


def _free_share(state: Scheduler, service: ServiceName) -> float:
    """Return the free share of a service's processors or memory, whichever is smaller."""
    runners = _listed(state, service)
    millicores = sum(runner.entry.room.millicores for runner in runners)
    memory_mb = sum(runner.entry.room.memory_mb for runner in runners)
    used_millicores = sum(runner.used_millicores for runner in runners)
    used_memory_mb = sum(runner.used_memory_mb for runner in runners)
    return 1.0 - max(used_millicores / max(1, millicores), used_memory_mb / max(1, memory_mb))


def _log_hold(state: Scheduler, job: JobState, now: float) -> None:
    found = _first_hold(state, job, now)
    if found is None:
        return
    key, hold = found
    service = state.service_of(job)
    state.log_event(
        TASK_WAITS,
        task=key,
        service=service,
        waited_s=round(now - job.idle_since, 1),
        obstacle=hold.reason.value,
        left_s=round(hold.left_s, 1) if hold.left_s is not None else None,
        runner=hold.runner,
        free_share=round(_free_share(state, service), 2),
        pool=len(usable_runners(state, now).get(service, [])),
        listed=len(_listed(state, service)),
        runners=hold.runners,
    )


def _first_hold(state: Scheduler, job: JobState, now: float) -> tuple[TaskKey, Hold] | None:
    """Return the first task of a job whose turn has come and that is held."""
    for number, round_state in job.rounds.items():
        for step_number, step in enumerate(round_state.steps):
            undone = (
                index for index, task in enumerate(step.tasks) if task.phase is not Phase.DONE
            )
            for index in undone:
                key = TaskKey(job.id, number, step_number, index)
                hold = hold_of(state, key, now)
                if hold is not None and hold.reason is not HoldReason.EARLIER_STEP:
                    return key, hold
                break
    return None

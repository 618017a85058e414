"""Recognise jobs that wait although most of their service's capacity is free."""

from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.placing_pass import PlacingPass
from spoolcrank.scheduler import Scheduler

MAX_IDLE_WAIT_S = 2.0
"""Time without a start after which a job counts as waiting beside idle capacity, seconds. A job
with nothing running for 3 s counts as lost where under half of its service's capacity is in use."""

MAX_USED_SHARE = 0.5
"""Share of a service's processors in use from which its jobs may wait longer."""


def waits_beside_idle_capacity(
    state: Scheduler, current: PlacingPass, job: JobState, service: ServiceName, now: float
) -> bool:
    """Return whether a job has got no start for long while most of its service is idle."""
    if now - job.started_at < MAX_IDLE_WAIT_S:
        return False
    mostly_idle = current.mostly_idle.get(service)
    if mostly_idle is None:
        mostly_idle = current.mostly_idle[service] = _is_mostly_idle(state, service, now)
    return mostly_idle


def _is_mostly_idle(state: Scheduler, service: ServiceName, now: float) -> bool:
    runners = [
        runner
        for runner in state.runners.values()
        if runner.entry.service == service and runner.answers(now)
    ]
    capacity = sum(runner.entry.room.millicores for runner in runners)
    used = sum(runner.used_millicores + runner.filled_millicores for runner in runners)
    return used < MAX_USED_SHARE * capacity

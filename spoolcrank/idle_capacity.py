"""Recognise jobs that wait although most of their service's capacity is free."""

from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.placing_pass import Candidates, PlacingPass
from spoolcrank.runner_pools import quarantined_runners
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step

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
    return is_mostly_idle(state, current, service, now)


def last_resort(
    state: Scheduler,
    current: PlacingPass,
    job: JobState,
    step: Step,
    usual: list[RunnerState],
    now: float,
) -> Candidates | None:
    """Return the candidates for a step of a job that waits beside idle capacity.

    A runner that may be faulty, or the capacity reserved for short tasks, is better than none.
    The result is None for other jobs, and where there are no more than the usual candidates.
    """
    service = state.service_of(job)
    if not waits_beside_idle_capacity(state, current, job, service, now):
        return None
    if service not in current.last_resort:
        current.last_resort[service] = [*usual, *quarantined_runners(state, service, now)]
    runners = current.last_resort[service]
    if len(runners) == len(usual) and not step.lasting:
        return None
    room = state.short_rooms.of(service).open_to_lasting()
    return Candidates(runners, reserve=0, quarantined=True, room=room)


def is_mostly_idle(
    state: Scheduler, current: PlacingPass, service: ServiceName, now: float
) -> bool:
    """Return whether under half of a service's processors are in use, as first asked in a part."""
    mostly_idle = current.mostly_idle.get(service)
    if mostly_idle is None:
        mostly_idle = current.mostly_idle[service] = _is_mostly_idle(state, service, now)
    return mostly_idle


def _is_mostly_idle(state: Scheduler, service: ServiceName, now: float) -> bool:
    runners = [
        runner
        for runner in state.runners.values()
        if runner.entry.service == service and runner.counts_as_capacity(now)
    ]
    capacity = sum(runner.entry.room.millicores for runner in runners)
    used = sum(runner.used_millicores + runner.filled_millicores for runner in runners)
    return used < MAX_USED_SHARE * capacity

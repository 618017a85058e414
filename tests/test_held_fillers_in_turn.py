"""Held fillers of a fleet so large that one search cannot try all of them."""

import msgspec

from spoolcrank.held_fillers import RETRY_S, start_held_fillers
from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState
from spoolcrank.placing_pass import PlacingPass
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import JobRecord, RouteName, Step, Workflow
from tests.packed_runners import NOISY, NOW, SERVICE, SERVING, leader, put, runner

RUNNERS = 100
WAITED_S = 5.0
SEARCHES = 10
"""Number of searches, one second of them, by whose end each held filler must have been tried."""


def _add_waiting(state: Scheduler, name: str, step: Step) -> JobState:
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 100, 2.0, Workflow("", (step,)))
    job = JobState(JobId(name), record, len(state.jobs))
    job.open_round(0)
    job.started_at = job.idle_since = NOW - WAITED_S + len(state.jobs) / 1000.0
    state.jobs[job.id] = job
    state.ready[job.id] = None
    return job


def test_held_fillers_that_fit_nowhere_keep_no_other_from_being_tried() -> None:
    """Guards against a search that ends with the same jobs each time, before the last in line."""
    runners = [runner(f"r{number}") for number in range(RUNNERS)]
    for each in runners:
        put(each, SERVING, tail_ms=150.0)
    state = leader(*runners)
    for number in range(2 * RUNNERS):
        too_large = msgspec.structs.replace(NOISY, image=f"i{number}", memory_mb=900_000)
        _add_waiting(state, f"a{number}", too_large)
    last = _add_waiting(state, "b0", NOISY)
    for number in range(SEARCHES):
        now = NOW + number * RETRY_S * 1.01
        for each in runners:
            each.answered_at = now
        start_held_fillers(state, {SERVICE: runners}, PlacingPass(), now)
    assert next(iter(last.bound()), None) is not None

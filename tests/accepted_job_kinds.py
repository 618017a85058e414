"""Kinds of jobs and configurations that the machine of accepted jobs draws."""

from collections.abc import Iterator
from typing import Any

import hypothesis.strategies as st

from spoolcrank.ids import ServiceName
from spoolcrank.job_state import StepState
from spoolcrank.scheduler import RoutePolicy
from spoolcrank.workflow import (
    Step,
    TaskKey,
)
from tests.fleet_world import ROUTE, SERVICE
from tests.idle_capacity import IdleCapacityCheck

INSTANCES = 4
RUNNERS = 6
EARLIER_JOBS = 20
"""Number of jobs that ended earlier, whose records make the log several pages long."""

MAX_ATTEMPTS = 9
MAX_EXTRA_INSTANCES = 40
STORED_LATE_S = 6.0
"""Longest time, in seconds, after which the store carries out an append without an answer."""

FINISH_S = 14.0
"""Time after the last event, in seconds, from which no work may wait beside idle capacity."""

WATCH_S = 10.0
"""Time for which that is watched, in seconds; all work that ends by itself has ended then."""

ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
THREE = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
AFTERWARDS = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,))
GANG = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, gang=True)
LASTING = Step(count=2, millicores=1000, memory_mb=100, lasting=True)
STEPS = {
    "one": (ONE,),
    "steps": (THREE, AFTERWARDS),
    "gang": (GANG,),
    "rounds": (THREE, AFTERWARDS),
    "lasting": (LASTING,),
}
ROUNDS = 3
INTERVAL_MS = 1500

ELSEWHERE = ServiceName("elsewhere")
OTHER_ROUTE = "else"
CONFIGURATIONS: dict[str, dict[Any, RoutePolicy]] = {
    "whole": {ROUTE: RoutePolicy(SERVICE, 0, MAX_ATTEMPTS)},
    "without the queue": {OTHER_ROUTE: RoutePolicy(ELSEWHERE, 0, MAX_ATTEMPTS)},
    "without any queue": {},
    "moved": {ROUTE: RoutePolicy(ELSEWHERE, 0, MAX_ATTEMPTS)},
}

SHORT_S = st.floats(0.0, 0.6)
KINDS = st.sampled_from(sorted(STEPS))
PICKS = st.integers(0, 7)


class DueRounds(IdleCapacityCheck):
    """The check of idle capacity, which opens rounds as their time comes."""

    def _idle_subjects(self, running: set[TaskKey]) -> Iterator[tuple[str, list[TaskKey]]]:
        for job in self.jobs.values():
            job.open_due(self.world.now * 1000.0)
        return super()._idle_subjects(running)

    def open_steps(self, job: str) -> list[StepState]:
        """Return the steps of a job that are not finished."""
        rounds = self.jobs[job].rounds.values()
        return [step for opened in rounds for step in opened.steps if not step.finished]

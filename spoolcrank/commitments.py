"""Begin a job of fillers only while what was begun before leaves it time to end in time.

A job of several steps needs places for several images. Begun while the work under way already
takes the places of one of them beyond its time, it comes late, and so do some of the others.
"""

from collections import defaultdict

from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState, StepState
from spoolcrank.objective import MARGIN, Prospect, prospect, step_ms
from spoolcrank.packing import filler_obstacle
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Step

Kind = tuple[ServiceName, str]
"""A service and an image: tasks of one kind compete for the same places."""

RENEW_S = 0.5
"""Between two accounts, s: as long as one report of the runners covers."""


class Commitments:
    """What jobs under way still ask for, and what works on it, by kind.

    Attributes:
        work: core-seconds that begun jobs still need, where they can end in time.
        at_work: cores that fillers use at their pace.
    """

    def __init__(self) -> None:
        self._at = -RENEW_S
        self.work: dict[Kind, float] = defaultdict(float)
        self.at_work: dict[Kind, float] = defaultdict(float)
        self.room: dict[Kind, float] = {}

    def renew(self, state: Scheduler, now: float) -> None:
        """Count anew what is under way."""
        if now - self._at < RENEW_S:
            return
        self._at = now
        self.work = defaultdict(float)
        self.room = {}
        self.at_work = defaultdict(float)
        for runner in state.runners.values():
            for run in runner.runs.values():
                if run.fills:
                    kind = (runner.entry.service, run.image)
                    self.at_work[kind] += run.paced_millicores / 1000.0
        for job in state.jobs.values():
            if job.phase in FINAL or job.lasting or not job.begun:
                continue
            if prospect(job, state.times, now) is Prospect.BEGUN:
                self.take(state, job)

    def take(self, state: Scheduler, job: JobState) -> None:
        """Count what a job still needs as under way."""
        service = state.service_of(job)
        for held in job.rounds.values():
            for step in held.steps:
                if step.spec.fills:
                    self.work[service, step.spec.image] += _work_left(state, job, step)

    def may_begin(self, state: Scheduler, job: JobState, now: float) -> bool:
        """Tell whether a job that is not begun would end in time beside what is under way."""
        service = state.service_of(job)
        ends: list[float] = []
        for step in job.record.workflow.steps:
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            if step.fills:
                begin = max(begin, self._wait_s(state, (service, step.image), step, now))
            ends.append(begin + step_ms(job, step, state.times) * MARGIN / 1000.0)
        return now - job.accepted_at + max(ends, default=0.0) <= job.objective_s

    def _wait_s(self, state: Scheduler, kind: Kind, step: Step, now: float) -> float:
        work = self.work.get(kind, 0.0)
        if work <= 0.0:
            return 0.0
        width = step.count * step.millicores / 1000.0
        return work / max(width, self._room(state, kind, step, now))

    def _room(self, state: Scheduler, kind: Kind, step: Step, now: float) -> float:
        room = self.room.get(kind)
        if room is None:
            room = self.at_work.get(kind, 0.0)
            for runner in state.pools(now).get(kind[0], []):
                if filler_obstacle(step, runner, state.contention, now) is None:
                    room += runner.idle_millicores / 1000.0
            self.room[kind] = room
        return room


def _work_left(state: Scheduler, job: JobState, step: StepState) -> float:
    left = len(step.tasks) - step.done
    at_work = left - len(step.waiting)
    one_s = state.times.expected_ms(job.record.route, step.spec.estimate_ms) / 1000.0
    return (left - 0.5 * at_work) * one_s * step.spec.millicores / 1000.0

"""Runners with tasks on them, and a leader that knows them, for tests of single decisions."""

import math
import random

import msgspec

from spoolcrank.contention import ContentionModel, StepLoad
from spoolcrank.ids import Address, AvailabilityZone, JobId, ServiceName
from spoolcrank.job_state import NO_RUNNER, JobState
from spoolcrank.orders import Pace, Report, RunningRow
from spoolcrank.packing import PlacementRequest, choose
from spoolcrank.runner_state import RunnerEntry, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import (
    Demand,
    JobRecord,
    Phase,
    RouteName,
    RunnerId,
    Step,
    TaskKey,
    Workflow,
)

NOW = 50.0
SERVICE = ServiceName("pricing")
SERVING = Step(count=1, millicores=6000, memory_mb=100, lasting=True, image="s", target_ms=100)
NOISY = Step(count=1, millicores=4000, memory_mb=100, fills=True, image="noisy", checkpoints=True)
QUIET = Step(count=1, millicores=4000, memory_mb=100, fills=True, image="quiet")
SHORT = Step(count=1, millicores=2000, memory_mb=100)


def runner(
    name: str, millicores: int = 32_000, labels: frozenset[str] = frozenset()
) -> RunnerState:
    entry = RunnerEntry(
        RunnerId(name),
        Address(f"{name}:80"),
        AvailabilityZone("a"),
        SERVICE,
        Demand(millicores, 64_000, 0),
        labels,
        leaving=False,
    )
    state = RunnerState(entry, adopted=True)
    state.record_answer(1000.0, NOW, NOW)
    return state


def put(
    state: RunnerState, step: Step, number: int = 0, job: str = "ab", tail_ms: float = 0.0
) -> TaskKey:
    key = TaskKey(JobId(job), 0, 0, number)
    run = Run(
        1,
        RunStage.RUNNING,
        step.demand,
        step.millicores,
        NOW - 10,
        image=step.image,
        fills=step.fills,
        target_ms=step.target_ms,
        lasting=step.lasting,
        checkpoints=step.checkpoints,
        percent=100,
        tail_ms=tail_ms,
        used_millicores=float(step.millicores),
    )
    state.add(key, run)
    return key


def trained_model(noisy: float = 8.0, quiet: float = 0.0) -> ContentionModel:
    """Return a contention model that has learned both fillers from 600 reports."""
    contention = ContentionModel()
    chance = random.Random(1)
    load = StepLoad()
    for number in range(600):
        share = chance.uniform(0.05, 0.2)
        image, weight = (("noisy", noisy), ("quiet", quiet))[number // 30 % 2]
        ratio = 0.35 * 2.718 ** (weight * share + chance.gauss(0, 0.2))
        contention.learn("s", load, ratio, {image: share}, float(number))
    return contention


def place(step: Step, runners: list[RunnerState], contention: ContentionModel | None = None) -> str:
    chosen = choose(
        PlacementRequest(step, {}, NO_RUNNER), runners, contention or ContentionModel(), NOW
    )
    return chosen.id if chosen is not None else ""


def leader(*runners: RunnerState, contention: ContentionModel | None = None) -> Scheduler:
    state = Scheduler(3, NOW - 20, NOW - 20)
    state.runners = {runner_state.id: runner_state for runner_state in runners}
    state.contention = contention or trained_model()
    return state


def paces(state: Scheduler) -> list[int]:
    percents = [order.percent for order in state.orders if isinstance(order, Pace)]
    state.orders = []
    return percents


def loaded(now: float) -> StepLoad:
    """Return the load of a serving task whose tail latency is near its target without fillers."""
    return StepLoad(math.log(0.8), 0.01, now)


MISMATCHED = Step(count=1, millicores=6000, memory_mb=100, lasting=True, image="b", target_ms=100)


def add_running_task(state: Scheduler, where: RunnerState, step: Step) -> TaskKey:
    """Add a job with one running lasting task to the leader."""
    job_id = JobId(f"a{len(state.jobs)}")
    key = put(where, step, job=job_id, tail_ms=35.0)
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 100, 2.0, Workflow("", (step,)))
    job = JobState(job_id, record, len(state.jobs))
    task = job.open_round(0).steps[0].tasks[0]
    task.phase, task.run, task.runner = Phase.BOUND, 1, where.id
    state.jobs[job_id] = job
    return key


def leader_with_pairs(*runners: RunnerState) -> Scheduler:
    """Return a leader that has learned that noisy fillers slow only `s`, quiet ones only `b`."""
    state = leader(*runners, contention=ContentionModel())
    for image, noisy, quiet in (("s", "noisy", "quiet"), ("b", "quiet", "noisy")):
        for _ in range(80):
            state.contention.learn(image, StepLoad(), 1.2, {noisy: 0.15}, NOW)
            state.contention.learn(image, StepLoad(), 0.35, {quiet: 0.15}, NOW)
    state.contention.set_expected_fillers({"noisy": 0.5, "quiet": 0.5})
    slowed = put(runners[0], NOISY, job="ff")
    runners[0].set_pace(runners[0].runs[slowed], 10, NOW - 1)
    return state


SOME = msgspec.structs.replace(NOISY, millicores=1200)


def report(key: TaskKey, measurement: float) -> Report:
    return Report(RunnerId("i-1"), 2000.0, (RunningRow(key, 1, "", 100, measurement),), ())

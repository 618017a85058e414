"""Time a placing pass by the number of runners: `python -m bench.placing`.

The state is synthetic: each runner has two serving tasks and three fillers, and steps of 39 fillers
and of nine short tasks wait. The times are processor time on this machine and serve to compare two
checkouts on it.
"""

import time
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from spoolcrank.ids import Address, AvailabilityZone, JobId, ServiceName
from spoolcrank.placing import place
from spoolcrank.runner_state import RunnerEntry, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Demand, JobRecord, RouteName, RunnerId, Step, TaskKey, Workflow

RUNNER_COUNTS = (300, 660, 2000)
WAITING_TASKS = 2000
IMAGES = 30
SERVICE = ServiceName("pricing")
RUNNING_JOB = JobId("old")
NOW = 100.0


class PassTimes(NamedTuple):
    """The placing times for one number of runners.

    Attributes:
        runners: number of runners.
        bound: number of tasks that the pass bound.
        pass_ms: processor time to place all waiting tasks, in milliseconds.
        single_task_ms: processor time to place one task with nothing else waiting.
    """

    runners: int
    bound: int
    pass_ms: float
    single_task_ms: float


def _runner(number: int) -> RunnerState:
    entry = RunnerEntry(
        RunnerId(f"r{number}"),
        Address(f"10.0.0.1:{number + 1}"),
        AvailabilityZone("a"),
        SERVICE,
        Demand(32_000, 125_000, 0),
        frozenset({f"rack-{number // 8}"}),
        leaving=False,
    )
    runner = RunnerState(entry, adopted=True)
    runner.record_answer(1000.0, NOW, NOW)
    for task_number in range(5):
        serving = task_number < 2
        demand = Demand(6400 if serving else 0, 13_000 if serving else 6400, 0)
        run = Run(1, RunStage.RUNNING, demand, 6400 if serving else 3500, NOW - 5.0)
        run.image = f"serving-{number % 16}" if serving else f"image-{number % IMAGES}"
        run.fills, run.target_ms, run.lasting = not serving, 25.0 if serving else 0.0, serving
        run.used_millicores = 3000.0
        runner.add(TaskKey(RUNNING_JOB, 0, number, task_number), run)
    return runner


def _state(runners: int) -> Scheduler:
    state = Scheduler(1, NOW, NOW)
    state.runners = {runner.id: runner for runner in map(_runner, range(runners))}
    state.contention.set_expected_fillers(
        {f"image-{number}": 1.0 / IMAGES for number in range(IMAGES)}
    )
    if hasattr(state, "starts"):
        state.starts.limit = float("inf")
    return state


def _add(state: Scheduler, number: int, step: Step) -> None:
    record = JobRecord(RouteName("feed"), SERVICE, 0, 3, 250, 1.5, Workflow("", (step,)))
    state.add_job(JobId(f"{number:x}"), record, number, None, False, NOW - 1.0, 0.0)


def _filler_step(number: int) -> Step:
    image = f"image-{number % IMAGES}"
    return Step(
        count=39, millicores=3500, memory_mb=6400, estimate_ms=1700, image=image, fills=True
    )


def _placing_ms(state: Scheduler) -> float:
    started_at = time.process_time()
    while not place(state, NOW, 0.0):
        pass
    return (time.process_time() - started_at) * 1000.0


def measure(runners: int) -> PassTimes:
    """Time a pass over `WAITING_TASKS` tasks, and over a single task, on `runners` runners."""
    state = _state(runners)
    waiting = number = 0
    while waiting < WAITING_TASKS:
        step = (
            _filler_step(number) if number % 2 else Step(count=9, millicores=6400, memory_mb=13_000)
        )
        _add(state, number, step)
        waiting += step.count
        number += 1
    pass_ms = _placing_ms(state)
    bound = sum(len(runner.runs) - 5 for runner in state.runners.values())
    single_task_state = _state(runners)
    _add(single_task_state, 0, Step(count=1, millicores=6400, memory_mb=13_000))
    return PassTimes(runners, bound, pass_ms, _placing_ms(single_task_state))


def main() -> None:
    """Print a row for each number of runners."""
    table = Table("runners", "waiting", "bound", "pass ms", "lone task ms")
    for runners in RUNNER_COUNTS:
        times = measure(runners)
        row = (
            times.runners,
            WAITING_TASKS,
            times.bound,
            round(times.pass_ms),
            round(times.single_task_ms, 2),
        )
        table.add_row(*map(str, row))
    Console().print(table)


if __name__ == "__main__":
    main()

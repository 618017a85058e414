"""Time a pass over waiting work by the number of runners: `python -m bench.placing`.

The state is made up: on each runner two tasks that serve and three fillers, waiting steps of 39
fillers and of nine short tasks. Figures are processor time of this machine, for comparing two
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

SIZES = (300, 660, 2000)
WAITING_TASKS = 2000
IMAGES = 30
SERVICE = ServiceName("pricing")
OLD_JOB = JobId("old")
NOW = 100.0


class Figures(NamedTuple):
    """What one size took.

    Attributes:
        runners: how many.
        bound: tasks that found a place.
        pass_ms: for all waiting tasks.
        lone_ms: for one task that arrives alone.
    """

    runners: int
    bound: int
    pass_ms: float
    lone_ms: float


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
    runner.heard(1000.0, NOW, NOW)
    for place_on in range(5):
        serves = place_on < 2
        demand = Demand(6400 if serves else 0, 13_000 if serves else 6400, 0)
        run = Run(1, RunStage.RUNNING, demand, 6400 if serves else 3500, NOW - 5.0)
        run.image = f"serving-{number % 16}" if serves else f"image-{number % IMAGES}"
        run.fills, run.target_ms, run.lasting = not serves, 25.0 if serves else 0.0, serves
        run.used_millicores = 3000.0
        runner.add(TaskKey(OLD_JOB, 0, number, place_on), run)
    return runner


def _state(runners: int) -> Scheduler:
    state = Scheduler(1, NOW, NOW)
    state.runners = {one.id: one for one in map(_runner, range(runners))}
    state.contention.expect({f"image-{number}": 1.0 / IMAGES for number in range(IMAGES)})
    if hasattr(state, "starts"):
        state.starts.limit = float("inf")
    return state


def _add(state: Scheduler, number: int, step: Step) -> None:
    record = JobRecord(RouteName("feed"), SERVICE, 0, 3, 250, 1.5, Workflow("", (step,)))
    state.add_job(JobId(f"{number:x}"), record, number, None, False, NOW - 1.0, 0.0)


def _filling(number: int) -> Step:
    image = f"image-{number % IMAGES}"
    return Step(
        count=39, millicores=3500, memory_mb=6400, estimate_ms=1700, image=image, fills=True
    )


def _timed(state: Scheduler) -> float:
    began = time.process_time()
    while not place(state, NOW, 0.0):
        pass
    return (time.process_time() - began) * 1000.0


def measure(runners: int) -> Figures:
    """Return what placing takes over so many runners."""
    state = _state(runners)
    waiting = number = 0
    while waiting < WAITING_TASKS:
        step = _filling(number) if number % 2 else Step(count=9, millicores=6400, memory_mb=13_000)
        _add(state, number, step)
        waiting += step.count
        number += 1
    pass_ms = _timed(state)
    bound = sum(len(one.runs) - 5 for one in state.runners.values())
    lone = _state(runners)
    _add(lone, 0, Step(count=1, millicores=6400, memory_mb=13_000))
    return Figures(runners, bound, pass_ms, _timed(lone))


def main() -> None:
    """Print a row for each size."""
    table = Table("runners", "waiting", "bound", "pass ms", "lone task ms")
    for runners in SIZES:
        got = measure(runners)
        figures = (got.runners, WAITING_TASKS, got.bound, round(got.pass_ms), round(got.lone_ms, 2))
        table.add_row(*map(str, figures))
    Console().print(table)


if __name__ == "__main__":
    main()

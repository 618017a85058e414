"""Tests of tasks whose runs end abnormally again and again without counting as failures.

They guard against unlimited restarts: a task whose starts are refused, that hangs, or that is
lasting and fails at once was started again without limit. Each time a runner was taken for faulty
and got no work for 4 s or more, at the cost of sound work.
"""

from collections.abc import Callable

import pytest

from spoolcrank.ids import JobId
from spoolcrank.orders import OrderResult
from spoolcrank.workflow import JobPhase, Step
from tests.fleet_world import World, small_world

RUNNERS = 8
ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
LASTING = Step(count=1, millicores=1000, memory_mb=100, lasting=True)
SOUND = Step(count=6, millicores=1000, memory_mb=100, estimate_ms=600)
JOBS = 40
EVERY_S = 0.5
MAX_OUT_OF_USE = 2
"""Maximum number of runners that one task may put out of use: the first may be at fault, and the
second shows whether the runner or the task is the cause."""

SETTLE_S = 3.0
MAX_STARTS = 3
"""Maximum number of starts of a task that one runner loses: there, once more by chance, and
elsewhere."""

MAX_ORDERS = JOBS
"""Maximum number of starts in the 20 s of a simulation, two per second; a delay of 3 s would
count as lost work."""


def _refused(world: World) -> Step:
    world.refused["bad0"] = OrderResult.REJECTED
    return ONE


def _refused_lasting(world: World) -> Step:
    world.refused["bad0"] = OrderResult.REJECTED
    return LASTING


def _no_capacity(world: World) -> Step:
    world.refused["bad0"] = OrderResult.NO_ROOM
    return ONE


def _hangs(world: World) -> Step:
    world.hanging.add("bad0")
    return ONE


def _fails_lasting(world: World) -> Step:
    world.failing["bad0"] = 0.02
    return LASTING


@pytest.mark.parametrize(
    "kind",
    [_refused, _refused_lasting, _no_capacity, _hangs, _fails_lasting],
    ids=lambda setup: setup.__name__,
)
def test_one_task_does_not_put_all_runners_out_of_use(
    kind: Callable[[World], Step],
) -> None:
    world = small_world(instances=2, runners=RUNNERS, seed=3)
    first = world.instances["entry-0"]
    first.submit("bad0", kind(world), max_attempts=9)
    out_of_use = 0
    for number in range(JOBS):
        first.submit(f"{number:04x}", SOUND)
        for _ in range(5):
            world.run(EVERY_S / 5)
            leader = world.leader()
            assert leader is not None and leader.dispatcher.scheduler is not None
            runners = leader.dispatcher.scheduler.runners.values()
            out_of_use = max(
                out_of_use, sum(runner.quarantined_until > world.now for runner in runners)
            )
    bound = [fields for name, fields in first.logged.lines if name == "task-bound"]
    bound += [
        fields for name, fields in world.instances["entry-1"].logged.lines if name == "task-bound"
    ]
    orders = sum(1 for fields in bound if fields.get("task", ("",))[0] == "bad0")
    assert out_of_use <= MAX_OUT_OF_USE, f"{out_of_use} of {RUNNERS} runners out of use"
    assert orders <= MAX_ORDERS
    world.run(3.0)
    phases = [first.index.phase(JobId(f"{number:04x}")) for number in range(JOBS)]
    assert phases == [JobPhase.COMPLETED] * JOBS


# Guards against runs that a runner loses without listing an end, and that are bound there again and
# again.
def test_runs_that_a_runner_no_longer_lists_continue_elsewhere() -> None:
    world = small_world(instances=2, runners=3, seed=3)
    forgetful = next(iter(world.runners.values()))
    forgetful.forgets = True
    first = world.instances["entry-0"]
    jobs = [f"{number:04x}" for number in range(JOBS)]
    for job in jobs:
        first.submit(job, ONE)
        world.run(EVERY_S)
    world.run(SETTLE_S)
    assert [first.index.phase(JobId(job)) for job in jobs] == [JobPhase.COMPLETED] * JOBS
    max_starts = max(len(starts) for starts in world.starts.values())
    assert max_starts <= MAX_STARTS, f"{max_starts} starts of one task"

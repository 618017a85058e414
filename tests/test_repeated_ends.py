"""Tasks whose runs end in a way that nobody counts, again and again, beside sound work.

Found by looking for the cause of the incident elsewhere: what a runner refuses, what stands still
and lasting work that fails at once goes out again without bound, and each time a runner is taken
for unsound and gets no work for 4 s or more.
"""

from collections.abc import Callable

import pytest

from spoolcrank.ids import JobId
from spoolcrank.orders import OrderResult
from spoolcrank.workflow import JobPhase, Step
from tests.fleet_world import World, small

RUNNERS = 8
ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
LASTING = Step(count=1, millicores=1000, memory_mb=100, lasting=True)
SOUND = Step(count=6, millicores=1000, memory_mb=100, estimate_ms=600)
JOBS = 40
EVERY_S = 0.5
MOST_OUT_OF_USE = 2
"""Runners that one task may have out of use: one may be at fault, a second shows who is."""

SETTLE_S = 3.0
MOST_STARTS = 3
"""Of a task that one runner loses: there, once more by chance, and elsewhere."""

MOST_ORDERS = JOBS
"""Starts of it in the 20 s of a play, two a second; a pause of 3 s would count as lost work."""


def _refused(world: World) -> Step:
    world.refused["bad0"] = OrderResult.REJECTED
    return ONE


def _refused_lasting(world: World) -> Step:
    world.refused["bad0"] = OrderResult.REJECTED
    return LASTING


def _no_room(world: World) -> Step:
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
    [_refused, _refused_lasting, _no_room, _hangs, _fails_lasting],
    ids=lambda one: one.__name__,
)
def test_one_task_does_not_take_runner_after_runner_out_of_use(
    kind: Callable[[World], Step],
) -> None:
    world = small(instances=2, runners=RUNNERS, seed=3)
    first = world.instances["entry-0"]
    first.submit("bad0", kind(world), max_attempts=9)
    out_of_use = 0
    for number in range(JOBS):
        first.submit(f"{number:04x}", SOUND)
        for _ in range(5):
            world.run(EVERY_S / 5)
            leader = world.leader()
            assert leader is not None and leader.dispatcher.scheduler is not None
            held = leader.dispatcher.scheduler.runners.values()
            out_of_use = max(out_of_use, sum(one.distrusted_until > world.now for one in held))
    bound = [fields for name, fields in first.logged.lines if name == "task-bound"]
    bound += [
        fields for name, fields in world.instances["entry-1"].logged.lines if name == "task-bound"
    ]
    orders = sum(1 for fields in bound if fields.get("task", ("",))[0] == "bad0")
    assert out_of_use <= MOST_OUT_OF_USE, f"{out_of_use} of {RUNNERS} runners out of use"
    assert orders <= MOST_ORDERS
    world.run(3.0)
    phases = [first.index.phase(JobId(f"{number:04x}")) for number in range(JOBS)]
    assert phases == [JobPhase.COMPLETED] * JOBS


# Guards against runs that a runner loses without a word and that are bound there again for good.
def test_runs_that_a_runner_lists_no_more_go_elsewhere() -> None:
    world = small(instances=2, runners=3, seed=3)
    forgetful = next(iter(world.runners.values()))
    forgetful.forgets = True
    first = world.instances["entry-0"]
    jobs = [f"{number:04x}" for number in range(JOBS)]
    for job in jobs:
        first.submit(job, ONE)
        world.run(EVERY_S)
    world.run(SETTLE_S)
    assert [first.index.phase(JobId(job)) for job in jobs] == [JobPhase.COMPLETED] * JOBS
    most = max(len(starts) for starts in world.starts.values())
    assert most <= MOST_STARTS, f"{most} starts of one task"

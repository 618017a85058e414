"""Work that only a runner without a recent answer can take, in a fleet larger than is kept ready.

Load pattern: a leader with little processor time keeps a few of hundreds of idle runners ready.
Each kind of work that waits has to get runners asked for it, whatever else waits.
"""

from collections.abc import Iterable

import pytest

from spoolcrank.workflow import Step
from tests.fleet_world import World
from tests.leader_plays import current_leader, wait_for_starts

RUNNERS = 400
PROCESSORS = 0.02
"""Processors of the leader, in cores: 7 idle runners are kept ready, 22 while work waits."""

MAX_WAIT_S = 3.0
"""Time with nothing running after which an accepted job counts as lost, in seconds."""

MAX_RESTART_S = 7.9 + 2.0 + MAX_WAIT_S
"""Time from the crash of a runner that never returns until its task runs again, in seconds: the
leases, the retry delay, and the wait for a runner."""

LARGE = Step(count=1, millicores=30_000, memory_mb=100, estimate_ms=600)
UNPLACEABLE_GANG = Step(count=RUNNERS + 1, millicores=5000, memory_mb=100, gang=True)


def _world(large: tuple[int, ...]) -> World:
    """Return a fleet of small runners in which the numbered ones are large."""
    world = World()
    for number in range(RUNNERS):
        millicores = 32_000 if number in large else 8000
        world.add_runner(f"10.0.{number >> 8}.{number & 255}:80", millicores=millicores)
    world.add_instance("entry-0", PROCESSORS)
    world.run(30.0)
    return world


@pytest.fixture
def world() -> World:
    return _world(large=(100, RUNNERS // 2, RUNNERS - 1))


def _large_starts_behind(world: World, waiting: Iterable[Step]) -> None:
    """Let steps wait for some time, and have a task start that only a large runner can take."""
    leading = current_leader(world)
    for number, step in enumerate(waiting):
        leading.submit(f"a{number:03x}", step)
    world.run(3.0)
    leading.submit("b000", LARGE)
    wait_for_starts(world, "b000", MAX_WAIT_S)


def test_steps_that_can_start_nowhere_keep_no_runner_from_being_asked(world: World) -> None:
    """Guards against steps that wait for good and take the polls of all that wait behind them."""
    _large_starts_behind(world, [UNPLACEABLE_GANG] * 12)


def test_first_polls_of_a_new_leader_leave_room_for_runners_asked_before() -> None:
    """Guards against a runner that could take work and is not asked until all others were."""
    _large_starts_behind(_world(large=(100, 120)), [UNPLACEABLE_GANG])


def test_many_waiting_steps_of_different_needs_are_all_asked_for(world: World) -> None:
    """Guards against the first few needs of a long queue being the only ones asked for."""
    gangs = (
        Step(count=RUNNERS + 1, millicores=4100 + number, memory_mb=100, gang=True)
        for number in range(40)
    )
    _large_starts_behind(world, gangs)


def test_needs_that_no_runner_has_keep_no_other_from_its_turn(world: World) -> None:
    """Guards against a turn that never ends, as none of its needs ever gets a poll."""
    unplaceable = (Step(count=1, millicores=90_000 + number, memory_mb=100) for number in range(12))
    _large_starts_behind(world, unplaceable)


def test_a_suspect_gets_runners_asked_for_it(world: World) -> None:
    """Guards against a task that may crash runners and waits for one that is never asked."""
    leading = current_leader(world)
    world.crashing["b000"] = 0.3
    world.restart_delay_s = (1000.0, 1000.0)
    leading.submit("b000", LARGE)
    wait_for_starts(world, "b000", MAX_WAIT_S)
    wait_for_starts(world, "b000", MAX_RESTART_S, starts=2)
    world.crashing.clear()
    wait_for_starts(world, "b000", MAX_RESTART_S, starts=3)


def test_a_gang_wider_than_what_is_kept_ready_starts(world: World) -> None:
    """Guards against a gang that never finds all its runners ready at one time."""
    leading = current_leader(world)
    leading.submit("b000", Step(count=200, millicores=8000, memory_mb=100, gang=True))
    wait_for_starts(world, "b000", MAX_WAIT_S, starts=200)

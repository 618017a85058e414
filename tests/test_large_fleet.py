"""A leader with half a core in front of thousands of runners that are nearly all idle.

Load pattern: the fleet grows and the work does not. Polls of idle runners and the entries that they
write again and again must not keep the leader from the work.
"""

import functools

import pytest

from spoolcrank.poll_budget import (
    FIRST_POLLS_PER_CORE,
    IDLE_POLL_INTERVAL_S,
    IDLE_POLLS_PER_CORE_S,
    PollBudget,
)
from spoolcrank.polling import polls_due
from spoolcrank.workflow import Step
from tests.fleet_world import World
from tests.packed_runners import NOW, leader, runner

RUNNERS = 3000
PROCESSORS = 0.43
HEARTBEAT_S = 1.5
"""Interval at which a runner writes its entry, seconds."""

TAKEOVER_S = 12.0
"""Time from the leader's claim until traffic begins, seconds."""

MAX_WAIT_S = 3.0
"""Time without any run after which an accepted job counts as lost, seconds."""

SHORT = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=600)
LARGE = Step(count=1, millicores=30_000, memory_mb=100, estimate_ms=600)


def _write_entries(world: World) -> None:
    """Have each runner write its entry every HEARTBEAT_S."""
    for number, each in enumerate(list(world.runners.values())):

        def write(runner_id: str = each.id) -> None:
            world.store.entries.put(runner_id, b"ready")
            world.at(HEARTBEAT_S, functools.partial(write, runner_id))

        world.at(number * HEARTBEAT_S / RUNNERS, write)


def _large_world(takeover_s: float = TAKEOVER_S) -> World:
    world = World()
    world.store.max_read_records = 500
    for number in range(RUNNERS):
        millicores = 32_000 if number in (RUNNERS - 1, RUNNERS // 2) else 8000
        world.add_runner(f"10.0.{number >> 8}.{number & 255}:80", millicores=millicores)
    _write_entries(world)
    world.add_instance("entry-0", PROCESSORS)
    world.run(takeover_s)
    return world


@pytest.fixture(scope="module")
def world() -> World:
    return _large_world()


def test_idle_runners_get_no_more_polls_than_the_leader_can_afford(world: World) -> None:
    world.asked.clear()
    world.run(4.0)
    counted_s = 4.0 + IDLE_POLL_INTERVAL_S  # At the begin of it all may be due together.
    assert sum(world.asked.values()) <= counted_s * PROCESSORS * IDLE_POLLS_PER_CORE_S


def test_a_new_leader_reaches_idle_runners_at_the_rate_that_it_can_afford() -> None:
    """Guards against a leader that is busy with thousands of first polls when work waits."""
    world = _large_world(takeover_s=0.0)
    world.run_until(lambda: world.leader() is not None)
    world.run(4.0)
    first_polls = PROCESSORS * (FIRST_POLLS_PER_CORE + 4.0 * IDLE_POLLS_PER_CORE_S)
    idle_polls = PROCESSORS * IDLE_POLLS_PER_CORE_S * (4.0 + IDLE_POLL_INTERVAL_S)
    assert sum(world.asked.values()) <= first_polls + idle_polls
    leading = world.leader()
    assert leading is not None
    leading.submit("5000", LARGE)
    leading.submit("5001", SHORT)
    world.run_until(lambda: any(key.job == "5001" for key in world.starts), limit_s=0.5)
    world.run_until(lambda: any(key.job == "5000" for key in world.starts), limit_s=MAX_WAIT_S)


def test_jobs_begin_at_once_beside_thousands_of_idle_runners(world: World) -> None:
    """Guards against accepted jobs that stand still beside free runners."""
    leading = world.leader()
    assert leading is not None
    for number in range(12):
        job, begun_at = f"{number + 0x100:04x}", world.now
        leading.submit(job, SHORT)

        def started(job: str = job) -> bool:
            return sum(key.job == job for key in world.starts) == SHORT.count

        assert world.run_until(started, limit_s=MAX_WAIT_S) < 1.0, begun_at
    world.run_until(lambda: len(world.done) >= 12 * SHORT.count)
    assert not world.violations


def test_work_that_only_a_runner_not_polled_lately_can_take_begins_in_time(world: World) -> None:
    """Guards against work that waits because the runners that are kept ready can't take it."""
    leading = world.leader()
    assert leading is not None
    leading.submit("2000", LARGE)
    world.run_until(lambda: any(key.job == "2000" for key in world.starts), limit_s=MAX_WAIT_S)


def test_a_job_that_fits_nowhere_keeps_no_other_waiting(world: World) -> None:
    leading = world.leader()
    assert leading is not None
    leading.submit("3000", Step(count=1, millicores=900_000, memory_mb=100))
    world.run(3.0)
    leading.submit("3001", SHORT)
    world.run_until(lambda: any(key.job == "3001" for key in world.starts), limit_s=1.0)


def test_a_runner_is_asked_until_it_may_forget_its_ends() -> None:
    """Guards against ends of work that are stored and never acknowledged on a runner left idle."""
    idle, ended = runner("a"), runner("b")
    state = leader(idle, ended)
    state.polls = PollBudget(processors=0.001)
    for polled in (idle, ended):
        polled.polled_at = NOW - 1.0
    idle.polled_at += 0.5
    later = NOW + 2.0
    ended.lists_ends = True
    assert [poll.target.runner for poll in polls_due(state, later, True)] == [idle.id, ended.id]
    ended.lists_ends = ended.polling = idle.polling = False
    idle.polled_at = later - 1.6
    assert [poll.target.runner for poll in polls_due(state, later + 1.6, True)] == [ended.id]


def test_the_next_leader_keeps_the_work_of_a_large_fleet(world: World) -> None:
    """Guards against leases that run out while idle runners are asked first."""
    leading = world.leader()
    assert leading is not None
    world.lasting_jobs.add("4000")
    leading.submit("4000", Step(count=20, millicores=1000, memory_mb=100, lasting=True))
    world.run_until(lambda: sum(key.job == "4000" for key in world.starts) == 20)
    world.add_instance("entry-1", PROCESSORS)
    world.run(1.0)
    leading.kill()
    world.run(12.0)
    assert world.leader() is not None
    assert not world.violations
    assert all(len(at) == 1 for key, at in world.starts.items() if key.job == "4000")

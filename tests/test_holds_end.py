"""Holds end although their counterpart never answers, refuses, or answered in another's place."""

from collections.abc import Callable
from typing import Any

from spoolcrank.orders import OrderResult, Poll, Target
from spoolcrank.run_control import poll_failed
from spoolcrank.workflow import Step
from tests.fleet_runners import Runner
from tests.fleet_world import World, small_world
from tests.leader_plays import fail_reads
from tests.test_other_writers import entry, hang, with_routes

ONE = Step(count=1, millicores=1000, memory_mb=100)
MAX_HOLD_S = 3.0
"""Longest time, in seconds, for which a job may have nothing running beside free capacity."""


def give_room(world: World, runner: Runner, millicores: int) -> None:
    """Change the capacity of a runner, and let the leader read it."""
    runner.millicores = millicores
    world.store.entries.put(runner.id, b"ready")
    world.run(0.5)


def refuse_orders(runner: Runner, unanswered: int) -> None:
    """Have a runner carry out no order: the first starts get no answer, the rest a refusal."""
    starts = [OrderResult.UNKNOWN] * unanswered

    def start(order: object) -> OrderResult:
        return starts.pop() if starts else OrderResult.UNHEALTHY

    runner.start = start  # type: ignore[method-assign]
    runner.stop = lambda order: OrderResult.UNHEALTHY  # type: ignore[method-assign]


def starts_within(world: World, limit_s: float, started: Callable[[], bool]) -> float:
    """Return after how many seconds something has started; fail after a limit."""
    return world.run_until(started, limit_s)


# Guards against a task that is held for as long as a runner refuses the stop of its unconfirmed
# start, while another runner has room: the runner answered polls, and nothing released the run.
def test_a_refused_stop_holds_no_task_that_never_started() -> None:
    world = small_world(instances=1, runners=2)
    hang(world)
    unhealthy, sound = world.runners.values()
    refuse_orders(unhealthy, unanswered=1)
    give_room(world, sound, 0)
    world.instances["entry-0"].submit("a1", ONE)
    world.run(0.3)
    give_room(world, sound, 8000)
    starts_within(world, MAX_HOLD_S, lambda: bool(sound.tasks))
    assert world.violations == []


# Guards against a task that starts twice: a stop is refused, but its run goes on there.
def test_a_refused_stop_releases_no_run_that_is_listed() -> None:
    world = small_world(instances=1, runners=2)
    hang(world)
    unhealthy, sound = world.runners.values()
    give_room(world, sound, 0)
    world.lost_answer_share = 0.9
    world.instances["entry-0"].submit("a1", ONE)
    world.run_until(lambda: bool(unhealthy.tasks), 10.0)
    refuse_orders(unhealthy, unanswered=0)
    world.lost_answer_share = 0.0
    give_room(world, sound, 8000)
    world.run(5.0)
    assert unhealthy.tasks and not sound.tasks
    assert world.violations == []


def _leader_replaced_as_an_entry_is_overwritten() -> tuple[World, Runner]:
    """Let a new leader read an entry that names the address of another runner."""
    world = with_routes(small_world(instances=1, runners=2))
    named, other = world.runners.values()
    world.instances["entry-0"].kill()
    world.store.entries.put(named.id, entry(address=other.name, born=named.born))
    world.add_instance("entry-9")
    with_routes(world)
    world.run_until(lambda: world.leader() is not None)
    return world, named


# Guards against a runner that a leader never uses again: an overwritten entry named the address of
# another runner, whose answer counted as the end of the first.
def test_a_runner_whose_entry_is_its_own_again_takes_work() -> None:
    world, named = _leader_replaced_as_an_entry_is_overwritten()
    world.run(1.0)
    world.store.entries.put(named.id, b"ready")
    world.run(0.5)
    world.instances["entry-9"].submit("a1", Step(count=12, millicores=1000, memory_mb=100))
    starts_within(world, MAX_HOLD_S, lambda: bool(named.tasks))


# Guards against the same where the answer from the other address comes after the correction.
def test_an_answer_from_a_former_address_ends_no_runner() -> None:
    world = with_routes(small_world(instances=1, runners=2))
    named = next(iter(world.runners.values()))
    world.instances["entry-0"].kill()
    world.store.entries.put(named.id, entry(address="10.0.7.7:80", born=named.born))
    world.add_instance("entry-9")
    with_routes(world)
    world.run_until(lambda: world.leader() is not None)
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    state = leader.dispatcher.scheduler
    world.run_until(lambda: named.incarnation_id in state.runners)
    asked_at = state.runners[named.incarnation_id].entry.address
    asked = Poll(Target(named.incarnation_id, asked_at, 1), 0, None, 0)
    world.store.entries.put(named.id, b"ready")
    world.run(0.3)
    poll_failed(state, asked, OrderResult.OTHER_INCARNATION, world.now)
    assert not state.runners[named.incarnation_id].gone


# Guards against an entry that is written late, for a runner whose successor has answered.
def test_a_late_entry_of_a_replaced_runner_brings_it_not_back() -> None:
    world = with_routes(small_world(instances=1, runners=2))
    replaced = next(iter(world.runners.values()))
    replaced.crash()
    world.add_runner(replaced.name)
    world.run(1.0)
    world.store.entries.put(replaced.id, b"ready")
    world.run(1.0)
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    assert leader.dispatcher.scheduler.runners[replaced.incarnation_id].gone


# Guards against a leader that places nothing for as long as its reads of the store fail: its
# writes were stored, so that no other instance claimed.
def test_a_leader_that_cannot_read_gives_way() -> None:
    world = small_world(instances=3, runners=2)
    leader = world.leader()
    assert leader is not None
    other = next(each for each in world.instances.values() if each is not leader)
    fail_reads(leader)
    world.run(1.5)
    other.submit("a1", ONE)
    starts_within(world, MAX_HOLD_S, lambda: bool(world.starts))
    assert world.leader() is not leader
    assert "lets-others-claim" in [name for name, _ in leader.logged.lines]
    assert world.violations == []


# Guards against work that is lost because every leader gives way while nobody can read.
def test_running_work_outlives_reads_that_fail_everywhere() -> None:
    world = small_world(instances=3, runners=2)
    world.lasting_jobs = {"a1"}
    lasting = Step(count=4, millicores=1000, memory_mb=100, lasting=True)
    world.instances["entry-0"].submit("a1", lasting)
    world.run(1.0)
    ports: list[Any] = []
    for instance in world.instances.values():
        fail_reads(instance)
        ports += [instance.follower._log, instance.entries._log]
    world.run(8.0)
    for port in ports:
        del port._is_unreachable
    world.run(5.0)
    assert [len(starts) for starts in world.starts.values()] == [1] * 4
    assert sum(len(runner.tasks) for runner in world.runners.values()) == 4
    assert world.violations == []

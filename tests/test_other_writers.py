"""Malformed records, entries and answers of other writers: each is ignored, the others stay valid.

The tests guard against two failures. First, nothing was placed although an instance led, and no
other instance claimed the leadership: one entry in the list of runners was unreadable, the error of
the strict decoder left the callback of the read, and no further read of the list was sent. The
leader's heartbeat does not depend on the list. The tests with one such entry each failed on the
former code.

Second, a task ran twice at the same time: an entry of another id named the address of a live runner
whose own entry had expired. A second entry at an address counted as proof that the first runner
had ended. The test of this case failed on the former code without any other fault.
"""

import pytest

from spoolcrank.scheduler import RoutePolicy
from spoolcrank.workflow import Step
from tests.fleet_jobs import hang, lines, settle
from tests.fleet_world import ROUTE, SERVICE, World, small_world
from tests.runner_entries import entry

LASTING = Step(count=4, millicores=1000, memory_mb=100, lasting=True)
LONG = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=60_000)
OTHER = "i-other"


def with_routes(world: World) -> World:
    for instance in world.instances.values():
        instance.dispatcher.set_routes({ROUTE: RoutePolicy(SERVICE, 0, 3)})
    return world


UNREADABLE = {
    "bytes that are no text": b"\xff\xfe\x00",
    "no json": b"{",
    "another shape": b"[1, 2]",
    "null": b"null",
    "nested without end": b'{"later":' + b"[" * 20_000 + b"]" * 20_000 + b"}",
    "an enormous value": entry(labels=["x" * 100] * 2_000),
    "no service": entry(service=None),
    "an empty service": entry(service=""),
    "a service of another type": entry(service=7),
    "no address": entry(address=None),
    "an empty address": entry(address=""),
    "an address without a port": entry(address="10.0.9.9"),
    "an address with an empty port": entry(address="10.0.9.9:"),
    "a port of words": entry(address="10.0.9.9:http"),
    "a port out of range": entry(address="10.0.9.9:65536"),
    "port 0": entry(address="10.0.9.9:0"),
    "a negative port": entry(address="10.0.9.9:-1"),
    "a host by name": entry(address="runner.example:80"),
    "an address of another type": entry(address=["10.0.9.9:80"]),
    "no state": entry(state=None),
    "an unknown state": entry(state="resting"),
    "a state of another type": entry(state=True),
    "a capacity of another type": entry(capacity="all"),
    "a negative capacity": entry(capacity={"cpu": -1, "memMb": 1}),
    "a huge capacity": entry(capacity={"cpu": 10**30, "memMb": 1}),
    "a capacity that is no number": entry().replace(b"8000", b"NaN"),
    "a capacity beyond all numbers": entry().replace(b"8000", b"1e999"),
    "labels of another type": entry(labels=[1, None]),
    "labels that are no list": entry(labels="rack-1"),
}


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_an_unreadable_entry_is_ignored_and_the_others_stay_valid(value: bytes) -> None:
    world = with_routes(small_world(runners=1))
    world.store.entries.put(OTHER, value)
    world.run(1.0)
    later = world.add_runner("10.0.0.8:80")
    world.run(1.0)
    world.instances["entry-0"].submit("a1", Step(count=12, millicores=1000, memory_mb=100))
    settle(world, "a1")
    assert later.ends > 0
    assert OTHER not in world.asked
    logged = [line for line in lines(world, "entry-unreadable") if line["runner"] == OTHER]
    assert len(logged) == 1
    assert world.violations == []


def test_an_address_that_never_answered_is_polled_rarely() -> None:
    """Such an entry stays listed and each poll has a cost; it was polled every 0.4 s forever."""
    world = with_routes(small_world())
    world.store.entries.put(OTHER, entry())
    world.run(30.0)
    before = world.asked[OTHER]
    world.run(30.0)
    assert 5 <= world.asked[OTHER] - before <= 20


def test_an_entry_of_a_service_that_no_queue_names_is_not_polled_until_one_does() -> None:
    world = with_routes(small_world())
    world.store.entries.put(OTHER, entry(service="unheard"))
    world.run(3.0)
    leader = world.leader()
    assert leader is not None
    assert leader.dispatcher.scheduler is not None
    assert OTHER not in leader.dispatcher.scheduler.runners
    assert OTHER not in world.asked
    policies = {ROUTE: RoutePolicy(SERVICE, 0, 3), "more": RoutePolicy("unheard", 0, 3)}
    leader.dispatcher.set_routes(policies)  # type: ignore[arg-type]
    world.run(0.5)
    assert OTHER in world.asked


def test_a_job_of_a_service_that_no_queue_names_any_more_keeps_its_runners() -> None:
    world = small_world()
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    leader = world.leader()
    assert leader is not None
    leader.dispatcher.set_routes({ROUTE: RoutePolicy("unheard", 0, 3)})  # type: ignore[arg-type]
    world.run(3.0)
    assert sum(len(runner.tasks) for runner in world.runners.values()) == LONG.count
    assert all(len(starts) == 1 for starts in world.starts.values())


def test_an_entry_at_a_live_runners_address_frees_none_of_its_runs() -> None:
    world = small_world()
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    world.store.entries.put(OTHER, entry(address=runner.name))
    world.run(1.0)
    world.store.entries.put(runner.id, b"")
    world.run(5.0)
    assert world.violations == []
    assert sum(len(candidate.tasks) for candidate in world.runners.values()) == LONG.count
    assert all(len(starts) == 1 for starts in world.starts.values())


def test_an_entry_without_an_address_frees_no_run_of_an_earlier_leader() -> None:
    """A leader does not know the address of an inherited run whose runner is not listed."""
    world = small_world(instances=1)
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    world.instances["entry-0"].kill()
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    world.store.entries.put(runner.id, b"")
    world.store.entries.put(OTHER, entry(address=""))
    world.add_instance("entry-9")
    world.run(6.0)
    assert world.leader() is not None
    assert world.violations == []


@pytest.mark.parametrize("old_entry", [b"", b"ready"], ids=["went", "stands"])
def test_a_crashed_runners_runs_are_free_once_another_incarnation_answers(old_entry: bytes) -> None:
    world = small_world()
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    moved = list(runner.tasks)
    runner.crash()
    world.run(0.5)
    world.add_runner(runner.name)
    world.store.entries.put(runner.id, old_entry)
    world.run_until(lambda: all(len(world.starts[key]) == 2 for key in moved), 2.0)
    assert world.violations == []


OVERWRITTEN = {
    "no json": b"{",
    "an unknown state": entry(address="10.0.0.0:80", state="resting"),
    "another service": entry(address="10.0.0.0:80", service="unheard"),
    "another address": entry(address="10.0.0.1:80"),
}


@pytest.mark.parametrize("value", OVERWRITTEN.values(), ids=OVERWRITTEN)
def test_an_overwritten_runner_entry_moves_no_task_at_once(value: bytes) -> None:
    world = with_routes(small_world())
    world.lasting_jobs = {"b1"}
    world.instances["entry-0"].submit("b1", LASTING, LASTING, LASTING)
    world.run(1.0)
    runner = next(
        candidate for candidate in world.runners.values() if candidate.name == "10.0.0.0:80"
    )
    assert runner.tasks
    world.store.entries.put(runner.id, value)
    world.run(1.5)
    world.store.entries.put(runner.id, b"ready")
    world.run(5.0)
    assert all(len(starts) == 1 for starts in world.starts.values())
    assert world.violations == []


def test_a_known_runner_whose_entry_stays_unreadable_counts_as_leaving() -> None:
    world = with_routes(small_world())
    world.lasting_jobs = {"b1"}
    world.instances["entry-0"].submit("b1", LASTING, LASTING, LASTING)
    world.run(1.0)
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    world.store.entries.put(runner.id, b"{")
    world.run(6.0)
    assert not runner.tasks
    assert sum(len(candidate.tasks) for candidate in world.runners.values()) == 3 * LASTING.count
    assert world.violations == []


def test_an_entry_is_decoded_once_for_each_offset() -> None:
    world = with_routes(small_world())
    world.store.entries.put(OTHER, b"{")
    world.run(1.0)
    known = next(iter(world.runners))
    before = world.decoded.count(known), world.decoded.count(OTHER)
    for number in range(20):
        world.store.entries.put(f"i-more-{number}", entry())
        world.run(0.4)
    assert (world.decoded.count(known), world.decoded.count(OTHER)) == before
    assert len(lines(world, "entry-unreadable")) == 1

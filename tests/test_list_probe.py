"""A leader whose copy of the list of runners or the log is old is followed by one that has both."""

import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from spoolcrank.dispatcher import TICK_S
from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.keyed_log import LEADER_KEY
from spoolcrank.leadership import Claim, Leadership, decode_claim
from spoolcrank.leadership_monitor import LeadershipMonitor, PlacingBlock, log_placing_block
from spoolcrank.list_probe import MAX_OLD_COPY_S, MAX_PROBE_DELAY_S, is_copy_old, probe_delay_s
from spoolcrank.scheduler import Scheduler
from spoolcrank.store_port import NewestPage, ReadOutcome, Records
from spoolcrank.workflow import Step, encode
from tests.fleet_store import StorePort
from tests.fleet_world import Instance, World
from tests.leader_plays import (
    LASTING,
    SEEDS,
    ClaimOfBefore,
    end_of_trouble,
    fleet,
    trouble_of_store,
)

ONE = Step(count=1, millicores=1000, memory_mb=100)
HEARTBEAT_S = 0.3

MAX_HOLD_S = 6.0
"""Longest time, in seconds, from the first read of the list that fails until work starts again."""


def _beat(world: World) -> None:
    """Have the runners renew their entries."""
    for runner in list(world.runners.values()):
        if runner.alive:
            world.store.entries.put(runner.id, b"ready")
    world.at(HEARTBEAT_S, lambda: _beat(world))


def _world(seed: int = 1, instances: int = 4, runners: int = 4) -> tuple[World, Instance]:
    world = fleet(seed, instances, runners)
    _beat(world)
    world.lasting_jobs = {"ab"}
    leader = world.leader()
    assert leader is not None
    leader.submit("ab", LASTING)
    world.run_until(lambda: len(world.starts) == LASTING.count)
    world.run(1.0)
    return world, leader


def _fail(port: StorePort, after_s: float = 0.2) -> None:
    """Have all reads of one topic by one instance fail."""
    changed: Any = port
    later = port.instance.later

    def read(offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        later(after_s, lambda: done(Records(ReadOutcome.FAILED)))

    def newest(after_key: str, done: Callable[[NewestPage], None]) -> None:
        later(after_s, lambda: done(NewestPage(False)))

    changed.read, changed.newest = read, newest


def _delay(port: StorePort, delay_s: float) -> None:
    """Have all reads of one topic by one instance take longer."""
    changed: Any = port
    later, read, newest = port.instance.later, port.read, port.newest
    changed.read = lambda offset, wait_ms, done: read(
        offset, wait_ms, lambda answer: later(delay_s, lambda: done(answer))
    )
    changed.newest = lambda after_key, done: newest(
        after_key, lambda page: later(delay_s, lambda: done(page))
    )


def _never_load(port: StorePort) -> None:
    """Have one instance's copy lose its place in a topic, and its loads not end."""
    changed: Any = port
    later, newest = port.instance.later, port.newest
    changed.read = lambda offset, wait_ms, done: later(
        0.01, lambda: done(Records(ReadOutcome.EXPIRED))
    )
    changed.newest = lambda after_key, done: newest("", lambda page: done(page._replace(more=True)))


def _restore(port: StorePort) -> None:
    for name in ("read", "newest"):
        vars(port).pop(name, None)


def _port(instance: Instance, topic: str) -> Any:
    return instance.entries._log if topic == "list" else instance.follower._log


def _ports(world: World, topic: str) -> list[Any]:
    return [_port(instance, topic) for instance in world.instances.values()]


def _lists(world: World) -> list[Any]:
    return _ports(world, "list")


def _starts(world: World, job: str, limit_s: float = 30.0) -> float:
    """Return after how many seconds a job has started."""
    return world.run_until(lambda: any(key.job == job for key in world.starts), limit_s)


TROUBLES: dict[str, Callable[[Any], None]] = {
    "fail": _fail,
    "fail late": lambda port: _fail(port, 1.5),
    "are 3 s late": lambda port: _delay(port, 3.0),
    "never load": _never_load,
}


# Guards against a leader that places nothing for as long as its reads of one topic fail, are late,
# or never reach its end.
@pytest.mark.parametrize("topic", ["list", "log"])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_another_instance_leads_where_a_copy_of_the_leader_is_old(trouble: str, topic: str) -> None:
    world, leader = _world()
    TROUBLES[trouble](_port(leader, topic))
    began_at = world.now
    world.run(2.0)
    other = next(each for each in world.instances.values() if each is not leader)
    other.submit("cd", ONE)
    _starts(world, "cd")
    assert world.now - began_at <= MAX_HOLD_S
    assert world.leader() is not leader
    world.run(10.0)
    assert [len(starts) for key, starts in world.starts.items() if key.job == "ab"] == [1] * 4
    assert world.violations == []


# Guards against the same for a leader that never read the list, and so knows no runner.
def test_a_new_leader_that_cannot_read_the_list_is_followed_before_leases_end() -> None:
    world, leader = _world()
    others = [each for each in world.instances.values() if each is not leader]
    for instance in others[1:]:
        instance_list: Any = instance.entries._log
        _fail(instance_list)
    others[0].freeze(2.0)
    leader.kill()
    world.run(12.0)
    assert world.leader() is others[0]
    assert sum(len(runner.tasks) for runner in world.runners.values()) == 4
    assert [len(starts) for starts in world.starts.values()] == [1] * 4
    assert world.violations == []


# Guards against work that is lost because a leader gives way where nobody can read a topic.
@pytest.mark.parametrize(
    ("trouble", "topic"),
    [(trouble, "list") for trouble in TROUBLES] + [("are 3 s late", "log"), ("never load", "log")],
)
def test_running_work_outlives_a_topic_that_nobody_can_read(trouble: str, topic: str) -> None:
    world, leader = _world()
    for port in _ports(world, topic):
        TROUBLES[trouble](port)
    world.run(30.0)
    assert world.leader() is leader
    for port in _ports(world, topic):
        _restore(port)
    world.run(1.0)
    leader.submit("cd", ONE)
    assert _starts(world, "cd") < 3.0
    assert [len(starts) for key, starts in world.starts.items() if key.job == "ab"] == [1] * 4
    assert world.violations == []


# Guards against a successor that loses all work as it can read the list no more once it leads.
def test_a_successor_knows_the_runners_that_it_read_before_its_claim() -> None:
    world, leader = _world()
    ports = _lists(world)
    list_of_leader: Any = leader.entries._log
    _fail(list_of_leader)
    world.run_until(lambda: not leader.leadership.leads, 8.0)
    for port in ports:
        _fail(port)
    world.run(12.0)
    assert world.leader() is not leader
    assert [len(starts) for starts in world.starts.values()] == [1] * 4
    assert sum(len(runner.tasks) for runner in world.runners.values()) == 4
    assert world.violations == []


# Guards against a takeover at the moment at which the store is back, for the leader as well: all
# other instances had the list as soon as the leader, and claimed before they read its withdrawal.
@pytest.mark.parametrize("fails_after_s", [0.05, 0.4, 0.8])
def test_no_lead_passes_as_the_list_is_back_for_all(fails_after_s: float) -> None:
    for tenths in range(8):
        world, leader = _world()
        for port in _lists(world):
            _fail(port, fails_after_s)
        world.run(6.0 + tenths / 10)
        for port in _lists(world):
            _restore(port)
        world.run(5.0)
        assert world.leader() is leader
        assert world.store.jobs.epoch == 1


# Guards against instances that go on to read the list, or claim, after the leader reads it again.
def test_nobody_claims_once_the_leader_reads_the_list_again() -> None:
    world, leader = _world()
    for port in _lists(world):
        _fail(port)
    world.run(6.0)
    others = [each for each in world.instances.values() if each is not leader]
    assert all(each.leadership.leader_lacks_copy for each in others)
    list_of_leader: Any = leader.entries._log
    _restore(list_of_leader)
    world.run(2.0)
    for port in _lists(world):
        _restore(port)
    world.run(5.0)
    assert world.leader() is leader
    assert not any(each.leadership.leader_lacks_copy or each.entries.copy.loaded for each in others)


# Guards against a leader that does not state it while it has other records to write all the time.
def test_a_busy_leader_states_that_it_lacks_the_list() -> None:
    world, leader = _world()
    list_of_leader: Any = leader.entries._log
    _fail(list_of_leader)

    def fill() -> None:
        if leader.dispatcher.scheduler is not None:
            leader.submit(f"{round(world.now * 1000):x}", ONE)
        world.at(0.02, fill)

    fill()
    world.run_until(lambda: world.leader() not in (leader, None), MAX_HOLD_S)
    assert world.violations == []


# Guards against a reading of own statements as claims of another leader.
def test_a_stated_lack_is_no_other_claim() -> None:
    leadership = Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), 100.0)
    leadership.read_claim(
        Claim(4, leadership.instance, leadership.incarnation, processors=1.0), 100.0
    )
    leadership.lacks_copy = True
    assert leadership.statement_due
    stating = leadership.own_claim()
    assert stating.lacks_copy and not leadership.statement_due
    assert not leadership.read_claim(stating, 101.0)
    assert leadership.leads and leadership.leader_lacks_copy
    assert not leadership.read_claim(msgspec.structs.replace(stating, lacks_copy=False), 102.0)
    assert not leadership.leader_lacks_copy


# Guards against claims that instances of the version before, or of this one, cannot read.
def test_claims_of_two_versions_are_read_by_both() -> None:
    stating = encode(Claim(4, InstanceId("e"), Incarnation("e-1"), lacks_copy=True))
    assert msgspec.json.decode(stating, type=ClaimOfBefore).term == 4
    assert not decode_claim(encode(ClaimOfBefore(4))).lacks_copy


# Guards against hundreds of instances that read the whole list at once.
def test_few_instances_probe_at_first_and_all_in_the_end() -> None:
    delays = sorted(probe_delay_s(f"entry-{number}") for number in range(300))
    assert 1 <= sum(delay <= 2 * TICK_S for delay in delays) <= 15
    assert sum(delay <= MAX_PROBE_DELAY_S / 2 for delay in delays) <= 60
    assert delays[-1] <= MAX_PROBE_DELAY_S


def _play(seed: int) -> World:
    """Let reads fail here and there, with leaders killed and frozen."""
    chance = random.Random(seed)
    world = _world(seed, instances=chance.choice([2, 4]))[0]
    world.max_transit_s = chance.choice([0.0, 0.05])
    for number in range(chance.choice([1, 2, 3])):
        current = world.leader()
        for port in _lists(world) + _ports(world, "log"):
            _restore(port)
            if chance.random() < (0.7 if port.instance is current else 0.2):
                chance.choice(list(TROUBLES.values()))(port)
        if chance.random() < 0.3 and current is not None:
            trouble_of_store(world, current.name, chance)
        cut = chance.choice(list(world.runners.values()))
        if chance.random() < 0.4:
            world.unreachable |= {(name, cut.name) for name in world.instances}
        world.run(chance.uniform(0.0, 6.0))
        end_of_trouble(world)
        kind = chance.choice(["kill", "freeze", "none"])
        if kind == "kill" and current is not None and current.alive:
            current.kill()
            world.add_instance(f"next-{number}", chance.choice([1.0, 8.0]))
        elif kind == "freeze" and current is not None:
            current.freeze(chance.uniform(0.5, 5.0))
        world.run(chance.uniform(0.0, 3.0))
        world.unreachable.clear()
    for port in _lists(world) + _ports(world, "log"):
        _restore(port)
    world.run(8.0)
    return world


# Guards against work that runs twice, or stands, where the lead moves for the sake of copies.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_reads_that_fail_here_and_there_run_nothing_twice(seed: int) -> None:
    world = _play(seed)
    name = next(iter(world.instances))
    world.instances[name].submit("cd", ONE)
    assert _starts(world, "cd") <= 10.0
    assert world.violations == []


# Guards against a leader that places nothing for good, as now one copy is old and now the other.
def test_copies_that_are_old_by_turns_count_as_old() -> None:
    monitor, now = LeadershipMonitor(0.0), 100.0
    state = Scheduler(1, now, now)
    blocks = [PlacingBlock.OLD_LIST, PlacingBlock.OLD_LOG]
    turn_s = 0.8 * MAX_OLD_COPY_S
    for number, block in enumerate([*blocks, PlacingBlock.NONE, *blocks]):
        log_placing_block(monitor, state, block, 2.0, now + number * turn_s)
        assert is_copy_old(monitor, now + (number + 0.9) * turn_s) is (number in (1, 4))


# Guards against tests that pass without the statement.
def test_without_the_statement_work_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("spoolcrank.dispatcher.is_copy_old", lambda monitor, now: False)
    world, leader = _world()
    list_of_leader: Any = leader.entries._log
    _fail(list_of_leader)
    world.run(2.0)
    leader.submit("cd", ONE)
    with pytest.raises(AssertionError, match="condition not met"):
        _starts(world, "cd")
    claims = [each.value for each in world.store.jobs.records if each.key == LEADER_KEY]
    assert not any(decode_claim(claim).lacks_copy for claim in claims)


# Guards against a test of running work that passes although instances claim without the list.
def test_claims_without_the_list_lose_running_work(monkeypatch: pytest.MonkeyPatch) -> None:
    claimable = property(lambda self: True, lambda *_: None)
    monkeypatch.setattr(Leadership, "has_copies", claimable, raising=False)
    world, _ = _world()
    for port in _lists(world):
        _fail(port)
    world.run(30.0)
    assert sum(len(runner.tasks) for runner in world.runners.values()) == 0

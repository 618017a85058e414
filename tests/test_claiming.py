"""Test the conditions of claims and offers; each test fails without its mechanism."""

from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank import placing_pass
from spoolcrank.claiming import Claiming
from spoolcrank.dispatcher import TICK_S
from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.keyed_log import LEADER_KEY, OFFER_KEY, KeyedLog
from spoolcrank.leadership import (
    CLAIM_JITTER_S,
    LEADER_TIMEOUT_S,
    SELF_FENCE_S,
    SMALLER_INSTANCE_DELAY_S,
    Leadership,
    Offer,
    decode_claim,
)
from spoolcrank.log_follower import LAZY_READ_DELAY_S
from spoolcrank.store_port import Append, Appended
from spoolcrank.workflow import Step, encode
from tests.fleet_world import World, small_world
from tests.log_recorder import LogRecorder

NOW = 100.0


class _Follower:
    """A follower that reads to the log's end at once, possibly finding a leader heartbeat."""

    def __init__(self, on_read: Callable[[], None], reads: bool = True) -> None:
        self.copy = KeyedLog()
        self.copy.loaded = True
        self.eager = False
        self.generation = 0
        self._on_read = on_read
        self._reads = reads

    def refresh(self, done: Callable[[bool], None]) -> None:
        self._on_read()
        done(self._reads)


class _Log:
    """A log that records appends and does not answer."""

    def __init__(self) -> None:
        self.appends: list[Append] = []

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        self.appends.append(append)


def _silent_leader() -> Leadership:
    return Leadership(InstanceId("entry-1"), Incarnation("entry-1-1"), NOW - 60.0)


@pytest.mark.parametrize(("wrote", "claims"), [(False, 1), (True, 0)])
def test_a_claimant_that_reads_a_heartbeat_first_does_not_claim(wrote: bool, claims: int) -> None:
    """Followers read late, so a leader that seems silent may have written in the meantime."""
    leadership = _silent_leader()
    log: Any = _Log()
    follower: Any = _Follower(lambda: leadership.record_leader_write(NOW) if wrote else None)
    logged: Any = LogRecorder()
    Claiming(leadership, log, follower, logged, lambda: NOW).claim_or_offer(NOW)
    assert len(log.appends) == claims


# Guards against a claim that follows no read, as the silence alone makes it due while reads fail.
@pytest.mark.parametrize(("reads", "claims"), [(True, 1), (False, 0)])
def test_a_claimant_whose_read_fails_does_not_claim(reads: bool, claims: int) -> None:
    log: Any = _Log()
    follower: Any = _Follower(lambda: None, reads)
    logged: Any = LogRecorder()
    Claiming(_silent_leader(), log, follower, logged, lambda: NOW).claim_or_offer(NOW)
    assert len(log.appends) == claims


def test_a_smaller_instance_waits_longer_than_a_large_one_may_be_delayed() -> None:
    assert SMALLER_INSTANCE_DELAY_S >= CLAIM_JITTER_S + LAZY_READ_DELAY_S + TICK_S


def test_a_claim_counts_from_the_first_sending_of_its_term() -> None:
    """Any attempt may be the stored one, and successors count from when it was stored."""
    leadership = _silent_leader()
    first = leadership.next_claim(NOW)
    again = leadership.next_claim(NOW + 1.0)
    assert first.term == again.term
    assert leadership.claimed_at == NOW


def test_a_claim_that_is_read_back_late_counts_from_when_it_was_sent() -> None:
    world = small_world(instances=2)
    leader = world.leader()
    assert leader is not None
    other = next(instance for instance in world.instances.values() if instance is not leader)
    world.run(2.0)
    world.store.slow_reads_s[other.name] = 0.6
    leader.kill()
    while other.dispatcher.scheduler is None:
        world.run(0.001)
    assert other.leadership.extends_until < world.now - 0.5 + SELF_FENCE_S


def test_the_first_offer_that_is_read_names_the_successor() -> None:
    """A second successor would claim at the same time, and the others would wait for both."""
    world = small_world(instances=3)
    leader = world.leader()
    assert leader is not None
    world.run(1.0)
    for name in ("large-1", "large-2"):
        offer = Offer(InstanceId(name), Incarnation(f"{name}-1"), 50.0)
        world.store.jobs.put(OFFER_KEY, encode(offer))
    world.run_until(lambda: leader.dispatcher.scheduler is None)
    claims = [record for record in world.store.jobs.records if record.key == LEADER_KEY]
    resigned = [decode_claim(record.value) for record in claims]
    successors = [claim.successor for claim in resigned if claim.resigned]
    assert successors == [Incarnation("large-1-1")]


def test_a_pass_in_parts_goes_on_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a part binds nothing, nothing else triggers a decision before the next tick (0.1 s)."""
    monkeypatch.setattr(placing_pass, "MAX_PAIRS_PER_PART", 8)
    world = World(1)
    for number in range(8):
        world.add_runner(f"10.0.0.{number}:80", millicores=64_000)
    world.add_instance("entry-0")
    world.run_until(lambda: world.leader() is not None)
    world.run(LEADER_TIMEOUT_S)
    jobs = 60
    for number in range(jobs):
        large = Step(count=1, millicores=90_000, memory_mb=1, lasting=True)
        world.instances["entry-0"].submit(f"a{number:02}", large)
    fits = Step(count=1, millicores=1000, memory_mb=1, lasting=True)
    world.instances["entry-0"].submit("ff", fits)
    took_s = world.run_until(lambda: bool(world.starts))
    assert took_s < jobs * TICK_S / 3

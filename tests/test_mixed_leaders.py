"""Leaders of an earlier version between leaders of this one, beside silent runners.

The earlier version states no runners in its claims, grants leases from its takeover on, takes each
leader for one that granted some, and never gives way.
"""

import random
from typing import Any

import msgspec
import pytest

from spoolcrank import dispatcher, leader_records, run_control
from spoolcrank.giving_way import gives_way
from spoolcrank.leadership import Claim, Leadership
from spoolcrank.unreached_runners import claim_due, may_adopt, own_claim
from tests import leader_plays as plays

OLD: set[int] = set()

_begin_term = dispatcher.begin_term
_read_claim = Leadership.read_claim
_next_claim = Leadership.next_claim


def _begin(leadership: Leadership, *args: Any) -> Any:
    state = _begin_term(leadership, *args)
    if leadership.instance.startswith("old"):
        OLD.add(id(state))
        state.stated.inherited_since = {}
        state.stated.grants_claimed = state.stated.granting = True
    else:
        OLD.discard(id(state))
    return state


def _as_before(claim: Claim, leadership: Leadership) -> Claim:
    if not leadership.instance.startswith("old"):
        return claim
    return msgspec.structs.replace(claim, granted_nothing=False)


def _read(self: Leadership, claim: Claim, now: float) -> bool:
    return _read_claim(self, _as_before(claim, self), now)


def _next(self: Leadership, now: float) -> Claim:
    return _as_before(_next_claim(self, now), self)


def _own_claim(leadership: Leadership, state: Any, now: float) -> Any:
    return leadership.own_claim() if id(state) in OLD else own_claim(leadership, state, now)


def _claim_due(state: Any, now: float) -> bool:
    return id(state) not in OLD and claim_due(state, now)


def _never_gives_way(state: Any, *args: Any) -> bool:
    return id(state) not in OLD and gives_way(state, *args)


def _may_adopt(state: Any, runner: Any, now: float) -> bool:
    return not state.resigned if id(state) in OLD else may_adopt(state, runner, now)


def _play(seed: int) -> list[str]:
    chance = random.Random(seed)
    world = plays.fleet(seed, instances=2, runners=4)
    world.add_instance("old-1")
    world.add_instance("old-2")
    for runner in world.runners.values():
        runner.clock_rate = 0.98
    cut = plays.kill_leader_beside_a_cut(world, chance, [0.0, 0.1], 0.5)
    for number in range(chance.choice([2, 3, 4])):
        kind = chance.choice(["old", "new"])
        world.add_instance(f"{kind}-x{number}", chance.choice([1.0, 1.0, 8.0]))
        current = plays.next_leader(world)
        plays.trouble_of_store(world, current.name, chance)
        if chance.random() < 0.4:
            plays.fail_reads(current)
        world.run(chance.uniform(0.0, 4.5))
        if chance.random() < 0.5:
            world.unreachable.discard((current.name, cut.name))
            world.run(chance.choice([0.02, 0.3, 1.0]))
        plays.cut_off(world, cut)
        end = chance.choice(["kill", "freeze", "none"])
        if end == "kill" and current.alive and current.name in world.instances:
            current.kill()
        elif end == "freeze":
            current.freeze(chance.uniform(1.0, 6.0))
        world.run(chance.uniform(0.0, 0.5))
        plays.end_of_trouble(world)
        if chance.random() < 0.6:
            plays.restore_reads(world)
    plays.restore_reads(world)
    return plays.violations_at_end(world, 5.0)


@pytest.mark.parametrize("seed", range(plays.SEEDS))
def test_leaders_of_two_versions_run_nothing_twice(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Leadership, "read_claim", _read)
    monkeypatch.setattr(Leadership, "next_claim", _next)
    monkeypatch.setattr(dispatcher, "begin_term", _begin)
    monkeypatch.setattr(dispatcher, "own_claim", _own_claim)
    monkeypatch.setattr(leader_records, "claim_due", _claim_due)
    monkeypatch.setattr(dispatcher, "gives_way", _never_gives_way)
    monkeypatch.setattr(run_control, "may_adopt", _may_adopt)
    assert _play(seed) == []

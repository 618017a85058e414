"""A leader that ends before it granted a lease changes nothing for its successor."""

import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from spoolcrank import dispatcher, unreached_runners
from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.leadership import Claim, Leadership, decode_claim
from spoolcrank.mechanisms import Mechanism
from spoolcrank.orders import Report
from spoolcrank.polling import polls_due
from spoolcrank.run_control import poll_answered
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.unreached_runners import (
    MAX_WAIT_TO_GRANT_S,
    begin_term,
    claim_due,
    claim_stored,
    own_claim,
    resignation,
)
from spoolcrank.workflow import Step, encode
from tests.fleet_world import Runner, World
from tests.leader_plays import (
    SEEDS,
    ClaimOfBefore,
    cut_off,
    end_of_trouble,
    fleet,
    new_leadership,
    next_leader,
    pass_after_lead,
    runs_twice,
    start_lasting,
    trouble_of_store,
    violations_at_end,
)
from tests.packed_runners import NOW, SHORT, put, runner

MUTANT_SEEDS = 80
SPREAD = Step(count=4, millicores=1000, memory_mb=100, lasting=True, max_per_instance=1)
NO_MECHANISMS: frozenset[Mechanism] = frozenset()


def _short_terms(seed: int) -> list[str]:
    """Return the violations of a play in which leaders follow one another within seconds.

    A runner with lasting tasks is cut off from all instances and its leader is killed; another
    runner may be lost. One of the
    next leaders reaches the runner. Each of them dies, freezes or resigns soon after its takeover,
    some after the store turned them away from the time when they had read the list of runners.
    """
    chance = random.Random(seed)
    world = fleet(seed, instances=4, runners=7)
    world.max_transit_s = chance.choice([0.0, 0.02, 0.1])
    for each in world.runners.values():
        each.clock_rate = chance.choice([0.98, 0.98, 1.0])
    busy = start_lasting(world, SPREAD)
    cut, lost, *_ = chance.sample(busy, 2)
    if chance.random() < 0.3:
        world.crash(lost, restart_delay_s=1000.0)
    cut_off(world, cut)
    next_leader(world).kill()
    terms = chance.choice([2, 3, 4])
    reaches = chance.randrange(terms)
    for number in range(terms):
        world.add_instance(f"next-{number}", chance.choice([1.0, 1.0, 8.0]))
        _lead_shortly(world, cut, number == reaches or chance.random() < 0.1, chance)
    cut_off(world, cut)
    end_of_trouble(world)
    return violations_at_end(world)


def _lead_shortly(world: World, cut: Runner, reaches: bool, chance: random.Random) -> None:
    """Let the next leader lead for a short time, perhaps reach the runner meanwhile, and end."""
    if reaches:
        world.unreachable.clear()
    else:
        cut_off(world, cut)
    current = next_leader(world)
    trouble = chance.choice(["refused", "refused", "any", "none"])
    if trouble == "refused":
        state = current.dispatcher.scheduler
        world.run_until(lambda: state is None or state.stated.listed_at is not None)
        world.store.refused_instances.add(current.name)
    elif trouble == "any":
        trouble_of_store(world, current.name, chance)
    world.run(chance.choice([0.1, 0.25, 0.4, 1.0]) * chance.uniform(0.5, 1.0))
    cut_off(world, cut)
    end = chance.choice(["kill", "kill", "kill", "freeze", "resign"])
    if end == "freeze":
        current.freeze(chance.uniform(1.0, 4.0))
    elif end == "resign":
        current.dispatcher.leave(lambda: None)
    else:
        current.kill()
    pass_after_lead(world, chance, 0.3)


# Guards against a successor that takes leases for passed which a leader of a short term granted.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_leaders_of_short_terms_run_nothing_twice(seed: int) -> None:
    assert _short_terms(seed) == []


_begin_term = unreached_runners.begin_term
_read_claim = Leadership.read_claim
_own_claim = unreached_runners.own_claim


def _grant_at_once(leadership: Leadership, *args: Any) -> Scheduler:
    state = _begin_term(leadership, *args)
    state.stated.granting = True
    return state


def _read_as_marked(self: Leadership, claim: Claim, now: float) -> bool:
    granted_nothing = claim.granted_nothing or claim.instance != self.instance
    claim = msgspec.structs.replace(claim, granted_nothing=granted_nothing)
    return _read_claim(self, claim, now)


def _grant_once_sent(leadership: Leadership, state: Scheduler, now: float) -> Claim:
    claim = _own_claim(leadership, state, now)
    state.stated.granting = state.stated.grants_claimed
    return claim


MUTATIONS: dict[str, tuple[Any, str, Callable[..., Any]]] = {
    "leases are granted at once": (dispatcher, "begin_term", _grant_at_once),
    "leases are granted before the claim is stored": (dispatcher, "own_claim", _grant_once_sent),
    "no leader counts as one that granted": (Leadership, "read_claim", _read_as_marked),
}


# Guards against plays that would not show a broken promise.
@pytest.mark.parametrize("name", list(MUTATIONS))
def test_breaking_the_promise_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*MUTATIONS[name])
    assert runs_twice(_short_terms, MUTANT_SEEDS)


def _claim(term: int, granted_nothing: bool, **fields: Any) -> Claim:
    incarnation = Incarnation(f"entry-{term}-1")
    instance = InstanceId(f"entry-{term}")
    return Claim(term, instance, incarnation, granted_nothing=granted_nothing, **fields)


# Guards against a wait for leases that begins anew with a leader that granted none.
def test_a_leader_that_granted_nothing_leaves_what_its_predecessor_stated() -> None:
    leadership = new_leadership()
    leadership.read_claim(_claim(4, False, unreached_ms={"i-1": 3000}), NOW)
    leadership.read_claim(_claim(5, True), NOW + 2.0)
    leadership.record_leader_write(NOW + 2.5)
    leadership.read_claim(_claim(5, True), NOW + 3.0)
    assert leadership.unreached_since(6) == {"i-1": NOW - 3.0}
    assert leadership.predecessor_wrote_at == NOW


# Guards against a successor that takes a leader for one that granted nothing after it may have.
def test_a_leader_counts_from_its_first_claim_that_permits_grants() -> None:
    leadership = new_leadership()
    leadership.read_claim(_claim(4, False, unreached_ms={"i-1": 3000}), NOW)
    leadership.read_claim(_claim(5, True), NOW + 2.0)
    leadership.read_claim(_claim(5, False, unreached_ms={"i-2": 100}), NOW + 3.0)
    assert leadership.unreached_since(6) == {"i-2": NOW + 3.0 - 0.1}
    assert leadership.predecessor_wrote_at == NOW + 3.0
    leadership.record_leader_write(NOW + 3.5)
    assert leadership.predecessor_wrote_at == NOW + 3.5


# Guards against leases of a leader whose claims were not read: after a load, only the newest is.
def test_leases_may_run_from_now_if_claims_were_missed() -> None:
    leadership = new_leadership()
    leadership.read_claim(_claim(4, False, unreached_ms={"i-1": 3000}), NOW)
    leadership.record_missed_claims()
    leadership.read_claim(_claim(6, True), NOW + 9.0)
    assert leadership.unreached_since(7) == {}
    assert leadership.predecessor_wrote_at == NOW + 9.0


# Guards against a process that forgets what it granted itself in an earlier term.
def test_own_writes_count_from_the_claim_that_permits_grants() -> None:
    leadership = new_leadership()
    leadership.read_claim(leadership.next_claim(NOW), NOW)
    leadership.record_confirmed_write(NOW + 1.0)
    assert leadership.predecessor_wrote_at == NOW
    leadership.begin_to_grant()
    assert leadership.predecessor_wrote_at == NOW + 1.0
    leadership.record_confirmed_write(NOW + 2.0)
    assert leadership.predecessor_wrote_at == NOW + 2.0


def _new_leader() -> tuple[Leadership, Scheduler, RunnerState]:
    """Return a leader that has read the list, and a runner with a run that it has yet to reach."""
    leadership = new_leadership()
    leadership.read_claim(leadership.next_claim(NOW), NOW)
    leadership.record_confirmed_write(NOW)
    state = begin_term(leadership, NOW, 7500, NO_MECHANISMS)
    each = runner("i-1")
    put(each, SHORT)
    each.adopted = False
    state.runners = {each.id: each}
    state.stated.listed_at = NOW
    return leadership, state, each


# Guards against a lease that is granted before a claim shows that it may have been.
def test_a_new_leader_grants_leases_once_its_claim_is_stored() -> None:
    leadership, state, each = _new_leader()
    assert not claim_due(state, NOW)
    assert own_claim(leadership, state, NOW).granted_nothing
    assert resignation(leadership, state, Incarnation("x"), NOW).granted_nothing
    state.resigned = False
    poll = polls_due(state, NOW, True)[0]
    poll_answered(state, poll, Report(each.id, 2000.0, (), ()), NOW, NOW)
    assert each.adopted
    assert claim_due(state, NOW)
    claim = own_claim(leadership, state, NOW)
    assert not claim.granted_nothing
    assert claim.unreached_ms == {}
    assert not state.stated.granting
    assert claim_stored(state, claim)
    assert state.stated.granting


# Guards against leaders that end before they state any runner.
def test_the_first_claim_that_permits_grants_states_the_runners_without_an_answer() -> None:
    leadership, state, each = _new_leader()
    polls_due(state, NOW, True)
    assert not claim_due(state, NOW + MAX_WAIT_TO_GRANT_S - 0.01)
    assert claim_due(state, NOW + MAX_WAIT_TO_GRANT_S + 0.01)
    claim = own_claim(leadership, state, NOW + MAX_WAIT_TO_GRANT_S + 0.01)
    assert list(claim.unreached_ms) == [each.id]
    again = own_claim(leadership, state, NOW + MAX_WAIT_TO_GRANT_S + 0.4)
    assert list(again.unreached_ms) == [each.id]


# Guards against a resigned leader that goes on to lead and grants leases after all.
def test_a_leader_that_resigned_before_it_granted_anything_never_does() -> None:
    leadership, state, _ = _new_leader()
    resignation(leadership, state, Incarnation("x"), NOW)
    assert own_claim(leadership, state, NOW + 9.0).granted_nothing


# Guards against claims that leaders of two versions read differently from how they are meant.
def test_claims_of_two_versions_are_read_on_the_safe_side() -> None:
    older = ClaimOfBefore(4, "entry-1", "entry-1-1", unreached_ms={"i-1": 9})
    assert not decode_claim(encode(older)).granted_nothing
    newer = _claim(4, True, unreached_ms={"i-1": 9})
    assert msgspec.json.decode(encode(newer), type=ClaimOfBefore).unreached_ms == {"i-1": 9}

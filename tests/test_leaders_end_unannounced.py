"""Work on unreached runners waits for one leader only, also if leaders are killed."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank import run_control, unreached_runners
from spoolcrank.claiming import Claiming
from spoolcrank.decoding import Unreadable
from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.keyed_log import LEADER_KEY, KeyedLog, KeyedRecord
from spoolcrank.leadership import Claim, Leadership
from spoolcrank.orders import Poll, Report
from spoolcrank.polling import polls_due
from spoolcrank.run_control import poll_answered
from spoolcrank.runner_state import CLOCK_DRIFT, RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.unreached_runners import FIRST_POLLS_S, claim_due, claim_stored, own_claim
from spoolcrank.workflow import Step, TaskKey, encode
from tests import leader_plays as plays
from tests.fleet_world import World
from tests.log_recorder import LogRecorder
from tests.packed_runners import NOW, SHORT, leader, put, runner

MUTANT_SEEDS = 100
LEADERS = 5
DOWN_S = 2.0
LEASES_S = 7.94
"""Time after the last write of a leader for which its leases may run, in seconds."""
MAX_DELAY_S = 1.0
"""Longest time, in seconds, from the end of all leases to the start of the tasks."""
MAX_UNCOUNTED_S = 0.6
"""Longest time, in seconds, from a leader's last claim to the load of it by its next process."""
TASKS = Step(count=24, millicores=1000, memory_mb=100, lasting=True)
SMALL = Step(count=1, millicores=10, memory_mb=1, estimate_ms=600)


def _lose_runners_with_work(world: World) -> set[TaskKey]:
    """Lose most runners with work for good and all instances for a while; return the work lost."""
    busy = [one for one in world.runners.values() if one.tasks]
    lost = busy[: len(busy) * 4 // 5]
    keys = {key for one in lost for key in one.tasks}
    for one in lost:
        world.crash(one, restart_delay_s=1000.0)
    for instance in list(world.instances.values()):
        instance.kill()
    world.run(DOWN_S)
    for number in range(plays.INSTANCES):
        world.add_instance(f"entry-{number}'")
    return keys


def _submit_steadily(world: World) -> None:
    """Submit a small job every tenth of a second, so that leaders write records all the time."""
    if world.instances:
        name = world.random.choice(sorted(world.instances))
        world.instances[name].submit(f"{len(world.starts):04x}{round(world.now * 1e3):x}", SMALL)
    world.at(0.1, lambda: _submit_steadily(world))


def _time_of_lost_work(seed: int, term_s: float, restarts: bool = False) -> float:
    """Return how long work waits after the first takeover while leaders are killed, in seconds.

    A leader that restarts leads again at once, with a log that it has just loaded.
    """
    world = plays.fleet(seed)
    world.lasting_jobs.add("ab")
    next(iter(world.instances.values())).submit("ab", TASKS)
    world.run_until(lambda: len(world.starts) == TASKS.count)
    lost = _lose_runners_with_work(world)
    current = plays.next_leader(world)
    led_at = world.now
    if restarts:
        _submit_steadily(world)

    def runs() -> bool:
        return all(world.running_on[key] for key in lost)

    for number in range(LEADERS):
        until = world.now + term_s
        while world.now < until and not runs():
            world.run(0.05)
        if runs():
            break
        current.kill()
        world.add_instance(current.name if restarts else f"next-{number}")
        current = plays.next_leader(world)
    world.run_until(runs, LEASES_S + MAX_DELAY_S)
    assert world.violations == []
    return world.now - led_at


# Guards against work that waits for the leases of a lost runner once more after each killed leader.
@pytest.mark.parametrize("term_s", [2.0, 4.0])
@pytest.mark.parametrize("seed", range(3))
def test_killed_leaders_do_not_delay_work_on_lost_runners(seed: int, term_s: float) -> None:
    assert _time_of_lost_work(seed, term_s) <= LEASES_S + MAX_DELAY_S


# Guards against an age that is counted anew from the load of a claim written long before.
@pytest.mark.parametrize("term_s", [2.0, 4.0])
@pytest.mark.parametrize("seed", range(3))
def test_leaders_that_load_the_log_do_not_delay_work_on_lost_runners(
    seed: int, term_s: float
) -> None:
    waited_s = _time_of_lost_work(seed, term_s, restarts=True)
    assert waited_s <= LEASES_S + MAX_DELAY_S + (LEADERS - 1) * MAX_UNCOUNTED_S


# Guards against a test that passes without the claims that state unreached runners.
def test_without_stated_runners_killed_leaders_delay_work(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(unreached_runners, "MAX_STATED_RUNNERS", 0)
    assert _time_of_lost_work(0, 4.0) > LEASES_S + MAX_DELAY_S


def _reach_late(seed: int) -> list[str]:
    """Return the violations of a play in which leaders reach a runner late, and then end.

    A leader is killed while a runner with lasting tasks is cut off. The next leader, or the one
    after it, reaches the runner shortly before its leases end, and then dies or freezes while the
    runner is cut off from all others.
    """
    chance = random.Random(seed)
    world = plays.fleet(seed, instances=4, runners=4)
    world.max_transit_s = chance.choice([0.0, 0.05])
    cut = chance.choice(plays.start_lasting(world))
    plays.cut_off(world, cut)
    plays.next_leader(world).kill()
    died_at = world.now
    reached_at_once = chance.random() < 0.4
    if reached_at_once:
        current = plays.next_leader(world)
        world.run(max(0.0, died_at + chance.uniform(2.8, 3.0) - world.now))
        current.kill()
        world.unreachable.clear()
        plays.next_leader(world)
        plays.cut_off(world, cut)
    for _ in range(1 if reached_at_once else chance.choice([1, 1, 2])):
        plays.next_leader(world)
        if not reached_at_once:
            world.run(max(0.0, died_at + chance.uniform(2.6, 4.8) - world.now))
        current = plays.next_leader(world)
        plays.reach(world, current, cut, chance, 0.02)
        plays.end_lead(world, current, chance)
    return plays.violations_at_end(world)


# Guards against a successor that takes leases for passed which the leader before granted late.
@pytest.mark.parametrize("seed", range(plays.SEEDS))
def test_a_runner_that_was_reached_late_runs_nothing_twice(seed: int) -> None:
    assert _reach_late(seed) == []


_read_unreached = Leadership._read_unreached


def _keep_withdrawn(self: Leadership, claim: Any, now: float) -> None:
    stated = dict(self._unreached_since.get(claim.term, {}))
    _read_unreached(self, claim, now)
    self._unreached_since[claim.term] = stated | self._unreached_since[claim.term]


def _take_any_term(self: Leadership, term: int) -> dict[str, float]:
    return {key: at for stated in self._unreached_since.values() for key, at in stated.items()}


def _keep_all_terms(self: Leadership, claim: Any, now: float) -> None:
    earlier = self._unreached_since
    _read_unreached(self, claim, now)
    self._unreached_since = earlier | self._unreached_since


MUTATIONS: dict[str, tuple[tuple[Any, str, Callable[..., Any]], ...]] = {
    "a stated runner is adopted at once": (
        (run_control, "may_adopt", lambda state, runner, now: True),
    ),
    "withdrawn runners stay stated": ((Leadership, "_read_unreached", _keep_withdrawn),),
    "runners that an older term stated count": (
        (Leadership, "unreached_since", _take_any_term),
        (Leadership, "_read_unreached", _keep_all_terms),
    ),
}


@pytest.mark.parametrize("name", list(MUTATIONS))
def test_breaking_the_promise_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for owner, attribute, replacement in MUTATIONS[name]:
        monkeypatch.setattr(owner, attribute, replacement)
    assert plays.runs_twice(_reach_late, MUTANT_SEEDS)


def _stated() -> tuple[Scheduler, RunnerState, Claim]:
    """Return a leader with a silent runner, and its claim that states it."""
    silent = runner("i-1")
    put(silent, SHORT)
    silent.adopted = False
    silent.silent_since = NOW
    state = leader(silent)
    state.began_at = NOW - FIRST_POLLS_S
    state.predecessor_wrote_at = NOW - 5.0
    assert claim_due(state, NOW)
    return state, silent, own_claim(plays.leading(), state, NOW)


def _answer(state: Scheduler, answering: RunnerState, now: float) -> None:
    report = Report(answering.id, 2000.0, (), ())
    poll_answered(state, Poll(state.target(answering), 0, None, 0), report, now, now)


# Guards against leases that a successor takes for older than they are.
def test_a_claim_states_a_silent_runner_with_an_age_that_allows_for_clock_drift() -> None:
    _, _, claim = _stated()
    assert not claim.resigned
    assert claim.unreached_ms == {"i-1": round(5000 * (1.0 - CLOCK_DRIFT))}


# Guards against leases at a runner that a claim still states.
def test_a_stated_runner_is_adopted_only_after_a_claim_without_it_is_stored() -> None:
    state, silent, claim = _stated()
    _answer(state, silent, NOW + 0.01)
    assert not silent.adopted
    assert claim_due(state, NOW + 0.01)
    claim_stored(state, claim)
    _answer(state, silent, NOW + 0.02)
    assert not silent.adopted
    later = own_claim(plays.leading(), state, NOW + 0.03)
    assert later.unreached_ms == {}
    _answer(state, silent, NOW + 0.04)
    assert not silent.adopted
    assert claim_stored(state, later)
    _answer(state, silent, NOW + 0.05)
    assert silent.adopted


# Guards against runs that move from a stated incarnation to one that is adopted.
def test_no_incarnation_of_a_stated_runner_is_adopted() -> None:
    state, _, claim = _stated()
    claim_stored(state, claim)
    later = state.register(runner("i-1@5").entry, NOW)
    _answer(state, later, NOW + 0.01)
    assert not later.adopted
    assert claim_stored(state, own_claim(plays.leading(), state, NOW + 0.02))
    _answer(state, later, NOW + 0.03)
    assert later.adopted


# Guards against takeovers that wait for the store, and a claim of each leader that grows at once.
def test_no_claim_states_a_runner_that_may_be_about_to_answer() -> None:
    state, silent, _ = _stated()
    silent.silent_since = None
    assert own_claim(plays.leading(), state, NOW + 9.0).unreached_ms == {}
    silent.silent_since = NOW
    state.began_at = NOW
    assert own_claim(plays.leading(), state, NOW + FIRST_POLLS_S / 2).unreached_ms == {}


# Guards against a leader that gives way and polls the runners it must not adopt without a pause.
def test_a_leader_that_resigned_polls_no_runner_again_at_once() -> None:
    state, silent, _ = _stated()
    silent.silent_since = None
    state.resigned = True
    polls = polls_due(state, NOW, may_extend=True)
    assert [poll.target.runner for poll in polls] == [silent.id]
    _answer(state, silent, NOW + 0.01)
    assert not silent.adopted
    assert polls_due(state, NOW + 0.02, may_extend=True) == []
    assert polls_due(state, NOW + 1.0, may_extend=True) != []


# Guards against a list of runners that a leader reads as a newer claim and that ends its own term.
def test_a_claim_that_states_other_runners_is_no_other_claim() -> None:
    leadership = plays.leading()
    stating = Claim(4, leadership.instance, leadership.incarnation, unreached_ms={"i-1": 9})
    assert not leadership.read_claim(stating, NOW + 1.0)
    assert leadership.leads


def _stating(term: int, unreached_ms: dict[str, int]) -> Claim:
    return Claim(term, InstanceId("entry-9"), Incarnation("e"), unreached_ms=unreached_ms)


# Guards against a successor that keeps a runner which the leader before has withdrawn.
def test_only_the_newest_claim_of_the_term_right_before_counts() -> None:
    leadership = Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), NOW)
    leadership.read_claim(_stating(4, {"i-1": 3000, "i-2": 3000}), NOW)
    assert leadership.unreached_since(5) == {"i-1": NOW - 3.0, "i-2": NOW - 3.0}
    leadership.read_claim(_stating(4, {"i-2": 3500}), NOW + 1.0)
    leadership.read_claim(Claim(5, leadership.instance, leadership.incarnation), NOW + 2.0)
    assert leadership.unreached_since(5) == {"i-2": NOW + 1.0 - 3.5}
    leadership.read_claim(_stating(7, {}), NOW + 3.0)
    assert leadership.unreached_since(7) == {}


class _Follower:
    def __init__(self) -> None:
        self.copy = KeyedLog()
        self.generation = 1


# Guards against a withdrawing claim that was skipped, or cannot be read.
@pytest.mark.parametrize("skipped_by", ["load", "record"])
def test_a_list_is_forgotten_if_a_later_claim_may_not_have_been_read(skipped_by: str) -> None:
    leadership = Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), NOW)
    follower: Any = _Follower()
    log: Any = None
    telemetry: Any = LogRecorder()
    claiming = Claiming(leadership, log, follower, telemetry, lambda: NOW)
    record = KeyedRecord(LEADER_KEY, encode(_stating(4, {"i-1": 3000})), 7)
    claiming.read_claim(record, NOW)
    assert leadership.unreached_since(5) == {"i-1": NOW - 3.0}
    if skipped_by == "load":
        follower.generation = 2
    else:
        with pytest.raises(Unreadable):
            claiming.read_claim(KeyedRecord(LEADER_KEY, b"{", 8), NOW)
    own = Claim(5, leadership.instance, leadership.incarnation)
    claiming.read_claim(KeyedRecord(LEADER_KEY, encode(own), 9), NOW)
    assert leadership.leads
    assert leadership.unreached_since(5) == {}

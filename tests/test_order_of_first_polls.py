"""Which runners a new leader of a large fleet polls first, when its budget lets few through."""

import pytest

from spoolcrank.dispatcher import TICK_S
from spoolcrank.ids import Address, AvailabilityZone
from spoolcrank.poll_budget import MIN_SHARE, PollBudget
from spoolcrank.polling import polls_due
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId, Step
from tests.packed_runners import NOW, SHORT, leader, put, runner
from tests.test_room_beside_waits import add_job

RUNNERS = 600
PROCESSORS = 0.05
"""Processors of the leader, in cores: 40 first polls of runners without runs at once."""

CHECK_S = 0.2
CHECKS = 10
REPLACED = 400

MAX_WAIT_S = 3.0
"""Time with nothing running after which an accepted job counts as lost, in seconds."""

LARGE = Step(count=1, millicores=30_000, memory_mb=100)


def _new_leader(*further: RunnerState) -> Scheduler:
    """Return a leader that has just read its list of runners, and has reached none of them."""
    state = leader(*(runner(f"r{number}") for number in range(RUNNERS)), *further)
    state.polls = PollBudget(PROCESSORS)
    state.began_at = NOW
    for each in state.runners.values():
        each.adopted, each.polled_at, each.first_seen_at = False, -1.0, NOW
    add_job(state, "ab", SHORT, 1)
    return state


def _polled(state: Scheduler, checks: int = CHECKS, check_s: float = CHECK_S) -> list[str]:
    """Return the runners polled in some checks; those not silent answer before the next check."""
    polled = []
    for number in range(checks):
        now = NOW + number * check_s
        for poll in polls_due(state, now, True):
            found = state.runners[poll.target.runner]
            polled.append(str(found.id))
            if found.silent_since is None:
                found.adopted, found.polling = True, False
                found.record_answer(1000.0, now, now)
    return polled


def _in_other_zone(name: str) -> RunnerState:
    found = runner(name)
    found.entry = found.entry._replace(availability_zone=AvailabilityZone("b"))
    return found


def test_runs_in_a_zone_with_a_silent_runner_do_not_wait_for_idle_runners() -> None:
    """Guards against leases that end as their runner is polled after all idle ones elsewhere."""
    silent, busy = _in_other_zone("silent"), _in_other_zone("busy")
    put(busy, SHORT)
    state = _new_leader(silent, busy)
    silent.polled_at = NOW - 1.0
    silent.record_no_answer(NOW - 1.0)
    assert "busy" in _polled(state)


def test_a_runner_listed_later_does_not_wait_for_idle_runners() -> None:
    """Guards against crashes that are found out only once all idle runners were polled."""
    late = runner("late")
    state = _new_leader(late)
    late.first_seen_at = NOW + 5.0
    assert "late" in _polled(state)


@pytest.mark.parametrize("rank", [0, 1])
def test_no_runner_is_polled_twice_at_a_time(rank: int) -> None:
    """Guards against two polls of one runner, for its own sake and for waiting work."""
    late = runner("late")
    state = leader(late, *(runner(f"r{number}") for number in range(20)))
    state.polls = PollBudget(PROCESSORS)
    state.began_at = NOW
    for each in state.runners.values():
        each.adopted, each.polled_at, each.first_seen_at = False, -1.0, NOW
    late.first_seen_at = NOW + 5.0
    late.rank = rank
    add_job(state, "ab", SHORT, 1)
    polled = [poll.target.runner for poll in polls_due(state, NOW, True)]
    assert len(polled) == len(set(polled))


@pytest.mark.parametrize("unconfirmed", [False, True])
def test_a_leader_whose_ticks_come_late_sends_fewer_first_polls(unconfirmed: bool) -> None:
    """Guards against first polls that take the time to lead, whatever crash is unconfirmed."""
    sent = []
    for share in (1.0, MIN_SHARE):
        state = _new_leader()
        if unconfirmed:
            state.crash_history.add_unconfirmed(RunnerId("gone"), Address("gone:80"), ())
        state.polls.share = share
        sent.append(len(_polled(state)))
    assert sent[1] <= sent[0] / 2


def test_a_leader_whose_ticks_come_late_polls_a_small_fleet_at_once() -> None:
    """Guards against work that waits for first answers of a fleet that is no load to its leader."""
    state = leader(*(runner(f"r{number}") for number in range(30)))
    state.polls = PollBudget(processors=0.43)
    state.began_at = NOW
    for each in state.runners.values():
        each.adopted, each.polled_at, each.first_seen_at = False, -1.0, NOW
    for number in range(20):
        state.polls.record_tick(number * 2 * TICK_S, TICK_S, len(state.runners))
    assert len(_polled(state, checks=1)) == len(state.runners)


@pytest.mark.parametrize("share", [1.0, MIN_SHARE])
def test_work_for_one_of_many_replaced_runners_does_not_wait_for_all_others(share: float) -> None:
    """Guards against work whose only runner was replaced and is asked last, by a late leader."""
    late = [runner(f"late{number}", millicores=8000) for number in range(REPLACED)]
    late.append(runner("large"))
    idle = (runner(f"r{number}", millicores=8000) for number in range(RUNNERS))
    state = leader(*idle, *late)
    state.polls = PollBudget(processors=0.43)
    state.polls.share = share
    state.began_at = NOW - 5.0
    for each in late:
        each.adopted, each.polled_at, each.first_seen_at = False, -1.0, NOW
    add_job(state, "ab", LARGE, 1)
    assert "large" in _polled(state, int(MAX_WAIT_S / TICK_S), TICK_S)

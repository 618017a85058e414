"""Turns of the needs of waiting work at polls of a fleet that is large for its leader."""

import pytest

from spoolcrank.idle_polls import postponed_polls
from spoolcrank.ids import JobId
from spoolcrank.poll_budget import MIN_SHARE, PollBudget
from spoolcrank.scheduler import Scheduler
from spoolcrank.waiting_needs import MAX_JOBS, MAX_NEEDS
from spoolcrank.workflow import JobRecord, RouteName, Step, Workflow
from tests.packed_runners import NOW, SERVICE, SHORT, leader, runner
from tests.test_room_beside_waits import add_job

RUNNERS = 400
PROCESSORS = 0.02
"""Processors of the leader, in cores: 7 idle runners are kept ready, 22 while work waits."""

CHECK_S = 1.0
CHECKS = 40
LABEL = "rare"


def _fleet() -> Scheduler:
    """Return a leader that polls few of its runners; one has a label of its own."""
    rare = runner("rare", millicores=1000, labels=frozenset({LABEL}))
    state = leader(*(runner(f"r{number}") for number in range(RUNNERS)), rare)
    state.polls = PollBudget(PROCESSORS)
    for each in state.runners.values():
        each.polled_at = each.answered_at = NOW - 30.0
    return state


def _step(number: int) -> Step:
    return Step(count=1, millicores=2000 + number, memory_mb=100)


RARE = Step(count=1, millicores=500, memory_mb=100, label=LABEL)


def _add_job(state: Scheduler, job: str, order: int, *steps: Step) -> None:
    record = JobRecord(RouteName("feed"), SERVICE, 0, 3, 250, 1.5, Workflow("", steps))
    state.add_job(JobId(job), record, order, None, False, NOW, 0.0)


def _polled(state: Scheduler) -> list[str]:
    """Return the runners polled in some checks; those polled answer before the next one."""
    polled = []
    for number in range(CHECKS):
        now = NOW + number * CHECK_S
        idle = [each for each in state.runners.values() if now - each.polled_at >= 1.5]
        postponed = {each.id for each in postponed_polls(state, idle, now)}
        for each in idle:
            if each.id not in postponed:
                polled.append(str(each.id))
                each.polled_at = each.answered_at = now
    return polled


@pytest.mark.parametrize("needs", [MAX_NEEDS - 1, MAX_NEEDS, MAX_NEEDS + 3])
def test_each_need_of_one_job_has_its_turn(needs: int) -> None:
    """Guards against a step behind the first few of its job for which no runner is ever asked."""
    state = _fleet()
    _add_job(state, "ab", 1, *(_step(number) for number in range(needs)), RARE)
    assert _polled(state).index("rare") < 100


def test_each_need_of_a_job_cut_short_has_its_turn() -> None:
    """Guards against a job whose last need never comes, as the jobs before it fill the turn."""
    state = _fleet()
    _add_job(state, "aa", 1, *(_step(number) for number in range(MAX_NEEDS - 1)))
    _add_job(state, "ab", 2, _step(100), RARE)
    assert _polled(state).index("rare") < 100


def test_jobs_without_needs_do_not_hold_up_the_turns() -> None:
    """Guards against turns that stay at jobs with nothing to place before those that wait."""
    state = _fleet()
    for number in range(MAX_JOBS):
        add_job(state, f"{number:x}", SHORT, number)
        state.jobs[JobId(f"{number:x}")].rounds[0].steps[0].waiting.clear()
    _add_job(state, "ab", MAX_JOBS, RARE)
    assert _polled(state).index("rare") < 100


@pytest.mark.parametrize("processors", [0.005, PROCESSORS, 0.4])
def test_the_smallest_share_still_polls_some_runner(processors: float) -> None:
    """Guards against a small leader that, late once too often, polls no idle runner at all."""
    state = _fleet()
    state.polls = PollBudget(processors)
    state.polls.share = MIN_SHARE
    _add_job(state, "ab", 1, RARE)
    state.placing_blocked = True
    assert "rare" in _polled(state)

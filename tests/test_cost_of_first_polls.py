"""What it costs a new leader of a large fleet to select the runners to poll for the first time."""

import pytest

from spoolcrank import waiting_needs
from spoolcrank.poll_budget import PollBudget
from spoolcrank.polling import polls_due
from spoolcrank.runner_state import RunnerState
from spoolcrank.waiting_needs import Need
from tests.packed_runners import NOW, SHORT, leader, runner
from tests.test_room_beside_waits import add_job

RUNNERS = 600
PROCESSORS = 0.05
"""Processors of the leader, in cores: 40 first polls of runners without runs at once."""


def test_runners_that_may_not_be_polled_yet_are_not_compared_with_waiting_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that orders thousands of runners and then polls none of them."""
    state = leader(*(runner(f"r{number}") for number in range(RUNNERS)))
    state.polls = PollBudget(PROCESSORS)
    state.began_at = NOW
    for each in state.runners.values():
        each.adopted, each.polled_at, each.first_seen_at = False, -1.0, NOW
    add_job(state, "ab", SHORT, 1)
    sent = sum(len(polls_due(state, NOW + number, True)) for number in (0.0, 0.2, 0.4))
    assert 0 < sent < RUNNERS
    compared: list[RunnerState] = []

    def could_take(candidate: RunnerState, need: Need) -> bool:
        compared.append(candidate)
        return True

    monkeypatch.setattr(waiting_needs, "could_take", could_take)
    assert polls_due(state, NOW + 0.4, True) == []
    assert not compared

"""Run the state machine of faults around takeovers, and check that it detects removed mechanisms.

To run more examples: `SPOOLCRANK_SOAK_SEEDS=2000 pytest tests/test_takeover_machine.py -k faults`.
"""

import os
from typing import Any

import pytest

from spoolcrank import job_state, run_control, run_ends
from spoolcrank.claiming import Claiming
from spoolcrank.job_state import StepState
from spoolcrank.workflow import StoredTask
from tests.takeover_faults import run_takeover_machine

EXAMPLES = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "20"))
STEPS = 25
MAX_EXAMPLES_TO_DETECT = 500
SYMPTOMS = "TWICE|AGAIN|BUDGET|recorded|was accepted"
"""Words of a violation; an error of another kind does not count as detected."""


def test_no_acknowledged_end_is_lost_under_takeover_faults() -> None:
    run_takeover_machine(EXAMPLES, STEPS)


_handle_end = run_control._handle_end


def _acknowledge_before_storing(state: Any, runner: Any, row: Any, now: float) -> None:
    _handle_end(state, runner, row, now)
    runner.seen = runner.last_handled_end


def _ignore_late_end(state: Any, runner: Any, row: Any, now: float) -> bool:
    return False


_restore_task = job_state._restore_task


def _restore_without_failures(step: StepState, stored: StoredTask) -> None:
    _restore_task(step, stored)
    step.tasks[stored.index].failures = 0


def _leads_over_a_loaded_copy(claiming: Claiming) -> bool:
    return claiming.leadership.leads and claiming._follower.copy.loaded


MUTATIONS = {
    "late ends are dropped": (run_ends, "handle_late_end", _ignore_late_end),
    "ends are acknowledged before they are stored": (
        run_control,
        "_handle_end",
        _acknowledge_before_storing,
    ),
    "an instance leads before it has read up to its claim": (
        Claiming,
        "may_take_over",
        _leads_over_a_loaded_copy,
    ),
    "a new leader forgets the failures counted before": (
        job_state,
        "_restore_task",
        _restore_without_failures,
    ),
}


@pytest.mark.parametrize("name", list(MUTATIONS))
def test_removing_a_mechanism_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, replacement = MUTATIONS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises(AssertionError, match=SYMPTOMS):
        run_takeover_machine(MAX_EXAMPLES_TO_DETECT, STEPS)

"""A hypothesis state machine that runs the product's own parts under random faults.

It guards against tasks that run twice, accepted jobs that get lost, refused jobs that run, and
tasks that crash more runners than allowed. They can occur when several faults coincide: an instance
is killed or frozen, a runner is partitioned or restarted, or the store loses answers, while orders
and records are in flight. A second test removes one mechanism at a time and requires that the
state machine detects it.
"""

from typing import Any

import pytest

from spoolcrank import (
    binding,
    job_intake,
    order_answers,
    order_sender,
    preassignment,
    run_control,
)
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.leadership import Leadership
from spoolcrank.orders import Answered, OrderResult
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId
from tests import fleet_runners
from tests.fleet_faults import run_machine


def test_invariants_hold_under_random_faults() -> None:
    run_machine(examples=50, steps=25)


def _target_without_fence(self: Scheduler, runner: RunnerState) -> Any:
    from spoolcrank.orders import Target

    return Target(runner.id, runner.entry.address, 1)


_handle_end = run_control._handle_end


def _acknowledge_before_storing(state: Any, runner: Any, row: Any, now: float) -> None:
    _handle_end(state, runner, row, now)
    runner.seen = runner.last_handled_end


_start_answered = order_answers.start_answered


def _treat_unanswered_as_not_done(state: Any, start: Any, answered: Answered, now: float) -> None:
    is_unanswered = answered.result is OrderResult.UNKNOWN
    _start_answered(
        state, start, Answered(OrderResult.NOT_DONE) if is_unanswered else answered, now
    )


def _id_without_start_time(name: str, born: int) -> RunnerId:
    return RunnerId(name)


_preassign = binding.preassign


def _preassign_before_storing(state: Scheduler, job: Any, key: Any, runner: Any) -> None:
    _preassign(state, job, key, runner)
    job.task(key).preassigned_stored = True


_read_unreached = Leadership._read_unreached


def _keep_withdrawn(self: Leadership, claim: Any, now: float) -> None:
    stated = dict(self._unreached_since.get(claim.term, {}))
    _read_unreached(self, claim, now)
    self._unreached_since[claim.term] = stated | self._unreached_since[claim.term]


MUTATIONS = {
    "a preassignment counts before it is kept": (
        preassignment,
        "preassign",
        _preassign_before_storing,
    ),
    "lives of a runner are not told apart": (fleet_runners, "runner_id", _id_without_start_time),
    "the fence is not raised": (Scheduler, "target", _target_without_fence),
    "ends are forgotten before they are kept": (
        run_control,
        "_handle_end",
        _acknowledge_before_storing,
    ),
    "an unknown append counts as refused": (job_intake, "IntakeOutcome", None),
    "leases count as over too early": (
        Scheduler,
        "max_inherited_run_s",
        property(lambda self: 0.5),
    ),
    "an own earlier term is forgotten": (
        Leadership,
        "predecessor_wrote_at",
        property(lambda self: self.leader_wrote_at),
    ),
    "leases of silent runners count as over at once": (
        RunnerState,
        "surely_ended",
        lambda self, now: True,
    ),
    "a runner that a claim states is adopted at once": (
        run_control,
        "may_adopt",
        lambda state, runner, now: True,
    ),
    "a runner that a claim withdrew stays stated": (
        Leadership,
        "_read_unreached",
        _keep_withdrawn,
    ),
    "a start without an answer counts as undone": (
        order_sender,
        "start_answered",
        _treat_unanswered_as_not_done,
    ),
}


@pytest.mark.parametrize("name", list(MUTATIONS))
def test_removing_a_mechanism_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, replacement = MUTATIONS[name]
    if attribute == "IntakeOutcome":

        def try_again(self: Any, batch: Any, appended: Any) -> None:
            for entry in batch:
                entry.done(IntakeOutcome.NOT_STORED)

        monkeypatch.setattr(job_intake.JobIntake, "_try_again", try_again)
    else:
        monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises(BaseException):  # noqa: B017 -- hypothesis raises groups
        run_machine(examples=500, steps=30)

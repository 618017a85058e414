"""A stop that its runner refuses because it has seen the fence of a later leader."""

from spoolcrank.order_answers import stop_answered
from spoolcrank.orders import Answered, OrderResult, Stop
from spoolcrank.runs import RunStage
from tests.test_packing import NOW, SHORT, leader, put, runner


# Guards against a replaced leader that takes the refusal for its own doing, and leads on.
def test_a_stop_that_a_later_leader_outranked_raises_no_fence() -> None:
    stopping = runner("i-1@5")
    key = put(stopping, SHORT)
    state = leader(stopping)
    state.ranks.register(stopping.id)
    run = stopping.runs[key]
    run.stage, run.tries = RunStage.STOPPING, 1
    target = state.target(stopping)
    run.start_fence = target.fence
    refused = Answered(OrderResult.OUTRANKED)
    stop_answered(state, Stop(target, key, run.number), refused, NOW)
    assert not state.outranked_by_itself(target)

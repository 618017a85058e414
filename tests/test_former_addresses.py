"""An answer from an address that a runner's entry no longer names."""

from spoolcrank.ids import Address
from spoolcrank.orders import OrderResult, Poll, Report
from spoolcrank.run_control import poll_answered, poll_failed
from spoolcrank.runner_directory import Listing
from spoolcrank.runner_listing import list_runners
from spoolcrank.workflow import RunnerId
from tests.test_packing import NOW, SHORT, leader, put, runner

FALSE = Address("10.9.9.9:80")


# Guards against a live runner that keeps the address of another writer's entry, at which a runner
# answers that it is another one: its runs are freed while they go on.
def test_an_answer_from_a_former_address_adopts_no_runner() -> None:
    unreached = runner("i-1@5")
    key = put(unreached, SHORT)
    unreached.adopted = False
    unreached.answered_at = -1.0
    state = leader(unreached)
    own = unreached.entry
    poll = Poll(state.target(unreached), 0, None, 0)
    false = own._replace(address=FALSE)
    list_runners(state, Listing({own.id: false}), NOW, NOW)
    poll_answered(state, poll, Report(own.id, 2000.0, (), ()), NOW, NOW + 0.1)
    list_runners(state, Listing({own.id: own}), NOW, NOW + 0.2)
    asked = Poll(state.target(state.runners[RunnerId("i-1@5")]), 0, None, 0)
    if asked.target.address == FALSE:
        poll_failed(state, asked, OrderResult.OTHER_INCARNATION, NOW + 0.3)
    assert key in state.runners[own.id].runs
    assert asked.target.address == own.address

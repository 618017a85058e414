"""What a leader takes for free capacity, in a fleet of which it asks only some idle runners."""

from spoolcrank.demand_forecast import MIN_RESERVE_MILLICORES, forecast
from spoolcrank.idle_capacity import is_mostly_idle
from spoolcrank.placing_pass import PlacingPass
from tests.packed_runners import NOW, SERVICE, SHORT, leader, put, runner


def test_idle_runners_without_a_recent_answer_count_as_idle_capacity() -> None:
    """Guards against work held back in a fleet that seems busy, as few idle runners are asked."""
    busy, idle = runner("busy"), [runner(f"idle-{number}") for number in range(9)]
    for number in range(8):
        put(busy, SHORT, number)
    for each in idle:
        each.answered_at = each.polled_at = NOW - 30.0
    state = leader(busy, *idle)
    assert is_mostly_idle(state, PlacingPass(), SERVICE, NOW)


def test_silent_runners_count_as_no_idle_capacity() -> None:
    """Guards against fillers started beside others as if runners that answer nobody were free."""
    busy, silent = runner("busy"), [runner(f"silent-{number}") for number in range(9)]
    for number in range(12):
        put(busy, SHORT, number)
    for each in silent:
        each.answered_at = NOW - 30.0
        each.record_no_answer(NOW - 30.0)
    state = leader(busy, *silent)
    assert not is_mostly_idle(state, PlacingPass(), SERVICE, NOW)


def test_the_reserve_is_shared_by_all_runners_that_may_be_asked() -> None:
    """Guards against lasting tasks kept from runners that a few ready ones make seem scarce."""
    busy, idle = runner("busy"), [runner(f"idle-{number}") for number in range(30)]
    for number in range(10):
        put(busy, SHORT, number)
    for each in idle:
        each.answered_at = each.polled_at = NOW - 30.0
    state = leader(busy, *idle)
    state.short_demand = 20_000.0
    state.forecast_at = NOW - 1.0
    forecast(state, NOW)
    assert state.reserve == MIN_RESERVE_MILLICORES

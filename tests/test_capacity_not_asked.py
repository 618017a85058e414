"""What a leader takes for free capacity, in a fleet of which it asks only some idle runners."""

from spoolcrank.demand_forecast import MIN_RESERVE_MILLICORES, forecast
from spoolcrank.idle_capacity import is_mostly_idle
from spoolcrank.placing_pass import PlacingPass
from spoolcrank.runner_state import RunnerState
from tests.packed_runners import NOW, SERVICE, SHORT, leader, put, runner


def _busy(tasks: int) -> RunnerState:
    """Return a runner that has answered recently, with short tasks."""
    busy = runner("busy")
    for number in range(tasks):
        put(busy, SHORT, number)
    return busy


def _idle(count: int) -> list[RunnerState]:
    """Return runners without runs that were not asked for longer than an answer counts."""
    idle = [runner(f"idle-{number}") for number in range(count)]
    for each in idle:
        each.answered_at = each.polled_at = NOW - 30.0
    return idle


def test_idle_runners_without_a_recent_answer_count_as_idle_capacity() -> None:
    """Guards against work held back in a fleet that seems busy, as few idle runners are asked."""
    state = leader(_busy(8), *_idle(9))
    assert is_mostly_idle(state, PlacingPass(), SERVICE, NOW)


def test_silent_runners_count_as_no_idle_capacity() -> None:
    """Guards against fillers started beside others as if runners that answer nobody were free."""
    silent = [runner(f"silent-{number}") for number in range(9)]
    for each in silent:
        each.answered_at = NOW - 30.0
        each.record_no_answer(NOW - 30.0)
    state = leader(_busy(12), *silent)
    assert not is_mostly_idle(state, PlacingPass(), SERVICE, NOW)


def test_the_reserve_is_shared_by_all_runners_that_may_be_asked() -> None:
    """Guards against lasting tasks kept from runners that a few ready ones make seem scarce."""
    state = leader(_busy(10), *_idle(30))
    state.short_demand = 20_000.0
    state.forecast_at = NOW - 1.0
    forecast(state, NOW)
    assert state.reserve == MIN_RESERVE_MILLICORES

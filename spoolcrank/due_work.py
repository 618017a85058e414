"""Run the periodic work of a leader in a fixed order."""

from spoolcrank.backlog import tell_backlog_now_and_then
from spoolcrank.batching import drop_ended, keep_learnt
from spoolcrank.binding import move
from spoolcrank.mechanisms import Mechanism
from spoolcrank.placing import forecast
from spoolcrank.preassignment import Preassignments
from spoolcrank.regrouping import Regrouping
from spoolcrank.run_control import tick
from spoolcrank.scheduler import Scheduler


def do_what_is_due(
    state: Scheduler, preassignments: Preassignments, regrouping: Regrouping, now: float
) -> None:
    """Run the periodic work on runs, leases, records, forecasts, preassignments and moves."""
    tick(state, now)
    drop_ended(state, now)
    keep_learnt(state, now)
    forecast(state, now)
    if state.uses(Mechanism.PREASSIGNING):
        preassignments.renew(state, now)
    tell_backlog_now_and_then(state, now)
    if state.uses(Mechanism.REGROUPING):
        for task, source, destination in regrouping.moves(state, now):
            move(state, task, source, destination, now)

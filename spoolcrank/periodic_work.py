"""Run the periodic work of a leader in a fixed order."""

from spoolcrank.backlog import log_backlog_periodically
from spoolcrank.batching import drop_ended_jobs, drop_unknown_cancels, store_learned
from spoolcrank.binding import move
from spoolcrank.demand_forecast import forecast
from spoolcrank.hold_log import log_holds_periodically
from spoolcrank.mechanisms import Mechanism
from spoolcrank.preassignment import Preassignments
from spoolcrank.regrouping import Regrouping
from spoolcrank.run_timeouts import tick
from spoolcrank.runner_listing import drop_kept_runners
from spoolcrank.scheduler import Scheduler


def run_periodic_work(
    state: Scheduler, preassignments: Preassignments, regrouping: Regrouping, now: float
) -> None:
    """Run the periodic work on runs, leases, records, forecasts, preassignments and moves."""
    tick(state, now)
    drop_kept_runners(state, now)
    drop_ended_jobs(state, now)
    drop_unknown_cancels(state, now)
    store_learned(state, now)
    forecast(state, now)
    if state.uses(Mechanism.PREASSIGNING):
        preassignments.renew(state, now)
    log_backlog_periodically(state, now)
    log_holds_periodically(state, now)
    if state.uses(Mechanism.REGROUPING):
        for task, source, destination in regrouping.moves(state, now):
            move(state, task, source, destination, now)

"""Forecast the demand of short tasks, and reserve capacity for it."""

from collections import Counter

from spoolcrank.mechanisms import Mechanism
from spoolcrank.runner_pools import may_take_work
from spoolcrank.scheduler import Scheduler

FORECAST_INTERVAL_S = 0.5
"""Interval between samples of the demand of short tasks, seconds; about one task duration."""

FORECAST_DECAY_S = 8.0
"""Time constant of the average demand of short tasks, seconds; longer than a usual burst."""

RESERVE_FACTOR = 1.5
"""Factor by which the capacity reserved for short tasks exceeds their average demand."""

MIN_RESERVE_MILLICORES = 2500
"""Smallest reserve on each runner while there are short tasks, millicores: capacity for one short
task of the usual size."""


def forecast(state: Scheduler, now: float) -> None:
    """Set the capacity that lasting tasks leave to short counted tasks on each runner.

    A counted task is one whose processors count against the runner's capacity. Short tasks earn
    about four times as much per core-second as lasting ones, and would find no free capacity
    while more lasting tasks wait than fit.
    """
    if now - state.forecast_at < FORECAST_INTERVAL_S:
        return
    share = min(1.0, (now - state.forecast_at) / FORECAST_DECAY_S)
    state.forecast_at = now
    state.contention.set_expected_fillers(filler_mix(state))
    demand = _short_running(state) + _short_waiting(state)
    state.short_demand += share * (demand - state.short_demand)
    usable = sum(1 for runner in state.runners.values() if may_take_work(runner, now))
    if state.short_demand < 1.0 or not usable or not state.uses(Mechanism.RESERVE):
        state.reserve = 0
    else:
        state.reserve = max(
            MIN_RESERVE_MILLICORES, int(RESERVE_FACTOR * state.short_demand / usable)
        )


def filler_mix(state: Scheduler) -> dict[str, float]:
    """Return the share of each image in the processors that running and waiting fillers want."""
    demand_millicores: Counter[str] = Counter()
    for runner in state.runners.values():
        for run in runner.runs.values():
            if run.fills:
                demand_millicores[run.image] += run.wanted_millicores
    for job in state.waiting_jobs():
        for round_state in job.rounds.values():
            for _, step in round_state.ready():
                if step.spec.fills:
                    demand_millicores[step.spec.image] += len(step.waiting) * step.spec.millicores
    total = sum(demand_millicores.values())
    return {image: amount / total for image, amount in demand_millicores.items()}


def _short_running(state: Scheduler) -> int:
    return sum(
        run.demand.millicores
        for runner in state.runners.values()
        for run in runner.runs.values()
        if not run.lasting
    )


def _short_waiting(state: Scheduler) -> int:
    return sum(
        len(step.waiting) * step.spec.demand.millicores
        for job in state.waiting_jobs()
        for round_state in job.rounds.values()
        for _, step in round_state.ready()
        if not step.spec.lasting
    )

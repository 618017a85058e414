"""Forecast the demand of short tasks, and reserve capacity for it."""

from collections import Counter
from collections.abc import Mapping

from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.mechanisms import Mechanism
from spoolcrank.runner_pools import may_take_work
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.short_task_room import (
    USUAL_RESERVE,
    RunnerRoom,
    ShortTaskRoom,
    ShortTaskRooms,
    keep_runners,
    usual_reserve_suffices,
    wide_size,
)

FORECAST_INTERVAL_S = 0.5
"""Interval between samples of the demand of short tasks, seconds; about one task duration."""

FORECAST_DECAY_S = 8.0
"""Time constant of the average demand of short tasks, seconds; longer than a usual burst."""

RESERVE_FACTOR = 1.5
"""Factor by which the capacity reserved for short tasks exceeds their average demand."""

MIN_RESERVE_MILLICORES = 2500
"""Smallest reserve on each runner while there are short tasks, millicores: capacity for one short
task of the usual size."""

ASSUMED_DEMAND_SHARE = 0.06
"""Share of a service's capacity that short tasks are assumed to want before any is known. Lasting
tasks that fill a new fleet would leave no opening, and keep theirs for minutes."""

ASSUMED_FOR_S = 30.0
"""Time after its start for which a leader assumes that demand, seconds. A service without short
tasks has its whole capacity after it."""

CROWDED_SHARE = 0.6
"""Share of a service's capacity that lasting tasks have to want for the assumption to apply. Where
they want less, openings remain anyway."""


def forecast(state: Scheduler, now: float) -> None:
    """Set the capacity that lasting tasks leave to short counted tasks on each runner.

    A counted task is one whose processors count against the runner's capacity. Short tasks earn
    about four times as much per core-second as lasting ones, and would find no free capacity
    while more lasting tasks wait than fit. Where tasks are too wide for the same reserve on each
    runner, whole runners are kept for them; see `short_task_room`.
    """
    if now - state.forecast_at < FORECAST_INTERVAL_S:
        return
    share = min(1.0, (now - state.forecast_at) / FORECAST_DECAY_S)
    state.forecast_at = now
    state.contention.set_expected_fillers(filler_mix(state))
    demand_by_size = _short_running(state) + _short_waiting(state)
    demand = sum(demand_by_size.values())
    state.short_demand += share * (demand - state.short_demand)
    usable = sum(1 for runner in state.runners.values() if may_take_work(runner, now))
    if state.short_demand < 1.0 or not usable or not state.uses(Mechanism.RESERVE):
        state.reserve = 0
    else:
        state.reserve = max(
            MIN_RESERVE_MILLICORES, int(RESERVE_FACTOR * state.short_demand / usable)
        )
    if _may_keep_runners(state):
        state.short_rooms.demand.add(demand_by_size, share)
        runners = [runner for runner in state.runners.values() if runner.adopted]
        _keep_runners(state, runners, now)


def keep_from_first_pass(state: Scheduler, now: float) -> None:
    """Keep runners before the first forecast, by the short tasks that run or wait by the records.

    Otherwise lasting tasks that wait would take all openings as soon as a new leader has adopted
    their runners. Those that it has not adopted yet count too, as the records show what runs there.
    """
    rooms = state.short_rooms
    if rooms.demand.weight or not _may_keep_runners(state):
        return
    demand = _short_running(state) + _short_waiting(state)
    rooms.demand.add(demand, FORECAST_INTERVAL_S / FORECAST_DECAY_S)
    _keep_runners(state, list(state.runners.values()), now)


def _may_keep_runners(state: Scheduler) -> bool:
    return state.uses(Mechanism.RESERVE) and state.uses(Mechanism.WIDE_TASKS)


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


def _short_running(state: Scheduler) -> Counter[tuple[ServiceName, int]]:
    """Return the demand of running short tasks, by service and millicores of one task."""
    demand: Counter[tuple[ServiceName, int]] = Counter()
    for runner in state.runners.values():
        for run in runner.runs.values():
            if not run.lasting and run.demand.millicores:
                demand[runner.entry.service, run.demand.millicores] += run.demand.millicores
    return demand


def _short_waiting(state: Scheduler) -> Counter[tuple[ServiceName, int]]:
    """Return the demand of short tasks that wait, by service and millicores of one task."""
    demand: Counter[tuple[ServiceName, int]] = Counter()
    for job in state.waiting_jobs():
        service = state.service_of(job)
        for round_state in job.rounds.values():
            for _, step in round_state.ready():
                millicores = step.spec.demand.millicores
                if not step.spec.lasting and millicores:
                    demand[service, millicores] += len(step.waiting) * millicores
    return demand


# Whole runners for wide tasks


def _keep_runners(state: Scheduler, known: list[RunnerState], now: float) -> None:
    """Keep whole runners for each service whose wide tasks the usual reserve does not serve."""
    rooms = state.short_rooms
    before, rooms.by_service = rooms.by_service, {}
    assumed_before, rooms.assumed = rooms.assumed, _crowded_services(state, known, now)
    averages = rooms.demand.by_service()
    # A new leader's reserve grows from zero, so that it may not suffice yet.
    usual = max(MIN_RESERVE_MILLICORES, state.reserve)
    for service in sorted(averages.keys() | before.keys() | rooms.assumed):
        runners = [runner for runner in known if runner.entry.service == service]
        demand = averages.get(service, {})
        if service in rooms.assumed:
            demand = _assumed_demand(runners)
        largest = max((runner.entry.room.millicores for runner in runners), default=0)
        wide = wide_size(demand, largest)
        was_whole = service in before and service not in assumed_before
        if not _is_whole(rooms, service, wide, usual, was_whole, now):
            continue
        rooms.by_service[service] = keep_runners(
            _free_of_lasting(state, runners, now),
            RESERVE_FACTOR * sum(demand.values()),
            wide,
            before.get(service, USUAL_RESERVE).kept,
        )
    _log_changes(state, before)


def _crowded_services(
    state: Scheduler, known: list[RunnerState], now: float
) -> frozenset[ServiceName]:
    """Return the services for whose short tasks a demand is assumed, as none is known yet."""
    if now - state.began_at > ASSUMED_FOR_S:
        return frozenset()
    capacity: Counter[ServiceName] = Counter()
    wanted: Counter[ServiceName] = Counter()
    for runner in known:
        capacity[runner.entry.service] += runner.entry.room.millicores
        wanted[runner.entry.service] += _lasting_millicores(runner)
    for job in state.waiting_jobs():
        if job.lasting:
            wanted[state.service_of(job)] += _waiting_millicores(job)
    demanded = {service for service, _ in state.short_rooms.demand.sums}
    return frozenset(
        service
        for service in capacity
        if service not in demanded and wanted[service] > CROWDED_SHARE * capacity[service]
    )


def _waiting_millicores(job: JobState) -> int:
    return sum(
        len(step.waiting) * step.spec.demand.millicores
        for round_state in job.rounds.values()
        for _, step in round_state.ready()
    )


def _assumed_demand(runners: list[RunnerState]) -> dict[int, float]:
    """Return an assumed demand of tasks of half a runner, by millicores of one task."""
    rooms = [runner.entry.room.millicores for runner in runners]
    return {min(rooms) // 2: ASSUMED_DEMAND_SHARE * sum(rooms)}


def _is_whole(
    rooms: ShortTaskRooms,
    service: ServiceName,
    wide_millicores: int,
    usual: int,
    was_whole: bool,
    now: float,
) -> bool:
    """Return whether a service needs whole runners, or needed them within FORECAST_DECAY_S.

    Otherwise lasting tasks would take the kept runners in a burst, when the usual reserve is large
    for a moment.
    """
    if not usual_reserve_suffices(wide_millicores, usual):
        rooms.sufficient_since.pop(service, None)
        return True
    if not was_whole or not wide_millicores:
        rooms.sufficient_since.pop(service, None)
        return False
    return now - rooms.sufficient_since.setdefault(service, now) < FORECAST_DECAY_S


def _free_of_lasting(state: Scheduler, runners: list[RunnerState], now: float) -> list[RunnerRoom]:
    """Return the capacity free of lasting tasks on the runners that take new work."""
    silent_zones = state.starts.zones.silent(now)
    return [
        RunnerRoom(runner.id, runner.entry.room.millicores - _lasting_millicores(runner))
        for runner in runners
        if may_take_work(runner, now) and runner.entry.availability_zone not in silent_zones
    ]


def _lasting_millicores(runner: RunnerState) -> int:
    return sum(run.demand.millicores for run in runner.runs.values() if run.lasting)


def _log_changes(state: Scheduler, before: Mapping[ServiceName, ShortTaskRoom]) -> None:
    """Log each service for which the form of the reserve changed."""
    for service in sorted(before.keys() ^ state.short_rooms.by_service.keys()):
        room = state.short_rooms.of(service)
        state.log_event(
            "short-reserve",
            service=service,
            form="whole-runners" if room.wide_millicores else "each-runner",
            runners=len(room.kept),
            cores=round(room.kept_millicores / 1000.0, 1),
            wide_cores=round(room.wide_millicores / 1000.0, 1),
            each_millicores=state.reserve,
        )

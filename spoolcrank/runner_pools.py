"""Select the runners that may receive new work."""

from spoolcrank.ids import ServiceName
from spoolcrank.placing_pass import Candidates
from spoolcrank.runner_state import MAX_ANSWER_AGE_S, RunnerState
from spoolcrank.scheduler import Scheduler


def usable_runners(state: Scheduler, now: float) -> dict[ServiceName, list[RunnerState]]:
    """Return the runners that may receive new work, by service."""
    pools: dict[ServiceName, list[RunnerState]] = {}
    for runner in state.runners.values():
        # In a large fleet most runners have not answered lately, which is the quickest to see.
        if now - runner.answered_at <= MAX_ANSWER_AGE_S and runner.usable(now):
            pools.setdefault(runner.entry.service, []).append(runner)
    return pools


def may_take_work(runner: RunnerState, now: float) -> bool:
    """Return whether a runner would be usable if it answered now."""
    available = now >= runner.quarantined_until and runner.isolated_for is None
    return available and not runner.evacuated and runner.counts_as_capacity(now)


def responsive_runners(state: Scheduler, now: float) -> dict[ServiceName, list[RunnerState]]:
    """Return the runners that may receive new work, without zones that seem partitioned.

    A task started in a partitioned zone waits until its lease expires or the partition ends.
    """
    pools, silent = usable_runners(state, now), state.starts.silent_zones(now)
    if not silent:
        return pools
    return {
        service: [runner for runner in pool if runner.entry.availability_zone not in silent] or pool
        for service, pool in pools.items()
    }


def usual_candidates(
    state: Scheduler, service: ServiceName, runners: list[RunnerState]
) -> Candidates:
    """Return runners of a service as candidates, with what is reserved there for short tasks."""
    room = state.short_rooms.of(service)
    return Candidates(runners, 0 if room.wide_millicores else state.reserve, room=room)


def quarantined_runners(state: Scheduler, service: ServiceName, now: float) -> list[RunnerState]:
    """Return the quarantined runners of a service that are reachable and could take work."""
    return [
        runner
        for runner in state.runners.values()
        if runner.entry.service == service and runner.reachable(now) and not runner.usable(now)
    ]

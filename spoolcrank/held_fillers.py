"""Start fillers that every runner refuses for their effect, slowly and one at a time.

A filler is refused beside serving tasks that it is expected to slow too much, or one of which is
over its target. Whether the expectation is right shows only while such a filler runs. Where most
capacity is idle, a job with nothing running therefore starts one filler all the same, at a low
pace; from then on its pace follows the tail latencies beside it, as that of any other filler.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.binding import bind
from spoolcrank.contention import ContentionModel
from spoolcrank.crash_verdict import independent_crashes, needs_isolation
from spoolcrank.gangs import place_gang
from spoolcrank.idle_capacity import waits_beside_idle_capacity
from spoolcrank.ids import ServiceName
from spoolcrank.isolation import waits_for_isolation, without_suspects
from spoolcrank.job_state import NO_RUNNER, JobState, StepState, TaskState
from spoolcrank.openings import Scope, covers, scope_of, size_of
from spoolcrank.packing import (
    HARMLESS_LIKELIHOOD,
    Obstacle,
    PlacementRequest,
    filler_obstacle,
    has_room,
    max_effect,
)
from spoolcrank.placing_pass import PlacingPass
from spoolcrank.runner_pools import quarantined_runners
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.unknown_runs import may_start
from spoolcrank.workflow import Demand, RunnerId, Step, TaskKey

RETRY_S = 0.1
"""Interval between two searches for held fillers, seconds."""

STARTING_PACE_PERCENT = 10
"""Pace at which a held filler starts, percent. At it, a filler of usual weight and size raises a
tail latency by a tenth."""

UNDER_WAY_S = 0.1
"""Time after its start for which a held filler keeps others off its runner, seconds. Its low pace
takes effect within it. Runners with several held fillers each need this time for each of them,
and a job counts as lost a second after it is recognised as held."""

MAX_PAIRS = 4000
"""Number of pairs of task and runner that one search may evaluate, so that it ends before the next
one is due."""

_EFFECTS = (Obstacle.HARM, Obstacle.OVER_TARGET)

Pools = Mapping[ServiceName, list[RunnerState]]


class _Needs(NamedTuple):
    """What decides which runners suit a filler whose task has no history."""

    service: ServiceName
    image: str
    millicores: int
    demand: Demand
    label: str
    lasting: bool


Ranked = list[tuple[tuple[float, ...], RunnerState]]
"""Runners that refuse a filler for its effect, the one that suits best first."""


@dataclass
class _Search:
    """One search for runners for held fillers.

    Attributes:
        pools: runners that may receive new work, by service.
        pairs_left: number of pairs of task and runner that it may still evaluate.
        ranked: runners for fillers of equal needs; None if some runner takes those.
        refused: sizes of the fillers that found no runner, by scope.
    """

    pools: Pools
    pairs_left: int = MAX_PAIRS
    ranked: dict[_Needs, Ranked | None] = field(default_factory=dict)
    refused: dict[Scope, list[Demand]] = field(default_factory=dict)


def start_held_fillers(state: Scheduler, pools: Pools, current: PlacingPass, now: float) -> None:
    """Start one filler of each job that waits beside idle capacity with nothing running."""
    if current.link_full or now - state.held_fillers_at < RETRY_S:
        return
    held = [job for job in state.waiting_jobs() if _is_held(state, current, job, now)]
    if not held:
        return
    state.held_fillers_at = now
    search = _Search(pools)
    # Those of which no filler could start wait for their next turn as long as if one had.
    held.sort(key=lambda job: max(job.started_at, job.held_search_at))
    for job in held:
        if search.pairs_left <= 0:
            return
        job.held_search_at = now
        _start_one(state, job, search, now)


def _is_held(state: Scheduler, current: PlacingPass, job: JobState, now: float) -> bool:
    return (
        waits_beside_idle_capacity(state, current, job, state.service_of(job), now)
        and next(iter(job.bound()), None) is None
    )


def _start_one(state: Scheduler, job: JobState, search: _Search, now: float) -> None:
    service = state.service_of(job)
    for key, step in _startable(state, job, now):
        refused = search.refused.setdefault(scope_of(service, step.spec), [])
        size = size_of(step.spec)
        if any(covers(size, missed) for missed in refused):
            continue
        if _start(state, job, key, step, search, now):
            return
        refused.append(size)


def _startable(state: Scheduler, job: JobState, now: float) -> Iterator[tuple[TaskKey, StepState]]:
    """Yield one task of each step of fillers that waits for nothing but a runner."""
    for round_state in job.rounds.values():
        for step_number, step in round_state.ready():
            if not step.spec.fills:
                continue
            if step.spec.gang and len(step.waiting) < len(step.tasks):
                continue
            for index in step.waiting:
                key = TaskKey(job.id, round_state.number, step_number, index)
                if _waits_for_runner_only(state, key, step.tasks[index], now):
                    yield key, step
                    break


def _waits_for_runner_only(state: Scheduler, key: TaskKey, task: TaskState, now: float) -> bool:
    return (
        may_start(state, key, task, now)
        and task.move_destination == NO_RUNNER
        and not (needs_isolation(task.crashes) and waits_for_isolation(task, now))
    )


def _start(
    state: Scheduler, job: JobState, key: TaskKey, step: StepState, search: _Search, now: float
) -> bool:
    """Start a filler slowly if every runner refuses it; return False if it cannot start at all."""
    if step.spec.gang:
        return _start_gang(state, job, key, step, search, now)
    task = step.tasks[key.number]
    ranked = _ranked_for(state, state.service_of(job), step.spec, task, search, now)
    if ranked is None:
        # Some runner takes it: the usual order of work decides when it starts there.
        return True
    runner = next((each for _, each in ranked if not _is_under_way(each, now)), None)
    if runner is None:
        return False
    bind(state, job, key, task.run + 1, runner, now)
    _slow_down(runner, key, now)
    return True


def _slow_down(runner: RunnerState, key: TaskKey, now: float) -> None:
    """Give a run that was just bound to a runner the pace of a slow start."""
    run = runner.runs[key]
    run.starts_slowly = True
    runner.set_pace(run, STARTING_PACE_PERCENT, now)


def _start_gang(
    state: Scheduler, job: JobState, key: TaskKey, step: StepState, search: _Search, now: float
) -> bool:
    """Start all members of a gang slowly, of which some runners refuse at least some."""
    service = state.service_of(job)
    runners = [*search.pools.get(service, []), *quarantined_runners(state, service, now)]
    search.pairs_left -= len(runners) * len(step.tasks)
    if not place_gang(state, job, key.round, key.step, step, runners, now, _choose_refusing):
        return False
    for number, task in enumerate(step.tasks):
        _slow_down(state.runners[task.runner], key._replace(number=number), now)
    return True


def _choose_refusing(
    request: PlacementRequest,
    runners: Iterable[RunnerState],
    contention: ContentionModel,
    now: float,
) -> RunnerState | None:
    """Return the runner that suits a filler best, whether or not it refuses it for its effect."""
    best: RunnerState | None = None
    best_rank: tuple[float, ...] = ()
    for runner in runners:
        if request.rack and request.rack not in runner.entry.labels:
            continue
        if _is_under_way(runner, now) or not has_room(
            request.step, request.tasks_per_runner, runner
        ):
            continue
        obstacle = filler_obstacle(request.step, runner, contention, now)
        if obstacle is not None and obstacle not in _EFFECTS:
            continue
        rank = _rank(request.step, request.avoid, runner, obstacle, contention, now)
        if best is None or rank < best_rank:
            best, best_rank = runner, rank
    return best


def _ranked_for(
    state: Scheduler,
    service: ServiceName,
    step: Step,
    task: TaskState,
    search: _Search,
    now: float,
) -> Ranked | None:
    """Return the runners that refuse a filler for its effect, or None if some runner takes it."""
    runners = [*search.pools.get(service, []), *quarantined_runners(state, service, now)]
    if independent_crashes(task.crashes):
        runners = without_suspects(runners) or runners
    if task.crashes or task.refused_by != NO_RUNNER:
        search.pairs_left -= len(runners)
        return _ranking(step, task, runners, state.contention, now)
    needs = _Needs(service, step.image, step.millicores, step.demand, step.label, step.lasting)
    if needs not in search.ranked:
        search.pairs_left -= len(runners)
        search.ranked[needs] = _ranking(step, task, runners, state.contention, now)
    return search.ranked[needs]


def _ranking(
    step: Step,
    task: TaskState,
    runners: Sequence[RunnerState],
    contention: ContentionModel,
    now: float,
) -> Ranked | None:
    ranked: Ranked = []
    for runner in runners:
        # No task of a held job is on a runner, so that no limit for each runner applies.
        if not has_room(step, {}, runner):
            continue
        obstacle = filler_obstacle(step, runner, contention, now)
        if obstacle is None:
            return None
        if obstacle in _EFFECTS:
            rank = _rank(step, task.refused_by, runner, obstacle, contention, now)
            ranked.append((rank, runner))
    return sorted(ranked, key=lambda candidate: candidate[0])


def _rank(
    step: Step,
    avoid: RunnerId,
    runner: RunnerState,
    obstacle: Obstacle | None,
    contention: ContentionModel,
    now: float,
) -> tuple[float, ...]:
    """Return how badly a runner suits a filler that it refuses (lower is better)."""
    harmless = all(
        contention.harmless(image, step.image) >= HARMLESS_LIKELIHOOD for image in runner.serving
    )
    effect = max_effect(step.image, runner.share(step.millicores), runner, contention)
    return (
        0.0 if runner.usable(now) else 1.0,
        1.0 if obstacle is Obstacle.OVER_TARGET and not harmless else 0.0,
        1.0 if runner.id == avoid else 0.0,
        round(effect, 1),
        _highest_tail_ratio(runner),
        float(-runner.idle_millicores),
    )


def _is_under_way(runner: RunnerState, now: float) -> bool:
    """Return whether a held filler starts on the runner and may still work at full pace."""
    return any(
        run.starts_slowly and (run.stage is not RunStage.RUNNING or now - run.since < UNDER_WAY_S)
        for run in runner.runs.values()
    )


def _highest_tail_ratio(runner: RunnerState) -> float:
    return max(
        (run.tail_ms / run.target_ms for run in runner.runs.values() if run.serves), default=0.0
    )

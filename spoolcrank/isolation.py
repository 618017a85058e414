"""Isolate tasks suspected of crashing runners, to limit the damage and to find the cause.

After one crash, a task runs on a runner without other suspects. After two, it gets an exclusive
runner until its run has survived the critical time: nothing else starts on that runner, the runs
that started there recently settle, and only then the suspect starts. A crash is then evidence
against this task, and it costs the runner whose loss is cheapest.
"""

from collections import Counter
from collections.abc import Sequence

from spoolcrank.crash_evidence import MIN_AGE_GAP_S
from spoolcrank.ids import ServiceName
from spoolcrank.job_state import TaskState
from spoolcrank.packing import PlacementRequest, score
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Phase, TaskKey

MAX_SETTLE_WAIT_S = 1.5
"""Longest time for which a suspect waits for the recent runs on its runner to settle, seconds."""

MAX_ISOLATION_WAIT_S = 1.0
"""Longest time for which a suspect waits for an exclusive runner, seconds; then it starts beside
other tasks. A job with nothing running for 3 s counts as lost."""

LATE_SUSPECT_WAIT_S = 0.5
"""Wait of a suspect after which more runners may be exclusive at the same time, seconds."""

RUNNERS_PER_LATE_SUSPECT = 2
"""Number of runners for each exclusive one, used instead of RUNNERS_PER_SUSPECT for suspects that
have waited LATE_SUSPECT_WAIT_S."""

ISOLATION_S = 3.0
"""Time for which a suspect keeps its exclusive runner, seconds. A longer time would take too much
capacity from other tasks, as many suspects are harmless."""

RUNNERS_PER_SUSPECT = 8
"""Number of runners for each exclusive one, which limits how many runners suspects may crash."""


def without_suspects(runners: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners that execute no suspect."""
    return [runner for runner in runners if not any(run.suspect for run in runner.runs.values())]


def place_isolated(
    state: Scheduler,
    key: TaskKey,
    task: TaskState,
    request: PlacementRequest,
    runners: Sequence[RunnerState],
    now: float,
) -> RunnerState | None:
    """Return the exclusive runner of a suspect once it is ready, or None while the task waits."""
    waited_s = _waited_s(task, now)
    runner = _exclusive_runner(state, key)
    if runner is None:
        runner = _choose(state, task, request, runners, waited_s, now)
        if runner is None:
            return None
        runner.isolated_for = key
        runner.isolated_since = now
        state.log_event("suspect-apart", task=key, runner=runner.id, beside=len(runner.runs))
    if (
        runner.evacuated
        or not runner.answers(now)
        or not score(request, request.step.demand, runner, state.contention, now)
    ):
        runner.isolated_for = None
        return None
    ready = _settled(runner, now) or now - runner.isolated_since >= MAX_SETTLE_WAIT_S
    return runner if ready else None


def waits_for_isolation(task: TaskState, now: float) -> bool:
    """Return whether a suspect without an exclusive runner keeps waiting for one."""
    return _waited_s(task, now) < MAX_ISOLATION_WAIT_S


def _waited_s(task: TaskState, now: float) -> float:
    """Return how long a suspect has waited, seconds; the first call starts the count."""
    if task.isolation_wanted_since is None:
        task.isolation_wanted_since = now
    return now - task.isolation_wanted_since


def _exclusive_runner(state: Scheduler, key: TaskKey) -> RunnerState | None:
    return next((runner for runner in state.runners.values() if runner.isolated_for == key), None)


def _exclusive_limit_reached(
    state: Scheduler, runners: Sequence[RunnerState], waited_s: float
) -> bool:
    runners_per_suspect = (
        RUNNERS_PER_SUSPECT if waited_s < LATE_SUSPECT_WAIT_S else RUNNERS_PER_LATE_SUSPECT
    )
    in_use = sum(1 for runner in state.runners.values() if runner.isolated_for is not None)
    return in_use >= max(1, (len(runners) + in_use) // runners_per_suspect)


def _choose(
    state: Scheduler,
    task: TaskState,
    request: PlacementRequest,
    runners: Sequence[RunnerState],
    waited_s: float,
    now: float,
) -> RunnerState | None:
    """Return the runner whose loss is cheapest among those that can take the task now."""
    if _exclusive_limit_reached(state, runners, waited_s):
        return None
    crash_counts = Counter(evidence.address for evidence in task.crashes)
    candidates = sorted(
        without_suspects(runners), key=lambda runner: _loss_cost(runner, crash_counts)
    )
    demand = request.step.demand
    return next(
        (runner for runner in candidates if score(request, demand, runner, state.contention, now)),
        None,
    )


def _loss_cost(runner: RunnerState, crash_counts: Counter[str]) -> tuple[int, int, int, int]:
    """Return a sort key: runners without a crash under the task first, then the cheapest to lose.

    Another crash of a runner that crashed under the task before would be weaker evidence.
    """
    lasting = sum(1 for run in runner.runs.values() if run.lasting or run.serves)
    return (crash_counts[runner.entry.address], lasting, len(runner.runs), runner.used_millicores)


def _settled(runner: RunnerState, now: float) -> bool:
    return all(
        run.stage is RunStage.RUNNING
        and run.ordered_at is not None
        and now - run.ordered_at >= MIN_AGE_GAP_S
        for run in runner.runs.values()
    )


def end_isolation(state: Scheduler, runner: RunnerState, now: float) -> None:
    """End the isolation of a runner once its suspect no longer needs it."""
    key = runner.isolated_for
    if key is None:
        return
    run = runner.runs.get(key)
    if run is not None:
        if run.ordered_at is not None and now - run.ordered_at >= ISOLATION_S:
            runner.isolated_for = None
        return
    job = state.jobs.get(key.job)
    waiting = (
        job is not None
        and job.phase not in FINAL
        and job.has(key)
        and job.task(key).phase is Phase.WAITING
    )
    if not waiting or now - runner.isolated_since >= ISOLATION_S:
        runner.isolated_for = None


def limit_exclusive_runners(state: Scheduler) -> None:
    """End isolations until at least half of the listed runners of each service take other work.

    A new leader isolates the runner of every suspect that it finds in the records, also where the
    suspect was started beside other tasks because no exclusive runner was left.
    """
    if all(runner.isolated_for is None for runner in state.runners.values()):
        return
    listed: dict[ServiceName, list[RunnerState]] = {}
    for runner in state.runners.values():
        if runner.listed and not runner.gone:
            listed.setdefault(runner.entry.service, []).append(runner)
    for runners in listed.values():
        exclusive = [runner for runner in runners if runner.isolated_for is not None]
        exclusive.sort(key=lambda runner: len(runner.runs))
        for runner in exclusive[max(1, len(runners) // RUNNERS_PER_LATE_SUSPECT) :]:
            runner.isolated_for = None

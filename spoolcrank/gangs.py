"""Place the tasks of a gang, which can only run all together."""

import random
from collections.abc import Callable, Iterable

from spoolcrank.binding import bind
from spoolcrank.contention import ContentionModel
from spoolcrank.crash_verdict import independent_crashes
from spoolcrank.isolation import without_suspects
from spoolcrank.job_state import NO_RUNNER, JobState, StepState
from spoolcrank.packing import PlacementRequest, choose
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.short_task_room import USUAL_RESERVE, ShortTaskRoom
from spoolcrank.unknown_runs import gang_may_start
from spoolcrank.workflow import TaskKey

ChooseRunner = Callable[
    [PlacementRequest, Iterable[RunnerState], ContentionModel, float], RunnerState | None
]


def place_gang(
    state: Scheduler,
    job: JobState,
    round_number: int,
    step_number: int,
    step: StepState,
    runners: list[RunnerState],
    now: float,
    choose_runner: ChooseRunner = choose,
    room: ShortTaskRoom = USUAL_RESERVE,
) -> bool:
    """Bind all tasks of a gang or none of them; return whether they were bound."""
    if len(step.waiting) < len(step.tasks):
        return False
    racks = [""]
    if step.spec.same_rack:
        racks = sorted({label for runner in runners for label in runner.entry.labels}) + racks
    run_number = max(task.run for task in step.tasks) + 1
    if not gang_may_start(state, TaskKey(job.id, round_number, step_number, 0), step, now):
        return False
    pools = [runners]
    if independent_crashes(step.tasks[0].crashes):
        pools.insert(0, without_suspects(runners))
    return any(
        _place_members(
            state,
            job,
            step,
            TaskKey(job.id, round_number, step_number, 0),
            PlacementRequest(step.spec, {}, NO_RUNNER, rack, room=room),
            pool,
            run_number,
            now,
            choose_runner,
        )
        for pool in pools
        for rack in racks
    )


def _shuffled(
    chosen: list[tuple[RunnerState, TaskKey]], run_number: int
) -> list[tuple[RunnerState, TaskKey]]:
    """Return the same runners, dealt to the members in another order for each run.

    Runners that crash in the order in which they started would otherwise hit one member each time,
    as if it caused the crashes.
    """
    keys = [key for _, key in chosen]
    random.Random(f"{keys[0].step_key} {run_number}").shuffle(keys)
    return [(runner, key) for (runner, _), key in zip(chosen, keys, strict=True)]


def _place_members(
    state: Scheduler,
    job: JobState,
    step: StepState,
    first: TaskKey,
    request: PlacementRequest,
    runners: list[RunnerState],
    run_number: int,
    now: float,
    choose_runner: ChooseRunner,
) -> bool:
    tasks_per_runner = request.tasks_per_runner
    chosen: list[tuple[RunnerState, TaskKey]] = []
    for index in range(len(step.tasks)):
        key = first._replace(number=index)
        runner = choose_runner(request, runners, state.contention, now)
        if runner is None:
            break
        tasks_per_runner[runner.id] = tasks_per_runner.get(runner.id, 0) + 1
        # Count this member against the capacity while choosing runners for the others.
        runner.add(key, state.new_run(job, key, run_number, RunStage.RECORDED, now))
        chosen.append((runner, key))
    for runner, key in chosen:
        runner.remove(key)
    if len(chosen) < len(step.tasks):
        return False
    saved = next((task.saved for task in step.tasks if task.saved), "")
    if any(task.crashes for task in step.tasks):
        chosen = _shuffled(chosen, run_number)
    for runner, key in chosen:
        job.task(key).saved = saved
        bind(state, job, key, run_number, runner, now)
    return True

"""Regrouping of serving tasks by image, so that fillers find runners on which they slow nothing.

The tests guard against fillers that wait while processors are idle. Jobs made up of fillers earned
less than their minimum while half of the processors were idle: most of the fillers slow the image
that nearly half of the serving tasks run, and its tasks were on two runners of three, each beside
tasks of other images. Only whole groups of one image were exchanged, which hardly ever fit on full
runners: of 199 exchanges that would have freed capacity, 188 did not fit. No group moved while a
task of its step found no runner: after a runner was lost, 20 of 36 groups could not move because of
tasks that waited forever. With single tasks exchanged, fillers use 1.35 times the processors.
"""

import msgspec
import pytest

from spoolcrank.job_state import JobState, TaskState
from spoolcrank.regrouping import Regrouping
from spoolcrank.runner_state import RunnerState
from spoolcrank.workflow import JobRecord, Workflow
from tests.packed_runners import (
    MISMATCHED,
    NOW,
    SERVING,
    add_running_task,
    leader_with_pairs,
    runner,
)


def images_after(moves: list[tuple[object, str, str]], *runners: RunnerState) -> list[set[str]]:
    location = {
        key: (runner_state.id, run.image)
        for runner_state in runners
        for key, run in runner_state.runs.items()
    }
    for key, _, destination in moves:
        location[key] = (destination, location[key][1])
    serving = {"s", "b"}
    return [
        {
            image
            for place_id, image in location.values()
            if place_id == runner_state.id and image in serving
        }
        for runner_state in runners
    ]


def test_single_tasks_are_exchanged_where_whole_groups_do_not_fit() -> None:
    first, second = runner("i-1", 25_000), runner("i-2", 25_000)
    state = leader_with_pairs(first, second)
    for location, steps in (
        (first, (SERVING, MISMATCHED, MISMATCHED, MISMATCHED)),
        (second, (SERVING, SERVING, MISMATCHED, MISMATCHED)),
    ):
        for step in steps:
            add_running_task(state, location, step)
    moves = Regrouping().moves(state, NOW)
    assert len(moves) == 2
    assert images_after(moves, first, second) == [{"b"}, {"s", "b"}]


@pytest.mark.parametrize(("pace", "moved"), [(90, 0), (10, 2)])
def test_single_tasks_are_exchanged_only_for_a_backlog_that_uses_the_capacity(
    pace: int, moved: int
) -> None:
    """The paces hold back a ninth of the work that runs, or nine times as much.

    The same exchange is made only in the second case.
    """
    first, second = runner("i-1", 25_000), runner("i-2", 25_000)
    state = leader_with_pairs(first, second)
    for location, steps in (
        (first, (SERVING, MISMATCHED, MISMATCHED, MISMATCHED)),
        (second, (SERVING, SERVING, MISMATCHED, MISMATCHED)),
    ):
        for step in steps:
            add_running_task(state, location, step)
    for run in first.runs.values():
        if run.fills:
            first.set_pace(run, pace, NOW - 1)
    assert len(Regrouping().moves(state, NOW)) == moved


def test_waiting_task_does_not_keep_others_of_its_step_from_moving() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    keys = [
        add_running_task(state, location, step)
        for location, step in ((mixed, SERVING), (own, MISMATCHED))
    ]
    mismatched_key = add_running_task(state, mixed, MISMATCHED)
    for key in (*keys, mismatched_key):
        _add_waiting_sibling(state.jobs[key.job])
    moves = Regrouping().moves(state, NOW)
    assert [(move.source, move.destination) for move in moves] in (
        [("i-1", "i-2")],
        [("i-2", "i-1")],
    )


def _add_waiting_sibling(job: JobState) -> None:
    step = job.rounds[0].steps[0]
    step.tasks.append(TaskState())
    step.waiting[1] = None
    larger_spec = msgspec.structs.replace(step.spec, count=2)
    step.spec = larger_spec
    flow = Workflow("", (larger_spec,))
    job.record = JobRecord(**{**msgspec.structs.asdict(job.record), "workflow": flow})

"""How serving tasks are sorted apart, so that fillers find runners where they slow nothing.

Seen: settlement jobs, all of them fillers, earned less than their floor while half of the
processors stood idle. How it came about: most fillers of that day slow the image that nearly half
of the serving tasks run, and its tasks stood on two runners of three, each beside tasks of other
images. Cause: only whole groups of one image changed places, which hardly ever fit on full runners,
and none moved while a task of its step found no place. Proof: of 199 exchanges that would have
opened room, 188 did not fit; after a runner was lost, 20 of 36 groups could not move for tasks that
waited for ever; with single tasks exchanged, fillers work at 1.35 times the processors.
"""

import msgspec
import pytest
from test_packing import NOW, ODD, SERVING, at_work, grouped, runner

from spoolcrank.job_state import JobState, TaskState
from spoolcrank.regrouping import Regrouping
from spoolcrank.runner_state import RunnerState
from spoolcrank.workflow import JobRecord, Workflow


def images_after(moves: list[tuple[object, str, str]], *places: RunnerState) -> list[set[str]]:
    where = {key: (place.id, run.image) for place in places for key, run in place.runs.items()}
    for key, _, destination in moves:
        where[key] = (destination, where[key][1])
    serving = {"s", "b"}
    return [
        {image for place_id, image in where.values() if place_id == place.id and image in serving}
        for place in places
    ]


def test_single_tasks_change_places_where_whole_groups_do_not_fit() -> None:
    one, two = runner("i-1", 25_000), runner("i-2", 25_000)
    state = grouped(one, two)
    for where, steps in ((one, (SERVING, ODD, ODD, ODD)), (two, (SERVING, SERVING, ODD, ODD))):
        for step in steps:
            at_work(state, where, step)
    moves = Regrouping().moves(state, NOW)
    assert len(moves) == 2
    assert images_after(moves, one, two) == [{"b"}, {"s", "b"}]


@pytest.mark.parametrize(("pace", "moved"), [(90, 0), (10, 2)])
def test_single_tasks_change_places_only_for_a_backlog_that_uses_the_room(
    pace: int, moved: int
) -> None:
    """What waits is a ninth of what works, or nine times that: the same exchange, weighed."""
    one, two = runner("i-1", 25_000), runner("i-2", 25_000)
    state = grouped(one, two)
    for where, steps in ((one, (SERVING, ODD, ODD, ODD)), (two, (SERVING, SERVING, ODD, ODD))):
        for step in steps:
            at_work(state, where, step)
    for run in one.runs.values():
        if run.fills:
            one.set_pace(run, pace, NOW - 1)
    assert len(Regrouping().moves(state, NOW)) == moved


def test_a_task_that_fits_nowhere_keeps_none_of_its_step_from_moving() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = grouped(mixed, own)
    keys = [at_work(state, where, step) for where, step in ((mixed, SERVING), (own, ODD))]
    odd = at_work(state, mixed, ODD)
    for key in (*keys, odd):
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
    wider = msgspec.structs.replace(step.spec, count=2)
    step.spec = wider
    flow = Workflow("", (wider,))
    job.record = JobRecord(**{**msgspec.structs.asdict(job.record), "workflow": flow})

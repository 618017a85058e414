"""What counts as a crash under a task, what clears it, and kinds of tasks that crash runners."""

from collections.abc import Callable

import msgspec
import pytest

from spoolcrank import job_state, placing, runner_loss
from spoolcrank.crash_record import clears_after_s, is_guilty, with_mark
from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState
from spoolcrank.workflow import (
    CrashMark,
    JobPhase,
    Progress,
    Step,
    TaskKey,
    decode_progress,
    encode_progress,
)
from tests.fleet_world import Instance, Runner, World, small
from tests.test_crashing_tasks import MOST_STARTS, ONE, busy

TASK = TaskKey(JobId("bad0"), 0, 0, 0)
CALM_PER_S = 0.004
"""A runner crashes each 250 s: one of 24 in ten seconds."""

ROUGH_PER_S = 0.06


def _mark(number: int, lived_ms: int = 20, alone: bool = True, proved: bool = True) -> CrashMark:
    return CrashMark(f"i-{number}", f"10.0.0.{number}:80", lived_ms, alone, proved)


# The judgement


def test_three_crashes_soon_after_the_start_prove_a_task_guilty() -> None:
    marks = tuple(_mark(number) for number in range(3))
    assert is_guilty(marks, ROUGH_PER_S)
    assert not is_guilty(marks[:2], CALM_PER_S)


def test_crashes_beside_others_that_began_just_then_prove_nothing() -> None:
    marks = tuple(_mark(number, alone=False) for number in range(4))
    assert not is_guilty(marks, CALM_PER_S)


def test_crashes_late_in_a_run_prove_nothing_where_runners_crash_often() -> None:
    marks = tuple(_mark(number, lived_ms=4000) for number in range(3))
    assert not is_guilty(marks, ROUGH_PER_S)
    assert is_guilty(marks, CALM_PER_S)


def test_crashes_of_one_machine_count_as_one_alone() -> None:
    marks = tuple(CrashMark(f"i-{number}", "10.0.0.1:80", 20, True) for number in range(4))
    assert not is_guilty(marks, CALM_PER_S)


def test_a_task_that_crashes_at_one_place_of_its_work_is_found_out_from_its_checkpoint() -> None:
    """The first run comes to the place from its start, the next from where it had saved."""
    marks: tuple[CrashMark, ...] = ()
    for number, lived_ms in enumerate((3000, 700, 700)):
        marks = with_mark(marks, _mark(number, lived_ms))
    assert len(marks) == 3
    assert is_guilty(marks, CALM_PER_S)


def test_a_crash_counts_once_for_each_runner() -> None:
    marks = with_mark(with_mark((), _mark(1, proved=False)), _mark(1))
    assert marks == (_mark(1),)


# The stored form


def test_marks_are_kept_and_records_without_them_are_read() -> None:
    world = small()
    told = world.instances["entry-0"].submit("bad0", ONE)
    world.run_until(lambda: bool(told))
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    job = leader.dispatcher.scheduler.jobs[JobId("bad0")]
    job.task(TASK).run, job.task(TASK).crashes = 1, (_mark(1),)
    stored = decode_progress(encode_progress(job.progress()))
    again = JobState(job.id, job.record, job.order)
    again.restore(stored)
    assert again.task(TASK).crashes == (_mark(1),)
    earlier = msgspec.json.decode(
        b'["running", [[0, 0, false, [[0, 1, 2, "i-1", "", 1]]]]]', type=Progress
    )
    again.restore(earlier)
    assert (again.task(TASK).failures, again.task(TASK).crashes) == (1, ())


# Evidence, in simulated time


def _running(lasting: bool = False) -> tuple[World, Instance, Runner]:
    """Return a world in which one task has been at work for a second."""
    world = small()
    for one in world.runners.values():
        one.work_s = 30.0
    leader = world.leader()
    assert leader is not None
    leader.submit("bad0", ONE)
    world.run(1.0)
    return world, leader, next(one for one in world.runners.values() if one.tasks)


def _crashes(leader: Instance) -> tuple[CrashMark, ...]:
    assert leader.dispatcher.scheduler is not None
    return leader.dispatcher.scheduler.jobs[JobId("bad0")].task(TASK).crashes


def _crash(world: World, runner: Runner) -> None:
    world.crash(runner, back_s=2.0)
    world.run(4.0)


def _crash_for_long(world: World, runner: Runner) -> None:
    """Back only once its leases have passed and the task is out again: the proof comes late."""
    world.crash(runner, back_s=9.0)
    world.run(8.5)
    leader = world.leader()
    assert leader is not None
    assert [one.proved for one in _crashes(leader)] == [False]
    world.run(1.0)


def _cut(world: World, runner: Runner) -> None:
    world.unreachable |= {(name, runner.name) for name in world.instances}
    world.run(12.0)
    leader = world.leader()
    assert leader is not None
    assert _crashes(leader) == ()
    world.unreachable.clear()
    world.run(3.0)


def _cut_from_all(world: World, runner: Runner) -> None:
    """It lives, and neither an instance nor the store hears of it until it is back."""
    world.unreachable |= {(name, runner.name) for name in world.instances}
    world.run(1.0)
    world.store.entries.put(runner.id, b"")
    world.run(9.0)
    leader = world.leader()
    assert leader is not None
    assert [one.proved for one in _crashes(leader)] == [False]
    world.unreachable.clear()
    world.store.entries.put(runner.id, b"ready")
    world.run(1.0)


def _drain(world: World, runner: Runner) -> None:
    world.store.entries.put(runner.id, b"draining")
    world.run(1.0)
    _crash(world, runner)


def _withdraw(world: World, runner: Runner) -> None:
    """Its entry goes, it serves on for a while, and ends."""
    world.store.entries.put(runner.id, b"")
    world.run(3.0)
    _crash(world, runner)


@pytest.mark.parametrize(
    ("happens", "counts"),
    [
        (_crash, 1),
        (_crash_for_long, 1),
        (_cut, 0),
        (_cut_from_all, 0),
        (_drain, 0),
        (_withdraw, 0),
    ],
    ids=[
        "crashed",
        "proved late",
        "cut off",
        "cut off from the store too",
        "drained",
        "left without a word",
    ],
)
def test_only_the_end_of_a_runner_without_notice_counts(
    happens: Callable[[World, Runner], None], counts: int
) -> None:
    world, leader, runner = _running()
    happens(world, runner)
    marks = _crashes(leader)
    assert [one.proved for one in marks] == [True] * counts
    assert world.broken == []


def test_a_suspect_that_lives_on_is_cleared() -> None:
    world, leader, runner = _running()
    _crash(world, runner)
    assert len(_crashes(leader)) == 1
    world.run(clears_after_s(_crashes(leader)) + 1.5)
    assert _crashes(leader) == ()


# Tasks of each kind


GANG = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600, gang=True)
LASTING = Step(count=3, millicores=1000, memory_mb=100, lasting=True)
SIBLINGS = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=600)


Back = tuple[tuple[float, float], bool]
"""When a runner that crashed is back, s, and whether at another address: then nothing proves that
it is gone."""

SOON: Back = ((1.5, 5.0), False)
LATE: Back = ((10.0, 14.0), False)
"""Back only after its leases have passed: each proof comes after the next start."""

ELSEWHERE: Back = ((1.5, 5.0), True)


def _play(step: Step, crashing: dict[str | TaskKey, float], seed: int, back: Back) -> World:
    """Play one job whose tasks crash runners, beside sound ones."""
    world = small(instances=4, runners=8, seed=seed)
    world.crashing = crashing
    world.back_s, world.back_elsewhere = back
    world.gang_jobs = {"bad0"} if step.gang else set()
    world.lasting_jobs = {"bad0"} if step.lasting else set()
    first = world.instances["entry-0"]
    first.submit("bad0", step, max_attempts=9)
    for number in range(40):
        first.submit(f"{number:04x}", Step(count=3, millicores=1000, memory_mb=100))
        world.run(0.5)
    world.run(60.0)
    assert world.broken == []
    phases = [first.index.phase(JobId(f"{number:04x}")) for number in range(40)]
    assert phases == [JobPhase.COMPLETED] * 40
    assert first.index.phase(JobId("bad0")) is JobPhase.FAILED
    return world


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "back", [SOON, LATE, ELSEWHERE], ids=["back soon", "back late", "back elsewhere"]
)
@pytest.mark.parametrize(
    ("step", "number"),
    [(ONE, 0), (LASTING, 1), (GANG, 2)],
    ids=["alone", "lasting", "member of a gang"],
)
def test_one_guilty_task_of_a_step_is_found_out(
    step: Step, number: int, back: Back, seed: int
) -> None:
    guilty = TASK._replace(number=number)
    world = _play(step, {guilty: 0.5}, seed, back)
    assert world.starts_after_crashes(guilty, 3) <= MOST_STARTS


@pytest.mark.parametrize("seed", range(3))
def test_a_step_of_guilty_tasks_does_not_take_runners_for_each(seed: int) -> None:
    world = _play(SIBLINGS, {"bad0": 0.5}, seed, SOON)
    guilty = [TASK._replace(number=number) for number in range(SIBLINGS.count)]
    assert max(world.starts_after_crashes(key, 3) for key in guilty) <= MOST_STARTS


# Mutations


def _forgets(step: job_state.StepState, mark: job_state.TaskMark) -> None:
    _restore_task(step, mark)
    step.tasks[mark.index].crashes = ()


def _by_count(marks: tuple[CrashMark, ...], per_s: float) -> bool:
    return len(marks) >= 2


_restore_task = job_state._restore_task


def test_forgetting_at_a_takeover_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    from tests.test_crashing_tasks import (
        test_what_counts_against_a_task_outlives_its_leader as play,
    )

    monkeypatch.setattr(job_state, "_restore_task", _forgets)
    with pytest.raises(AssertionError):
        for seed in range(10):
            play(seed)


APART_SEEDS = 10
MOST_APART = 10
"""Starts after the third crash of two guilty tasks in so many plays; each costs a runner."""


def _starts_after_the_third() -> int:
    plays = [busy(seed) for seed in range(APART_SEEDS)]
    return sum(
        world.starts_after_crashes(TaskKey(JobId(job), 0, 0, 0), 3)
        for world, _, bad in plays
        for job in bad
    )


def test_suspects_that_start_apart_cost_few_runners_more() -> None:
    assert _starts_after_the_third() <= MOST_APART


def test_starting_suspects_beside_anything_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placing, "starts_apart", lambda marks: False)
    assert _starts_after_the_third() > MOST_APART


def test_blaming_all_that_was_on_a_runner_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    from tests.test_crashing_tasks import test_sound_work_outlives_a_spell_of_plain_crashes as play

    monkeypatch.setattr(runner_loss, "is_guilty", _by_count)
    with pytest.raises(AssertionError):
        for seed in range(10):
            play(seed)


# Guards against a guilty task that is never given up as something else always began beside it.
def test_five_crashes_soon_after_the_start_prove_a_task_guilty_beside_others_too() -> None:
    marks = tuple(_mark(number, alone=False) for number in range(5))
    assert is_guilty(marks, ROUGH_PER_S)
    assert not is_guilty(marks[:4], CALM_PER_S)

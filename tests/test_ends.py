"""Tests of the ends that a runner lists, and of runs that it does not list."""

import pytest

from spoolcrank.batching import ENDED_JOB_RETENTION_S, drop_ended_jobs, take_batch
from spoolcrank.ids import JobId
from spoolcrank.orders import EndedRow, EndKind, Start, Stop
from spoolcrank.placing import place
from spoolcrank.run_ends import end_run
from spoolcrank.run_timeouts import MIN_HUNG_S, ORDER_RETRY_INTERVAL_S, tick
from spoolcrank.runner_loss import handle_expired_leases
from spoolcrank.runs import RunStage
from spoolcrank.workflow import JobPhase, Step, TaskKey
from tests.fleet_world import World, small_world
from tests.packed_runners import NOW, leader, runner
from tests.test_room_beside_waits import add_job

MAX_LATE_ORDER_S = 13.0
MAX_VOID_S = 6.0
"""Longest time, in seconds, until a job of 0.6 s is done of which some starts had no answer: two
tries of a start, one of a stop, and the wait for a poll. A lease takes 7.5 s."""


def _completed(world: World, job: str) -> bool:
    instance = next(iter(world.instances.values()))
    return instance.index.phase(JobId(job)) is JobPhase.COMPLETED


def test_a_run_may_be_among_the_ends_that_a_runner_has_yet_to_list() -> None:
    """Guards against a new leader that starts tasks again that have ended.

    A runner lists its unrecorded ends in parts, and a run that was in neither list counted as never
    started there. Without the check for a complete list, this test starts finished tasks again.
    """
    world = small_world(runners=2)
    world.max_ends_per_answer = 3
    world.instances["entry-0"].submit("a1", Step(count=16, millicores=1000, memory_mb=100))
    world.run_until(lambda: len(world.starts) == 16)
    leader = world.leader()
    assert leader is not None
    leader.kill()
    world.run_until(lambda: _completed(world, "a1"), 20.0)
    world.run(2.0)
    assert world.violations == []


def test_a_start_refused_as_old_waits_for_the_list_of_ends() -> None:
    """A start refused as old means that this run, or a later one, was stopped or has ended there.

    Guards against counting such a run as never started: it was bound again, and its end, listed by
    the next poll, was taken for an unknown one and acknowledged. The task then started again after
    it was done.
    """
    world = small_world(runners=1)
    runner = next(iter(world.runners.values()))
    key = TaskKey(JobId("a1"), 0, 0, 0)
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    runner_state = leader.dispatcher.scheduler.runners[runner.incarnation_id]
    world.instances["entry-0"].submit("a1", Step(count=1, millicores=1000, memory_mb=100))
    while key not in runner_state.runs or runner_state.runs[key].stage is not RunStage.ORDERED:
        world.run(0.0002)
    # An earlier call has carried out the run, and it has ended.
    runner.ends += 1
    runner.highest_run[key] = 1
    runner.ended.append(EndedRow(runner.ends, key, 1, EndKind.DONE, ""))
    runner.ended_at[runner.ends] = world.now
    world.run_until(lambda: _completed(world, "a1"), 20.0)
    world.run(2.0)
    assert world.starts[key] == []
    assert world.violations == []


def test_the_log_line_for_an_unknown_end_has_the_state_of_its_task() -> None:
    """Guards against log lines that do not distinguish repeated ends from lost ones."""
    world = small_world()
    runner = next(iter(world.runners.values()))
    steps = [Step(count=2, millicores=1000, memory_mb=100, after=after) for after in ((), (0,))]
    world.instances["entry-0"].submit("a1", *steps)
    leader = world.leader()
    assert leader is not None
    world.run_until(lambda: any(name == "run-ended" for name, _ in leader.logged.lines))
    runner.ends += 1
    key = TaskKey(JobId("a1"), 0, 0, 0)
    runner.ended.append(EndedRow(runner.ends, key, 9, EndKind.FAILED, ""))
    world.run(0.5)
    (logged,) = [fields for name, fields in leader.logged.lines if name == "end-not-ours"]
    assert (logged["job_phase"], logged["task_phase"], logged["newest_run"]) == (
        "running",
        "done",
        1,
    )


@pytest.mark.parametrize("steps", [1, 2])
def test_a_start_without_an_answer_is_not_sent_again_once_its_gang_has_ended(steps: int) -> None:
    """The end of one member ends its gang, also while the start of another one is unconfirmed.

    With a single step the leader ended its term with an internal error: the round of the task was
    closed. With a later step it sent the start of the ended gang's member again.
    """
    state = leader(runner("r0"), runner("r1"))
    gang = Step(count=2, millicores=20_000, memory_mb=100, gang=True)
    add_job(state, "cd", gang, 0, later=gang if steps == 2 else None)
    place(state, NOW, 0.0)
    first, second = (TaskKey(JobId("cd"), 0, 0, number) for number in range(2))
    by_task = {key: other for other in state.runners.values() for key in other.runs}
    by_task[second].runs[second].stage = RunStage.UNCONFIRMED
    end_run(state, first, by_task[first], EndKind.DONE, "", NOW)
    state.orders.clear()
    tick(state, NOW + 2 * ORDER_RETRY_INTERVAL_S)
    orders = [order for order in state.orders if isinstance(order, Start | Stop)]
    assert [(type(order), order.task) for order in orders] == [(Stop, second)]


def test_a_run_without_progress_of_an_ended_gang_does_not_end_the_term() -> None:
    """The leader ended its term with an internal error, as the round of the task was closed."""
    state = leader(runner("r0"), runner("r1"))
    add_job(state, "cd", Step(count=2, millicores=20_000, memory_mb=100, gang=True), 0)
    place(state, NOW, 0.0)
    first, second = (TaskKey(JobId("cd"), 0, 0, number) for number in range(2))
    by_task = {key: other for other in state.runners.values() for key in other.runs}
    run = by_task[second].runs[second]
    run.stage, run.percent, run.reported_at = RunStage.RUNNING, 50, NOW + 10 * MIN_HUNG_S
    end_run(state, first, by_task[first], EndKind.DONE, "", NOW)
    tick(state, NOW + 10 * MIN_HUNG_S)
    assert second in by_task[second].runs


def test_a_task_whose_start_and_stop_stay_unanswered_goes_on_elsewhere() -> None:
    """A full link lets polls through on their open connections, and no start and no stop.

    The run was neither listed nor stopped, and each poll extended the lease: its task waited beside
    free runners for as long as the link was full.
    """
    world = small_world(runners=2)
    unreached = next(iter(world.runners.values()))
    world.polls_only = {unreached.name}
    world.instances["entry-0"].submit("a1", Step(count=12, millicores=1000, memory_mb=100))
    world.run_until(lambda: _completed(world, "a1"), MAX_VOID_S)
    world.run(MAX_LATE_ORDER_S)
    assert not unreached.tasks
    assert world.violations == []


def test_a_run_lost_long_after_its_job_ended_does_not_end_the_term() -> None:
    """The job was dropped with its change still to be written: an internal error ended the term."""
    state = leader(runner("r0"))
    key = TaskKey(JobId("cd"), 0, 0, 0)
    add_job(state, "cd", Step(count=1, millicores=1000, memory_mb=100), 0)
    place(state, NOW, 0.0)
    lost = next(iter(state.runners.values()))
    lost.runs[key].stage = RunStage.RUNNING
    state.cancel(JobId("cd"), NOW)
    take_batch(state)
    now = NOW + ENDED_JOB_RETENTION_S
    handle_expired_leases(state, lost, now)
    drop_ended_jobs(state, now)
    batch = take_batch(state)
    assert batch is not None
    assert [record.value for record in batch.records] == [b"", b"", b""]

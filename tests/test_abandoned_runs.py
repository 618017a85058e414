"""Failures of runs that were given up before their ends were known, and listed to a later leader.

Every failed run counts as one attempt of its task, whoever hears of its end, and however often.
"""

import zlib

import msgspec
import pytest

from spoolcrank.batching import on_batch_stored, order_starts, take_batch
from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState
from spoolcrank.order_answers import start_answered
from spoolcrank.orders import Answered, EndedRow, EndKind, OrderResult, Poll, Report, Start
from spoolcrank.placing import place
from spoolcrank.run_control import poll_answered
from spoolcrank.runner_loss import handle_expired_leases
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import (
    MAX_ABANDONED_RUNS,
    JobPhase,
    Progress,
    Step,
    StoredStep,
    TaskKey,
    decode_progress,
    encode_progress,
)
from tests.fleet_world import World, small_world
from tests.packed_runners import NOW, leader, runner
from tests.test_late_ends import AFTER_PARTITION_S, PARTITION_S, WORK_S
from tests.test_room_beside_waits import add_job

JOB = JobId("ab")
FIRST = TaskKey(JOB, 0, 0, 0)
ONE = Step(count=1, millicores=1000, memory_mb=100, checkpoints=True)
GANG = Step(count=2, millicores=20_000, memory_mb=100, gang=True)


def _job(state: Scheduler) -> JobState:
    return state.jobs[JOB]


def _failures(state: Scheduler) -> int:
    return _job(state).task(FIRST).failures


def _new_leader(step: Step = ONE) -> Scheduler:
    state = leader(runner("r0"), runner("r1"))
    add_job(state, JOB, step, 0)
    return state


def _successor(state: Scheduler) -> Scheduler:
    """Return the leader that finds what the given one has written so far."""
    return _restored(state, encode_progress(_job(state).progress()))


def _restored(state: Scheduler, value: bytes) -> Scheduler:
    successor = leader(runner("r0"), runner("r1"))
    record = _job(state).record
    successor.add_job(JOB, record, 0, decode_progress(value), False, NOW, 0.0)
    return successor


def _store(state: Scheduler) -> None:
    batch = take_batch(state)
    if batch is not None:
        on_batch_stored(state, batch, NOW)


def _start(state: Scheduler) -> list[RunnerState]:
    """Start the waiting tasks, and return their runners."""
    for other in state.runners.values():
        other.record_answer(1000.0, NOW, NOW)
        other.quarantined_until = NOW
    _job(state).task(FIRST).not_before = 0.0
    place(state, NOW, 0.0)
    _store(state)
    order_starts(state, NOW)
    for order in [order for order in state.orders if isinstance(order, Start)]:
        start_answered(state, order, Answered(OrderResult.DONE), NOW)
    state.orders.clear()
    return [other for other in state.runners.values() if other.runs]


def _give_up(state: Scheduler) -> RunnerState:
    """Start the waiting tasks, give all their runs up, and return the runner of the first task."""
    holders = _start(state)
    first = next(other for other in holders if FIRST in other.runs)
    for other in holders:
        handle_expired_leases(state, other, NOW)
    return first


def _list(
    state: Scheduler,
    name: str,
    run: int,
    how: EndKind = EndKind.FAILED,
    key: TaskKey = FIRST,
    saved: str = "",
    number: int = 0,
) -> None:
    """Let a runner list one end, with the next number unless one is given."""
    other = next(each for each in state.runners.values() if each.id.startswith(name))
    number = number or other.last_handled_end + 1
    row = EndedRow(number, key, run, how, saved)
    poll = Poll(state.target(other), other.seen, None, 0)
    poll_answered(state, poll, Report(other.id, 1000.0, (), (row,)), NOW, NOW)


def test_a_failure_given_up_under_one_leader_counts_under_the_next() -> None:
    state = _new_leader()
    holder = _give_up(state)
    successor = _successor(state)
    _list(successor, holder.id, 1)
    assert _failures(successor) == 1


def test_failures_of_several_runs_that_were_given_up_all_count() -> None:
    """Only the newest run was remembered, so that the failures of the others did not count."""
    state = _new_leader()
    first, second = _give_up(state), _give_up(state)
    assert _job(state).task(FIRST).run == 2
    successor = _successor(state)
    _list(successor, first.id, 1)
    _list(successor, second.id, 2)
    assert _failures(successor) == 2


def test_a_run_that_was_never_ordered_does_not_replace_one_that_was() -> None:
    """The failure of a run that was given up was forgotten once the next one was withdrawn."""
    state = _new_leader()
    holder = _give_up(state)
    place(state, NOW, 0.0)
    task = _job(state).task(FIRST)
    assert task.run == 2
    state.stop_run(FIRST, task.runner, NOW)
    _list(state, holder.id, 1)
    assert _failures(state) == 1
    assert not _job(state).progress().abandoned


def test_the_end_of_a_run_that_was_never_ordered_is_not_waited_for() -> None:
    state = _new_leader()
    place(state, NOW, 0.0)
    handle_expired_leases(state, state.runners[_job(state).task(FIRST).runner], NOW)
    assert not _job(state).progress().abandoned


@pytest.mark.parametrize("runs", [1, 2])
def test_a_failure_that_is_stored_does_not_count_again_under_the_next_leader(runs: int) -> None:
    state = _new_leader()
    holders = [_give_up(state) for _ in range(runs)]
    _list(state, holders[0].id, 1, number=1)
    successor = _successor(state)
    _list(successor, holders[0].id, 1, number=1)
    assert _failures(successor) == _failures(state) == 1


def test_a_failure_listed_to_a_leader_whose_record_is_lost_counts_under_the_next() -> None:
    state = _new_leader()
    holder = _give_up(state)
    stored = encode_progress(_job(state).progress())
    _list(state, holder.id, 1, number=1)
    successor = _restored(state, stored)
    _list(successor, holder.id, 1, number=1)
    _list(successor, holder.id, 1, number=1)
    assert _failures(state) == _failures(successor) == 1


def test_a_run_is_no_longer_stored_once_its_end_was_listed() -> None:
    state = _new_leader()
    holder = _give_up(state)
    assert _job(state).progress().abandoned
    _store(state)
    _list(state, holder.id, 1, EndKind.LAPSED)
    batch = take_batch(state)
    assert batch is not None
    (record,) = batch.records
    assert not decode_progress(record.value).abandoned


@pytest.mark.parametrize("ends", ["done", "failed", "cancelled"])
def test_nothing_is_remembered_of_a_job_that_has_ended(ends: str) -> None:
    state = _new_leader()
    holder = _give_up(state)
    if ends == "done":
        _list(state, holder.id, 1, EndKind.DONE)
    elif ends == "failed":
        state.fail_job(_job(state), NOW)
    else:
        state.cancel(JOB, NOW)
    assert _job(state).phase in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)
    assert not _job(state).progress().abandoned


def test_a_checkpoint_that_comes_with_a_failure_to_the_next_leader_is_resumed() -> None:
    state = _new_leader()
    holder = _give_up(state)
    successor = _successor(state)
    _list(successor, holder.id, 1, saved="0042")
    assert _job(successor).task(FIRST).saved == "0042"
    assert _failures(successor) == 1


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_the_checkpoint_of_the_newest_run_is_resumed(order: tuple[int, int]) -> None:
    """Guards against resuming an older checkpoint because its end was listed last."""
    state = _new_leader()
    holders = {1: _give_up(state), 2: _give_up(state)}
    for run in order:
        _list(state, holders[run].id, run, EndKind.LAPSED, saved=f"000{run}")
    assert _job(state).task(FIRST).saved == "0002"


def test_a_failed_run_of_a_gang_counts_once_though_several_members_list_it() -> None:
    state = _new_leader(GANG)
    _give_up(state)
    successor = _successor(state)
    for number in range(GANG.count):
        key = FIRST._replace(number=number)
        _list(successor, f"r{number}", 1, key=key)
    assert _failures(successor) == 1


def test_the_failure_of_one_member_counts_after_another_listed_a_broken_run() -> None:
    state = _new_leader(GANG)
    _give_up(state)
    successor = _successor(state)
    _list(successor, "r0", 1, EndKind.BROKEN)
    _list(successor, "r1", 1, key=FIRST._replace(number=1))
    assert _failures(successor) == 1


SECOND = FIRST._replace(number=1)


def _gang_of_which_one_member_failed() -> Scheduler:
    state = _new_leader(GANG)
    assert len(_start(state)) == GANG.count
    _list(state, "r0", 1)
    assert _failures(state) == 1
    return state


def test_a_second_member_that_fails_in_the_same_run_is_no_second_attempt() -> None:
    """Each member that failed counted, so that a gang was given up before its last attempt."""
    state = _gang_of_which_one_member_failed()
    _list(state, "r1", 1, key=SECOND)
    assert _failures(state) == 1


def test_a_second_member_that_fails_under_the_next_leader_is_no_second_attempt() -> None:
    successor = _successor(_gang_of_which_one_member_failed())
    _list(successor, "r1", 1, key=SECOND)
    assert _failures(successor) == 1


def test_a_second_member_that_is_given_up_is_no_second_attempt() -> None:
    state = _gang_of_which_one_member_failed()
    (other,) = [each for each in state.runners.values() if each.runs]
    handle_expired_leases(state, other, NOW)
    successor = _successor(state)
    _list(successor, "r1", 1, key=SECOND)
    assert _failures(successor) == 1


def test_each_run_of_a_gang_that_fails_counts() -> None:
    state = _gang_of_which_one_member_failed()
    _list(state, "r1", 1, EndKind.BROKEN, key=SECOND)
    assert len(_start(state)) == GANG.count
    _list(state, "r1", 2, key=SECOND)
    assert _failures(state) == 2


def test_the_number_of_runs_that_are_remembered_is_limited() -> None:
    """Beyond the limit the oldest runs are forgotten, and a late failure of one does not count."""
    state = _new_leader()
    holders = [_give_up(state) for _ in range(MAX_ABANDONED_RUNS + 1)]
    (entry,) = _job(state).progress().abandoned
    assert entry.runs == tuple(range(2, MAX_ABANDONED_RUNS + 2))
    _list(state, holders[0].id, 1)
    assert _failures(state) == 0


class _FormerProgress(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored progress as it was before it contained any abandoned runs."""

    phase: str
    steps: tuple[StoredStep, ...] = ()
    rounds_done: int = 0


def _former_value(progress: Progress) -> bytes:
    former = _FormerProgress(progress.phase, progress.steps, progress.rounds_done)
    return zlib.compress(msgspec.json.encode(former), 1)


def test_a_record_without_abandoned_runs_is_as_long_as_before() -> None:
    state = _new_leader()
    _start(state)
    progress = _job(state).progress()
    assert progress.steps
    assert encode_progress(progress)[1:] == _former_value(progress)


def test_a_record_written_before_is_read() -> None:
    state = _new_leader()
    _start(state)
    progress = _job(state).progress()
    assert decode_progress(b"r" + _former_value(progress)) == progress


def test_a_record_with_abandoned_runs_is_readable_by_the_version_before() -> None:
    state = _new_leader()
    _give_up(state)
    progress = _job(state).progress()
    assert progress.abandoned
    text = zlib.decompress(encode_progress(progress)[1:])
    former = msgspec.json.decode(text, type=_FormerProgress)
    assert former == _FormerProgress(progress.phase, progress.steps, progress.rounds_done)


def _cut_from_all(world: World, name: str) -> None:
    world.unreachable |= {(instance, name) for instance in world.instances}


def test_no_start_follows_the_last_failure_after_a_partition_and_a_takeover() -> None:
    """The failure was listed to the next leader only, which started the task once more."""
    world = small_world(runners=3)
    for other in world.runners.values():
        other.work_s, other.fails = WORK_S, True
    world.instances["entry-0"].submit("ab", ONE, max_attempts=1)
    world.run(1.0)
    (holder,) = [other for other in world.runners.values() if other.tasks]
    for other in world.runners.values():
        if other is not holder:
            other.millicores = 0
            world.store.entries.put(other.id, b"ready")
    _cut_from_all(world, holder.name)
    world.run(PARTITION_S)
    old = world.leader()
    assert old is not None
    old.kill()
    world.run_until(lambda: world.leader() is not None)
    world.unreachable.clear()
    world.run(AFTER_PARTITION_S)
    new = world.leader()
    assert new is not None and new.dispatcher.scheduler is not None
    assert new.dispatcher.scheduler.jobs[JOB].phase is JobPhase.FAILED
    assert [len(at) for at in world.starts.values()] == [1]

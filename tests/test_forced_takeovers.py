"""Force a change of leader at each moment between the end of a run and its acknowledgement.

By default a part of all combinations runs, which covers each pair of a moment and what befalls the
leader. To run all: `SPOOLCRANK_SOAK_SEEDS=1 pytest tests/test_forced_takeovers.py`.
"""

import itertools
import os
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.keyed_log import LEADER_KEY, KeyedRecord, progress_key
from spoolcrank.leader_writer import FIRST_SEQUENCE
from spoolcrank.orders import EndKind, Start
from spoolcrank.runner_ids import name_of
from spoolcrank.store_port import Append, Appended, AppendOutcome, WriterFence
from spoolcrank.workflow import JobPhase, JobRecord, Step, TaskKey, Workflow, encode
from tests.fleet_store import CALL_TIMEOUT_S
from tests.fleet_world import ROUTE, SERVICE, Instance, Runner, World, small_world

ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
TWO = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600)
AFTERWARDS = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,))
GANG = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, gang=True)
WORKFLOWS = {
    "one": Workflow("", (ONE,)),
    "failing": Workflow("", (ONE,)),
    "cancelled": Workflow("", (ONE,)),
    "steps": Workflow("", (TWO, AFTERWARDS)),
    "gang": Workflow("", (GANG,)),
    "rounds": Workflow("", (TWO,), rounds=2, interval_ms=1000),
}
JOB = JobId("0000")
FIRST_TASK = TaskKey(JOB, 0, 0, 0)
EARLIER_JOBS = 30
WORK_S = 1.2
CHECKPOINT = "0042"
LATE_S = 2.0
"""Time after which a late write is carried out, and for which answers are lost, in seconds."""

FROZEN_S = 3.0
SHORT_CUT_S = 3.0
LONG_CUT_S = 14.0
"""Duration of a partition, in seconds; longer than every lease."""

READ_S = 0.5
PAGE_S = 0.1
SETTLE_S = 40.0
MAX_WAIT_S = 10.0


class Play(NamedTuple):
    """One forced order: when which leader loses its place, and what the next one knows."""

    moment: str
    fate: str
    next_copy: str
    link: str
    work: str


MOMENTS = ("ended", "listed", "sent", "stored", "acknowledged", "carried out")
FATES = ("dies", "freezes", "resigns", "writes late", "hears no answer")
NEXT_COPIES = ("at", "behind", "loading")
LINKS = ("near", "cut for less than its lease", "cut for longer", "cut from the old leader")
ALL_PLAYS = [
    Play(*parts)
    for parts in itertools.product(MOMENTS, FATES, NEXT_COPIES, LINKS, sorted(WORKFLOWS))
]
STRIDE = 1 if "SPOOLCRANK_SOAK_SEEDS" in os.environ else 23


def _fleet(work: str) -> tuple[World, Instance, Runner]:
    """Return a fleet with one running job, its leader, and a runner that runs the first task."""
    world = small_world(instances=4, runners=4)
    leader = world.leader()
    assert leader is not None
    for number in range(EARLIER_JOBS):
        leader.submit(f"f{number:03x}", ONE)
    world.run(3.0)
    for runner in world.runners.values():
        runner.work_s = WORK_S
    attempts = 1 if work == "failing" else 3
    record = JobRecord(ROUTE, SERVICE, 0, attempts, 250, 1.5, WORKFLOWS[work])
    outcomes: list[IntakeOutcome] = []
    leader.intake.submit(JOB, record, outcomes.append)
    if work == "failing":
        world.attempts[JOB] = 1
        world.failing[JOB] = WORK_S / 2.0
    world.run_until(lambda: bool(world.starts[FIRST_TASK]))
    if work == "cancelled":
        leader.intake.cancel(JOB, lambda outcome: None)
    (runner,) = (one for one in world.runners.values() if FIRST_TASK in one.tasks)
    return world, leader, runner


def _step_until(world: World, condition: Callable[[], bool]) -> None:
    """Run the events one by one until a condition holds."""
    begun = world.now
    while not condition():
        assert world.now - begun < MAX_WAIT_S, "the moment did not come"
        world.run(max(0.0, world._heap[0][0] - world.now))


def _wait_for(moment: str, world: World, leader: Instance, runner: Runner) -> None:
    """Run until the end of the first task has come as far as a moment on its way."""
    scheduler = leader.dispatcher.scheduler
    assert scheduler is not None
    state = scheduler.runners[runner.incarnation_id]
    _step_until(world, lambda: any(row.task == FIRST_TASK for row in runner.ended))
    (number,) = (row.number for row in runner.ended if row.task == FIRST_TASK)
    if moment == "ended":
        return
    stored_before = _progress_records(world)
    _step_until(world, lambda: state.last_handled_end >= number)
    if moment == "listed":
        return
    writer = leader.dispatcher._writer
    assert writer is not None
    _step_until(world, lambda: writer.busy or _progress_records(world) > stored_before)
    if moment == "sent":
        return
    _step_until(world, lambda: _progress_records(world) > stored_before)
    if moment == "stored":
        return
    _step_until(world, lambda: state.seen >= number)
    asked = world.asked[name_of(state.id)]
    _step_until(world, lambda: world.asked[name_of(state.id)] > asked or not runner.ended)
    if moment == "carried out":
        _step_until(world, lambda: all(row.number > number for row in runner.ended))


def _progress_records(world: World) -> int:
    return sum(record.key == progress_key(JOB) for record in world.store.jobs.records)


def _write_late(world: World, leader: Instance) -> None:
    """Have the appends that the leader sends from now on carried out late and not answered."""
    port: Any = leader.dispatcher._log
    append_now = port.append

    def append(append: Append, done: Callable[[Appended], None]) -> None:
        world.at(LATE_S, lambda: port.topic.append(append))
        unknown = Appended(AppendOutcome.UNKNOWN)
        leader.later(CALL_TIMEOUT_S, lambda: done(unknown))

    port.append = append
    world.at(LATE_S, lambda: setattr(port, "append", append_now))


def _befall(fate: str, world: World, leader: Instance) -> None:
    if fate == "dies":
        leader.kill()
    elif fate == "freezes":
        leader.freeze(FROZEN_S)
    elif fate == "resigns":
        leader.dispatcher.leave(leader.kill)
    elif fate == "writes late":
        _write_late(world, leader)
    else:
        unanswered = world.store.unanswered_instances
        unanswered.add(leader.name)
        world.at(LATE_S, lambda: unanswered.discard(leader.name))


def _cut(link: str, world: World, old_leader: Instance, runner: Runner) -> None:
    names = list(world.instances) if link != "cut from the old leader" else [old_leader.name]
    links = {(name, runner.name) for name in names}
    if link != "near":
        world.unreachable |= links
        seconds = LONG_CUT_S if link == "cut for longer" else SHORT_CUT_S
        world.at(seconds, lambda: world.unreachable.difference_update(links))


def _slow_down(next_copy: str, world: World, old_leader: Instance) -> None:
    """Let the other instances read late, or load the log while a claim of one is carried out."""
    others = [one for one in world.instances.values() if one is not old_leader]
    for other in others if next_copy != "at" else []:
        world.store.slow_reads_s[other.name] = READ_S
    if next_copy != "loading":
        return
    claimant = others[0]
    world.store.slow_pages_s[claimant.name] = PAGE_S
    claimant.follower.begin()
    world.at(1.5 * PAGE_S, lambda: _carry_out_claim(world, claimant))


def _carry_out_claim(world: World, claimant: Instance) -> None:
    claim = claimant.leadership.next_claim(world.now)
    fence = WriterFence(claim.term, FIRST_SEQUENCE)
    world.store.jobs.append(Append([KeyedRecord(LEADER_KEY, encode(claim))], fence))


def _broken_rules(world: World) -> list[str]:
    """Return the violations; a failure counts only if it was taken note of.

    By the rules of the service an end is not, if its runner's lease lapsed before it was
    acknowledged. The simulated fleet reports a start after such a failure as well.
    """
    noted, starts = world.noted_failures[FIRST_TASK], world.starts[FIRST_TASK]
    if any(started_at > ended_at for ended_at in noted for started_at in starts):
        return world.violations
    return [violation for violation in world.violations if not violation.startswith("BUDGET")]


def _final_phase(work: str) -> JobPhase:
    phases = {"failing": JobPhase.FAILED, "cancelled": JobPhase.CANCELLED}
    return phases.get(work, JobPhase.COMPLETED)


@pytest.mark.parametrize("play", ALL_PLAYS[::STRIDE], ids=lambda play: ", ".join(play))
def test_an_end_counts_once_whichever_leader_hears_of_it(play: Play) -> None:
    """Guards against an end that is lost, or counts twice, between two leaders."""
    world, leader, runner = _fleet(play.work)
    _wait_for(play.moment, world, leader, runner)
    _slow_down(play.next_copy, world, leader)
    _cut(play.link, world, leader, runner)
    _befall(play.fate, world, leader)
    world.run(SETTLE_S)
    world.store.slow_reads_s.clear()
    world.store.slow_pages_s.clear()
    world.run(1.0)
    last = world.leader()
    assert last is not None
    assert _broken_rules(world) == []
    assert last.index.phase(JOB) is _final_phase(play.work)
    if play.link != "cut for longer":
        assert len(world.starts[FIRST_TASK]) == 1


def _record_starts(world: World) -> list[Start]:
    """Return a list to which each order to start the first task is added."""
    orders: list[Start] = []

    def watch(runner: Runner) -> None:
        start = runner.start

        def record(order: Start) -> Any:
            if order.task == FIRST_TASK:
                orders.append(order)
            return start(order)

        runner.start = record

    for runner in world.runners.values():
        watch(runner)
    return orders


@pytest.mark.parametrize("next_copy", NEXT_COPIES)
@pytest.mark.parametrize("fate", FATES)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_checkpoint_is_resumed_whichever_leader_hears_of_it(
    moment: str, fate: str, next_copy: str
) -> None:
    """Guards against a checkpoint that is lost between two leaders, so that work is repeated."""
    world, leader, runner = _fleet("one")
    orders = _record_starts(world)
    world.run(0.3)
    runner.end(FIRST_TASK, EndKind.LAPSED)
    runner.ended[-1] = runner.ended[-1]._replace(saved=CHECKPOINT)
    _wait_for(moment, world, leader, runner)
    _slow_down(next_copy, world, leader)
    _befall(fate, world, leader)
    world.run(SETTLE_S)
    last = world.leader()
    assert last is not None
    assert world.violations == []
    assert last.index.phase(JOB) is JobPhase.COMPLETED
    assert orders and {order.saved for order in orders} == {CHECKPOINT}

"""A claim that is read back while the claimant loads its copy of the log anew."""

from collections.abc import Callable
from typing import Any

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import LEADER_KEY, job_key, progress_key
from spoolcrank.store_port import Append, Appended, AppendOutcome
from spoolcrank.workflow import Step, TaskKey
from tests.fleet_store import CALL_TIMEOUT_S
from tests.fleet_world import Instance, World, small_world

ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=300)
FITS_NOWHERE = Step(count=1, millicores=1000, memory_mb=100_000, image="large")
JOB = "0001"
"""Job whose key is on the first page of a load."""

WAITING_JOBS = 100
"""Number of jobs whose keys fill the pages between the first one and the claim."""

SLOW_APPEND_S = 0.03
"""Delay of each append while jobs arrive, seconds; the end of the log moves within it."""

SLOW_ANSWER_S = 0.06
SLOW_READ_S = 0.6
WORK_S = 0.15
TASK = TaskKey(JobId(JOB), 0, 0, 0)


class HeldClaim:
    """The first unconditional claim of an instance, which the store carries out when told to."""

    def __init__(self, claimant: Instance) -> None:
        self._claimant = claimant
        self._port: Any = claimant.dispatcher._log
        self._append = self._port.append
        self._held: Append | None = None
        self._port.append = self._on_append

    @property
    def sent(self) -> bool:
        return self._held is not None

    def _on_append(self, append: Append, done: Callable[[Appended], None]) -> None:
        if self.sent or append.at is not None or append.records[0].key != LEADER_KEY:
            self._append(append, done)
            return
        self._held = append
        unknown = Appended(AppendOutcome.UNKNOWN)
        self._claimant.later(CALL_TIMEOUT_S, lambda: done(unknown))

    def carry_out(self) -> None:
        assert self._held is not None
        assert self._port.topic.append(self._held).outcome is AppendOutcome.STORED


def _silence_leader_until_claimed(world: World, leader: Instance, claim: HeldClaim) -> None:
    """Have the store turn the leader away while jobs arrive, until the claim is unconditional."""
    intakes = _intakes(world)
    for waiting in range(WAITING_JOBS):
        intakes[0].submit(f"d{waiting:03x}", FITS_NOWHERE)
    world.run(1.0)
    world.store.refused_instances.add(leader.name)
    world.store.slow_s = SLOW_APPEND_S
    number = 0
    while not claim.sent:
        assert number < 1000
        intakes[number % len(intakes)].submit(f"e{number:03x}", FITS_NOWHERE)
        world.run(0.01)
        number += 1
    world.store.refused_instances.clear()
    world.store.slow_s = 0.0
    world.run(0.5)


def _drop_history_unread(world: World, reader: Instance) -> None:
    """Have an instance read the log late until the next record that it would read is gone."""
    world.store.slow_reads_s[reader.name] = SLOW_READ_S
    others = [one for one in world.instances.values() if one is not reader]
    number = 0
    while reader.follower.copy.loaded:
        assert number < 1000
        _intakes(world)[0].submit(f"f{number:03x}", FITS_NOWHERE)
        world.run(0.03)
        unread = reader.follower.copy.next_offset + 1
        if all(one.follower.copy.next_offset > unread for one in others):
            world.store.jobs.first_retained_offset = unread
        number += 1
    world.store.answer_s = SLOW_ANSWER_S


def _intakes(world: World) -> list[Instance]:
    """Return the instances that only take in jobs."""
    return [one for one in world.instances.values() if not one.dispatcher._claiming.allowed]


def _fleet() -> tuple[World, Instance, Instance]:
    """Return a fleet, its leader, and the instance that claims next; the others take in jobs."""
    world = small_world(instances=5)
    leader = world.leader()
    assert leader is not None
    claimant, *intakes = [one for one in world.instances.values() if one is not leader]
    for intake in intakes:
        intake.dispatcher._claiming.allowed = False
    for runner in world.runners.values():
        runner.work_s = WORK_S
    return world, leader, claimant


def test_a_leader_reads_up_to_its_claim_before_it_handles_ends() -> None:
    """Guards against dropping the end of a job that the new leader has not read yet.

    A load's pages are no snapshot: its copy is complete only up to the end of the log at the first
    page, and a later page may show a claim that was stored after that.
    """
    world, leader, claimant = _fleet()
    claim = HeldClaim(claimant)
    _silence_leader_until_claimed(world, leader, claim)
    assert world.leader() is leader
    _drop_history_unread(world, claimant)
    leader.submit(JOB, ONE)
    world.run_until(lambda: bool(world.starts[TASK]))
    offsets = {record.key: record.offset for record in world.store.jobs.records}
    assert claimant.follower._page_end <= offsets[job_key(JobId(JOB))]
    assert progress_key(JobId(JOB)) in offsets
    leader.kill()
    claim.carry_out()
    assert not claimant.follower.copy.loaded
    world.run_until(lambda: world.leader() is claimant)
    world.run(20.0)
    assert world.violations == []
    assert len(world.starts[TASK]) == 1

"""Tests of an instance whose claim is carried out while it loads its copy of the log anew."""

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import LEADER_KEY, KeyedRecord, progress_key
from spoolcrank.leader_writer import FIRST_SEQUENCE
from spoolcrank.store_port import Append, WriterFence
from spoolcrank.workflow import JobPhase, Step, encode
from tests.fleet_world import Instance, World, small_world

STEP = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
EARLIER_JOBS = 60
"""Number of jobs whose records make the log several pages long."""

PAGE_S = 0.05
READ_S = 0.5
"""Time until the claimant's first read after its load is answered, in seconds."""


def _load_anew(world: World, claimant: Instance) -> None:
    """Let an instance load the log page by page, and read on slowly after that."""
    world.store.slow_pages_s[claimant.name] = PAGE_S
    world.store.slow_reads_s[claimant.name] = READ_S
    claimant.follower.begin()
    world.run(1.5 * PAGE_S)


def _carry_out_claim(world: World, claimant: Instance) -> None:
    """Store a claim that the instance sent before it began to load."""
    claim = claimant.leadership.next_claim(world.now)
    fence = WriterFence(claim.term, FIRST_SEQUENCE)
    world.store.jobs.append(Append([KeyedRecord(LEADER_KEY, encode(claim))], fence))


def _stored(world: World, job: str) -> bool:
    return any(record.key == progress_key(JobId(job)) for record in world.store.jobs.records)


def test_no_work_is_repeated_that_was_begun_after_the_claimants_first_page() -> None:
    """Guards against a leader that acts on a copy which lacks records from before its claim.

    The job's record follows the page in which its key would be, and precedes the claim. A leader
    that does not know the job yet drops the ends of its runs, and starts them again once it does.
    """
    world = small_world(instances=2, runners=4)
    leader = world.leader()
    assert leader is not None
    (claimant,) = (other for other in world.instances.values() if other is not leader)
    for number in range(EARLIER_JOBS):
        leader.submit(f"{number + 1:04x}", STEP)
        world.run(0.1)
    world.run(2.0)
    _load_anew(world, claimant)
    leader.submit("0000", STEP)
    while not _stored(world, "0000"):
        world.run(0.001)
    assert not claimant.follower.copy.loaded
    world.run(0.02)
    _carry_out_claim(world, claimant)
    world.run(2.0 * READ_S)
    world.store.slow_reads_s.clear()
    world.run(10.0)
    assert world.leader() is claimant
    assert [name for name, _ in claimant.logged.lines].count("takeover-waits") == 1
    assert claimant.index.phase(JobId("0000")) is JobPhase.COMPLETED
    assert world.violations == []
    assert all(len(started_at) == 1 for started_at in world.starts.values())

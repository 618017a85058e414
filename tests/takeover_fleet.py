"""A simulated fleet over a log of several pages, and the failures that its records count."""

from collections.abc import Iterator

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import job_key, progress_key
from spoolcrank.workflow import (
    FINAL,
    JobPhase,
    JobRecord,
    Phase,
    Progress,
    Step,
    Workflow,
    decode_progress,
    encode,
    encode_progress,
)
from tests.fleet_world import ROUTE, SERVICE, World

ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
THREE = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
AFTERWARDS = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,))
GANG = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, gang=True)
WORKFLOWS = {
    "one": Workflow("", (ONE,)),
    "steps": Workflow("", (THREE, AFTERWARDS)),
    "gang": Workflow("", (GANG,)),
    "rounds": Workflow("", (THREE,), rounds=2, interval_ms=1500),
}

EARLIER_JOBS = 30
"""Number of jobs that ended earlier, whose records make the log several pages long."""

RUNNERS = 3
ROOM_MILLICORES = 8000
WORK_S = 1.5
MAX_ATTEMPTS = 3


def job_record(workflow: Workflow) -> JobRecord:
    return JobRecord(ROUTE, SERVICE, 0, MAX_ATTEMPTS, 250, 1.5, workflow)


def takeover_fleet(seed: int) -> World:
    """Return a fleet that has elected a leader over a log of earlier jobs."""
    world = World(seed)
    for number in range(EARLIER_JOBS):
        job = JobId(f"f{number:03x}")
        completed = Progress(JobPhase.COMPLETED.value, (), 1)
        world.store.jobs.put(job_key(job), encode(job_record(WORKFLOWS["one"])))
        world.store.jobs.put(progress_key(job), encode_progress(completed))
    for number in range(RUNNERS):
        world.add_runner(f"10.0.0.{number}:80").work_s = WORK_S
    for number in range(4):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    world.run(0.2)
    return world


def recorded_failures(stored: bytes) -> Iterator[int]:
    """Yield the recorded failures of a job's only task while it is not done."""
    progress = decode_progress(stored) if stored else Progress(JobPhase.PENDING.value)
    if JobPhase(progress.phase) in FINAL:
        return
    tasks = [task for step in progress.steps for task in step.tasks]
    if not any(step.done for step in progress.steps):
        yield from (task.failures for task in tasks if task.phase != Phase.DONE.value)

"""Every failed run counts as one attempt, through partitions and changes of the leader.

The runners and partitions are simulated, and each failed run is compared with the attempts that the
last leader has counted. To run more seeds:
`SPOOLCRANK_SOAK_SEEDS=200 pytest tests/test_failures_count_once.py`.
"""

import os
from collections import Counter

import pytest

from spoolcrank import run_ends
from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState
from spoolcrank.orders import EndKind
from spoolcrank.workflow import Step, TaskKey
from tests.fleet_runners import Runner
from tests.fleet_world import World, small_world

SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "6"))
ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
GANG = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600, gang=True)
JOBS = 12
RUNNERS = 10
PERIODS = 3
MAX_PERIOD_S = 16.0
"""Longest partition, in seconds; well above the lease."""

SETTLE_S = 25.0
"""Time, in seconds, until every run has ended and every end is acknowledged."""

FailedRun = tuple[TaskKey, int]
"""A failed run of a task, or of a gang under the key of its first member."""


def _watch_failures(monkeypatch: pytest.MonkeyPatch) -> set[FailedRun]:
    """Return a set to which each failed run of the simulated runners is added."""
    failed: set[FailedRun] = set()
    end = Runner.end

    def end_and_record(runner: Runner, key: TaskKey, how: EndKind) -> None:
        if how is EndKind.FAILED:
            first = key._replace(number=0) if key.job in runner.world.gang_jobs else key
            failed.add((first, runner.tasks[key].run))
        end(runner, key, how)

    monkeypatch.setattr(Runner, "end", end_and_record)
    return failed


def _set_room(world: World, millicores: int) -> None:
    for other in world.runners.values():
        other.millicores = millicores
        world.store.entries.put(other.id, b"ready")


def _play(seed: int) -> World:
    """Let all tasks fail, with partitions and kills of the leader, until nothing runs any more."""
    world = small_world(instances=3, runners=RUNNERS, seed=seed)
    chance = world.random
    for other in world.runners.values():
        other.fails, other.work_s = True, chance.uniform(0.5, 4.0)
    for number in range(JOBS):
        job = f"{number:04x}"
        if number % 3 == 0:
            world.gang_jobs.add(job)
        step = GANG if job in world.gang_jobs else ONE
        world.instances["entry-0"].submit(job, step, max_attempts=1000)
    world.run(2.0)
    for period in range(PERIODS):
        _partition_and_replace_leader(world, period)
    world.unreachable.clear()
    _set_room(world, 0)
    world.run(SETTLE_S)
    return world


def _partition_and_replace_leader(world: World, period: int) -> None:
    chance = world.random
    cut = [other for other in world.runners.values() if chance.random() < 0.4]
    names = [*world.instances, *(f"entry-{number}" for number in range(20))]
    world.unreachable = {(name, other.name) for name in names for other in cut}
    world.run(chance.uniform(1.0, MAX_PERIOD_S))
    leader = world.leader()
    if leader is not None and chance.random() < 0.7:
        leader.kill()
        world.add_instance(f"entry-{10 + period}")
    if chance.random() < 0.7:
        world.unreachable.clear()
    world.run(chance.uniform(0.0, 3.0))


def _counted(job: JobState) -> Counter[TaskKey]:
    step = job.rounds[0].steps[0]
    return Counter(
        {TaskKey(job.id, 0, 0, index): task.failures for index, task in enumerate(step.tasks)}
    )


def _compare(world: World, failed: set[FailedRun]) -> None:
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    assert not any(other.tasks or other.ended for other in world.runners.values())
    counted: Counter[TaskKey] = Counter()
    for number in range(JOBS):
        counted += _counted(leader.dispatcher.scheduler.jobs[JobId(f"{number:04x}")])
    assert counted == Counter(key for key, _ in failed)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_every_failed_run_counts_once(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    failed = _watch_failures(monkeypatch)
    world = _play(seed)
    assert len(failed) > JOBS
    _compare(world, failed)


def test_late_failures_that_are_passed_over_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without late ends, some of the plays have failures that do not count."""
    monkeypatch.setattr(run_ends, "is_abandoned", lambda job, key, run: False)
    failed = _watch_failures(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(SEEDS):
            failed.clear()
            _compare(_play(seed), failed)

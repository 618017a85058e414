"""Play a fleet through faults, and check that afterwards no work waits beside idle capacity.

Jobs, sizes of the fleet and faults are drawn by seed: losses of power of all instances and runners,
crashes of racks and zones, runners that return under their ids, elsewhere, smaller or never, lapsed
entries, partitions, lossy links, a store that turns instances away.
"""

import os
from collections.abc import Callable

import pytest

from spoolcrank import idle_capacity, openings, placing, run_timeouts
from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState, TaskState
from spoolcrank.openings import Scope, Shortage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Demand, Step, TaskKey
from tests.fault_plays import Play, play_faults
from tests.idle_capacity import Violation

SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "3"))
SMALL_FILLERS = 40011
"""Fillers waited for one with a limit for each instance, which found no runner."""

QUARANTINED = 40054
"""All runners that could take a job were in quarantine."""

ANY_WAITING_JOB = 7
REGRESSION_SEEDS = (SMALL_FILLERS, 40038, QUARANTINED, 40224, 40232, 40260, 40342, 40430, 40609)
"""Seeds that failed: work waited beside idle capacity, or, with 40232, an error ended a term."""


def _told(violations: dict[str, Violation]) -> str:
    return "\n".join(f"{each.what} at {each.at:.1f}: {each.why}" for each in violations.values())


def _failed_without_cause(play: Play) -> set[str]:
    return set(play.check.failed()) - play.hopeless - play.deadly


@pytest.mark.parametrize("seed", sorted({*range(SEEDS), *REGRESSION_SEEDS}))
def test_no_work_waits_beside_idle_capacity_after_faults(seed: int) -> None:
    """Guards against tasks that are held for something that no longer comes."""
    play = play_faults(seed)
    assert play.world.violations == []
    assert not play.check.violations, _told(play.check.violations)
    assert not _failed_without_cause(play)


# Mutations


def _forget_requeued_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    requeue = Scheduler.requeue_task

    def forget(state: Scheduler, job: JobState, key: TaskKey, task: TaskState) -> None:
        requeue(state, job, key, task)
        state.ready.pop(job.id, None)

    monkeypatch.setattr(Scheduler, "requeue_task", forget)


def _try_nothing_more_beside_idle_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_capacity, "_is_mostly_idle", lambda *facts: False)


def _refuse_by_processors_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let one refusal hold all later fillers, also those that wait beside idle capacity."""
    _try_nothing_more_beside_idle_capacity(monkeypatch)

    def scope_of(service: ServiceName, step: Step, quarantined: bool = False) -> Scope:
        return openings.scope_of(service, step, quarantined)._replace(label="")

    def rules_out(shortage: Shortage, size: Demand) -> bool:
        return shortage.missed is None or size.millicores >= shortage.missed.millicores

    monkeypatch.setattr(placing, "scope_of", scope_of)
    monkeypatch.setattr(Shortage, "rules_out", rules_out)


def _release_no_expired_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(run_timeouts, "handle_expired_leases", lambda *facts: None)


@pytest.mark.parametrize(
    ("mutate", "seed"),
    [
        (_forget_requeued_jobs, ANY_WAITING_JOB),
        (_try_nothing_more_beside_idle_capacity, QUARANTINED),
        (_refuse_by_processors_alone, SMALL_FILLERS),
        (_release_no_expired_run, 0),
    ],
)
def test_the_check_finds_work_that_is_held(
    monkeypatch: pytest.MonkeyPatch, mutate: Callable[[pytest.MonkeyPatch], None], seed: int
) -> None:
    """Guards against a check that sees nothing."""
    mutate(monkeypatch)
    assert play_faults(seed).check.violations

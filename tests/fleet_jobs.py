"""Jobs of a simulated fleet: their steps, their phases, and the wait until they end."""

from typing import Any

from spoolcrank.ids import JobId
from spoolcrank.workflow import JobPhase, Step
from tests.fleet_world import World

QUICK = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)


def phase(world: World, job: str) -> JobPhase | None:
    """Return the phase of a job as the first instance shows it."""
    instance = next(iter(world.instances.values()))
    return instance.index.phase(JobId(job))


def settle(world: World, *jobs: str, limit_s: float = 30.0) -> float:
    """Run until jobs are completed; return the time that this took, seconds."""
    return world.run_until(
        lambda: all(phase(world, job) is JobPhase.COMPLETED for job in jobs), limit_s
    )


def lines(world: World, name: str) -> list[dict[str, Any]]:
    """Return the fields of all logged lines of a name."""
    logged = [instance.logged.lines for instance in world.instances.values()]
    return [fields for entries in logged for event, fields in entries if event == name]


def hang(world: World) -> None:
    """Have no run of any runner end by itself."""
    for runner in world.runners.values():
        runner.work_s = 1000.0

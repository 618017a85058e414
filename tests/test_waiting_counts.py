"""The count of waiting jobs at an instance whose copy of the log is behind."""

from spoolcrank.errors import ErrorKind
from tests.fleet_world import ROUTE, Instance, Step, World

STEP = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
JOBS = 10
MIN_COUNTED_AGE_S = 5.0
"""The age from which an accepted job must be included in the count, seconds."""

QUERY_TIMEOUT_S = 2.0
"""The time within which a query gets an answer or an error, seconds."""


def _fleet_with_late_instance() -> tuple[World, Instance]:
    """Return a fleet without runners and an instance whose copy of the log can be made late."""
    world = World(1)
    for number in range(3):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    late = world.instances["entry-2"]
    world.run(1.0)
    return world, late


def _count(world: World, instance: Instance) -> int | ErrorKind:
    results: list[int | ErrorKind] = []
    instance.intake.waiting(ROUTE, results.append)
    world.run(QUERY_TIMEOUT_S)
    assert len(results) == 1
    return results[0]


def _submit_jobs(world: World) -> None:
    for number in range(JOBS):
        world.instances["entry-0"].submit(f"{number:04x}", STEP)
    world.run(MIN_COUNTED_AGE_S)


def test_an_outdated_copy_reports_no_count() -> None:
    """An instance with late reads counted four jobs when sixteen had waited for five seconds."""
    world, late = _fleet_with_late_instance()
    world.store.slow_reads_s[late.name] = 2 * MIN_COUNTED_AGE_S
    _submit_jobs(world)
    assert _count(world, late) is ErrorKind.LOG_UNAVAILABLE


def test_an_instance_that_still_loads_the_log_reports_no_count() -> None:
    """An instance counted no jobs when 99 waited, just after all instances had lost power."""
    world, _ = _fleet_with_late_instance()
    _submit_jobs(world)
    world.store.refused_instances.add("entry-3")
    fresh = world.add_instance("entry-3")
    assert _count(world, fresh) is ErrorKind.LOG_UNAVAILABLE
    world.store.refused_instances.clear()
    world.run(1.0)
    assert _count(world, fresh) == JOBS


def test_a_slightly_old_copy_reports_a_count_after_one_more_read() -> None:
    world, late = _fleet_with_late_instance()
    _submit_jobs(world)
    late.follower.copy.read_at = world.now - MIN_COUNTED_AGE_S
    assert _count(world, late) == JOBS


def test_a_fresh_copy_reports_a_count_at_once() -> None:
    world, late = _fleet_with_late_instance()
    _submit_jobs(world)
    results: list[int | ErrorKind] = []
    late.intake.waiting(ROUTE, results.append)
    assert results == [JOBS]

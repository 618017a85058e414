"""Number of waiting jobs as reported by an instance whose copy of the log lags behind."""

from spoolcrank.errors import ErrorKind
from tests.fleet_world import ROUTE, Instance, Step, World

ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
JOBS = 10
OLD_S = 5.0
"""Age from which accepted jobs must be included in the count, seconds."""

ANSWER_S = 2.0
"""Time within which a query gets a count or an error, seconds."""


def _behind() -> tuple[World, Instance]:
    """Return a fleet without runners, and the instance whose log reads a test may delay."""
    world = World(1)
    for number in range(3):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    late = world.instances["entry-2"]
    world.run(1.0)
    return world, late


def _count(world: World, instance: Instance) -> int | ErrorKind:
    answers: list[int | ErrorKind] = []
    instance.intake.waiting(ROUTE, answers.append)
    world.run(ANSWER_S)
    assert len(answers) == 1
    return answers[0]


def _submit_jobs(world: World) -> None:
    for number in range(JOBS):
        world.instances["entry-0"].submit(f"{number:04x}", ONE)
    world.run(OLD_S)


def test_a_count_from_a_lagging_copy_is_not_reported() -> None:
    """With late log reads, an instance reported 4 waiting jobs where 16 had waited for 5 s."""
    world, late = _behind()
    world.store.slow_reads_s[late.name] = 2 * OLD_S
    _submit_jobs(world)
    assert _count(world, late) is ErrorKind.LOG_UNAVAILABLE


def test_an_instance_that_still_loads_the_log_reports_no_count() -> None:
    """After a power loss of all instances, one reported no waiting jobs where 99 waited."""
    world, _ = _behind()
    _submit_jobs(world)
    world.store.turned_away.add("entry-3")
    fresh = world.add_instance("entry-3")
    assert _count(world, fresh) is ErrorKind.LOG_UNAVAILABLE
    world.store.turned_away.clear()
    world.run(1.0)
    assert _count(world, fresh) == JOBS


def test_a_count_from_a_slightly_old_copy_is_reported_after_one_more_read() -> None:
    world, late = _behind()
    _submit_jobs(world)
    late.follower.copy.read_at = world.now - OLD_S
    assert _count(world, late) == JOBS


def test_a_count_from_a_current_copy_is_reported_at_once() -> None:
    world, late = _behind()
    _submit_jobs(world)
    answers: list[int | ErrorKind] = []
    late.intake.waiting(ROUTE, answers.append)
    assert answers == [JOBS]

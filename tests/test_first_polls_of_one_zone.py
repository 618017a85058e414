"""Work that only one zone's runners can take, beside a runner there that does not answer."""

from spoolcrank.workflow import Step
from tests.fleet_world import World
from tests.leader_plays import current_leader, next_leader, wait_for_starts

RUNNERS = 3000
PROCESSORS = 0.43
"""Processors of the leader, in cores: 344 first polls of idle runners at once, then 322 a second
while work waits."""

AFTER_LIST_S = 0.7
"""Time from the first read of the list until the job is accepted, in seconds; the call to the
runner that does not answer has failed by then."""

MAX_WAIT_S = 3.0
"""Time with nothing running after which an accepted job counts as lost, in seconds."""

LARGE = Step(count=1, millicores=30_000, memory_mb=100, estimate_ms=600)


def _start_beside_silent_runner_in(zone: str) -> None:
    """Have a job wait for the only large runner, in zone b, while a runner of a zone is silent."""
    world = World()
    world.store.max_read_records = 500
    for number in range(RUNNERS):
        last = number == RUNNERS - 1
        name = f"10.0.{number >> 8}.{number & 255}:80"
        each = world.add_runner(name, millicores=32_000 if last else 8000)
        each.zone = "b" if number % 2 == 0 or last else "a"
    silent = next(each for each in world.runners.values() if each.zone == zone)
    world.unreachable.add(("entry-0", silent.name))
    world.add_instance("entry-0", PROCESSORS)
    next_leader(world)
    world.run_until(lambda: current_leader(world).entries.copy.loaded)
    world.run(AFTER_LIST_S)
    current_leader(world).submit("b000", LARGE)
    wait_for_starts(world, "b000", MAX_WAIT_S)


# Guards against work that waits for the first polls of all idle runners of the other zones, as one
# runner in the only zone that can take it does not answer a new leader.
def test_one_silent_runner_keeps_no_work_from_the_other_runners_of_its_zone() -> None:
    _start_beside_silent_runner_in("b")


# Guards against a test above that fails for another reason than the zone of the silent runner.
def test_a_silent_runner_of_another_zone_keeps_no_work_waiting() -> None:
    _start_beside_silent_runner_in("a")

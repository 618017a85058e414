"""A large instance that lacked the list for a short time leads again soon after that time."""

import functools

from spoolcrank.workflow import Step
from tests.fleet_world import World
from tests.leader_plays import current_leader, wait_for_starts
from tests.test_list_probe import _fail, _port, _restore

RUNNERS = 400
SMALL_PROCESSORS = 0.02
"""Processors of the small instances, in cores; the fleet is too large for them."""

HEARTBEAT_S = 1.5
TROUBLE_S = 7.0
MAX_WAIT_S = 10.0
"""Longest time, in seconds, until the job starts: 3 s of a term before an offer, its jitter of 1 s
and the takeover, twice."""

GANG = Step(count=RUNNERS // 2, millicores=8000, memory_mb=100, gang=True)


def _fleet() -> World:
    """Return a fleet of which an instance leads that alone has time for all runners."""
    world = World()
    world.store.max_read_records = 500
    for number in range(RUNNERS):
        each = world.add_runner(f"10.0.{number >> 8}.{number & 255}:80")

        def write(runner_id: str = each.id) -> None:
            world.store.entries.put(runner_id, b"ready")
            world.at(HEARTBEAT_S, functools.partial(write, runner_id))

        world.at(number * HEARTBEAT_S / RUNNERS, write)
    for number in range(3):
        world.add_instance(f"small-{number}", SMALL_PROCESSORS)
    world.add_instance("large", 1.0)
    world.run(20.0)
    assert current_leader(world).name == "large"
    return world


# Guards against work that only a large instance can place in time and that waits although the
# large one reads everything again: its offers pause for a fixed time.
def test_a_large_instance_leads_again_soon_after_it_reads_the_list_again() -> None:
    world = _fleet()
    reads = _port(world.instances["large"], "list")
    _fail(reads)
    world.run(TROUBLE_S)
    _restore(reads)
    world.run(1.0)
    current_leader(world).submit("b000", GANG)
    wait_for_starts(world, "b000", MAX_WAIT_S, starts=GANG.count)

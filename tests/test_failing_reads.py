"""An instance claims although its reads of the log fail again and again for a moment."""

import itertools
from collections.abc import Callable
from typing import Any

from spoolcrank.store_port import ReadOutcome, Records
from tests.fleet_world import World, small_world


def _fail_now_and_then(world: World) -> None:
    """Have each second read of the log fail at once, as if connections were reset."""
    for instance in world.instances.values():
        _fail_each_second_read(instance.follower._log)


def _fail_each_second_read(port: Any) -> None:
    read, numbers = port.read, itertools.count()

    def read_or_fail(offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        if next(numbers) % 2:
            port.instance.later(0.01, lambda: done(Records(ReadOutcome.FAILED)))
        else:
            read(offset, wait_ms, done)

    port.read = read_or_fail


# Guards against a fleet without a leader: each failed read began the count of its silence anew.
def test_reads_that_fail_now_and_then_do_not_keep_all_from_claiming() -> None:
    world = small_world(instances=3)
    leader = world.leader()
    assert leader is not None
    _fail_now_and_then(world)
    world.run(3.0)
    leader.kill()
    assert world.run_until(lambda: world.leader() is not None, 30.0) <= 5.0
    assert world.violations == []


# Guards against claims beside a leader that lives, because its silence adds up over failures.
def test_a_leader_that_lives_keeps_the_lead_while_reads_fail_now_and_then() -> None:
    world = small_world(instances=3)
    leader = world.leader()
    _fail_now_and_then(world)
    world.run(30.0)
    assert world.leader() is leader
    assert world.store.jobs.epoch == 1

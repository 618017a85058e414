"""The lead passes on at once while jobs keep coming, and to an instance that can carry it.

Seen: while instances were stopped and started one after the other, a lasting task did not run for
12 s beside room, and of 61 requests in those seconds none was served in time; no lease went on.
How it came about: the leader was stopped. A claim is kept only where the log ends at what its
claimant has read, and who does not lead reads up to 0.3 s late, so jobs that kept coming made most
claims fail; one that failed was taken for a sign of life of the leader, and its instance waited
anew. Whoever came through was a small instance as often as a large one, and a small one cannot
carry so many runners.
Proved in simulated time, 8 seeds each: with 2 records a second the lead passed on within 1.0 s of
a planned stop and 1.9 s of a death; with 40 it took up to 10.1 and 13.6 s, and small ones led in 9
of 16 plays; with 80 it took over 60 s.
"""

from collections.abc import Callable
from functools import partial

from spoolcrank.workflow import Step
from tests.fleet_store import ANSWER_S
from tests.fleet_world import Instance, World

SEEDS = range(8)
LARGE, SMALL = 4, 6
JOBS_PER_S = 40.0
LITTLE = Step(count=1, millicores=10, memory_mb=1, estimate_ms=600)

PLANNED_S = 1.2
"""After a planned stop: the read of a follower, the jitter, a few tries."""

SILENT_LIMIT_S = 2.6
"""After a death: the silence that counts, the jitter, a few tries."""

SLOW_LIMIT_S = 4.0
"""After a planned stop with answers of 0.1 s: each step of it takes an answer, most take two."""


def _busy_world(seed: int, jobs_per_s: float = JOBS_PER_S) -> World:
    """Return a world with a leader, in which every instance keeps taking jobs in."""
    world = World(seed)
    for number in range(6):
        world.add_runner(f"10.0.0.{number}:80", millicores=64_000)
    for number in range(LARGE):
        world.add_instance(f"large-{number}", 2.1)
    for number in range(SMALL):
        world.add_instance(f"small-{number}", 0.3)
    world.run_until(lambda: world.leader() is not None)
    world.run(1.0)
    _keep_jobs_coming(world, jobs_per_s)
    world.run(2.0)
    world.run_until(lambda: world.leader() is not None)
    return world


def _keep_jobs_coming(world: World, jobs_per_s: float) -> None:
    count = 0

    def come() -> None:
        nonlocal count
        count += 1
        name = world.random.choice(sorted(world.instances))
        world.instances[name].submit(f"{count:06x}", LITTLE)
        world.at(world.random.expovariate(jobs_per_s), come)

    come()


def _leaders(world: World, old: Instance) -> list[Instance]:
    others = (one for one in world.instances.values() if one is not old)
    return [one for one in others if one.dispatcher.scheduler is not None]


def _has_successor(world: World, old: Instance) -> bool:
    return bool(_leaders(world, old))


def _waits(
    stop: Callable[[Instance], None], jobs_per_s: float = JOBS_PER_S, answer_s: float = ANSWER_S
) -> list[float]:
    """Return for how long nobody led after the leader's end, one play for each seed, s."""
    waits = []
    for seed in SEEDS:
        world = _busy_world(seed, jobs_per_s)
        old = world.leader()
        assert old is not None
        world.store.answer_s = answer_s
        stop(old)
        waits.append(world.run_until(partial(_has_successor, world, old), 120.0))
        assert world.broken == []
    return waits


def _leave(old: Instance) -> None:
    old.dispatcher.leave(lambda: None)


def test_the_lead_passes_on_at_a_planned_stop_while_jobs_keep_coming() -> None:
    waits = _waits(_leave) + _waits(_leave, 2 * JOBS_PER_S)
    assert max(waits) < PLANNED_S, waits


def test_a_dead_leader_is_replaced_while_jobs_keep_coming() -> None:
    waits = _waits(Instance.kill)
    assert max(waits) < SILENT_LIMIT_S, waits


def test_the_lead_passes_on_while_jobs_keep_coming_and_the_store_is_slow() -> None:
    """Claims that rested on the log's end were kept after up to 23.8 s with answers of 0.1 s."""
    waits = _waits(_leave, answer_s=0.1)
    assert max(waits) < SLOW_LIMIT_S, waits


def test_a_large_instance_takes_the_lead_over_while_jobs_keep_coming() -> None:
    names = []
    for seed in SEEDS:
        world = _busy_world(seed)
        old = world.leader()
        assert old is not None
        _leave(old)
        world.run_until(partial(_has_successor, world, old), 120.0)
        names += [one.name for one in _leaders(world, old)]
    assert all(name.startswith("large") for name in names), names

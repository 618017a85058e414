"""Plays in which leaders end beside trouble with the store, and a runner is cut off meanwhile."""

import os
import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.leadership import Claim, Leadership
from spoolcrank.workflow import Step
from tests.fleet_world import Instance, Runner, World, small_world
from tests.packed_runners import NOW

SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "5"))
INSTANCES = 8
LEASE_MS = 6000
LASTING = Step(count=4, millicores=1000, memory_mb=100, lasting=True)


class ClaimOfBefore(msgspec.Struct, frozen=True, array_like=True):
    """A claim of a version that knows neither `granted_nothing` nor `lacks_copy`."""

    term: int = 0
    instance: str = ""
    incarnation: str = ""
    resigned: bool = False
    processors: float = 0.0
    successor: str = ""
    unreached_ms: dict[str, int] = {}


def fleet(seed: int, instances: int = INSTANCES, runners: int = 24) -> World:
    return small_world(instances, runners, seed, LEASE_MS)


def start_lasting(world: World, step: Step = LASTING) -> list[Runner]:
    """Have a job with lasting tasks start, and return the runners that run them."""
    world.lasting_jobs.add("ab")
    next(iter(world.instances.values())).submit("ab", step)
    world.run_until(lambda: len(world.starts) == step.count)
    world.run(1.0)
    return [one for one in world.runners.values() if one.tasks]


def current_leader(world: World) -> Instance:
    current = world.leader()
    assert current is not None
    return current


def next_leader(world: World) -> Instance:
    world.run_until(lambda: world.leader() is not None)
    return current_leader(world)


def wait_for_starts(world: World, job: str, limit_s: float, starts: int = 1) -> None:
    """Let time pass until tasks of a job have started so often; fail after a limit."""

    def started() -> bool:
        return sum(len(at) for key, at in world.starts.items() if key.job == job) >= starts

    world.run_until(started, limit_s)


def cut_off(world: World, cut: Runner) -> None:
    world.unreachable |= {(name, cut.name) for name in world.instances}


def trouble_of_store(world: World, name: str, chance: random.Random) -> None:
    """Let the store lose answers of one instance, turn it away, answer late, or do nothing."""
    kind = chance.choice(["none", "none", "none", "unanswered", "refused", "late", "slow", "lossy"])
    if kind == "unanswered":
        world.store.unanswered_instances.add(name)
    elif kind == "refused":
        world.store.refused_instances.add(name)
    elif kind == "late":
        world.store.late_append_share = 0.7
    elif kind == "slow":
        world.store.slow_s = chance.uniform(0.05, 0.5)
    elif kind == "lossy":
        world.store.lost_append_answer_share = 0.5


def kill_leader_beside_a_cut(
    world: World,
    chance: random.Random,
    late_order_shares: Sequence[float],
    entry_removed_share: float,
) -> Runner:
    """Cut off a runner with lasting tasks, perhaps without its entry, and kill the leader.

    Orders may be late, but not so late that they outlive a restart. Return the runner.
    """
    world.max_transit_s = chance.choice([0.0, 0.05])
    world.late_order_share = chance.choice(late_order_shares)
    world.late_orders_outlive_restart = False
    cut = chance.choice(start_lasting(world))
    cut_off(world, cut)
    if chance.random() < entry_removed_share:
        world.store.entries.put(cut.id, b"")
    next_leader(world).kill()
    return cut


def end_of_trouble(world: World) -> None:
    world.store.unanswered_instances.clear()
    world.store.refused_instances.clear()
    world.store.late_append_share = world.store.lost_append_answer_share = 0.0
    world.store.slow_s = 0.0


def fail_reads(instance: Instance) -> None:
    """Have all reads of an instance fail, while the store takes its appends."""
    for follower in (instance.follower, instance.entries):
        port: Any = follower._log
        port._is_unreachable = lambda: True


def restore_reads(world: World) -> None:
    for instance in world.instances.values():
        for follower in (instance.follower, instance.entries):
            port = follower._log
            if "_is_unreachable" in vars(port):
                del port._is_unreachable


def reach(
    world: World, current: Instance, cut: Runner, chance: random.Random, shortest_s: float
) -> None:
    """Let a leader reach a runner again for a while, beside trouble with the store."""
    trouble_of_store(world, current.name, chance)
    world.run(chance.choice([0.0, 0.0, chance.uniform(0.0, 0.4)]))
    world.unreachable.discard((current.name, cut.name))
    world.run(chance.choice([shortest_s, 0.5, 1.5]) * (1.0 - chance.random() ** 2))


def end_lead(world: World, current: Instance, chance: random.Random) -> None:
    """Freeze or kill a leader, and end the trouble with the store soon afterwards."""
    if chance.random() < 0.3:
        current.freeze(chance.uniform(1.0, 5.0))
    else:
        current.kill()
    pass_after_lead(world, chance, 0.5)


def pass_after_lead(world: World, chance: random.Random, longest_s: float) -> None:
    """Perhaps expire all records, let some time pass, and end the trouble with the store."""
    if chance.random() < 0.2:
        world.store.jobs.first_retained_offset = len(world.store.jobs.records)
    world.run(chance.uniform(0.0, longest_s))
    end_of_trouble(world)


def violations_at_end(world: World, reachable_s: float = 4.0) -> list[str]:
    """Let all leases end, then reach all runners for some time, and return the violations."""
    world.run(14.0)
    world.unreachable.clear()
    world.run(reachable_s)
    return world.violations


def runs_twice(play: Callable[[int], list[str]], seeds: int) -> bool:
    """Return whether a play shows with one of the first seeds that a task runs twice."""
    return any("TWICE" in each for seed in range(seeds) for each in play(seed))


def new_leadership() -> Leadership:
    return Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), NOW)


def leading() -> Leadership:
    """Return the leadership of an instance that leads in term 4."""
    leadership = new_leadership()
    leadership.read_claim(Claim(4, leadership.instance, leadership.incarnation), NOW)
    return leadership

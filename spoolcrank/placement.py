"""Choose a server for each waiting task.

An owner places tasks only on its own servers, whose free capacity it knows exactly. A hash
decides which owner may place a task first, so that two owners seldom place the same task; if they
do, the order of the log decides.
"""

import math
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from typing import NamedTuple

from spoolcrank.fleet import Instance
from spoolcrank.ids import InstanceId, Rack, TaskClass, TaskId, Team
from spoolcrank.jobs import JobClass, JobSpec
from spoolcrank.ledger import Task
from spoolcrank.ownership import weight
from spoolcrank.policy import Policy
from spoolcrank.resources import Resources
from spoolcrank.slot_use import SPARE_SLOTS

_MAX_NEAREST_SHOWN = 2


class ServerCapacity(NamedTuple):
    """The capacity and state of one server on which tasks may be placed.

    Attributes:
        free: Capacity less what is allocated to tasks or reserved for the runner.
        whole: Capacity less what is reserved for the runner.
        suspect: Whether far more attempts fail on the server than on its peers.
        probe: Whether one repeatable task may be placed on a suspect server now, as a probe.
        batch: Whether possibly noisy work may be placed; False while the server's service is slow.
        sheltered: Whether only work known to be quiet may be placed.
    """

    server: InstanceId
    rack: Rack
    kind: str
    free: Resources
    whole: Resources
    suspect: bool = False
    probe: bool = False
    batch: bool = True
    sheltered: bool = False


class Obstacle(Enum):
    """Reason why this owner does not place a waiting task now."""

    NO_ROOM = "no-room"
    QUOTA = "quota"
    BACKOFF = "backoff"
    OTHER_OWNER_FIRST = "other-owner-first"
    INTERFERENCE = "interference"
    RESERVED = "reserved"
    NO_SERVER = "no-server"


class Choice(NamedTuple):
    """The server chosen for a task, or the obstacle to placing it."""

    server: InstanceId | None
    obstacle: Obstacle | None = None


NoisinessOf = Callable[[InstanceId, TaskClass], float | None]


def reserved_for_runner(instance: Instance, busy_slots: int, policy: Policy) -> Resources:
    """Return what is reserved for a runner: processors for busy slots, memory for all slots."""
    if not instance.service:
        return Resources()
    limits = policy.placement
    return Resources(limits.slot_processors * busy_slots, limits.slot_memory_mb * instance.slots, 0)


def usable(instance: Instance, busy_slots: int, policy: Policy) -> Resources:
    """Return the total capacity for tasks of a server with `busy_slots` of its runner busy."""
    return instance.capacity.minus(reserved_for_runner(instance, busy_slots, policy))


def max_capacity(instance: Instance, spec: JobSpec, policy: Policy) -> Resources:
    """Return the capacity for a job's tasks of a server with an idle runner.

    It excludes the share that is reserved for urgent work, unless the job is urgent.
    """
    whole = usable(instance, min(SPARE_SLOTS, instance.slots), policy)
    return whole.minus(_share_of(whole, _reserve(spec, policy)))


def priority(task: Task, spec: JobSpec, policy: Policy, wall: float) -> tuple[float, float, str]:
    """Return the sort key of a waiting task; the smallest key is placed first.

    The urgency of a task rises by one for every `aging_s` of waiting, so that no task starves.
    """
    aged = spec.urgency + max(0.0, wall - task.since) / policy.placement.aging_s
    return (-aged, task.since, task.id)


def first_owners(
    task: TaskId, size: Resources, capacities: Iterable[tuple[InstanceId, Resources]]
) -> list[InstanceId]:
    """Return the owners with free capacity for a task, in the order in which they may place it."""
    eligible = {owner for owner, free in capacities if size.fits_in(free)}
    return sorted(eligible, key=lambda owner: weight(task, owner), reverse=True)


def may_place_now(order: list[InstanceId], me: InstanceId, waited_s: float, policy: Policy) -> bool:
    """Return whether a task has waited long enough for us to place it.

    The first owner in `order` places it at once, and after each further `next_owner_s` twice as
    many owners may: those before us may have room for the task and yet not place it.
    """
    rank = order.index(me) if me in order else len(order)
    turns = (rank + 1).bit_length() - 1
    return waited_s >= turns * policy.placement.next_owner_s


def within_quota(team: Team, size: Resources, used_processors: float, policy: Policy) -> bool:
    """Return whether a team stays within its processor quota with one more task."""
    quota = policy.quotas.get(team)
    return quota is None or used_processors + size.processors <= quota


class LargestFree(NamedTuple):
    """The most of each resource that is free for tasks on any of some servers.

    Attributes:
        urgent: For tasks that may use the share reserved for urgent work.
        other: For all other tasks.
    """

    urgent: Resources
    other: Resources

    def may_hold(self, size: Resources, spec: JobSpec, policy: Policy) -> bool:
        """Return False if a task fits on none of the servers; otherwise it may fit on one."""
        return size.fits_in(self.other if _reserve(spec, policy) else self.urgent)


def largest_free(capacities: Collection[ServerCapacity], policy: Policy) -> LargestFree | None:
    """Return the most of each resource that is free on any of some servers, None without any."""
    if not capacities:
        return None
    share = policy.placement.urgent_reserve
    return LargestFree(
        _largest([capacity.free for capacity in capacities]),
        _largest([_free_for(capacity, share) for capacity in capacities]),
    )


def _largest(amounts: Collection[Resources]) -> Resources:
    return Resources(
        max(amount.processors for amount in amounts),
        max(amount.memory_mb for amount in amounts),
        max(amount.accelerators for amount in amounts),
    )


def choose(
    size: Resources,
    spec: JobSpec,
    failed_on: Iterable[InstanceId],
    capacities: list[ServerCapacity],
    used_racks: dict[Rack, int],
    noisiness: NoisinessOf,
    may_wait: bool,
    policy: Policy,
) -> Choice:
    """Return the best of our servers for a task.

    Batch tasks go where they fit most tightly, so that large gaps remain for large tasks; services
    and watchers go to the rack where the fewest tasks of their own job run.

    Args:
        size: The size allocated for the task.
        spec: The job's declaration.
        failed_on: Servers on which the task has failed before.
        capacities: Our servers on which tasks may be placed.
        used_racks: How many tasks of the job run in each rack.
        noisiness: Returns the learned slowdown that the task's class causes to a server's runner,
            None if nothing is known yet.
        may_wait: Whether the task may still be held back to protect the services.
        policy: The configuration in force.
    """
    if not capacities:
        return Choice(None, Obstacle.NO_SERVER)
    reserve = _reserve(spec, policy)
    eligible = [capacity for capacity in capacities if size.fits_in(_free_for(capacity, reserve))]
    if not eligible:
        return Choice(None, Obstacle.NO_ROOM)
    usable_servers = _without_suspects(eligible, spec)
    if not usable_servers:
        return Choice(None, Obstacle.NO_SERVER)
    if may_wait and spec.job_class is JobClass.BATCH and policy.interference.enabled:
        # A suspect server that may not host the task is no reason to pass over the others.
        hosts = [capacity for capacity in eligible if _may_host(capacity, spec, noisiness, policy)]
        usable_servers = _without_suspects(hosts, spec)
        if not usable_servers:
            return Choice(None, Obstacle.INTERFERENCE)
    if policy.placement.strategy == "first-fit":
        return Choice(min(usable_servers, key=lambda capacity: capacity.server).server)
    failed = set(failed_on)
    best = min(usable_servers, key=lambda capacity: _cost(capacity, size, spec, failed, used_racks))
    return Choice(best.server)


def sheltered_count(servers: int, policy: Policy) -> int:
    """Return how many of a zone's servers of a service are sheltered; never all of them."""
    count = math.ceil(servers * policy.interference.sheltered_share)
    return max(0, min(count, servers - 1))


def _may_host(
    capacity: ServerCapacity, spec: JobSpec, noisiness: NoisinessOf, policy: Policy
) -> bool:
    if capacity.batch and not capacity.sheltered:
        return True
    known = noisiness(capacity.server, spec.task_class)
    return known is not None and known <= policy.interference.quiet_slowdown


def _reserve(spec: JobSpec, policy: Policy) -> float:
    """Return the share of each server that is reserved for work more urgent than a job."""
    urgent = spec.urgency >= policy.placement.urgent_from
    return 0.0 if urgent else policy.placement.urgent_reserve


def _share_of(whole: Resources, share: float) -> Resources:
    return Resources(whole.processors * share, whole.memory_mb * share, 0)


def _free_for(capacity: ServerCapacity, share: float) -> Resources:
    return capacity.free.minus(_share_of(capacity.whole, share))


def _without_suspects(capacities: list[ServerCapacity], spec: JobSpec) -> list[ServerCapacity]:
    """Leave out suspect servers, unless the task may be used as a probe."""
    trusted = [capacity for capacity in capacities if not capacity.suspect]
    if not spec.repeatable or spec.job_class is not JobClass.BATCH:
        return trusted
    return [capacity for capacity in capacities if capacity.suspect and capacity.probe] or trusted


def _cost(
    capacity: ServerCapacity,
    size: Resources,
    spec: JobSpec,
    failed_on: set[InstanceId],
    used_racks: dict[Rack, int],
) -> tuple[float, ...]:
    left = capacity.free.minus(size)
    tightness = left.processors / max(1.0, capacity.whole.processors)
    tightness += left.memory_mb / max(1.0, capacity.whole.memory_mb)
    wasted = float(capacity.whole.accelerators) if size.accelerators == 0 else 0.0
    failed_before = 1.0 if capacity.server in failed_on else 0.0
    if spec.job_class is JobClass.BATCH:
        open_to_all = 0.0 if capacity.sheltered else 1.0
        return (failed_before, wasted, open_to_all, tightness)
    return (failed_before, float(used_racks.get(capacity.rack, 0)), wasted, -tightness)


def never_fits(spec: JobSpec, instances: list[Instance], policy: Policy) -> str:
    """Return why a job fits on no instance, naming the instances that come closest.

    Return an empty string if it fits on one, or if there are no instances. The limit is what
    `choose` allows the job on an empty server: a job accepted by a higher limit would wait forever.
    """
    size = spec.size.resources
    if not instances:
        return ""
    if any(size.fits_in(max_capacity(instance, spec, policy)) for instance in instances):
        return ""
    by_shortfall = sorted(
        instances,
        key=lambda backend: (_shortfall(size, max_capacity(backend, spec, policy)), backend.id),
    )
    nearest = by_shortfall[:_MAX_NEAREST_SHOWN]
    shown = "; ".join(_describe_capacity(instance, policy) for instance in nearest)
    asked = f"{size.processors:g} processors, {size.memory_mb:g} MB"
    reserved = _reserve(spec, policy)
    urgent = f", of which {reserved:.0%} is reserved for urgent work" if reserved else ""
    return (
        f"fits on no instance: asks for {asked}, {size.accelerators} accelerators; {shown}{urgent}"
    )


def _shortfall(size: Resources, capacity: Resources) -> float:
    lacks = size.minus(capacity)
    return (
        max(0.0, lacks.processors) / max(1.0, size.processors)
        + max(0.0, lacks.memory_mb) / max(1.0, size.memory_mb)
        + max(0, lacks.accelerators)
    )


def _describe_capacity(instance: Instance, policy: Policy) -> str:
    busy = usable(instance, instance.slots, policy)
    idle = usable(instance, min(SPARE_SLOTS, instance.slots), policy)
    beside = f" beside a busy runner, {idle.processors:g} beside an idle one" * (idle != busy)
    return (
        f"nearest {instance.id} has {busy.processors:g} processors, "
        f"{busy.memory_mb:g} MB, {busy.accelerators} accelerators for tasks{beside}"
    )

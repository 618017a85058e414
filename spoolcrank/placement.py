"""Choose which waiting task goes to which server.

An owner places only on its own servers, whose free capacity it knows exactly. Which owner
may take a task first follows from a hash, so that owners seldom reach for the same task;
where they do, the log's order decides.
"""

import math
from collections.abc import Callable, Iterable
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

_NEAREST_SHOWN = 2


class Room(NamedTuple):
    """One server that may take work.

    Attributes:
        free: capacity less everything allocated and kept for the runner.
        whole: capacity less what is kept for the runner.
        suspect: whether the server fails what its peers do not.
        probe: whether, if so, one repeatable task may be tried there now.
        batch: whether work that may be loud may come; not while its service suffers.
        sheltered: whether only work known to be quiet may come.
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
    """Why a waiting task is not placed by this owner now."""

    NO_ROOM = "no-room"
    QUOTA = "quota"
    BACKOFF = "backoff"
    OTHER_OWNER_FIRST = "other-owner-first"
    INTERFERENCE = "interference"
    RESERVED = "reserved"
    NO_SERVER = "no-server"


class Choice(NamedTuple):
    """A server for a task, or what stands in the way."""

    server: InstanceId | None
    obstacle: Obstacle | None = None


LoudnessOf = Callable[[InstanceId, TaskClass], float | None]


def kept_for_runner(instance: Instance, busy_slots: int, policy: Policy) -> Resources:
    """Return what a server keeps free for its runner: processors by use, memory for all slots."""
    if not instance.service:
        return Resources()
    keep = policy.placement
    return Resources(keep.slot_processors * busy_slots, keep.slot_memory_mb * instance.slots, 0)


def usable(instance: Instance, busy_slots: int, policy: Policy) -> Resources:
    """Return what tasks may take of a server in all while so many slots are set aside."""
    return instance.capacity.minus(kept_for_runner(instance, busy_slots, policy))


def open_to(instance: Instance, spec: JobSpec, policy: Policy) -> Resources:
    """Return what a job's tasks may take of a server beside an idle runner.

    The share that is kept for urgent work is not among it.
    """
    whole = usable(instance, min(SPARE_SLOTS, instance.slots), policy)
    return whole.minus(_kept_of(whole, _reserve(spec, policy)))


def priority(task: Task, spec: JobSpec, policy: Policy, wall: float) -> tuple[float, float, str]:
    """Return the sort key of a waiting task; the smallest goes first.

    Waiting raises a task by one urgency every `aging_s`, so that nothing starves.
    """
    aged = spec.urgency + max(0.0, wall - task.since) / policy.placement.aging_s
    return (-aged, task.since, task.id)


def first_owners(
    task: TaskId, size: Resources, rooms: Iterable[tuple[InstanceId, Resources]]
) -> list[InstanceId]:
    """Return the owners that show room for a task, in the order in which they may take it."""
    fit = {owner for owner, free in rooms if size.fits_in(free)}
    return sorted(fit, key=lambda owner: weight(task, owner), reverse=True)


def may_take(order: list[InstanceId], me: InstanceId, waited_s: float, policy: Policy) -> bool:
    """Tell whether our turn for a task has come."""
    rank = order.index(me) if me in order else len(order)
    return waited_s >= rank * policy.placement.next_owner_s


def within_quota(team: Team, size: Resources, held: float, policy: Policy) -> bool:
    """Tell whether a team may hold so many more cores."""
    quota = policy.quotas.get(team)
    return quota is None or held + size.processors <= quota


def choose(
    size: Resources,
    spec: JobSpec,
    failed_on: Iterable[InstanceId],
    rooms: list[Room],
    used_racks: dict[Rack, int],
    loudness: LoudnessOf,
    patient: bool,
    policy: Policy,
) -> Choice:
    """Return the best server of ours for a task.

    Batch goes where it fits most tightly, so that large gaps stay for large tasks; services
    and watchers go where the fewest of their own job run.

    Args:
        size: what is allocated for the task.
        spec: the job's declaration.
        failed_on: servers on which the task failed before.
        rooms: our servers that may take work.
        used_racks: how many tasks of the job run in each rack.
        loudness: the learnt slowdown that the task's class brings to a server's runner,
            None where nothing is known yet.
        patient: whether the task may still be kept waiting for the services' sake.
        policy: the configuration in force.
    """
    if not rooms:
        return Choice(None, Obstacle.NO_SERVER)
    reserve = _reserve(spec, policy)
    fit = [room for room in rooms if size.fits_in(_less_reserve(room, reserve))]
    if not fit:
        return Choice(None, Obstacle.NO_ROOM)
    fit = _trustworthy(fit, spec)
    if not fit:
        return Choice(None, Obstacle.NO_SERVER)
    if patient and spec.job_class is JobClass.BATCH and policy.interference.enabled:
        fit = [room for room in fit if _may_disturb(room, spec, loudness, policy)]
        if not fit:
            return Choice(None, Obstacle.INTERFERENCE)
    if policy.placement.strategy == "first-fit":
        return Choice(min(fit, key=lambda room: room.server).server)
    failed = set(failed_on)
    best = min(fit, key=lambda room: _cost(room, size, spec, failed, used_racks))
    return Choice(best.server)


def sheltered_count(servers: int, policy: Policy) -> int:
    """Return how many of a zone's servers of a service are kept calm, never all of them."""
    wanted = math.ceil(servers * policy.interference.sheltered_share)
    return max(0, min(wanted, servers - 1))


def _may_disturb(room: Room, spec: JobSpec, loudness: LoudnessOf, policy: Policy) -> bool:
    if room.batch and not room.sheltered:
        return True
    known = loudness(room.server, spec.task_class)
    return known is not None and known <= policy.interference.quiet_slowdown


def _reserve(spec: JobSpec, policy: Policy) -> float:
    """Return the share of each server that is kept from a job for urgent work."""
    urgent = spec.urgency >= policy.placement.urgent_from
    return 0.0 if urgent else policy.placement.urgent_reserve


def _kept_of(whole: Resources, share: float) -> Resources:
    return Resources(whole.processors * share, whole.memory_mb * share, 0)


def _less_reserve(room: Room, share: float) -> Resources:
    return room.free.minus(_kept_of(room.whole, share))


def _trustworthy(rooms: list[Room], spec: JobSpec) -> list[Room]:
    """Leave out servers under suspicion, unless the task may serve as a probe."""
    trusted = [room for room in rooms if not room.suspect]
    if not spec.repeatable or spec.job_class is not JobClass.BATCH:
        return trusted
    return [room for room in rooms if room.suspect and room.probe] or trusted


def _cost(
    room: Room,
    size: Resources,
    spec: JobSpec,
    failed_on: set[InstanceId],
    used_racks: dict[Rack, int],
) -> tuple[float, ...]:
    left = room.free.minus(size)
    tightness = left.processors / max(1.0, room.whole.processors)
    tightness += left.memory_mb / max(1.0, room.whole.memory_mb)
    wasted = float(room.whole.accelerators) if size.accelerators == 0 else 0.0
    again = 1.0 if room.server in failed_on else 0.0
    if spec.job_class is JobClass.BATCH:
        open_to_all = 0.0 if room.sheltered else 1.0
        return (again, wasted, open_to_all, tightness)
    return (again, float(used_racks.get(room.rack, 0)), wasted, -tightness)


def never_fits(spec: JobSpec, instances: list[Instance], policy: Policy) -> str:
    """Return why a job fits on no instance of the fleet, with the nearest miss; else ''.

    It is judged by what `choose` may give it of an empty server: what is accepted by more would
    wait for ever.
    """
    size = spec.size.resources
    if not instances:
        return ""
    if any(size.fits_in(open_to(instance, spec, policy)) for instance in instances):
        return ""
    misses = sorted(instances, key=lambda one: (_missing(size, open_to(one, spec, policy)), one.id))
    nearest = misses[:_NEAREST_SHOWN]
    shown = "; ".join(_miss(instance, policy) for instance in nearest)
    asked = f"{size.processors:g} processors, {size.memory_mb:g} MB"
    kept = _reserve(spec, policy)
    urgent = f", of which {kept:.0%} is kept for urgent work" if kept else ""
    return (
        f"fits on no instance: asks for {asked}, {size.accelerators} accelerators; {shown}{urgent}"
    )


def _missing(size: Resources, room: Resources) -> float:
    lacks = size.minus(room)
    return (
        max(0.0, lacks.processors) / max(1.0, size.processors)
        + max(0.0, lacks.memory_mb) / max(1.0, size.memory_mb)
        + max(0, lacks.accelerators)
    )


def _miss(instance: Instance, policy: Policy) -> str:
    busy = usable(instance, instance.slots, policy)
    idle = usable(instance, min(SPARE_SLOTS, instance.slots), policy)
    beside = f" beside a busy runner, {idle.processors:g} beside an idle one" * (idle != busy)
    return (
        f"nearest {instance.id} has {busy.processors:g} processors, "
        f"{busy.memory_mb:g} MB, {busy.accelerators} accelerators for tasks{beside}"
    )

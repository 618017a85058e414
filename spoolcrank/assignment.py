"""Decide which waiting tasks to place on our servers now, and which jobs to refuse."""

from spoolcrank import interference, membership, ownership, placement
from spoolcrank.epochs import claim_of
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import InstanceId, JobId, Rack, TaskClass
from spoolcrank.jobs import JobClass, Size
from spoolcrank.ledger import Task
from spoolcrank.lost_tasks import EXCLUSIVE_S, ISOLATE_AFTER_CRASHES, MIN_AGE_GAP_S
from spoolcrank.owned_server import Append, OwnedServer, Phase
from spoolcrank.placement import Choice, Obstacle, ServerCapacity
from spoolcrank.records import JobRefused, Placed
from spoolcrank.resources import Resources
from spoolcrank.state import Core, CoreAction, LogEvent, free_capacity, usable_capacity

_MAX_PASS_COST = 1024
"""Maximum cost of one pass, in checks of a task against the largest free capacity. A pass runs on
each tick of 50 ms, alongside requests."""

_CHOICE_COST = 16
"""Cost of choosing a server for a task, in such checks."""

_MAX_RETRY_COST = _MAX_PASS_COST // 2
"""Maximum cost in one pass of tasks that earlier passes could not place. The rest of a pass
continues where the earlier passes ended, so that every waiting task is considered in turn, while
those of highest priority are still considered in each pass."""

_JOB_WIDE_OBSTACLES = frozenset({Obstacle.NO_ROOM, Obstacle.QUOTA, Obstacle.NO_SERVER})
"""Obstacles that, found for one task of a job, hold for all its tasks for the rest of a pass.

If the task is isolated, which limits its servers, only the quota holds for the others too.
"""

# Time for which a task must have waited, as we saw it, before its job is refused.
_REFUSE_AFTER_S = 1.0


def refuse_impossible(core: Core, now: float, wall: float) -> list[CoreAction]:
    """Refuse jobs that fit on no instance, and jobs whose deadline has passed while they waited."""
    actions: list[CoreAction] = []
    backends = [
        instance for instance in core.members.listed.values() if instance.role is Role.BACKEND
    ]
    deciding = membership.deciding_entries(core.members, core.policy, now)
    judged = set(core.refusals_sent)
    for task in core.ledger.waiting():
        first_seen_at = core.first_seen.setdefault(task.id, now)
        job = core.ledger.jobs[task.job]
        if now - first_seen_at < _REFUSE_AFTER_S or job.id in judged:
            continue
        judged.add(job.id)
        if ownership.preferred(job.id, deciding) != core.members.me:
            continue
        reason = _missed_deadline(job.spec.deadline_s, job.at, wall)
        if not reason and membership.is_list_fresh(core.members, now) and core.is_config_fresh(now):
            reason = placement.never_fits(job.spec, backends, core.policy)
        if reason:
            core.refusals_sent[job.id] = now
            actions.append(Append(JobRefused(job=job.id, reason=reason)))
            actions.append(LogEvent("job.refused", {"job": job.id, "reason": reason}))
    return actions


def _missed_deadline(deadline_s: float | None, accepted_at: float, wall: float) -> str:
    if deadline_s is not None and wall - accepted_at > deadline_s:
        return f"its deadline of {deadline_s:g} s passed before it could be placed"
    return ""


def place(core: Core, now: float, wall: float) -> list[CoreAction]:
    """Place waiting tasks on our servers, unless another owner may place them first."""
    ledger = core.ledger
    if not ledger.pending or not core.owned:
        return []
    capacities = {capacity.server: capacity for capacity in _server_capacities(core, now)}
    placing = {task for owned in core.owned.values() for task in owned.placing}
    queue = [task for task in ledger.waiting() if task.id not in placing]
    queue.sort(key=lambda task: placement.priority(task, ledger.spec(task), core.policy, wall))
    peers = _peer_capacities(core, now)
    actions: list[CoreAction] = []
    blocked: dict[JobId, Obstacle] = {}
    cost = retry_cost = 0
    closed = _closed_servers(core, wall)
    largest = placement.largest_free(capacities.values(), core.policy)
    for task in queue:
        obstacle = Obstacle.BACKOFF if task.not_before > wall else blocked.get(task.job)
        if obstacle is not None:
            # A task that cannot be placed now must not use up the pass for the tasks behind it.
            core.obstacles[task.id] = obstacle
            continue
        if cost >= _MAX_PASS_COST:
            break
        was_passed_over = task.id in core.passed_over
        if was_passed_over and retry_cost >= _MAX_RETRY_COST:
            continue
        obstacle = _obstacle_anywhere(core, task, largest)
        task_cost = _CHOICE_COST if obstacle is None else 1
        cost += task_cost
        retry_cost += task_cost if was_passed_over else 0
        if obstacle is not None:
            _pass_over(core, task, obstacle, blocked)
            continue
        groups = _candidate_groups(core, task, list(capacities.values()), closed, wall)
        choice = _place_in_groups(core, task, groups, peers, now)
        if choice.server is None:
            _pass_over(core, task, choice.obstacle, blocked)
            continue
        core.obstacles.pop(task.id, None)
        record = _record_place(core, task, choice.server, now)
        capacity = capacities[choice.server]
        left = capacity.free.minus(record.size.resources)
        capacities[choice.server] = capacity._replace(free=left, probe=False)
        if task.crashes:
            closed.add(choice.server)
        actions.append(Append(record))
    else:
        core.passed_over.clear()
    return actions


def _obstacle_anywhere(
    core: Core, task: Task, largest: placement.LargestFree | None
) -> Obstacle | None:
    """Return an obstacle to a task that can be found without looking at each server, if any."""
    spec = core.ledger.spec(task)
    size = size_for(core, task)
    team_processors = core.ledger.by_team.get(spec.team, 0.0)
    if not placement.within_quota(spec.team, size, team_processors, core.policy):
        return Obstacle.QUOTA
    if largest is None:
        return Obstacle.NO_SERVER
    return None if largest.may_hold(size, spec, core.policy) else Obstacle.NO_ROOM


def _pass_over(
    core: Core, task: Task, obstacle: Obstacle | None, blocked: dict[JobId, Obstacle]
) -> None:
    """Record that a task cannot be placed in this pass, and whether its job cannot either."""
    core.passed_over.add(task.id)
    if obstacle is None:
        return
    core.obstacles[task.id] = obstacle
    if _holds_for_job(task, obstacle):
        blocked[task.job] = obstacle


def _holds_for_job(task: Task, obstacle: Obstacle) -> bool:
    """Return whether an obstacle to placing a task holds for the other tasks of its job."""
    if len(task.crashes) >= ISOLATE_AFTER_CRASHES:
        return obstacle is Obstacle.QUOTA
    return obstacle in _JOB_WIDE_OBSTACLES


def _closed_servers(core: Core, wall: float) -> set[InstanceId]:
    """Return our servers where a task suspected of crashes has just started or is to start."""
    ledger = core.ledger
    closed = set()
    for owned in core.owned.values():
        starting = any(ledger.tasks[task].crashes for task in owned.placing)
        if starting or any(
            task.crashes and wall - task.since < EXCLUSIVE_S
            for task in ledger.tasks_on(owned.server)
        ):
            closed.add(owned.server)
    return closed


def _candidate_groups(
    core: Core, task: Task, capacities: list[ServerCapacity], closed: set[InstanceId], wall: float
) -> list[list[ServerCapacity]]:
    """Return the servers on which a task may be placed, given the crashes it was involved in.

    After two crashes, a task goes only to servers where nothing has started recently, so that
    another crash is evidence against it. Servers with fewer tasks form an earlier group.
    """
    free = [capacity for capacity in capacities if capacity.server not in closed]
    if len(task.crashes) < ISOLATE_AFTER_CRASHES:
        return [free]
    groups: dict[int, list[ServerCapacity]] = {}
    for capacity in free:
        if _is_quiet(core, capacity.server, wall):
            groups.setdefault(len(core.ledger.tasks_on(capacity.server)), []).append(capacity)
    return [groups[task_count] for task_count in sorted(groups)] or [[]]


def _is_quiet(core: Core, server: InstanceId, wall: float) -> bool:
    if core.owned[server].placing:
        return False
    return all(wall - task.since >= MIN_AGE_GAP_S for task in core.ledger.tasks_on(server))


def _place_in_groups(
    core: Core,
    task: Task,
    groups: list[list[ServerCapacity]],
    peers: list[tuple[InstanceId, Resources]],
    now: float,
) -> Choice:
    """Return the choice from the first group of servers that can take a task."""
    choice = Choice(None, Obstacle.NO_SERVER)
    for capacities in groups:
        choice = _place_task(core, task, capacities, peers, now)
        if choice.server is not None or choice.obstacle is Obstacle.OTHER_OWNER_FIRST:
            break
    return choice


def _place_task(
    core: Core,
    task: Task,
    capacities: list[ServerCapacity],
    peers: list[tuple[InstanceId, Resources]],
    now: float,
) -> Choice:
    spec = core.ledger.spec(task)
    size = size_for(core, task)
    racks = _racks_used(core, task) if spec.job_class is not JobClass.BATCH else {}
    waited = now - core.first_seen.setdefault(task.id, now)
    may_wait = waited < core.policy.interference.patience_s
    choice = placement.choose(
        size,
        spec,
        task.failed_on,
        capacities,
        racks,
        _noisiness_of(core, now),
        may_wait,
        core.policy,
    )
    if choice.server is None:
        return choice
    own = [(core.members.me, capacity.free) for capacity in capacities]
    order = placement.first_owners(task.id, size, [*own, *peers])
    if not placement.may_place_now(order, core.members.me, waited, core.policy):
        return Choice(None, Obstacle.OTHER_OWNER_FIRST)
    return choice


def size_for(core: Core, task: Task) -> Resources:
    """Return the size to allocate for a task's next attempt.

    The needs of a class are learned over all its jobs. If the learned size fits on no server, use
    the declared size, by which the job was accepted; otherwise the task would wait forever.
    """
    spec = core.ledger.spec(task)
    declared = spec.size.resources
    learned_size = core.interference_model.size_for(spec.task_class, declared, core.policy)
    if learned_size.fits_in(declared):
        return learned_size
    backends = (
        instance for instance in core.members.listed.values() if instance.role is Role.BACKEND
    )
    if any(
        learned_size.fits_in(placement.max_capacity(instance, spec, core.policy))
        for instance in backends
    ):
        return learned_size
    return declared


def _record_place(core: Core, task: Task, server: InstanceId, now: float) -> Placed:
    owned = core.owned[server]
    size = size_for(core, task)
    record = Placed(
        task=task.id,
        attempt=task.attempt + 1,
        server=server,
        server_incarnation=owned.incarnation,
        epoch=owned.epoch,
        size=Size(
            processors=size.processors, memory_mb=size.memory_mb, accelerators=size.accelerators
        ),
    )
    owned.placing[task.id] = record
    if core.interference_model.is_suspect(server):
        core.interference_model.probed_at[server] = now
    return record


def _server_capacities(core: Core, now: float) -> list[ServerCapacity]:
    capacities = []
    for owned in core.owned.values():
        instance = core.members.listed.get(owned.server)
        if instance is None or owned.phase is not Phase.READY:
            continue
        if claim_of(owned.epoch) != owned.epoch:
            continue
        if ownership.drained(core.members, core.ledger, owned.server):
            continue
        capacities.append(_server_capacity(core, owned, instance, now))
    return capacities


def _server_capacity(
    core: Core, owned: OwnedServer, instance: Instance, now: float
) -> ServerCapacity:
    return ServerCapacity(
        server=owned.server,
        rack=instance.rack,
        kind=instance.kind,
        free=free_capacity(core, owned),
        whole=usable_capacity(core, owned, instance),
        suspect=core.interference_model.is_suspect(owned.server),
        probe=core.interference_model.may_probe(owned.server, now),
        batch=core.interference_model.level(owned.server) is interference.Level.OPEN,
        sheltered=_is_sheltered(core, instance),
    )


def _peer_capacities(core: Core, now: float) -> list[tuple[InstanceId, Resources]]:
    capacities = []
    for peer in core.members.peers.values():
        if not membership.is_alive(core.members, peer.heartbeat.sender, core.policy, now):
            continue
        if peer.heartbeat.leaving or not peer.heartbeat.log_ok:
            continue
        capacities += [
            (peer.heartbeat.sender, status.free)
            for status in peer.heartbeat.servers
            if status.ready
        ]
    return capacities


def _racks_used(core: Core, task: Task) -> dict[Rack, int]:
    used: dict[Rack, int] = {}
    for other in core.ledger.jobs[task.job].tasks:
        server = core.ledger.tasks[other].server
        if server is not None:
            rack = membership.rack_of(core.members, server)
            used[rack] = used.get(rack, 0) + 1
    return used


def _is_sheltered(core: Core, instance: Instance) -> bool:
    """Return whether a server is one of those in its zone that are kept free of noisy work."""
    if not instance.service or not core.policy.interference.enabled:
        return False
    peers = [
        server.id
        for server in membership.servers_of_zone(core.members)
        if server.service == instance.service and not server.leaving
    ]
    count = placement.sheltered_count(len(peers), core.policy)
    order = sorted(peers, key=lambda server: ownership.weight("sheltered", server), reverse=True)
    return instance.id in order[:count]


def _noisiness_of(core: Core, now: float) -> placement.NoisinessOf:
    def noisiness(server: InstanceId, task_class: TaskClass) -> float | None:
        instance = core.members.listed.get(server)
        if instance is None or not instance.service:
            return 0.0
        return core.interference_model.known_slowdown(
            instance.service, task_class, instance.kind, core.policy, now
        )

    return noisiness


def drop_stale_records(core: Core) -> None:
    """Drop records about tasks that no longer wait and jobs that no longer exist."""
    for task in [task for task in core.obstacles if task not in core.ledger.pending]:
        del core.obstacles[task]
    for task in [task for task in core.first_seen if task not in core.ledger.pending]:
        del core.first_seen[task]
    for job in [job for job in core.refusals_sent if job not in core.ledger.jobs]:
        del core.refusals_sent[job]

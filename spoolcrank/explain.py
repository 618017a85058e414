"""Explain the state of tasks, jobs and requests to operators."""

import time
from typing import Any, NamedTuple

from spoolcrank import membership, ownership, placement
from spoolcrank.assignment import size_for
from spoolcrank.fleet import Role
from spoolcrank.ids import InstanceId, JobId, TaskId
from spoolcrank.jobs import ENDED, TaskState
from spoolcrank.jobs_api import show_task
from spoolcrank.ledger import Job, Task, job_state
from spoolcrank.membership import ServerStatus
from spoolcrank.placement import Obstacle
from spoolcrank.state import Core

Row = dict[str, Any]

_MAX_NEAREST = 3
_NO_OWNER: tuple[InstanceId, ServerStatus | None] = (InstanceId(""), None)

OBSTACLE_REASONS: dict[Obstacle, str] = {
    Obstacle.NO_ROOM: "no server has enough free capacity for it now",
    Obstacle.QUOTA: "its team's quota is exhausted",
    Obstacle.BACKOFF: "it is in backoff after a failed or refused attempt",
    Obstacle.OTHER_OWNER_FIRST: "another owner may place it first",
    Obstacle.INTERFERENCE: "its class slows the services of every server with enough free capacity",
    Obstacle.RESERVED: "the free capacity is reserved for a task that has waited longer",
    Obstacle.NO_SERVER: "no server accepts work now",
}

OBSTACLE_REMEDIES: dict[Obstacle, str] = {
    Obstacle.NO_ROOM: "a running task that ends, or a smaller declared size",
    Obstacle.QUOTA: "a running task of the team that ends, or a larger quota",
    Obstacle.BACKOFF: "nothing; it is retried automatically",
    Obstacle.OTHER_OWNER_FIRST: "nothing; it is placed shortly",
    Obstacle.INTERFERENCE: "less load on the services, or a higher interference.quiet_slowdown",
    Obstacle.RESERVED: "the placement of the task that has waited longer",
    Obstacle.NO_SERVER: "a server that is listed, is not drained and answers its owner",
}


class Explanation(NamedTuple):
    """A sentence that explains a state, and the facts that it is based on."""

    sentence: str
    facts: Row


def task_rows(core: Core, state: TaskState) -> list[Row]:
    """Return one row for each task in the given state."""
    rows = []
    for task in core.ledger.tasks.values():
        if task.state is state:
            spec = core.ledger.spec(task)
            listed = core.members.listed.get(task.server) if task.server else None
            rows.append(
                {
                    **show_task(task),
                    "job": task.job,
                    "name": spec.name,
                    "class": spec.job_class.value,
                    "urgency": spec.urgency,
                    "team": spec.team,
                    "zone": str(listed.availability_zone) if listed else "",
                    "reason": reason_of(core, task),
                }
            )
    return rows


def reason_of(core: Core, task: Task) -> str:
    """Return the obstacle of a pending task if one is known, else the stored reason."""
    obstacle = core.obstacles.get(task.id)
    if task.state is TaskState.PENDING and obstacle is not None:
        return obstacle.value
    return task.reason


def worker_rows(core: Core, now: float) -> list[Row]:
    """Return one row for each backend server, with its owner, epoch and free capacity."""
    statuses: dict[InstanceId, tuple[InstanceId, ServerStatus | None]] = {
        status.server: (peer.heartbeat.sender, status)
        for peer in core.members.peers.values()
        if membership.is_alive(core.members, peer.heartbeat.sender, core.policy, now)
        for status in peer.heartbeat.servers
    }
    for own_status in core.server_status(lambda server: 0):
        statuses[own_status.server] = (core.members.me, own_status)
    rows = []
    for instance in core.members.listed.values():
        if instance.role is not Role.BACKEND:
            continue
        owner, status = statuses.get(instance.id, _NO_OWNER)
        claim = core.ledger.claims.get(instance.id)
        rows.append(
            {
                "instance": instance.id,
                "zone": str(instance.availability_zone),
                "rack": str(instance.rack),
                "service": str(instance.service),
                "owner": str(owner or (claim.owner if claim else "")),
                "epoch": status.epoch if status else (claim.epoch if claim else 0),
                "ready": bool(status and status.ready),
                "drained": ownership.drained(core.members, core.ledger, instance.id),
                "tasks": len(core.ledger.by_server.get(instance.id, {})),
                "free_processors": round(status.free.processors, 2) if status else 0,
                "free_memory_mb": round(status.free.memory_mb) if status else 0,
                "state": instance.state.value,
            }
        )
    return rows


def instance_rows(core: Core, now: float) -> list[Row]:
    """Return one row for each listed instance."""
    rows = []
    for instance in core.members.listed.values():
        row: Row = {
            "instance": instance.id,
            "role": instance.role.value,
            "zone": str(instance.availability_zone),
            "rack": str(instance.rack),
            "state": instance.state.value,
            "drained": membership.is_drained(core.members, instance.id, core.ledger),
        }
        if instance.role is Role.ENTRY:
            row["alive"] = membership.is_alive(core.members, instance.id, core.policy, now)
            peer = core.members.peers.get(instance.id)
            if instance.id == core.members.me:
                row["config_version"] = core.config_version
                row["servers"] = len(core.owned)
            elif peer is not None:
                row["config_version"] = peer.heartbeat.config_version
                row["servers"] = len(peer.heartbeat.servers)
        rows.append(row)
    return rows


def local_facts(core: Core, name: str, now: float) -> Row:
    """Return the facts about a task that only this instance knows, such as placement obstacles."""
    task = core.ledger.tasks.get(TaskId(name)) or core.ledger.tasks.get(TaskId(f"{name}.0"))
    if task is None:
        return {}
    facts: Row = {"by": core.members.me}
    obstacle = core.obstacles.get(task.id)
    if obstacle is not None:
        facts["obstacle"] = obstacle.value
    if task.state is TaskState.PENDING:
        facts["nearest"] = _nearest(core, task)
    if task.server is not None and task.server in core.owned:
        owned = core.owned[task.server]
        facts["owner"] = core.members.me
        facts["epoch"] = owned.epoch
        facts["phase"] = owned.phase.value
    return facts


def _nearest(core: Core, task: Task) -> list[Row]:
    size = size_for(core, task)
    shortfalls = []
    for status in core.server_status(lambda server: 0):
        lacks = size.minus(status.free)
        shortfalls.append(
            {
                "instance": status.server,
                "lacks_processors": round(max(0.0, lacks.processors), 2),
                "lacks_memory_mb": round(max(0.0, lacks.memory_mb)),
                "lacks_accelerators": max(0, lacks.accelerators),
            }
        )
    shortfalls.sort(key=lambda row: (row["lacks_accelerators"], row["lacks_processors"]))
    return shortfalls[:_MAX_NEAREST]


def why(core: Core, name: str, answers: list[Row]) -> Explanation | None:
    """Explain a task, a job or a request.

    Args:
        core: the state of this instance.
        name: the id of the task, job or request.
        answers: the facts from this instance and from each peer that answered.

    Returns:
        None if no task, job or recent request has that id.
    """
    for answer in answers:
        if "decision" in answer:
            return _why_request(answer)
    job = core.ledger.jobs.get(JobId(name))
    if job is not None:
        return _why_job(core, job, answers)
    task = core.ledger.tasks.get(TaskId(name))
    return _why_task(core, task, answers) if task is not None else None


def _why_request(answer: Row) -> Explanation:
    decision = answer["decision"]
    result = "answered" if decision["kind"] == "answered" else f"refused as {decision['kind']}"
    sentence = f"{decision['request']} was {result} by {answer['by']}: {decision['detail']}."
    return Explanation(sentence, {**decision, "entry": answer["by"]})


def _why_job(core: Core, job: Job, answers: list[Row]) -> Explanation:
    unfinished = [
        core.ledger.tasks[task]
        for task in job.tasks
        if core.ledger.tasks[task].state not in (TaskState.FINISHED,)
    ]
    state = job_state(core.ledger, job)
    if not unfinished:
        return Explanation(f"{job.id} finished all {len(job.tasks)} tasks.", {"state": state.value})
    first = _why_task(core, unfinished[0], answers)
    sentence = (
        f"{job.id} is {state.value}, "
        f"{len(unfinished)} of {len(job.tasks)} tasks have not finished. "
    )
    return Explanation(sentence + first.sentence, {"state": state.value, **first.facts})


def _why_task(core: Core, task: Task, answers: list[Row]) -> Explanation:
    facts = _task_facts(core, task)
    if task.state is TaskState.RUNNING:
        return _why_running(core, task, facts)
    if task.state in ENDED:
        reason = task.reason or "it finished normally"
        return Explanation(f"{task.id} is {task.state.value}: {reason}.", facts)
    views = [answer for answer in answers if "nearest" in answer or "obstacle" in answer]
    facts["nearest"] = [shortfall for view in views for shortfall in view.get("nearest", [])][
        :_MAX_NEAREST
    ]
    obstacles = [Obstacle(view["obstacle"]) for view in views if "obstacle" in view]
    facts["obstacles"] = sorted({obstacle.value for obstacle in obstacles})
    main_obstacle = _main_obstacle(obstacles)
    if main_obstacle is None:
        waited_s = max(0.0, time.time() - task.since)
        return Explanation(
            f"{task.id} has waited {waited_s:.1f} s and is about to be placed.", facts
        )
    facts["would_change_it"] = OBSTACLE_REMEDIES[main_obstacle]
    sentence = f"{task.id} waits because {OBSTACLE_REASONS[main_obstacle]}"
    if task.reason and task.attempt:
        sentence += f" ({task.reason})"
    return Explanation(f"{sentence}.", facts)


def _main_obstacle(obstacles: list[Obstacle]) -> Obstacle | None:
    order = (
        Obstacle.QUOTA,
        Obstacle.BACKOFF,
        Obstacle.OTHER_OWNER_FIRST,
        Obstacle.RESERVED,
        Obstacle.INTERFERENCE,
        Obstacle.NO_ROOM,
        Obstacle.NO_SERVER,
    )
    return next((obstacle for obstacle in order if obstacle in obstacles), None)


def _why_running(core: Core, task: Task, facts: Row) -> Explanation:
    claim = core.ledger.claims.get(InstanceId(task.server or ""))
    owner = claim.owner if claim else "nobody"
    sentence = f"{task.id} runs attempt {task.attempt} on {task.server}, owned by {owner}."
    return Explanation(sentence, facts)


def _task_facts(core: Core, task: Task) -> Row:
    spec = core.ledger.spec(task)
    size = size_for(core, task)
    claim = core.ledger.claims.get(task.server) if task.server else None
    backends = [
        instance for instance in core.members.listed.values() if instance.role is Role.BACKEND
    ]
    return {
        "task": task.id,
        "state": task.state.value,
        "attempt": task.attempt,
        "evictions": task.evictions,
        "failures": task.failures,
        "servers_crashed": [crash.server for crash in task.crashes],
        "instance": task.server or "",
        "epoch": task.epoch,
        "owner": claim.owner if claim else "",
        "declared": spec.size.model_dump(),
        "allocated": size._asdict(),
        "team_holds_processors": round(core.ledger.by_team.get(spec.team, 0.0), 2),
        "team_quota": core.policy.quotas.get(spec.team),
        "config_version": core.config_version,
        "fits_nowhere": placement.never_fits(spec, backends, core.policy),
    }

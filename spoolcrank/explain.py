"""Put into words why work is where it is."""

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

_NEAREST = 3
_NOBODY: tuple[InstanceId, ServerStatus | None] = (InstanceId(""), None)

SENTENCES: dict[Obstacle, str] = {
    Obstacle.NO_ROOM: "no server has room for it now",
    Obstacle.QUOTA: "its team's quota is used up",
    Obstacle.BACKOFF: "it waits before its next attempt, as it failed or was refused",
    Obstacle.OTHER_OWNER_FIRST: "another owner may take it first",
    Obstacle.INTERFERENCE: "its class slows the services of every server with room",
    Obstacle.RESERVED: "the room is kept for a task that has waited longer",
    Obstacle.NO_SERVER: "no server takes work now",
}

REMEDIES: dict[Obstacle, str] = {
    Obstacle.NO_ROOM: "a task that ends, or a smaller declared size",
    Obstacle.QUOTA: "a task of the team that ends, or a larger quota",
    Obstacle.BACKOFF: "nothing; it is tried again by itself",
    Obstacle.OTHER_OWNER_FIRST: "nothing; it is placed within moments",
    Obstacle.INTERFERENCE: "less load on the services, or interference.quiet_slowdown",
    Obstacle.RESERVED: "the longer waiting task finding its place",
    Obstacle.NO_SERVER: "a server that is listed, undrained and answers its owner",
}


class Explanation(NamedTuple):
    """One sentence and the facts behind it."""

    sentence: str
    facts: Row


def task_rows(core: Core, state: TaskState) -> list[Row]:
    """Return the tasks in a state, one row each."""
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
    """Return the short reason for a task's state."""
    obstacle = core.obstacles.get(task.id)
    if task.state is TaskState.PENDING and obstacle is not None:
        return obstacle.value
    return task.reason


def worker_rows(core: Core, now: float) -> list[Row]:
    """Return the backend servers with owner, epoch and room, one row each."""
    told: dict[InstanceId, tuple[InstanceId, ServerStatus | None]] = {
        status.server: (peer.beat.sender, status)
        for peer in core.members.peers.values()
        if membership.is_alive(core.members, peer.beat.sender, core.policy, now)
        for status in peer.beat.servers
    }
    for mine in core.server_status(lambda server: 0):
        told[mine.server] = (core.members.me, mine)
    rows = []
    for instance in core.members.listed.values():
        if instance.role is not Role.BACKEND:
            continue
        owner, status = told.get(instance.id, _NOBODY)
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
    """Return every listed instance, one row each."""
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
                row["config_version"] = peer.beat.config_version
                row["servers"] = len(peer.beat.servers)
        rows.append(row)
    return rows


def facts_here(core: Core, name: str, now: float) -> Row:
    """Return what only this instance knows of a task: its own view of placing it."""
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
    rooms = []
    for status in core.server_status(lambda server: 0):
        lacks = size.minus(status.free)
        rooms.append(
            {
                "instance": status.server,
                "lacks_processors": round(max(0.0, lacks.processors), 2),
                "lacks_memory_mb": round(max(0.0, lacks.memory_mb)),
                "lacks_accelerators": max(0, lacks.accelerators),
            }
        )
    rooms.sort(key=lambda room: (room["lacks_accelerators"], room["lacks_processors"]))
    return rooms[:_NEAREST]


def why(core: Core, name: str, found: list[Row]) -> Explanation | None:
    """Explain a task, a job or a request from what all that answered know."""
    for one in found:
        if "decision" in one:
            return _why_request(one)
    job = core.ledger.jobs.get(JobId(name))
    if job is not None:
        return _why_job(core, job, found)
    task = core.ledger.tasks.get(TaskId(name))
    return _why_task(core, task, found) if task is not None else None


def _why_request(found: Row) -> Explanation:
    decision = found["decision"]
    said = "answered" if decision["kind"] == "answered" else f"refused as {decision['kind']}"
    sentence = f"{decision['request']} was {said} by {found['by']}: {decision['detail']}."
    return Explanation(sentence, {**decision, "entry": found["by"]})


def _why_job(core: Core, job: Job, found: list[Row]) -> Explanation:
    waiting = [
        core.ledger.tasks[task]
        for task in job.tasks
        if core.ledger.tasks[task].state not in (TaskState.FINISHED,)
    ]
    state = job_state(core.ledger, job)
    if not waiting:
        return Explanation(f"{job.id} finished all {len(job.tasks)} tasks.", {"state": state.value})
    first = _why_task(core, waiting[0], found)
    sentence = f"{job.id} is {state.value}, {len(waiting)} of {len(job.tasks)} tasks to go. "
    return Explanation(sentence + first.sentence, {"state": state.value, **first.facts})


def _why_task(core: Core, task: Task, found: list[Row]) -> Explanation:
    facts = _task_facts(core, task)
    if task.state is TaskState.RUNNING:
        return _why_running(core, task, facts)
    if task.state in ENDED:
        reason = task.reason or "it ran to its end"
        return Explanation(f"{task.id} is {task.state.value}: {reason}.", facts)
    views = [one for one in found if "nearest" in one or "obstacle" in one]
    facts["nearest"] = [room for view in views for room in view.get("nearest", [])][:_NEAREST]
    obstacles = [Obstacle(view["obstacle"]) for view in views if "obstacle" in view]
    facts["obstacles"] = sorted({obstacle.value for obstacle in obstacles})
    main = _main_obstacle(obstacles)
    if main is None:
        since = max(0.0, time.time() - task.since)
        return Explanation(f"{task.id} has waited {since:.1f} s and is being placed.", facts)
    facts["would_change_it"] = REMEDIES[main]
    sentence = f"{task.id} waits because {SENTENCES[main]}"
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
    return next((one for one in order if one in obstacles), None)


def _why_running(core: Core, task: Task, facts: Row) -> Explanation:
    claim = core.ledger.claims.get(InstanceId(task.server or ""))
    owner = claim.owner if claim else "nobody"
    sentence = f"{task.id} runs its attempt {task.attempt} on {task.server}, owned by {owner}."
    return Explanation(sentence, facts)


def _task_facts(core: Core, task: Task) -> Row:
    spec = core.ledger.spec(task)
    size = size_for(core, task)
    claim = core.ledger.claims.get(task.server) if task.server else None
    backends = [one for one in core.members.listed.values() if one.role is Role.BACKEND]
    return {
        "task": task.id,
        "state": task.state.value,
        "attempt": task.attempt,
        "evictions": task.evictions,
        "failures": task.failures,
        "servers_crashed": [one.server for one in task.crashes],
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

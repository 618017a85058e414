"""Decide what an owner does with one of its backend servers.

The log binds a task to a server; the server itself holds the truth about what runs. Each
report of a server is compared with the log and every difference is settled: a missing task
is started, an ended one recorded, a foreign one stopped.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, TypedDict

from spoolcrank.epochs import claim_of
from spoolcrank.ids import NO_EPOCH, Epoch, Incarnation, InstanceId, TaskId
from spoolcrank.jobs import JobClass, TaskState
from spoolcrank.ledger import Ledger, Task
from spoolcrank.policy import Policy
from spoolcrank.records import AnyRecord, Ended, Placed
from spoolcrank.resources import NOTHING, Resources, total
from spoolcrank.slot_use import SlotUse
from spoolcrank.worker import (
    Adopt,
    AttemptRef,
    Command,
    EndedTask,
    Evict,
    Refused,
    Renew,
    Report,
    Start,
    Stop,
    Throttle,
)

_APPEND_AGAIN_S = 5.0
_ON_ITS_WAY = 0.75
_LOST_REASON = "its server did not answer for longer than the lease"


class Phase(Enum):
    """How far an owner knows a server."""

    ADOPTING = "adopting"
    READY = "ready"
    SILENT = "silent"


class Append(NamedTuple):
    """Have a record appended to the control stream."""

    record: AnyRecord


class Send(NamedTuple):
    """Have a command sent to a server."""

    server: InstanceId
    command: Command


Action = Append | Send


@dataclass
class OwnedServer:
    """A backend server that this instance owns.

    Times are of the owner's monotonic clock, in seconds.
    """

    server: InstanceId
    me: Incarnation
    epoch: Epoch
    claimed_at: float
    phase: Phase = Phase.ADOPTING
    report: Report | None = None
    report_sent_at: float = float("-inf")
    adopted_at: float = float("inf")
    contacted_at: float | None = None
    last_renew_at: float = float("-inf")
    next_at: float = float("-inf")
    seq: int = 0
    waiting: int = 0
    slots_from: float = 0.0
    slots_held: int = 0
    runner_use: SlotUse | None = None
    starts: dict[TaskId, float] = field(default_factory=dict)
    ends: dict[AttemptRef, float] = field(default_factory=dict)
    placing: dict[TaskId, Placed] = field(default_factory=dict)
    suspended: set[TaskId] = field(default_factory=set)

    @property
    def incarnation(self) -> Incarnation:
        """Return the worker's incarnation as last reported."""
        return self.report.incarnation if self.report else Incarnation("")

    def expiry(self, policy: Policy, now: float) -> float:
        """Return the worker's clock at which a command decided now must lapse unobeyed.

        The worker's clock was read before its report arrived, so this is never too late.
        """
        if self.report is None or self.contacted_at is None:
            return 0.0
        return self.report.clock + (now - self.contacted_at) + policy.leases.margin_s * _ON_ITS_WAY

    def next_seq(self) -> int:
        """Return the number of the next command."""
        self.seq += 1
        return self.seq


class Situation(NamedTuple):
    """What the owner may rely on at this moment.

    Attributes:
        log_ok: the log answers.
        read_at: the last time at which the log had been read to its end.
    """

    log_ok: bool
    read_at: float


def allocated(owned: OwnedServer, ledger: Ledger) -> Resources:
    """Return the sum of all that runs, is bound, or is about to be bound to a server."""
    sizes: dict[TaskId, Resources] = {}
    for task in ledger.placed_at(owned.server):
        sizes[task.id] = task.size.resources
    for record in owned.placing.values():
        sizes[record.task] = record.size.resources
    if owned.report is not None:
        for running in owned.report.running:
            sizes[running.task] = running.size.resources
    return total(sizes.values()) if sizes else NOTHING


class FenceFields(TypedDict):
    """The fields that every command but `Adopt` begins with."""

    owner: Incarnation
    epoch: Epoch
    seq: int
    incarnation: Incarnation
    expires: float


def fence(owned: OwnedServer, policy: Policy, now: float) -> FenceFields:
    """Return what tells a worker who commands, and until when the command holds."""
    return FenceFields(
        owner=owned.me,
        epoch=owned.epoch,
        seq=owned.next_seq(),
        incarnation=owned.incarnation,
        expires=owned.expiry(policy, now),
    )


def adopt(owned: OwnedServer) -> Send:
    """Ask a server to obey us and to list everything."""
    return Send(owned.server, Adopt(owner=owned.me, epoch=owned.epoch, seq=owned.next_seq()))


def poll(owned: OwnedServer, ledger: Ledger, policy: Policy, now: float) -> list[Action]:
    """Adopt, renew or probe a server when its time has come."""
    if now < owned.next_at or owned.waiting:
        return []
    owned.next_at = now + policy.leases.renew_s
    if owned.phase is not Phase.READY or owned.report is None:
        return [adopt(owned)]
    refs = [AttemptRef(task=run.task, attempt=run.attempt) for run in owned.report.running]
    known = {ref.task for ref in refs}
    for task in ledger.placed_at(owned.server):
        if task.id not in known:
            refs.append(AttemptRef(task=task.id, attempt=task.attempt))
    acks = [
        AttemptRef(task=ended.task, attempt=ended.attempt)
        for ended in owned.report.ended
        if is_settled(ledger, ended, owned)
    ]
    owned.last_renew_at = now
    command = Renew(
        **fence(owned, policy, now),
        tasks=refs,
        acks=acks,
        lease_s=policy.leases.lease_s,
    )
    return [Send(owned.server, command)]


def is_settled(ledger: Ledger, ended: EndedTask, owned: OwnedServer) -> bool:
    """Tell whether the log already says how an ended attempt ended."""
    task = ledger.tasks.get(ended.task)
    if task is None:
        return False
    if task.attempt != ended.attempt:
        return task.attempt > ended.attempt
    return task.state is not TaskState.RUNNING


def on_report(
    owned: OwnedServer,
    report: Report,
    sent_at: float,
    ledger: Ledger,
    situation: Situation,
    policy: Policy,
    now: float,
) -> list[Action]:
    """Take a server's report and settle every difference with the log."""
    restarted = owned.report is not None and report.incarnation != owned.incarnation
    if owned.phase is not Phase.READY or restarted:
        owned.adopted_at = now
    owned.phase = Phase.READY
    owned.report = report
    owned.report_sent_at = sent_at
    owned.contacted_at = now
    return reconcile(owned, ledger, situation, policy, now)


def on_refused(owned: OwnedServer, refused: Refused) -> bool:
    """Take a server's no; returns True when the server obeys somebody else now."""
    if refused.epoch > owned.epoch:
        return True
    if refused.epoch == owned.epoch and refused.owner != owned.me:
        return True
    if refused.incarnation != owned.incarnation:
        owned.phase = Phase.ADOPTING
        owned.adopted_at = float("inf")
        owned.next_at = float("-inf")
    return False


def on_silence(owned: OwnedServer, policy: Policy, now: float) -> None:
    """Take note that a command got no answer."""
    since = owned.contacted_at if owned.contacted_at is not None else owned.claimed_at
    if now - since > 2 * policy.leases.renew_s:
        owned.phase = Phase.SILENT
        owned.adopted_at = float("inf")


def reconcile(
    owned: OwnedServer, ledger: Ledger, situation: Situation, policy: Policy, now: float
) -> list[Action]:
    """Return what brings server and log together, by the last report."""
    report = owned.report
    if owned.phase is not Phase.READY or report is None:
        return []
    actions: list[Action] = []
    running = {run.task: run for run in report.running}
    ended = {end.task: end for end in report.ended}
    for end in report.ended:
        actions += _record_end(owned, ledger, end, situation, policy, now)
    fresh = situation.read_at > max(owned.adopted_at, owned.report_sent_at)
    for run in report.running:
        task = ledger.tasks.get(run.task)
        if _belongs(task, owned, run.attempt):
            if task is not None and ledger.jobs[task.job].cancelled_by is not None:
                actions.append(_stop(owned, run.task, run.attempt, policy, now))
        elif fresh:
            actions.append(_stop(owned, run.task, run.attempt, policy, now))
    for task in ledger.placed_at(owned.server):
        if task.id not in running and not _has_ended(ended, task):
            actions += _missing(owned, ledger, task, situation, policy, now)
    return actions


def _belongs(task: Task | None, owned: OwnedServer, attempt: int) -> bool:
    if task is None or task.state is not TaskState.RUNNING:
        return False
    return task.server == owned.server and task.attempt == attempt


def _has_ended(ended: dict[TaskId, EndedTask], task: Task) -> bool:
    end = ended.get(task.id)
    return end is not None and end.attempt == task.attempt


def _stop(owned: OwnedServer, task: TaskId, attempt: int, policy: Policy, now: float) -> Send:
    command = Stop(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
    )
    return Send(owned.server, command)


def _record_end(
    owned: OwnedServer,
    ledger: Ledger,
    end: EndedTask,
    situation: Situation,
    policy: Policy,
    now: float,
) -> list[Action]:
    task = ledger.tasks.get(end.task)
    if not _belongs(task, owned, end.attempt):
        return []
    if not situation.log_ok:
        return []
    return append_end(owned, end, now)


def append_end(owned: OwnedServer, end: EndedTask, now: float) -> list[Action]:
    """Have the end of an attempt recorded, once in a while until the log shows it."""
    ref = AttemptRef(task=end.task, attempt=end.attempt)
    appended = owned.ends.get(ref)
    if appended is not None and now - appended < _APPEND_AGAIN_S:
        return []
    owned.ends[ref] = now
    record = Ended(
        task=end.task,
        attempt=end.attempt,
        server=owned.server,
        epoch=owned.epoch,
        how=end.how,
        checkpoint=end.checkpoint,
        reason=end.reason,
    )
    return [Append(record)]


def _missing(
    owned: OwnedServer,
    ledger: Ledger,
    task: Task,
    situation: Situation,
    policy: Policy,
    now: float,
) -> list[Action]:
    if situation.read_at <= owned.adopted_at or task.epoch == NO_EPOCH:
        return []
    if task.server_incarnation != owned.incarnation:
        reason = f"{owned.server} started anew"
        lost = EndedTask(task=task.id, attempt=task.attempt, how="lost", reason=reason)
        return append_end(owned, lost, now) if situation.log_ok else []
    if owned.starts.get(task.id, float("-inf")) >= owned.report_sent_at:
        return []
    if ledger.jobs[task.job].cancelled_by is not None:
        never = EndedTask(task=task.id, attempt=task.attempt, how="stopped", reason="not started")
        return append_end(owned, never, now) if situation.log_ok else []
    return [start(owned, ledger, task, policy, now)]


def start(owned: OwnedServer, ledger: Ledger, task: Task, policy: Policy, now: float) -> Send:
    """Start the attempt that the log binds to a server."""
    spec = ledger.spec(task)
    owned.starts[task.id] = now
    command = Start(
        **fence(owned, policy, now),
        task=task.id,
        attempt=task.attempt,
        size=task.size,
        job_class=spec.job_class,
        task_class=spec.task_class,
        lease_s=policy.leases.lease_s,
        payload=spec.payload,
        checkpoint=task.checkpoint,
    )
    return Send(owned.server, command)


def on_placed(
    owned: OwnedServer, ledger: Ledger, record: Placed, policy: Policy, now: float
) -> list[Action]:
    """Start a task as soon as the log has bound it to one of our servers."""
    task = ledger.tasks[record.task]
    if owned.phase is not Phase.READY or owned.epoch != record.epoch:
        return []
    if task.server_incarnation != owned.incarnation:
        return []
    return [start(owned, ledger, task, policy, now)]


def resume_here(
    owned: OwnedServer, ledger: Ledger, situation: Situation, policy: Policy, now: float
) -> list[Action]:
    """While the log is down, resume evicted tasks on the server that the log binds them to.

    Only an owner by the log may, and only where the eviction was never sent to the log;
    otherwise the record could still free the task for another server.
    """
    if situation.log_ok or owned.phase is not Phase.READY or owned.report is None:
        return []
    if claim_of(owned.epoch) != owned.epoch:
        return []
    actions: list[Action] = []
    for end in owned.report.ended:
        ref = AttemptRef(task=end.task, attempt=end.attempt)
        task = ledger.tasks.get(end.task)
        if end.how != "evicted" or ref in owned.ends or task is None:
            continue
        if not _belongs(task, owned, end.attempt):
            continue
        if owned.starts.get(end.task, float("-inf")) >= owned.report_sent_at:
            continue
        task.checkpoint = end.checkpoint
        actions.append(start(owned, ledger, task, policy, now))
    return actions


def give_up(owned: OwnedServer, ledger: Ledger, now: float) -> list[Action]:
    """Record that everything bound to an unreachable server is lost."""
    actions: list[Action] = []
    for task in ledger.placed_at(owned.server):
        lost = EndedTask(task=task.id, attempt=task.attempt, how="lost", reason=_LOST_REASON)
        actions += append_end(owned, lost, now)
    return actions


def evict(owned: OwnedServer, task: TaskId, attempt: int, policy: Policy, now: float) -> Send:
    """Checkpoint and stop an attempt."""
    command = Evict(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
    )
    return Send(owned.server, command)


def throttle(
    owned: OwnedServer, task: TaskId, attempt: int, share: float, policy: Policy, now: float
) -> Send:
    """Let an attempt run at a share of its speed."""
    command = Throttle(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
        share=share,
    )
    return Send(owned.server, command)


def batch_tasks(owned: OwnedServer) -> Iterable[tuple[TaskId, int]]:
    """Return the batch attempts that the last report showed running."""
    if owned.report is None:
        return []
    return [
        (run.task, run.attempt) for run in owned.report.running if run.job_class is JobClass.BATCH
    ]

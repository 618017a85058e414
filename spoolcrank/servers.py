"""Decide which commands and records an owner issues for one of its backend servers.

The log binds a task to a server; the server itself is authoritative about what runs. Each
report of a server is compared with the log and every difference is resolved: a missing task
is started, the end of a task is recorded, and a task that is not bound there is stopped.
"""

from collections.abc import Iterable

from spoolcrank.epochs import claim_of
from spoolcrank.ids import NO_EPOCH, TaskId
from spoolcrank.jobs import JobClass, TaskState
from spoolcrank.ledger import Ledger, Task
from spoolcrank.lost_tasks import MIN_AGE_GAP_S, UNKNOWN_LIFETIME_S, Crash
from spoolcrank.owned_server import Action, Append, LogStatus, OwnedServer, Phase, Send
from spoolcrank.policy import Policy
from spoolcrank.records import Ended, Placed
from spoolcrank.resources import NO_RESOURCES, Resources, total
from spoolcrank.server_commands import adopt, fence, start, stop
from spoolcrank.worker import AttemptRef, EndedTask, Refused, Renew, Report

_APPEND_RETRY_S = 5.0
_LOST_REASON = "its server did not answer for longer than the lease"


def allocated(owned: OwnedServer, ledger: Ledger) -> Resources:
    """Return the total size of the tasks running on, bound to, or being placed on a server."""
    sizes: dict[TaskId, Resources] = {}
    for task in ledger.tasks_on(owned.server):
        sizes[task.id] = task.size.resources
    for record in owned.placing.values():
        sizes[record.task] = record.size.resources
    if owned.report is not None:
        for running in owned.report.running:
            sizes[running.task] = running.size.resources
    return total(sizes.values()) if sizes else NO_RESOURCES


def poll(owned: OwnedServer, ledger: Ledger, policy: Policy, now: float) -> list[Action]:
    """Return the adopt or renew command for a server when it is due."""
    if now < owned.next_poll_at or owned.waiting:
        return []
    owned.next_poll_at = now + policy.leases.renew_s
    if owned.phase is not Phase.READY or owned.report is None:
        return [adopt(owned)]
    refs = [AttemptRef(task=run.task, attempt=run.attempt) for run in owned.report.running]
    known = {ref.task for ref in refs}
    for task in ledger.tasks_on(owned.server):
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
    """Return whether the log already shows that an ended attempt has ended."""
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
    log_status: LogStatus,
    policy: Policy,
    now: float,
) -> list[Action]:
    """Handle a server's report and resolve every difference from the log."""
    restarted = owned.report is not None and report.incarnation != owned.incarnation
    if owned.phase is not Phase.READY or restarted:
        owned.adopted_at = now
    if restarted:
        owned.previous_contact_at = owned.contacted_at
    owned.phase = Phase.READY
    owned.report = report
    owned.report_sent_at = sent_at
    owned.contacted_at = now
    return reconcile(owned, ledger, log_status, policy, now)


def on_refused(owned: OwnedServer, refused: Refused) -> bool:
    """Handle a refused command; return True if the server obeys another owner now."""
    if refused.epoch > owned.epoch:
        return True
    if refused.epoch == owned.epoch and refused.owner != owned.me:
        return True
    if refused.incarnation != owned.incarnation:
        owned.phase = Phase.ADOPTING
        owned.adopted_at = float("inf")
        owned.next_poll_at = float("-inf")
    return False


def on_silence(owned: OwnedServer, policy: Policy, now: float) -> None:
    """Record that a command got no answer; mark the server silent after two renewal intervals."""
    since = owned.contacted_at if owned.contacted_at is not None else owned.claimed_at
    if now - since > 2 * policy.leases.renew_s:
        owned.phase = Phase.SILENT
        owned.adopted_at = float("inf")


def reconcile(
    owned: OwnedServer, ledger: Ledger, log_status: LogStatus, policy: Policy, now: float
) -> list[Action]:
    """Return the actions that resolve the differences between the last report and the log."""
    report = owned.report
    if owned.phase is not Phase.READY or report is None:
        return []
    actions: list[Action] = []
    running = {run.task: run for run in report.running}
    ended = {end.task: end for end in report.ended}
    for end in report.ended:
        actions += _record_end(owned, ledger, end, log_status, policy, now)
    log_is_newer = log_status.read_at > max(owned.adopted_at, owned.report_sent_at)
    for run in report.running:
        task = ledger.tasks.get(run.task)
        if _belongs(task, owned, run.attempt):
            if task is not None and ledger.jobs[task.job].cancelled_by is not None:
                actions.append(stop(owned, run.task, run.attempt, policy, now))
        elif log_is_newer:
            actions.append(stop(owned, run.task, run.attempt, policy, now))
    for task in ledger.tasks_on(owned.server):
        if task.id not in running and not _has_ended(ended, task):
            actions += _handle_missing(owned, ledger, task, log_status, policy, now)
    return actions


def _belongs(task: Task | None, owned: OwnedServer, attempt: int) -> bool:
    if task is None or task.state is not TaskState.RUNNING:
        return False
    return task.server == owned.server and task.attempt == attempt


def _has_ended(ended: dict[TaskId, EndedTask], task: Task) -> bool:
    end = ended.get(task.id)
    return end is not None and end.attempt == task.attempt


def _record_end(
    owned: OwnedServer,
    ledger: Ledger,
    end: EndedTask,
    log_status: LogStatus,
    policy: Policy,
    now: float,
) -> list[Action]:
    task = ledger.tasks.get(end.task)
    if not _belongs(task, owned, end.attempt):
        return []
    if not log_status.log_ok:
        return []
    return append_end(owned, end, now)


def _record_lost(
    owned: OwnedServer, ledger: Ledger, task: Task, policy: Policy, now: float
) -> list[Action]:
    """Record an attempt lost when its server restarted: how long it lived, whether it was alone."""
    reason = f"{owned.server} restarted"
    lost = EndedTask(task=task.id, attempt=task.attempt, how="lost", reason=reason)
    started = owned.starts.get(task.id)
    # An owner that placed the task but never sent the start command has no evidence about it.
    never_sent = started is None and task.epoch == owned.epoch
    if never_sent or owned.server in ledger.drains:
        return append_end(owned, lost, now)
    others = [other for other in ledger.tasks_on(owned.server) if other.id != task.id]
    alone = all(task.since - other.since >= MIN_AGE_GAP_S and not other.crashes for other in others)
    lived_s = UNKNOWN_LIFETIME_S
    if started is not None and owned.previous_contact_at is not None:
        lived_s = max(0.0, owned.previous_contact_at + policy.leases.renew_s - started)
    crash = Crash(server=owned.server, lived_s=lived_s, alone=alone)
    return append_end(owned, lost, now, crash)


def append_end(
    owned: OwnedServer, end: EndedTask, now: float, crash: Crash | None = None
) -> list[Action]:
    """Return the record of an attempt's end; repeat it at intervals until the log shows it."""
    ref = AttemptRef(task=end.task, attempt=end.attempt)
    appended_at = owned.ends.get(ref)
    if appended_at is not None and now - appended_at < _APPEND_RETRY_S:
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
        crash=crash,
    )
    return [Append(record)]


def _handle_missing(
    owned: OwnedServer,
    ledger: Ledger,
    task: Task,
    log_status: LogStatus,
    policy: Policy,
    now: float,
) -> list[Action]:
    if log_status.read_at <= owned.adopted_at or task.epoch == NO_EPOCH:
        return []
    if task.server_incarnation != owned.incarnation:
        return _record_lost(owned, ledger, task, policy, now) if log_status.log_ok else []
    if owned.starts.get(task.id, float("-inf")) >= owned.report_sent_at:
        return []
    if ledger.jobs[task.job].cancelled_by is not None:
        unstarted = EndedTask(
            task=task.id, attempt=task.attempt, how="stopped", reason="not started"
        )
        return append_end(owned, unstarted, now) if log_status.log_ok else []
    return [start(owned, ledger, task, policy, now)]


def on_placed(
    owned: OwnedServer, ledger: Ledger, record: Placed, policy: Policy, now: float
) -> list[Action]:
    """Return the command that starts a task which the log has just bound to one of our servers."""
    task = ledger.tasks[record.task]
    if owned.phase is not Phase.READY or owned.epoch != record.epoch:
        return []
    if task.server_incarnation != owned.incarnation:
        return []
    return [start(owned, ledger, task, policy, now)]


def resume_here(
    owned: OwnedServer, ledger: Ledger, log_status: LogStatus, policy: Policy, now: float
) -> list[Action]:
    """Resume evicted tasks on the server that the log binds them to while the log is down.

    Only an owner with a claim on the log may do so, and only if the eviction was never sent to
    the log; otherwise that record could still release the task for another server.
    """
    if log_status.log_ok or owned.phase is not Phase.READY or owned.report is None:
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


def record_all_lost(owned: OwnedServer, ledger: Ledger, now: float) -> list[Action]:
    """Return the records that declare all tasks bound to an unreachable server lost."""
    actions: list[Action] = []
    for task in ledger.tasks_on(owned.server):
        lost = EndedTask(task=task.id, attempt=task.attempt, how="lost", reason=_LOST_REASON)
        actions += append_end(owned, lost, now)
    return actions


def batch_tasks(owned: OwnedServer) -> Iterable[tuple[TaskId, int]]:
    """Return the task and attempt number of each batch task running in the last report."""
    if owned.report is None:
        return []
    return [
        (run.task, run.attempt) for run in owned.report.running if run.job_class is JobClass.BATCH
    ]

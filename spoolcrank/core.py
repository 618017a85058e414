"""Combine the decisions of one entry instance: ownership, adoption, placement, recovery.

The core holds state and does no I/O: it receives records, reports, heartbeats and the time, and
returns actions. The daemon, the replay and the state-machine tests run the same code.
"""

from functools import partial

from spoolcrank import (
    assignment,
    interference,
    membership,
    mitigation,
    ownership,
    ownership_transfer,
    servers,
)
from spoolcrank.ids import InstanceId, TaskId
from spoolcrank.jobs import TaskState
from spoolcrank.ledger import Ledger
from spoolcrank.ledger_records import apply
from spoolcrank.membership import Heartbeat
from spoolcrank.owned_server import Action, OwnedServer, Phase
from spoolcrank.policy import Policy
from spoolcrank.records import AnyRecord, Claimed, Ended, Entry, JobRefused, Placed
from spoolcrank.resources import Resources
from spoolcrank.server_commands import evict, throttle
from spoolcrank.slot_use import assume_all_busy, record_busy
from spoolcrank.state import Core, CoreAction, LogEvent, Relinquished, can_act
from spoolcrank.worker import Refused, Report

# A longer time between two ticks means that the process was paused.
_MAX_TICK_GAP_S = 1.0
_MAX_DRAIN_EVICTIONS_PER_REPORT = 4


def on_heartbeat(core: Core, heartbeat: Heartbeat, now: float) -> bool:
    """Handle a peer's heartbeat; return False for an outdated or repeated one."""
    for status in heartbeat.servers:
        core.owned_elsewhere_at[status.server] = now
    return membership.on_heartbeat(core.members, heartbeat, now)


def on_log_read(core: Core, asked_at: float) -> None:
    """Record that a request sent at `asked_at` read the log to its end."""
    core.log_ok_at = max(core.log_ok_at, asked_at)


def on_config_read(core: Core, asked_at: float) -> None:
    """Record that a request sent at `asked_at` read the stream of configurations to its end."""
    core.config_read_at = max(core.config_read_at, asked_at)


def on_log_failed(core: Core, now: float) -> None:
    """Record that the log did not answer."""
    core.log_failed_at = now


def on_entry(core: Core, entry: Entry, now: float) -> list[CoreAction]:
    """Apply one record of the log and return the actions that follow from it."""
    record = entry.envelope.record
    replaced = core.ledger.claims.get(record.server) if isinstance(record, Claimed) else None
    took_effect = apply(core.ledger, entry.offset, entry.envelope)
    if isinstance(record, Placed):
        return _on_placed(core, record, took_effect, now)
    if isinstance(record, Ended) and took_effect:
        core.interference_model.on_end(record.server, record.how)
    if isinstance(record, Claimed) and took_effect:
        return ownership_transfer.on_claimed(core, record, replaced, now)
    return []


def _on_placed(core: Core, record: Placed, took_effect: bool, now: float) -> list[CoreAction]:
    core.first_seen.pop(record.task, None)
    owned = core.owned.get(record.server)
    if owned is None:
        return []
    if owned.placing.get(record.task) == record:
        del owned.placing[record.task]
    if not took_effect or not can_act(core, now):
        return []
    return list(servers.on_placed(owned, core.ledger, record, core.policy, now))


def on_not_appended(core: Core, record: AnyRecord) -> None:
    """Drop a decision that will never reach the log because the append queue was full.

    A placement that is not dropped would hold its capacity, and keep its task from being placed,
    permanently; a job's refusal is decided only once. All other records are decided again on a
    later tick.
    """
    if isinstance(record, JobRefused):
        core.refusals_sent.pop(record.job, None)
    if isinstance(record, Placed):
        owned = core.owned.get(record.server)
        if owned is not None and owned.placing.get(record.task) == record:
            del owned.placing[record.task]


def on_report(
    core: Core, server: InstanceId, report: Report, sent_at: float, now: float
) -> list[CoreAction]:
    """Handle a server's report; ignore it if its epoch is not ours or if we may not act."""
    owned = core.owned.get(server)
    if owned is None or report.epoch != owned.epoch or not can_act(core, now):
        return []
    core.interference_model.on_usage(report.usage, partial(_allocated, core))
    log_status = core.log_status(now)
    return list(
        servers.on_report(owned, report, sent_at, core.ledger, log_status, core.policy, now)
    )


def _allocated(core: Core, task: TaskId) -> Resources | None:
    known_task = core.ledger.tasks.get(task)
    return known_task.size.resources if known_task is not None else None


def on_refused(core: Core, server: InstanceId, refused: Refused, now: float) -> list[CoreAction]:
    """Handle a refused command; give up ownership if the server obeys another owner."""
    owned = core.owned.get(server)
    if owned is None or not servers.on_refused(owned, refused):
        return []
    del core.owned[server]
    core.relinquished[server] = Relinquished(refused.epoch, now)
    return [LogEvent("ownership.superseded", {"server": server, "by": refused.owner})]


def on_silence(core: Core, server: InstanceId, now: float) -> None:
    """Record that a server did not answer a command."""
    owned = core.owned.get(server)
    if owned is not None:
        servers.on_silence(owned, core.policy, now)


def tick(core: Core, now: float, wall: float) -> list[CoreAction]:
    """Run all periodic decisions that are due and return their actions.

    Args:
        core: The state, which is changed in place.
        now: The monotonic clock, in seconds.
        wall: The time of day in Unix seconds, as writers put it into records.
    """
    actions = _update_acting(core, now)
    _update_runner_use(core, now)
    if not can_act(core, now):
        return actions
    if not core.stopping:
        actions += ownership_transfer.take_vacant(core, now)
        actions += ownership_transfer.confirm_claims(core, now)
        actions += ownership_transfer.rebalance(core, now)
        actions += ownership_transfer.hand_over_without_log(core, now)
    for owned in list(core.owned.values()):
        actions += servers.poll(owned, core.ledger, core.policy, now)
        actions += _recover(core, owned, now)
    if core.log_status(now).log_ok and not core.stopping:
        actions += assignment.refuse_impossible(core, now, wall)
        actions += assignment.place(core, now, wall)
    return actions


def _update_runner_use(core: Core, now: float) -> None:
    """Record how many requests each of our runners is serving."""
    for owned in core.owned.values():
        instance = core.members.listed.get(owned.server)
        if instance is None or not instance.service:
            continue
        use = owned.runner_use or assume_all_busy(instance.slots, now)
        owned.runner_use = record_busy(use, core.busy_slots(owned.server), now)


def _update_acting(core: Core, now: float) -> list[CoreAction]:
    paused = now - core.ticked_at > _MAX_TICK_GAP_S
    core.ticked_at = now
    witnessed = membership.may_act(core.members, core.log_ok_at, core.policy, now)
    if not paused and witnessed and membership.settled(core.members, core.policy, now):
        if not core.acting:
            core.acting = True
            _readopt_all(core, now)
            return [LogEvent("acting.begun", {})]
        return []
    was_acting = core.acting
    core.acting = False
    return [LogEvent("acting.ended", {"paused": str(paused)})] if was_acting else []


def _readopt_all(core: Core, now: float) -> None:
    """Adopt all our servers again: others may have commanded them while we did not act."""
    for owned in core.owned.values():
        owned.contacted_at = None
        owned.claimed_at = now
        owned.phase = Phase.ADOPTING
        owned.adopted_at = float("inf")
        owned.next_poll_at = float("-inf")


def _recover(core: Core, owned: OwnedServer, now: float) -> list[CoreAction]:
    log_status = core.log_status(now)
    actions: list[CoreAction] = []
    if owned.phase is Phase.READY:
        if ownership.drained(core.members, core.ledger, owned.server):
            actions += _evict_for_drain(owned, core.policy, now)
        else:
            if core.interference_model.level(owned.server) is interference.Level.OPEN:
                actions += servers.resume_here(owned, core.ledger, log_status, core.policy, now)
            actions += _apply_mitigation(core, owned, now)
        return actions
    if not log_status.log_ok:
        return []
    contacted = owned.contacted_at is not None
    elsewhere_at = core.owned_elsewhere_at.get(owned.server, float("-inf"))
    last_renewed_at = max(owned.last_renew_at, owned.claimed_at, elsewhere_at)
    if ownership.may_declare_lost(core.members, contacted, last_renewed_at, core.policy, now):
        actions += servers.record_all_lost(owned, core.ledger, now)
    return actions


def _apply_mitigation(core: Core, owned: OwnedServer, now: float) -> list[CoreAction]:
    """Return the commands for the next interference mitigation step of one server."""
    instance = core.members.listed.get(owned.server)
    if instance is None or owned.report is None or owned.waiting or not instance.service:
        return []
    actions: list[CoreAction] = []
    steps = mitigation.step(
        core.interference_model,
        owned.server,
        instance.service,
        instance.kind,
        owned.report,
        core.service_rate(instance.service),
        core.policy,
        now,
    )
    for mitigation_step in steps:
        match mitigation_step:
            case interference.ThrottleTask(task, attempt, share):
                actions.append(throttle(owned, task, attempt, share, core.policy, now))
                name = "interference.throttled" if share < 1 else "interference.released"
                actions.append(LogEvent(name, {"task": task, "share": f"{share:.2f}"}))
            case interference.EvictTask(task, attempt):
                actions.append(evict(owned, task, attempt, core.policy, now))
                actions.append(LogEvent("interference.evicted", {"task": task}))
    return actions


def _evict_for_drain(owned: OwnedServer, policy: Policy, now: float) -> list[Action]:
    """Evict the tasks of a server that is being drained, a few at a time."""
    if owned.waiting or owned.report is None:
        return []
    to_evict = [run for run in owned.report.running if run.task not in owned.evicted_for_drain]
    actions: list[Action] = []
    for run in to_evict[:_MAX_DRAIN_EVICTIONS_PER_REPORT]:
        owned.evicted_for_drain.add(run.task)
        actions.append(evict(owned, run.task, run.attempt, policy, now))
    return actions


def replace_ledger(core: Core, ledger: Ledger, now: float) -> list[CoreAction]:
    """Replace our ledger by that of a peer or a snapshot, which must be ahead of ours.

    The records in between are never read one by one, so this function also makes the changes
    that they would have made outside the ledger. Otherwise a claim of our own among them would
    leave a server that is ours by the log but that no instance commands, and a placement among
    them would hold its capacity permanently.
    """
    core.ledger = ledger
    for owned in core.owned.values():
        owned.placing = {
            task: record for task, record in owned.placing.items() if _is_open(ledger, record)
        }
    for server, owned in list(core.owned.items()):
        if ledger.epoch(server) > owned.epoch and not _is_mine(core, server):
            del core.owned[server]
    return ownership_transfer.own_claimed(core, now)


def _is_open(ledger: Ledger, record: Placed) -> bool:
    """Return whether a placement of ours is not yet in the ledger and may still take effect."""
    task = ledger.tasks.get(record.task)
    if task is None or task.state is not TaskState.PENDING:
        return False
    return record.attempt == task.attempt + 1


def _is_mine(core: Core, server: InstanceId) -> bool:
    return core.ledger.claims[server].incarnation == core.members.incarnation

"""Compose the decisions of one entry instance: owning, adopting, placing, recovering.

The core holds state and does no I/O: it takes records, reports, heartbeats and time, and
returns actions. The same code runs in the daemon, in replay and in the state machines.
"""

from functools import partial

from spoolcrank import (
    assignment,
    interference,
    ladder,
    membership,
    ownership,
    servers,
    tenure,
)
from spoolcrank.ids import InstanceId, TaskId
from spoolcrank.jobs import TaskState
from spoolcrank.ledger import Ledger
from spoolcrank.ledger_records import apply
from spoolcrank.membership import Heartbeat
from spoolcrank.owned_server import Action, OwnedServer, Phase
from spoolcrank.policy import Policy
from spoolcrank.records import AnyRecord, Claimed, Ended, Entry, Placed
from spoolcrank.resources import Resources
from spoolcrank.server_commands import evict, throttle
from spoolcrank.slot_use import all_busy, seen
from spoolcrank.state import Core, CoreAction, Note, Yielded, can_act
from spoolcrank.worker import Refused, Report

_PAUSE_S = 1.0
_DRAIN_EVICTIONS = 4


def on_heartbeat(core: Core, beat: Heartbeat, now: float) -> bool:
    """Take a peer's heartbeat."""
    for status in beat.servers:
        core.held_elsewhere[status.server] = now
    return membership.on_heartbeat(core.members, beat, now)


def on_log_read(core: Core, asked_at: float) -> None:
    """Learn that the log had been read to its end by a request sent at `asked_at`."""
    core.log_ok_at = max(core.log_ok_at, asked_at)


def on_log_failed(core: Core, now: float) -> None:
    """Learn that the log did not answer."""
    core.log_failed_at = now


def on_entry(core: Core, entry: Entry, now: float) -> list[CoreAction]:
    """Apply one record of the log and act on it."""
    record = entry.envelope.record
    before = core.ledger.claims.get(record.server) if isinstance(record, Claimed) else None
    took_effect = apply(core.ledger, entry.offset, entry.envelope)
    if isinstance(record, Placed):
        return _on_placed(core, record, took_effect, now)
    if isinstance(record, Ended) and took_effect:
        core.learnt.on_end(record.server, record.how)
    if isinstance(record, Claimed) and took_effect:
        return tenure.on_claimed(core, record, before, now)
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
    """Learn that a record will never be on the log, as too much waited for it.

    What else is appended is decided again by itself; a placement would keep its room, and its
    task, for good.
    """
    if isinstance(record, Placed):
        owned = core.owned.get(record.server)
        if owned is not None and owned.placing.get(record.task) == record:
            del owned.placing[record.task]


def on_report(
    core: Core, server: InstanceId, report: Report, sent_at: float, now: float
) -> list[CoreAction]:
    """Take a server's report."""
    owned = core.owned.get(server)
    if owned is None or report.epoch != owned.epoch or not can_act(core, now):
        return []
    core.learnt.on_usage(report.usage, partial(_allocated, core))
    situation = core.situation(now)
    return list(servers.on_report(owned, report, sent_at, core.ledger, situation, core.policy, now))


def _allocated(core: Core, task: TaskId) -> Resources | None:
    held = core.ledger.tasks.get(task)
    return held.size.resources if held is not None else None


def on_refused(core: Core, server: InstanceId, refused: Refused, now: float) -> list[CoreAction]:
    """Take a server's no."""
    owned = core.owned.get(server)
    if owned is None or not servers.on_refused(owned, refused):
        return []
    del core.owned[server]
    core.yielded[server] = Yielded(refused.epoch, now)
    return [Note("ownership.superseded", {"server": server, "by": refused.owner})]


def on_silence(core: Core, server: InstanceId, now: float) -> None:
    """Learn that a server did not answer a command."""
    owned = core.owned.get(server)
    if owned is not None:
        servers.on_silence(owned, core.policy, now)


def tick(core: Core, now: float, wall: float) -> list[CoreAction]:
    """Do everything whose time has come.

    Args:
        core: changed in place.
        now: the monotonic clock, in seconds.
        wall: the time of day in Unix seconds, as writers put it into records.
    """
    actions = _watch_pause(core, now)
    _watch_runners(core, now)
    if not can_act(core, now):
        return actions
    if not core.stopping:
        actions += tenure.take_vacant(core, now)
        actions += tenure.confirm_claims(core, now)
        actions += tenure.rebalance(core, now)
    for owned in list(core.owned.values()):
        actions += servers.poll(owned, core.ledger, core.policy, now)
        actions += _recover(core, owned, now)
    if core.situation(now).log_ok and not core.stopping:
        actions += assignment.refuse_impossible(core, now, wall)
        actions += assignment.place(core, now, wall)
    return actions


def _watch_runners(core: Core, now: float) -> None:
    """Take note of how many requests are at each runner of ours."""
    for owned in core.owned.values():
        instance = core.members.listed.get(owned.server)
        if instance is None or not instance.service:
            continue
        use = owned.runner_use or all_busy(instance.slots, now)
        owned.runner_use = seen(use, core.busy_slots(owned.server), now)


def _watch_pause(core: Core, now: float) -> list[CoreAction]:
    paused = now - core.ticked_at > _PAUSE_S
    core.ticked_at = now
    witnessed = membership.may_act(core.members, core.log_ok_at, core.policy, now)
    if not paused and witnessed and membership.settled(core.members, core.policy, now):
        if not core.acting:
            core.acting = True
            _adopt_all_again(core, now)
            return [Note("acting.begun", {})]
        return []
    was = core.acting
    core.acting = False
    return [Note("acting.ended", {"paused": str(paused)})] if was else []


def _adopt_all_again(core: Core, now: float) -> None:
    """Forget what we knew of our servers: while we did not act, others may have."""
    for owned in core.owned.values():
        owned.contacted_at = None
        owned.claimed_at = now
        owned.phase = Phase.ADOPTING
        owned.adopted_at = float("inf")
        owned.next_at = float("-inf")


def _recover(core: Core, owned: OwnedServer, now: float) -> list[CoreAction]:
    situation = core.situation(now)
    actions: list[CoreAction] = []
    if owned.phase is Phase.READY:
        if ownership.drained(core.members, core.ledger, owned.server):
            actions += _empty(owned, core.policy, now)
        else:
            if core.learnt.level(owned.server) is interference.Level.OPEN:
                actions += servers.resume_here(owned, core.ledger, situation, core.policy, now)
            actions += _give_way(core, owned, now)
        return actions
    if not situation.log_ok:
        return []
    contacted = owned.contacted_at is not None
    elsewhere = core.held_elsewhere.get(owned.server, float("-inf"))
    since = max(owned.last_renew_at, owned.claimed_at, elsewhere)
    if ownership.may_declare_lost(core.members, contacted, since, core.policy, now):
        actions += servers.give_up(owned, core.ledger, now)
    return actions


def _give_way(core: Core, owned: OwnedServer, now: float) -> list[CoreAction]:
    """Carry out the next step of the interference ladder."""
    instance = core.members.listed.get(owned.server)
    if instance is None or owned.report is None or owned.waiting or not instance.service:
        return []
    actions: list[CoreAction] = []
    steps = ladder.step(
        core.learnt,
        owned.server,
        instance.service,
        instance.kind,
        owned.report,
        core.service_rate(instance.service),
        core.policy,
        now,
    )
    for one in steps:
        match one:
            case interference.ThrottleTask(task, attempt, share):
                actions.append(throttle(owned, task, attempt, share, core.policy, now))
                name = "interference.throttled" if share < 1 else "interference.released"
                actions.append(Note(name, {"task": task, "share": f"{share:.2f}"}))
            case interference.EvictTask(task, attempt):
                actions.append(evict(owned, task, attempt, core.policy, now))
                actions.append(Note("interference.evicted", {"task": task}))
    return actions


def _empty(owned: OwnedServer, policy: Policy, now: float) -> list[Action]:
    """Move work off a server that is leaving, a few tasks at a time."""
    if owned.waiting or owned.report is None:
        return []
    moving = [run for run in owned.report.running if run.task not in owned.suspended]
    actions: list[Action] = []
    for run in moving[:_DRAIN_EVICTIONS]:
        owned.suspended.add(run.task)
        actions.append(evict(owned, run.task, run.attempt, policy, now))
    return actions


def replace_ledger(core: Core, ledger: Ledger, now: float) -> list[CoreAction]:
    """Take a peer's or a snapshot's ledger, which has to be ahead of ours.

    The records in between are never read one by one, so what each would have changed besides the
    ledger is settled here. Left out, a claim of our own leaves a server that is ours by the log
    and that nobody commands, and a placement keeps its room for good.
    """
    core.ledger = ledger
    for owned in core.owned.values():
        owned.placing = {
            task: record for task, record in owned.placing.items() if _is_open(ledger, record)
        }
    for server, owned in list(core.owned.items()):
        if ledger.epoch(server) > owned.epoch and not _is_mine(core, server):
            del core.owned[server]
    return tenure.own_claimed(core, now)


def _is_open(ledger: Ledger, record: Placed) -> bool:
    """Tell whether a placement of ours may still take effect, as it was not read yet."""
    task = ledger.tasks.get(record.task)
    if task is None or task.state is not TaskState.PENDING:
        return False
    return record.attempt == task.attempt + 1


def _is_mine(core: Core, server: InstanceId) -> bool:
    return core.ledger.claims[server].incarnation == core.members.incarnation

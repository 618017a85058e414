"""Decide when to claim, take over, confirm and hand over backend servers."""

from spoolcrank import membership, ownership
from spoolcrank.epochs import claim_of, next_claim, next_interim
from spoolcrank.ids import (
    Epoch,
    InstanceId,
)
from spoolcrank.ledger import Claim
from spoolcrank.owned_server import Append, OwnedServer, Phase
from spoolcrank.records import Claimed
from spoolcrank.state import Core, CoreAction, Handover, Note, Yielded

_CLAIM_AGAIN_S = 3.0
_INTERIM_AFTER_S = 1.0
_RECLAIM_S = 2.0
_HANDOVER_EVERY_S = 0.5
_HANDOVER_SETTLE_S = 2.0
_ALL_SLOTS = 1 << 20


def on_claimed(core: Core, record: Claimed, before: Claim | None, now: float) -> list[CoreAction]:
    """Take note of a claim that took effect; `before` is the claim that it replaces."""
    mine = record.incarnation == core.members.incarnation
    owned = core.owned.get(record.server)
    if not mine:
        if owned is not None and owned.epoch < record.epoch:
            del core.owned[record.server]
        return [Note("claim.seen", {"server": record.server, "owner": record.owner})]
    if core.stopping:
        return []
    _own(core, record.server, record.epoch, now, owned)
    if owned is None and before is None:
        core.owned[record.server].slots_held = 0
    return [Note("claim.won", {"server": record.server, "epoch": str(record.epoch)})]


def own_claimed(core: Core, now: float) -> list[CoreAction]:
    """Own what the log says is ours, where its claim was not read as a record of its own."""
    if core.stopping:
        return []
    actions: list[CoreAction] = []
    for server, claim in core.ledger.claims.items():
        if claim.incarnation != core.members.incarnation:
            continue
        yielded = core.yielded.get(server)
        if yielded is not None and claim.epoch < yielded.epoch:
            # We gave it away after that claim.
            continue
        owned = core.owned.get(server)
        if owned is None or owned.epoch < claim.epoch:
            _own(core, server, claim.epoch, now, owned)
            actions.append(Note("claim.found", {"server": server, "epoch": str(claim.epoch)}))
    return actions


def _own(
    core: Core, server: InstanceId, epoch: Epoch, now: float, before: OwnedServer | None
) -> None:
    fresh = OwnedServer(server, core.members.incarnation, epoch, now)
    fresh.slots_from = now + core.policy.routing.deadline_ms / 1000
    fresh.slots_held = _ALL_SLOTS
    if before is not None:
        fresh.contacted_at = before.contacted_at
        fresh.last_renew_at = before.last_renew_at
        fresh.report = before.report
        fresh.placing = before.placing
        fresh.slots_from = before.slots_from
        fresh.slots_held = before.slots_held
        fresh.runner_use = before.runner_use
    core.owned[server] = fresh
    core.yielded.pop(server, None)


def on_handover(
    core: Core, server: InstanceId, epoch: Epoch, busy: int, now: float
) -> list[CoreAction]:
    """Take a server over from its owner, at once and without waiting for the log."""
    if core.stopping or not core.acting:
        return []
    held = core.owned.get(server)
    if held is not None and held.epoch > epoch:
        return []
    _own(core, server, next_interim(epoch), now, None)
    core.owned[server].slots_held = busy
    return [Note("handover.taken", {"server": server}), *_claim(core, server, now, epoch)]


def _claim(core: Core, server: InstanceId, now: float, above: Epoch) -> list[CoreAction]:
    if not core.situation(now).log_ok:
        return []
    if now - core.claims_sent.get(server, float("-inf")) < _CLAIM_AGAIN_S:
        return []
    core.claims_sent[server] = now
    epoch = next_claim(max(above, core.ledger.epoch(server)))
    record = Claimed(
        server=server,
        owner=core.members.me,
        incarnation=core.members.incarnation,
        epoch=epoch,
    )
    return [Append(record)]


def take_vacant(core: Core, now: float) -> list[CoreAction]:
    """Claim the vacant servers that fall to us, or adopt them while the log is down."""
    actions: list[CoreAction] = []
    situation = core.situation(now)
    for desire in ownership.vacancies(core.members, core.ledger, core.policy, now):
        if situation.log_ok:
            actions += _claim(core, desire.server, now, _highest(core, desire.server))
        elif desire.server not in core.owned and desire.claim is not None:
            if now - core.log_ok_at < _INTERIM_AFTER_S:
                continue
            _take_interim(core, desire.server, now)
            actions.append(Note("interim.taken", {"server": desire.server}))
    return actions


def _take_interim(core: Core, server: InstanceId, now: float) -> None:
    _own(core, server, next_interim(_highest(core, server)), now, None)


def _highest(core: Core, server: InstanceId) -> Epoch:
    """Return the highest epoch of a server that we know of."""
    yielded = core.yielded.get(server)
    logged = core.ledger.epoch(server)
    return max(logged, yielded.epoch) if yielded else logged


def confirm_claims(core: Core, now: float) -> list[CoreAction]:
    """Claim on the log what we hold only by handover or interim, or have been told of."""
    actions: list[CoreAction] = []
    for owned in list(core.owned.values()):
        if claim_of(owned.epoch) != owned.epoch:
            actions += _claim(core, owned.server, now, owned.epoch)
    for server, yielded in list(core.yielded.items()):
        claim = core.ledger.claims.get(server)
        if claim is None or claim.incarnation != core.members.incarnation:
            continue
        if now - yielded.at < _RECLAIM_S or not _silent_here(core, server, now):
            continue
        if core.situation(now).log_ok:
            actions += _claim(core, server, now, yielded.epoch)
        else:
            _take_interim(core, server, now)
    return actions


def _silent_here(core: Core, server: InstanceId, now: float) -> bool:
    """Tell whether no peer that we hear says that it owns a server."""
    for peer in core.members.peers.values():
        if membership.is_alive(core.members, peer.beat.sender, core.policy, now):
            if any(status.server == server for status in peer.beat.servers):
                return False
    return True


def rebalance(core: Core, now: float) -> list[CoreAction]:
    """Hand a server to the peer that the hash prefers, one at a time."""
    if now - core.handed_at < _HANDOVER_EVERY_S or not core.situation(now).log_ok:
        return []
    for owned in core.owned.values():
        settled = now - owned.claimed_at > _HANDOVER_SETTLE_S
        if not settled or owned.phase is not Phase.READY or owned.placing or owned.waiting:
            continue
        heir = ownership.successor(core.members, core.ledger, owned.server, core.policy, now)
        if heir is not None:
            core.handed_at = now
            return hand_over(core, owned.server, heir, now)
    return []


def hand_over(core: Core, server: InstanceId, heir: InstanceId, now: float) -> list[CoreAction]:
    """Give a server to a peer: stop commanding it, then tell the peer."""
    owned = core.owned.pop(server)
    core.yielded[server] = Yielded(next_interim(owned.epoch), now)
    note = Note("handover.given", {"server": server, "to": heir})
    return [Handover(heir, server, owned.epoch, core.busy_slots(server)), note]


def hand_over_all(core: Core, now: float) -> list[CoreAction]:
    """Give every server away, as at a planned stop."""
    core.stopping = True
    core.members.leaving = True
    actions: list[CoreAction] = []
    for owned in list(core.owned.values()):
        heir = ownership.successor(core.members, core.ledger, owned.server, core.policy, now)
        if heir is not None:
            actions += hand_over(core, owned.server, heir, now)
    return actions

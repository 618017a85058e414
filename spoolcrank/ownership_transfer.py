"""Decide when to claim, take over, confirm and hand over backend servers."""

from spoolcrank import membership, ownership
from spoolcrank.epochs import claim_of, next_claim, next_interim
from spoolcrank.ids import Epoch, InstanceId
from spoolcrank.ledger import Claim
from spoolcrank.owned_server import Append, OwnedServer, Phase
from spoolcrank.records import Claimed
from spoolcrank.state import Core, CoreAction, Handover, LogEvent, Relinquished

_CLAIM_RETRY_S = 3.0
# Time without the log before a vacant server is owned in interim.
_INTERIM_DELAY_S = 1.0
# Time after a handover before a server that no live peer owns is claimed again.
_RECLAIM_DELAY_S = 2.0
_HANDOVER_INTERVAL_S = 0.5
# Time for which we own a server before we hand it over to the preferred owner.
_MIN_OWNED_S = 2.0
# Time without the log after which we hand our servers over to peers that read it. Where it fails
# for all, each instance counts it as failed after 4 s, and its peers know that within 2 s more.
_MAX_OWNED_WITHOUT_LOG_S = 6.0
# Inherited slots while the previous owner's requests are not known: more than any runner has.
_ALL_SLOTS_BUSY = 1 << 20


def on_claimed(core: Core, record: Claimed, replaced: Claim | None, now: float) -> list[CoreAction]:
    """Handle a claim that took effect; `replaced` is the claim before it, if any."""
    is_ours = record.incarnation == core.members.incarnation
    owned = core.owned.get(record.server)
    if not is_ours:
        if owned is not None and owned.epoch < record.epoch:
            del core.owned[record.server]
        return [LogEvent("claim.seen", {"server": record.server, "owner": record.owner})]
    if core.stopping:
        return []
    _own(core, record.server, record.epoch, now, owned)
    if owned is None and replaced is None:
        core.owned[record.server].inherited_slots = 0
    return [LogEvent("claim.won", {"server": record.server, "epoch": str(record.epoch)})]


def own_claimed(core: Core, now: float) -> list[CoreAction]:
    """Own the servers that are ours by the ledger but whose claim record we never read."""
    if core.stopping:
        return []
    actions: list[CoreAction] = []
    for server, claim in core.ledger.claims.items():
        if claim.incarnation != core.members.incarnation:
            continue
        relinquished = core.relinquished.get(server)
        if relinquished is not None and claim.epoch < relinquished.epoch:
            # We handed the server over after that claim.
            continue
        owned = core.owned.get(server)
        if owned is None or owned.epoch < claim.epoch:
            _own(core, server, claim.epoch, now, owned)
            actions.append(LogEvent("claim.found", {"server": server, "epoch": str(claim.epoch)}))
    return actions


def _own(
    core: Core, server: InstanceId, epoch: Epoch, now: float, previous: OwnedServer | None
) -> None:
    owned = OwnedServer(server, core.members.incarnation, epoch, now)
    owned.inherited_until = now + core.policy.routing.deadline_ms / 1000
    owned.inherited_slots = _ALL_SLOTS_BUSY
    if previous is not None:
        owned.contacted_at = previous.contacted_at
        owned.last_renew_at = previous.last_renew_at
        owned.report = previous.report
        owned.placing = previous.placing
        owned.inherited_until = previous.inherited_until
        owned.inherited_slots = previous.inherited_slots
        owned.runner_use = previous.runner_use
    core.owned[server] = owned
    core.relinquished.pop(server, None)


def on_handover(
    core: Core, server: InstanceId, epoch: Epoch, busy: int, now: float
) -> list[CoreAction]:
    """Take a server over from its owner immediately, without waiting for the log."""
    if core.stopping or not core.acting:
        return []
    current = core.owned.get(server)
    if current is not None and current.epoch > epoch:
        return []
    _own(core, server, next_interim(epoch), now, None)
    core.owned[server].inherited_slots = busy
    return [LogEvent("handover.taken", {"server": server}), *_claim(core, server, now, epoch)]


def _claim(core: Core, server: InstanceId, now: float, above: Epoch) -> list[CoreAction]:
    if not core.log_status(now).log_ok:
        return []
    if now - core.claims_sent.get(server, float("-inf")) < _CLAIM_RETRY_S:
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
    """Claim the vacant servers that we should own, or own them in interim while the log is down."""
    actions: list[CoreAction] = []
    log_status = core.log_status(now)
    for vacancy in ownership.vacancies(
        core.members, core.ledger, log_status.log_ok, core.policy, now
    ):
        if log_status.log_ok:
            actions += _claim(core, vacancy.server, now, _highest_epoch(core, vacancy.server))
        elif vacancy.server not in core.owned and vacancy.claim is not None:
            if now - core.log_ok_at < _INTERIM_DELAY_S:
                continue
            _take_interim(core, vacancy.server, now)
            actions.append(LogEvent("interim.taken", {"server": vacancy.server}))
    return actions


def _take_interim(core: Core, server: InstanceId, now: float) -> None:
    _own(core, server, next_interim(_highest_epoch(core, server)), now, None)


def _highest_epoch(core: Core, server: InstanceId) -> Epoch:
    """Return the highest known epoch of a server."""
    relinquished = core.relinquished.get(server)
    logged = core.ledger.epoch(server)
    return max(logged, relinquished.epoch) if relinquished else logged


def confirm_claims(core: Core, now: float) -> list[CoreAction]:
    """Claim on the log the servers that we own only by handover or in interim.

    Also claim again each server that we handed over if no live peer reports that it owns it.
    """
    actions: list[CoreAction] = []
    for owned in list(core.owned.values()):
        if claim_of(owned.epoch) != owned.epoch:
            actions += _claim(core, owned.server, now, owned.epoch)
    for server, relinquished in list(core.relinquished.items()):
        claim = core.ledger.claims.get(server)
        if claim is None or claim.incarnation != core.members.incarnation:
            continue
        if now - relinquished.at < _RECLAIM_DELAY_S or not _no_peer_owns(core, server, now):
            continue
        if core.log_status(now).log_ok:
            actions += _claim(core, server, now, relinquished.epoch)
        else:
            _take_interim(core, server, now)
    return actions


def _no_peer_owns(core: Core, server: InstanceId, now: float) -> bool:
    """Return whether no live peer reports that it owns a server."""
    for peer in core.members.peers.values():
        if membership.is_alive(core.members, peer.heartbeat.sender, core.policy, now):
            if any(status.server == server for status in peer.heartbeat.servers):
                return False
    return True


def rebalance(core: Core, now: float) -> list[CoreAction]:
    """Hand one server over to the peer that the hash prefers, if there is such a server."""
    if now - core.last_handover_at < _HANDOVER_INTERVAL_S or not core.log_status(now).log_ok:
        return []
    for owned in core.owned.values():
        if owned.phase is not Phase.READY or owned.placing or owned.waiting:
            continue
        new_owner = _successor(core, owned, now)
        if new_owner is not None:
            core.last_handover_at = now
            return hand_over(core, owned.server, new_owner, now)
    return []


def hand_over_without_log(core: Core, now: float) -> list[CoreAction]:
    """Hand every server over to a peer that reads the log, if we have not read it for long.

    Placements that we appended and did not read back take effect only if they precede the claim of
    the new owner on the log, which has then read them.
    """
    if now - core.log_ok_at < _MAX_OWNED_WITHOUT_LOG_S:
        return []
    actions: list[CoreAction] = []
    for owned in list(core.owned.values()):
        new_owner = _successor(core, owned, now)
        if new_owner is not None and core.members.peers[new_owner].heartbeat.log_ok:
            actions += hand_over(core, owned.server, new_owner, now)
    return actions


def _successor(core: Core, owned: OwnedServer, now: float) -> InstanceId | None:
    """Return the peer that should own one of our servers, once we have owned it for a while."""
    if now - owned.claimed_at <= _MIN_OWNED_S:
        return None
    reads_log = core.log_status(now).log_ok
    return ownership.successor(core.members, core.ledger, owned.server, reads_log, core.policy, now)


def hand_over(
    core: Core, server: InstanceId, new_owner: InstanceId, now: float
) -> list[CoreAction]:
    """Hand a server over to a peer: stop commanding it, then notify the peer."""
    owned = core.owned.pop(server)
    core.relinquished[server] = Relinquished(next_interim(owned.epoch), now)
    log_event = LogEvent("handover.given", {"server": server, "to": new_owner})
    return [Handover(new_owner, server, owned.epoch, core.busy_slots(server)), log_event]


def hand_over_all(core: Core, now: float) -> list[CoreAction]:
    """Hand every server over for a planned stop, where a peer can own it."""
    core.stopping = True
    core.members.leaving = True
    actions: list[CoreAction] = []
    for owned in list(core.owned.values()):
        new_owner = ownership.successor(
            core.members, core.ledger, owned.server, core.log_status(now).log_ok, core.policy, now
        )
        if new_owner is not None:
            actions += hand_over(core, owned.server, new_owner, now)
    return actions

"""Decide which entry instance owns which backend server.

Every backend server has one owner, an entry instance of its own zone. A claim on the log
establishes the owner; for each epoch the first claim in the order of the log wins.
"""

from enum import Enum
from typing import NamedTuple

import xxhash

from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.ledger import Claim, Ledger
from spoolcrank.membership import (
    Members,
    is_alive,
    is_drained,
    is_incarnation_alive,
    owners_of_zone,
    possible_owners,
    unwitnessed_for_s,
)
from spoolcrank.policy import Policy


class OwnershipStatus(Enum):
    """Whether a server is owned by us, by a live peer, or by no live process."""

    MINE = "mine"
    OWNED_BY_PEER = "held"
    VACANT = "vacant"


def weight(server: str, owner: str) -> int:
    """Return the rendezvous weight of an owner for a server."""
    return int(xxhash.xxh64_intdigest(f"{server}\x1f{owner}".encode()))


def preferred(server: str, owners: list[InstanceId]) -> InstanceId | None:
    """Return the owner of highest rendezvous weight, None where there is no owner."""
    return max(owners, key=lambda owner: weight(server, owner), default=None)


def ownership_status(
    members: Members, claim: Claim | None, policy: Policy, now: float
) -> OwnershipStatus:
    """Return whether a server is ours, owned by a live process of a peer, or vacant."""
    if claim is None:
        return OwnershipStatus.VACANT
    if claim.incarnation == members.incarnation:
        return OwnershipStatus.MINE
    if is_incarnation_alive(members, claim.owner, claim.incarnation, policy, now):
        return OwnershipStatus.OWNED_BY_PEER
    return OwnershipStatus.VACANT


class Vacancy(NamedTuple):
    """A vacant server that we should claim, and its last claim."""

    server: InstanceId
    claim: Claim | None


def vacancies(
    members: Members, ledger: Ledger, reads_log: bool, policy: Policy, now: float
) -> list[Vacancy]:
    """Return the vacant servers of our zone for which we are the preferred owner."""
    owners = owners_of_zone(members, ledger, reads_log, policy, now)
    if members.me not in owners:
        return []
    claimable = []
    for instance in sorted(members.listed.values(), key=lambda item: item.id):
        if instance.role.value != "backend" or instance.availability_zone != members.zone:
            continue
        claim = ledger.claims.get(instance.id)
        if ownership_status(members, claim, policy, now) is OwnershipStatus.VACANT:
            if preferred(instance.id, owners) == members.me:
                claimable.append(Vacancy(instance.id, claim))
    return claimable


def successor(
    members: Members,
    ledger: Ledger,
    server: InstanceId,
    reads_log: bool,
    policy: Policy,
    now: float,
) -> InstanceId | None:
    """Return the peer that should own one of our servers instead of us, if any."""
    owners = owners_of_zone(members, ledger, reads_log, policy, now)
    best = preferred(server, owners)
    return None if best in (None, members.me) else best


def may_declare_lost(
    members: Members,
    contacted: bool,
    silent_since: float,
    policy: Policy,
    now: float,
) -> bool:
    """Return whether the tasks of an unreachable server may be declared lost.

    If the server has obeyed us since we became its owner, only we can have renewed its leases.
    If it never has, it may have obeyed any other entry instance of the zone, so each of these
    must either be sending us heartbeats or certainly have stopped acting.

    Args:
        members: What we know of the fleet.
        contacted: Whether the server has obeyed us since we became its owner, with no pause of
            ours in between.
        silent_since: The last time at which we, or a peer whose heartbeats we receive, may have
            renewed leases there.
        policy: The configuration in force.
        now: The present time, in monotonic seconds.
    """
    leases = policy.leases
    lapse_s = leases.lease_s + leases.margin_s
    if now - silent_since <= lapse_s:
        return False
    if contacted:
        return True
    for other in possible_owners(members, now):
        if is_alive(members, other, policy, now):
            continue
        incarnation = incarnation_of(members, other)
        unwitnessed_s = unwitnessed_for_s(members, other, incarnation, policy, now)
        if unwitnessed_s <= leases.fence_s + lapse_s:
            return False
    return True


def drained(members: Members, ledger: Ledger, server: InstanceId) -> bool:
    """Return whether a server may take no new work: it is unlisted or being drained."""
    return server not in members.listed or is_drained(members, server, ledger)


def incarnation_of(members: Members, owner: InstanceId) -> Incarnation:
    """Return the incarnation in an owner's last heartbeat, empty if there is none."""
    if owner == members.me:
        return members.incarnation
    peer = members.peers.get(owner)
    return peer.heartbeat.incarnation if peer else Incarnation("")

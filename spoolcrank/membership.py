"""Combine the platform's delayed list of instances with heartbeats between entry instances.

An instance on the list may be dead and one not yet on it may be alive, so only heartbeats decide
whether an entry instance is alive. Each heartbeat echoes the last heartbeat that its sender
received from every peer. An echo of our own send time is a witness that a peer received our
heartbeat, and an owner acts only while it has a recent witness.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import AvailabilityZone, ConfigVersion, Epoch, Incarnation, InstanceId, Rack
from spoolcrank.ledger import Ledger
from spoolcrank.policy import Policy
from spoolcrank.resources import Resources

LIST_POLL_INTERVAL_S = 0.5
"""Time from a read of the platform's list to the next, in seconds."""

LIST_TIMEOUT_S = 2.0
"""Time limit of one read of the platform's list, in seconds."""

MAX_LIST_AGE_S = LIST_POLL_INTERVAL_S + LIST_TIMEOUT_S
"""Maximum age of the list for a decision that needs the present one, in seconds."""

RETRY_AFTER_S = 1.0
"""Time to wait before a retry while the platform's list cannot be read: two polls, in seconds."""


class ServerStatus(NamedTuple):
    """The status of one backend server as its owner sends it to its peers.

    Attributes:
        free_slots: Runner slots that a request could use now, less the owner's own queue.
        free: Free capacity for tasks, by the owner's exact accounting.
        ready: Whether the owner has adopted the server and receives answers from it.
        latency_s: Recent latency of a request at its runner.
    """

    server: InstanceId
    epoch: Epoch
    free_slots: int
    free: Resources
    ready: bool
    latency_s: float = 0.0


class Echo(NamedTuple):
    """The last heartbeat that a peer received from an instance.

    Attributes:
        sent_at: The send time by that instance's own clock, in seconds.
        age_s: How long ago the peer received it, in seconds.
    """

    instance: InstanceId
    incarnation: Incarnation
    sent_at: float
    age_s: float


class Heartbeat(NamedTuple):
    """The status that an entry instance sends to its peers periodically."""

    sender: InstanceId
    incarnation: Incarnation
    zone: AvailabilityZone
    seq: int
    sent_at: float
    leaving: bool
    ready: bool
    config_version: ConfigVersion
    ledger_offset: int
    log_ok: bool
    servers: tuple[ServerStatus, ...]
    echoes: tuple[Echo, ...]


class Peer(NamedTuple):
    """The last heartbeat of a peer and when it arrived, by our clock."""

    heartbeat: Heartbeat
    last_heartbeat_at: float


@dataclass
class Members:
    """What one entry instance knows of the fleet.

    Attributes:
        list_read_at: When the last request was sent that read the platform's list; -inf after a
            failed read.
    """

    me: InstanceId
    incarnation: Incarnation
    zone: AvailabilityZone
    started_at: float
    listed: dict[InstanceId, Instance] = field(default_factory=dict)
    listed_at: float | None = None
    list_read_at: float = float("-inf")
    peers: dict[InstanceId, Peer] = field(default_factory=dict)
    witness_at: float = float("-inf")
    leaving: bool = False


def on_list(members: Members, instances: list[Instance], now: float) -> None:
    """Replace the listed instances by the platform's list."""
    members.listed = {instance.id: instance for instance in instances}
    members.listed_at = now


def on_list_read(members: Members, asked_at: float) -> None:
    """Record that a request sent at `asked_at` read the list, which is the listed instances."""
    members.list_read_at = asked_at


def on_list_failed(members: Members) -> None:
    """Record that the platform's list could not be read, so the listed instances may be old."""
    members.list_read_at = float("-inf")


def is_list_fresh(members: Members, now: float) -> bool:
    """Return whether the listed instances are at most `MAX_LIST_AGE_S` old."""
    return now - members.list_read_at <= MAX_LIST_AGE_S


def on_heartbeat(members: Members, heartbeat: Heartbeat, now: float) -> bool:
    """Record a peer's heartbeat; return False for an outdated or repeated one."""
    known = members.peers.get(heartbeat.sender)
    if known is not None and known.heartbeat.incarnation == heartbeat.incarnation:
        if heartbeat.seq <= known.heartbeat.seq:
            return False
    members.peers[heartbeat.sender] = Peer(heartbeat, now)
    for echo in heartbeat.echoes:
        if echo.instance == members.me and echo.incarnation == members.incarnation:
            members.witness_at = max(members.witness_at, echo.sent_at)
    return True


def echoes(members: Members, now: float) -> tuple[Echo, ...]:
    """Return the last heartbeat received from each peer, as echoes for our next heartbeat."""
    return tuple(
        Echo(
            peer.heartbeat.sender,
            peer.heartbeat.incarnation,
            peer.heartbeat.sent_at,
            now - peer.last_heartbeat_at,
        )
        for peer in members.peers.values()
    )


def is_alive(members: Members, instance: InstanceId, policy: Policy, now: float) -> bool:
    """Return whether an entry instance is sending heartbeats; we ourselves always are."""
    if instance == members.me:
        return True
    peer = members.peers.get(instance)
    return peer is not None and now - peer.last_heartbeat_at <= policy.membership.dead_after_s


def alive_entries(members: Members, policy: Policy, now: float) -> list[InstanceId]:
    """Return the listed entry instances that send heartbeats, ourselves among them."""
    return [
        instance.id
        for instance in members.listed.values()
        if instance.role is Role.ENTRY and is_alive(members, instance.id, policy, now)
    ]


def deciding_entries(members: Members, policy: Policy, now: float) -> list[InstanceId]:
    """Return the listed entry instances that decide about jobs: ourselves among them.

    A peer that leaves, or that cannot read the log, decides nothing.
    """
    return [
        entry
        for entry in alive_entries(members, policy, now)
        if entry == members.me or _decides(members.peers[entry].heartbeat)
    ]


def _decides(heartbeat: Heartbeat) -> bool:
    return heartbeat.log_ok and not heartbeat.leaving


def is_incarnation_alive(
    members: Members, instance: InstanceId, incarnation: Incarnation, policy: Policy, now: float
) -> bool:
    """Return whether a given process of an entry instance is sending heartbeats."""
    if instance == members.me:
        return incarnation == members.incarnation
    peer = members.peers.get(instance)
    if peer is None or peer.heartbeat.incarnation != incarnation:
        return False
    return now - peer.last_heartbeat_at <= policy.membership.dead_after_s


def is_drained(members: Members, instance: InstanceId, ledger: Ledger) -> bool:
    """Return whether the platform or an operator is draining an instance."""
    listed = members.listed.get(instance)
    if instance in ledger.drains:
        return True
    if listed is None:
        return False
    return listed.leaving or (bool(listed.rack) and listed.rack in ledger.drains)


def owners_of_zone(
    members: Members, ledger: Ledger, reads_log: bool, policy: Policy, now: float
) -> list[InstanceId]:
    """Return the entry instances of our zone that should own servers, sorted by name.

    An owner that cannot read the log places nothing, so while some can, only those are returned.

    Args:
        members: What we know of the fleet.
        ledger: The ledger, for drains.
        reads_log: Whether we ourselves can read the log.
        policy: The configuration in force.
        now: The present time, in monotonic seconds.
    """
    eligible = {}
    for peer in members.peers.values():
        heartbeat = peer.heartbeat
        same_zone = heartbeat.zone == members.zone and heartbeat.ready and not heartbeat.leaving
        if same_zone and is_alive(members, heartbeat.sender, policy, now):
            eligible[heartbeat.sender] = heartbeat.log_ok
    if not members.leaving:
        eligible[members.me] = reads_log
    usable = {entry for entry in eligible if not is_drained(members, entry, ledger)}
    return sorted({entry for entry in usable if eligible[entry]} or usable)


def servers_of_zone(members: Members) -> list[Instance]:
    """Return the listed backend servers of our zone."""
    return [
        instance
        for instance in members.listed.values()
        if instance.role is Role.BACKEND and instance.availability_zone == members.zone
    ]


def settled(members: Members, policy: Policy, now: float) -> bool:
    """Return whether we have listened long enough to judge which peers are dead."""
    listening_s = now - members.started_at
    return members.listed_at is not None and listening_s > policy.membership.dead_after_s


def may_act(members: Members, log_ok_at: float, policy: Policy, now: float) -> bool:
    """Return whether an owner may command its servers.

    An owner that neither the log nor any peer has witnessed for `fence_s` may have been replaced
    without its knowledge, or may just have been paused, so it must not act. An instance with no
    peers on the list needs no witness.
    """
    witnessed = max(members.witness_at, log_ok_at)
    if now - witnessed <= policy.leases.fence_s:
        return True
    return not other_entries(members)


def other_entries(members: Members) -> list[Instance]:
    """Return the listed entry instances besides ourselves."""
    return [
        instance
        for instance in members.listed.values()
        if instance.role is Role.ENTRY and instance.id != members.me
    ]


def possible_owners(members: Members, now: float) -> list[InstanceId]:
    """Return the other entry instances of our zone that may command its servers.

    While the list may be old, unlisted ones from which we ever heard are among them.
    """
    listed = [
        entry.id for entry in other_entries(members) if entry.availability_zone == members.zone
    ]
    if is_list_fresh(members, now):
        return listed
    unlisted = [
        peer.heartbeat.sender
        for peer in members.peers.values()
        if peer.heartbeat.zone == members.zone and peer.heartbeat.sender not in members.listed
    ]
    return listed + unlisted


def unwitnessed_for_s(
    members: Members, instance: InstanceId, incarnation: Incarnation, policy: Policy, now: float
) -> float:
    """Return for how many seconds up to now a process has certainly had no witness.

    Every listed entry instance must have sent us its echoes. One whose heartbeats we do not
    receive could still be a witness, so its silence makes the result 0. A process that was
    replaced by a new incarnation, or is no longer listed, is gone permanently. While the list
    may be old, an unlisted process may have started since.
    """
    peer = members.peers.get(instance)
    if peer is not None and peer.heartbeat.incarnation != incarnation:
        return float("inf")
    is_listing = members.listed_at is not None and is_list_fresh(members, now)
    if instance not in members.listed and is_listing:
        return float("inf")
    unwitnessed_s = now - peer.last_heartbeat_at if peer is not None else now - members.started_at
    for other in other_entries(members):
        if other.id != instance:
            witness = members.peers.get(other.id)
            unwitnessed_s = min(
                unwitnessed_s, _unwitnessed_by_s(witness, instance, incarnation, policy, now)
            )
    return unwitnessed_s


def _unwitnessed_by_s(
    witness: Peer | None,
    instance: InstanceId,
    incarnation: Incarnation,
    policy: Policy,
    now: float,
) -> float:
    if witness is None or now - witness.last_heartbeat_at > policy.membership.dead_after_s:
        return 0.0
    for echo in witness.heartbeat.echoes:
        if echo.instance == instance and echo.incarnation == incarnation:
            return echo.age_s
    return witness.heartbeat.seq * policy.membership.heartbeat_s


def rack_of(members: Members, instance: InstanceId) -> Rack:
    """Return the rack of an instance, empty if it is not listed."""
    listed = members.listed.get(instance)
    return listed.rack if listed else Rack("")


def refuse_unlisted(
    members: Members, kind: ErrorKind, detail: str, field: str, now: float
) -> Refusal:
    """Return the refusal of a request for something that is not on the platform's list.

    It is of the given kind, or, while the list may be old, one that asks for a retry.
    """
    if is_list_fresh(members, now):
        return Refusal(kind, detail, field)
    detail += ", but the list of instances may be old"
    return Refusal(ErrorKind.NOT_READY, detail, field, RETRY_AFTER_S)

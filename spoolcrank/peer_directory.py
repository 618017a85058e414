"""Keep the addresses of the other instances, and choose by turns the peer to ask next."""

from collections.abc import Callable

import msgspec

from spoolcrank.decoding import Unreadable, raises_unreadable
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId
from spoolcrank.keyed_log import KeyedRecord, RecordKind, kind_of

LEFT_OUT_S = 2.0
"""Time for which a peer is asked nothing that did not answer or has no contact either, seconds."""


class PeerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record that states where an instance takes requests from its peers.

    Attributes:
        instance: the instance.
        incarnation: the incarnation of its process.
        address: `IP:PORT` at which it serves its peers.
        availability_zone: availability zone in which it runs.
    """

    instance: InstanceId
    incarnation: Incarnation
    address: Address
    availability_zone: AvailabilityZone


decode_peer = raises_unreadable(msgspec.json.Decoder(PeerRecord).decode)


class PeerDirectory:
    """The peers of one instance, by their records on the log.

    Args:
        own: record of this instance.
        on_unreadable: called with each record that cannot be decoded, and the reason; such a record
            leaves the directory unchanged.
    """

    def __init__(self, own: PeerRecord, on_unreadable: Callable[[KeyedRecord, str], None]) -> None:
        self._own = own
        self._on_unreadable = on_unreadable
        self._peers: dict[str, PeerRecord] = {}
        self._left_out_until: dict[InstanceId, float] = {}
        self._asked_last: dict[InstanceId, int] = {}
        self._turns = 0

    def __len__(self) -> int:
        return len(self._peers)

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply one record of the log; applying it again has no effect."""
        if kind_of(record.key) is not RecordKind.PEER:
            return
        if not record.value:
            self._peers.pop(record.key, None)
            return
        try:
            peer = decode_peer(record.value)
        except Unreadable as exc:
            self._on_unreadable(record, str(exc))
            return
        if peer.instance != self._own.instance:
            self._peers[record.key] = peer

    def peer(self, instance: InstanceId, now: float) -> PeerRecord | None:
        """Return a peer by its name; None if its address is unknown or it is left out."""
        for peer in self._peers.values():
            if peer.instance == instance:
                return peer if self._may_be_asked(peer, now) else None
        return None

    def next_peer(self, now: float, asked: frozenset[InstanceId]) -> PeerRecord | None:
        """Return the peer whose turn it is, of the own zone if there is one; None if there is none.

        Args:
            now: monotonic time, seconds.
            asked: peers to which the same request was offered before.
        """
        own_zone = self._own.availability_zone
        peers = [
            peer
            for peer in self._peers.values()
            if peer.instance not in asked and self._may_be_asked(peer, now)
        ]
        if not peers:
            return None

        def turn(peer: PeerRecord) -> tuple[bool, int, InstanceId]:
            last = self._asked_last.get(peer.instance, 0)
            return peer.availability_zone != own_zone, last, peer.instance

        return min(peers, key=turn)

    def record_offer(self, instance: InstanceId) -> None:
        """Record that a request is offered to a peer, so that others are next."""
        self._turns += 1
        self._asked_last[instance] = self._turns

    def leave_out(self, instance: InstanceId, now: float) -> None:
        """Ask a peer nothing for `LEFT_OUT_S`."""
        self._left_out_until[instance] = now + LEFT_OUT_S

    def _may_be_asked(self, peer: PeerRecord, now: float) -> bool:
        return now >= self._left_out_until.get(peer.instance, now)

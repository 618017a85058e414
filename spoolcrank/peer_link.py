"""Exchange thrift frames with the other entry instances over TCP."""

import socket

from circuits import BaseComponent, Event, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer

from spoolcrank._dialer import Connection, Dialer
from spoolcrank._timers import Timers
from spoolcrank._wire import FrameReader, Message, encode
from spoolcrank.errors import WireError
from spoolcrank.events import peer_heard, peer_lost
from spoolcrank.ids import Address, InstanceId
from spoolcrank.metrics import Metrics

_REDIAL_DELAY_S = 0.3
_MAX_UNSENT_FRAMES = 400


class _Outgoing:
    """Connection over which this instance sends messages to one peer."""

    def __init__(self, owner: "PeerLink", peer: InstanceId, address: Address) -> None:
        self._owner = owner
        self.peer = peer
        self.address = address
        self.connected = False
        self.conn: Connection | None = None

    def dial(self) -> None:
        self.conn = self._owner.dialer.dial(self.address, self)

    def on_connected(self) -> None:
        self.connected = True

    def on_data(self, data: bytes) -> None:
        """Ignore the data: a peer answers over the connection that it opened to this instance."""

    def on_closed(self, reason: str) -> None:
        was_connected, self.connected, self.conn = self.connected, False, None
        self._owner.on_outgoing_closed(self, was_connected)

    def close(self) -> None:
        if self.conn is not None:
            self.conn.close()
            self.conn = None
        self.connected = False


class PeerLink(BaseComponent):
    """Component that owns the connections to and from the peers."""

    channel = "peer"

    def __init__(
        self,
        instance_id: InstanceId,
        bind: tuple[str, int],
        dialer: Dialer,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self.dialer = dialer
        self._timers = timers
        self._metrics = metrics
        self._outgoing: dict[InstanceId, _Outgoing] = {}
        self._readers: dict[socket.socket, FrameReader] = {}
        self._senders: dict[socket.socket, InstanceId] = {}
        self._server = TCPServer(bind, channel=self.channel).register(self)

    @property
    def listen(self) -> Address:
        """Return the bound address, with the port that the kernel chose if 0 was given."""
        return Address(f"{self._server.host}:{self._server.port}")

    def update_addresses(self, addresses: dict[InstanceId, Address]) -> None:
        """Connect to the peers of the platform's list.

        Connections to peers that left the list or changed their address are closed.
        """
        for peer, outgoing in list(self._outgoing.items()):
            if addresses.get(peer) != outgoing.address:
                outgoing.close()
                del self._outgoing[peer]
        for peer, address in addresses.items():
            if peer not in self._outgoing and peer != self._instance_id and address:
                self._outgoing[peer] = _Outgoing(self, peer, address)
                self._outgoing[peer].dial()

    def send(self, peer: InstanceId, message: Message) -> bool:
        """Send a message; return False if there is no connection, so that nothing was sent."""
        return self._send(peer, encode(self._instance_id, message))

    def broadcast(self, peers: list[InstanceId], message: Message) -> None:
        """Send a message to several peers, encoding it once; peers without a connection miss it."""
        frame = encode(self._instance_id, message)
        for peer in peers:
            self._send(peer, frame)

    def _send(self, peer: InstanceId, frame: bytes) -> bool:
        outgoing = self._outgoing.get(peer)
        if outgoing is None or not outgoing.connected or outgoing.conn is None:
            return False
        if len(outgoing.conn.unsent) > _MAX_UNSENT_FRAMES:
            self._metrics.incr("peer.backlog")
            outgoing.close()
            self.on_outgoing_closed(outgoing, True)
            return False
        self._metrics.incr("peer.bytes", len(frame))
        self._metrics.incr("peer.messages")
        outgoing.conn.write(frame)
        return True

    def on_outgoing_closed(self, outgoing: _Outgoing, was_connected: bool) -> None:
        """Fire `peer_lost` if the connection was open; redial later while the peer is listed."""
        if was_connected:
            self.fire(peer_lost(outgoing.peer))
        self._timers.after(_REDIAL_DELAY_S, lambda: self._redial(outgoing))

    def _redial(self, outgoing: _Outgoing) -> None:
        if self._outgoing.get(outgoing.peer) is outgoing and outgoing.conn is None:
            outgoing.dial()

    @handler("read")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        reader = self._readers.setdefault(sock, FrameReader())
        try:
            frames = reader.feed(data)
        except WireError:
            self._metrics.incr("peer.unreadable")
            self.fire(close(sock))
            return
        for frame in frames:
            self._senders[sock] = frame.sender
            self.fire(peer_heard(frame))

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._readers.pop(sock, None)
        sender = self._senders.pop(sock, None)
        if sender is not None:
            self.fire(peer_lost(sender))

    @handler("connect", "closed", "error", "ready")
    def _on_ignored(self, event: Event, *args: object) -> None:
        """Handle the events of the server that need no action."""

"""Own the outgoing TCP connections of a process.

circuits' own TCPClient is one component for each connection and polls while it connects;
this component holds many sockets and waits for writability instead.
"""

import errno
import socket
from collections import deque
from typing import Protocol

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from spoolcrank.ids import Address

UNACKNOWLEDGED_MS = 3000
"""A connection whose bytes the other side does not acknowledge for so long is closed, ms: peers
write several times a second and read nothing back on it, so only this shows them that it fell
silent. Six times the
queueing at which the platform calls a link choked."""

_READ_SIZE = 65536
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class Wire(Protocol):
    """What a connection's user is told about it."""

    def on_connected(self) -> None:
        """Learn that bytes can flow now."""

    def on_data(self, data: bytes) -> None:
        """Take bytes that arrived."""

    def on_closed(self, reason: str) -> None:
        """Learn that the connection is gone, or never came to be."""


class Connection:
    """One outgoing connection, as its user holds it."""

    def __init__(self, owner: "Dialer", sock: socket.socket, wire: Wire) -> None:
        self._owner = owner
        self.sock = sock
        self.wire = wire
        self.connected = False
        self.closed = False
        self.unsent: deque[bytes] = deque()

    def write(self, data: bytes) -> None:
        """Send bytes, as soon as the connection stands."""
        self._owner.enqueue(self, data)

    def close(self) -> None:
        """Drop the connection; its wire is not told."""
        self._owner.drop(self)


class Dialer(BaseComponent):
    """Open connections and move their bytes."""

    channel = "dialer"

    def __init__(self, poller: BasePoller) -> None:
        super().__init__()
        self._poller = poller
        self._conns: dict[socket.socket, Connection] = {}

    def dial(self, address: Address, wire: Wire) -> Connection:
        """Start to connect to `IP:PORT`; the wire is told what comes of it."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        conn = Connection(self, sock, wire)
        self._conns[sock] = conn
        error = sock.connect_ex((host, int(port)))
        if error not in _IN_PROGRESS:
            self._fail(conn, errno.errorcode.get(error, str(error)))
        else:
            self._poller.addWriter(self, sock)
        return conn

    def enqueue(self, conn: Connection, data: bytes) -> None:
        """Add bytes to what a connection has to send."""
        if conn.closed:
            return
        if conn.connected and not conn.unsent:
            data = self._send(conn, data)
            if not data or conn.closed:
                return
        conn.unsent.append(data)
        if not self._poller.isWriting(conn.sock):
            self._poller.addWriter(self, conn.sock)

    def drop(self, conn: Connection) -> None:
        """Close a connection at once."""
        if conn.closed:
            return
        conn.closed = True
        conn.connected = False
        self._conns.pop(conn.sock, None)
        self._poller.discard(conn.sock)
        conn.sock.close()

    def _fail(self, conn: Connection, reason: str) -> None:
        if conn.closed:
            return
        self.drop(conn)
        conn.wire.on_closed(reason)

    def _send(self, conn: Connection, data: bytes) -> bytes:
        try:
            sent = conn.sock.send(data)
        except BlockingIOError:
            return data
        except OSError as exc:
            self._fail(conn, str(exc))
            return b""
        return data[sent:]

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        conn = self._conns.get(sock)
        if conn is None or not conn.connected:
            return
        try:
            data = sock.recv(_READ_SIZE)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(conn, str(exc))
            return
        if data:
            conn.wire.on_data(data)
        else:
            self._fail(conn, "closed by the other side")

    @handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        conn = self._conns.get(sock)
        if conn is None:
            return
        if not conn.connected and not self._finish_connect(conn):
            return
        while conn.unsent and not conn.closed:
            rest = self._send(conn, conn.unsent.popleft())
            if rest:
                conn.unsent.appendleft(rest)
                return
        if not conn.closed and self._poller.isWriting(sock):
            self._poller.removeWriter(sock)

    def _finish_connect(self, conn: Connection) -> bool:
        error = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(conn, errno.errorcode.get(error, str(error)))
            return False
        conn.connected = True
        self._poller.addReader(self, conn.sock)
        conn.wire.on_connected()
        return not conn.closed

    @handler("_disconnect", "_error")
    def _on_broken(self, sock: socket.socket, *reason: object) -> None:
        conn = self._conns.get(sock)
        if conn is not None:
            self._fail(conn, "connection broken")

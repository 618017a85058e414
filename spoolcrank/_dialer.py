"""Open and serve the outgoing TCP connections of a process.

The TCPClient of circuits needs one component for each connection and polls while it connects. The
Dialer owns many sockets and waits until a connecting socket becomes writable instead.
"""

import errno
import socket
from collections import deque
from typing import Protocol

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from spoolcrank.ids import Address

ACK_TIMEOUT_MS = 3000
"""Time without an acknowledgement of sent bytes before a connection is closed, in milliseconds.

Peers write several times a second on a connection and read nothing from it, so only this timeout
shows them that the other side is silent. It is six times the queueing delay from which the
platform treats a link as congested."""

_READ_BYTES = 65536
_CONNECT_STARTED = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class ConnectionObserver(Protocol):
    """Callbacks that report the events of a connection to the code that opened it."""

    def on_connected(self) -> None:
        """Handle the completed connect; bytes can be sent from now on."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_closed(self, reason: str) -> None:
        """Handle a lost connection or a failed connect; `close` does not call this."""


class Connection:
    """Outgoing connection, as seen by the code that opened it."""

    def __init__(self, owner: "Dialer", sock: socket.socket, observer: ConnectionObserver) -> None:
        self._owner = owner
        self.sock = sock
        self.observer = observer
        self.connected = False
        self.closed = False
        self.unsent: deque[bytes] = deque()

    def write(self, data: bytes) -> None:
        """Send bytes, once the connection is established."""
        self._owner.enqueue(self, data)

    def read(self) -> bool:
        """Pass on at once what has arrived; return whether there was anything."""
        return self._owner.read(self)

    def close(self) -> None:
        """Close the connection at once without notifying its observer."""
        self._owner.drop(self)


class Dialer(BaseComponent):
    """Component that opens connections, sends their bytes and reports what they receive."""

    channel = "dialer"

    def __init__(self, poller: BasePoller) -> None:
        super().__init__()
        self._poller = poller
        self._conns: dict[socket.socket, Connection] = {}

    def dial(self, address: Address, observer: ConnectionObserver) -> Connection:
        """Start to connect to `IP:PORT`; the observer is notified of the result.

        A connect that fails at once is reported before this method returns.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)
        conn = Connection(self, sock, observer)
        self._conns[sock] = conn
        error = sock.connect_ex((host, int(port)))
        if error not in _CONNECT_STARTED:
            self._fail(conn, errno.errorcode.get(error, str(error)))
        else:
            self._poller.addWriter(self, sock)
        return conn

    def enqueue(self, conn: Connection, data: bytes) -> None:
        """Send bytes on a connection, or queue them until its socket is writable."""
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
        """Close a connection at once without notifying its observer; unsent bytes are lost."""
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
        conn.observer.on_closed(reason)

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
        if conn is not None:
            self.read(conn)

    def read(self, conn: Connection) -> bool:
        """Pass on bytes that have arrived on a connection, or its loss; return whether any had."""
        if not conn.connected:
            return False
        try:
            data = conn.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return False
        except OSError as exc:
            self._fail(conn, str(exc))
            return False
        if data:
            conn.observer.on_data(data)
        else:
            self._fail(conn, "connection closed by the other side")
        return bool(data)

    @handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        conn = self._conns.get(sock)
        if conn is None:
            return
        if not conn.connected and not self._finish_connect(conn):
            return
        while conn.unsent and not conn.closed:
            remainder = self._send(conn, conn.unsent.popleft())
            if remainder:
                conn.unsent.appendleft(remainder)
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
        conn.observer.on_connected()
        return not conn.closed

    @handler("_disconnect", "_error")
    def _on_socket_error(self, sock: socket.socket, *reason: object) -> None:
        conn = self._conns.get(sock)
        if conn is not None:
            self._fail(conn, "connection broken")

"""Provide the sockets of an HTTP server and keep track of bytes that are not handled yet."""

import math
import socket
import time
from collections import Counter
from typing import NamedTuple

from circuits import Event, handler
from circuits.net.events import error, read
from circuits.net.sockets import TCPServer


class AcceptResult(NamedTuple):
    """Result of accepting the pending connections of a listener before it closes.

    Attributes:
        accepted: number of pending connections that were accepted.
        failure: error that prevented accepting more; empty if none was left.
    """

    accepted: int
    failure: str = ""


class StopCounts(NamedTuple):
    """What a stop did to connections, as far as the server can know it.

    A request that reaches a connection after its close is not among them: its client sees a reset.

    Attributes:
        closed_idle: connections without any bytes of a request that the server closed.
        found_at_close: connections on which bytes were found as they were to be closed as idle.
        closed_half_sent: connections closed with a partly received request.
        closed_unread: connections closed with unread bytes, at any time of the process.
        refused_leaving: requests that were refused because the instance leaves.
    """

    closed_idle: int
    found_at_close: int
    closed_half_sent: int
    closed_unread: int
    refused_leaving: int


class WebSockets(TCPServer):
    """Listener with its connections.

    Attributes:
        unhandled: number of blocks, by connection, that were read and whose events are still in the
            loop's queue.
        closed_idle: number of connections that the server closed because nothing had arrived.
        found_at_close: number of connections on which bytes were found instead.
        closed_unread: number of connections that the server closed with unread bytes, which resets
            them.
        read_until: time from which nothing more is read, in seconds of the monotonic clock.
    """

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.unhandled: Counter[socket.socket] = Counter()
        self.closed_idle = 0
        self.found_at_close = 0
        self.closed_unread = 0
        self.read_until = math.inf
        self._not_read: set[socket.socket] = set()
        self._reads = True

    @property
    def connections(self) -> list[socket.socket]:
        """Return the open connections."""
        return list(self._clients)

    @handler("read", "write", "close", "_read", "_write", priority=100)
    def _skip_closed(self, event: Event, sock: socket.socket | None = None, *_: object) -> None:
        """Discard the events of a connection that has closed since they were fired.

        Their handlers would add entries for it that nothing removes any more.
        """
        if sock is not None and sock.fileno() < 0:
            event.stop()

    def forget(self, sock: socket.socket) -> None:
        """Remove what is left of a connection that has closed."""
        self.unhandled.pop(sock, None)
        self._not_read.discard(sock)
        self._buffers.pop(sock, None)
        if sock in self._closeq:
            self._closeq.remove(sock)

    def mark_handled(self, sock: socket.socket) -> None:
        """Record that the event of one block was taken from the loop's queue."""
        self.unhandled[sock] -= 1
        if self.unhandled[sock] <= 0:
            del self.unhandled[sock]

    def _read(self, sock: socket.socket) -> None:
        """Read one block and count it; the method of circuits does not track queued blocks."""
        if sock not in self._clients or sock in self._not_read:
            return
        if time.monotonic() >= self.read_until:
            return
        try:
            data = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError as exc:
            self.fire(error(sock, exc))
            self._close(sock)
            return
        if data:
            self.unhandled[sock] += 1
            self.fire(read(sock, data))
        else:
            self.close(sock)

    def stop_listening(self) -> AcceptResult:
        """Accept the pending connections, which closing the listener would reset, and close it."""
        count = 0
        failure = ""
        while True:
            try:
                client, _ = self._sock.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                failure = str(exc)
                break
            try:
                self._on_accept_done(client)
                count += 1
            except OSError as exc:
                failure = str(exc)
        self._poller.discard(self._sock)
        self._sock.close()
        return AcceptResult(count, failure)

    def _on_accept_done(self, sock: socket.socket, fire_connect_event: bool = True) -> None:
        """Add a connection; close it if that fails, so that its client does not wait."""
        try:
            super()._on_accept_done(sock, fire_connect_event)
        except OSError:
            self._poller.discard(sock)
            sock.close()
            raise

    def stop_reading(self) -> None:
        """Stop reading; bytes already read are still handled, and answers are still sent."""
        self._reads = False
        for sock in self._clients:
            self._poller.removeReader(sock)

    def stop_reading_from(self, sock: socket.socket) -> None:
        """Read nothing more of one connection."""
        self._not_read.add(sock)
        self._poller.removeReader(sock)

    def resume_reading_from(self, sock: socket.socket) -> None:
        """Read a connection again after `stop_reading_from`, unless all reading has ended."""
        if sock not in self._not_read or not self._reads or sock not in self._clients:
            return
        self._not_read.remove(sock)
        self._poller.addReader(self, sock)

    def has_unsent_bytes(self, sock: socket.socket) -> bool:
        """Return whether bytes of a connection are not yet passed to the kernel."""
        return bool(self._buffers.get(sock))

    def has_left(self, sock: socket.socket) -> bool:
        """Return whether the client has closed a connection, even if that was not read yet."""
        if sock not in self._clients:
            return True
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close_if_nothing_arrived(self, sock: socket.socket) -> None:
        """Close a connection unless bytes have arrived on it; read these instead.

        Closing a connection that has unread bytes would reset it.
        """
        self._read(sock)
        if self.unhandled[sock]:
            self.found_at_close += 1
        elif sock in self._clients:
            self.closed_idle += 1
            self.close(sock)

    def _close(self, sock: socket.socket) -> None:
        """Close a connection; the kernel resets it if it has unread bytes.

        Behind a `shutdown`, which circuits calls first, the client sees the end of a connection
        whose bytes were all read, and takes its request for one that was given up.
        """
        if sock in self._clients:
            self.closed_unread += _has_unread_bytes(sock)
            self._poller.discard(sock)
            sock.close()
        super()._close(sock)


def _has_unread_bytes(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False

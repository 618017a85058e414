"""The sockets under one HTTP server, and what is known of bytes on their way."""

import socket
from collections import Counter
from typing import NamedTuple

from circuits.net.events import error, read
from circuits.net.sockets import TCPServer


class Accepted(NamedTuple):
    """What the end of a listener found waiting.

    Attributes:
        taken: connections that waited and were accepted.
        failed: why no more could be accepted; empty where none was left.
    """

    taken: int
    failed: str = ""


class WebSockets(TCPServer):
    """A listener and its connections.

    Attributes:
        unhandled: blocks that were read from each connection and are still in the loop's queue.
    """

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.unhandled: Counter[socket.socket] = Counter()

    @property
    def connections(self) -> list[socket.socket]:
        """Return the connections that stand."""
        return list(self._clients)

    def handled(self, sock: socket.socket) -> None:
        """Take note that one block left the queue."""
        self.unhandled[sock] -= 1
        if self.unhandled[sock] <= 0:
            del self.unhandled[sock]

    def _read(self, sock: socket.socket) -> None:
        """Read one block; replaces the library's, which does not tell what waits in the queue."""
        if sock not in self._clients:
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

    def stop_listening(self) -> Accepted:
        """Accept what waits and close the listener, which would reset whatever still waited."""
        count = 0
        failed = ""
        while True:
            try:
                waiting, _ = self._sock.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                failed = str(exc)
                break
            self._on_accept_done(waiting)
            count += 1
        self._poller.discard(self._sock)
        self._sock.close()
        return Accepted(count, failed)

    def stop_reading(self) -> None:
        """Read nothing more; what was read is handled and answers are sent on."""
        for sock in self._clients:
            self._poller.removeReader(sock)

    def holds_unsent(self, sock: socket.socket) -> bool:
        """Tell whether bytes for a connection were not yet given to the kernel."""
        return bool(self._buffers.get(sock))

    def close_unless_bytes_wait(self, sock: socket.socket) -> None:
        """Close a connection on which nothing has come; what has just come is read instead.

        To close with unread bytes would reset the connection.
        """
        self._read(sock)
        if not self.unhandled[sock]:
            self.close(sock)

"""A connection on which answers come one after the other, and what its end says of the rest."""

import socket
import time
from typing import NamedTuple

from tests.leaving_callers import LOSS_SLACK_S, Outcome, has_ended

ANSWER_TIMEOUT_S = 20.0


class Answer(NamedTuple):
    status: int
    error: str
    closes: bool


class Connection:
    """One connection, whose answers are read one after the other."""

    def __init__(self, address: str, receive_buffer: int = 0) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.socket()
        if receive_buffer:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._sock.settimeout(ANSWER_TIMEOUT_S)
        self._sock.connect((host, int(port)))
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received = b""
        self._outcome: Outcome | None = None
        self._is_reset = False
        self._open_at = 0.0
        self.opened_at = time.monotonic()

    def send(self, raw: bytes) -> bool:
        """Send all bytes; return False if the connection has ended."""
        try:
            self._sock.sendall(raw)
        except OSError:
            # The socket reports the reset only once.
            self._is_reset = True
            return False
        self._open_at = 0.0 if has_ended(self._sock) else time.monotonic()
        return True

    def read(self) -> Answer | Outcome:
        """Return the next answer, or what became of the request if the connection ended."""
        while (answer := self._take()) is None:
            if self._outcome is None:
                self._outcome = self._receive()
            if self._outcome is not None:
                return self._outcome
        return answer

    def _receive(self) -> Outcome | None:
        """Receive a block; return what became of unanswered requests if the connection ended."""
        try:
            block = self._sock.recv(65536)
        except ConnectionError:
            return Outcome.DROPPED if self._received else Outcome.NOT_READ
        except TimeoutError:
            return Outcome.DROPPED
        self._received += block
        return None if block else self._outcome_of_close()

    def _take(self) -> Answer | None:
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return None
        lines = head.decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        length = int(fields.get("content-length", "0"))
        if len(body) < length:
            return None
        self._received = body[length:]
        closes = fields.get("connection", "").lower() == "close"
        return Answer(int(lines[0].split()[1]), fields.get("spoolcrank-error", ""), closes)

    def _outcome_of_close(self) -> Outcome:
        """Return what became of the requests on a connection that ended without a reset.

        Such an end says that everything was read. Only what was sent while it came may be unread;
        then the socket has an error.
        """
        if self._open_at and time.monotonic() - self._open_at > LOSS_SLACK_S:
            return Outcome.DROPPED
        time.sleep(0.01)
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        is_reset = self._is_reset or error != 0
        return Outcome.NOT_READ if is_reset and not self._received else Outcome.DROPPED

    def read_to_end(self) -> None:
        """Wait until the other side has ended the connection, and close it."""
        try:
            while self._sock.recv(65536):
                pass
        except OSError:
            pass
        self.close()

    def close(self) -> None:
        self._sock.close()

"""Clients of a stopping instance, over plain sockets, and the outcome of each complete request.

A request counts as dropped if its connection ends without a complete answer although the instance
has received every byte of it. If the instance closes a connection with unread bytes, the connection
is reset: such a request was never read, and its client sends it to another instance.
"""

import itertools
import json
import select
import socket
import threading
import time
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

ANSWER_TIMEOUT_S = 20.0
LOSS_SLACK_S = 0.2
"""Time after the last byte of a request up to which its connection may end, in seconds."""

JOB = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 500, "estimateMs": 100}]}).encode()


class Outcome(Enum):
    """What became of a complete request."""

    ANSWERED = "answered"
    DROPPED = "dropped"
    NOT_READ = "not-read"


class SentRequest(NamedTuple):
    """One request, by its request line, and its outcome."""

    text: str
    at: float
    outcome: Outcome
    status: int = 0
    closes: bool = False


def has_ended(sock: socket.socket) -> bool:
    """Return whether the other side's end of a connection, or a reset, has arrived."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


class Connection:
    """A client connection that carries one request after the other."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S)
        self._open_at = 0.0

    def send(self, raw: bytes) -> bool:
        try:
            self._sock.sendall(raw)
        except OSError:
            return False
        self._open_at = 0.0 if has_ended(self._sock) else time.monotonic()
        return True

    def ask(self, raw: bytes) -> SentRequest:
        at = time.monotonic()
        return (
            self.read(raw, at)
            if self.send(raw)
            else SentRequest(_request_line(raw), at, Outcome.NOT_READ)
        )

    def read(self, raw: bytes, at: float) -> SentRequest:
        received = b""
        try:
            while not _is_complete(received):
                block = self._sock.recv(65536)
                if not block:
                    return SentRequest(_request_line(raw), at, self._outcome_of_close(received))
                received += block
        except ConnectionError:
            return SentRequest(
                _request_line(raw), at, Outcome.DROPPED if received else Outcome.NOT_READ
            )
        except TimeoutError:
            return SentRequest(_request_line(raw), at, Outcome.DROPPED)
        status = int(received.split(b" ", 2)[1])
        return SentRequest(
            _request_line(raw),
            at,
            Outcome.ANSWERED,
            status,
            b"connection: close" in received.lower(),
        )

    def _outcome_of_close(self, received: bytes) -> Outcome:
        """Return DROPPED if the instance read the request before it closed, else NOT_READ.

        A close that discards unread bytes resets the connection. Only what was sent while a close
        came may be unread behind an end without a reset; it leaves an error on the socket.
        """
        if self._open_at and time.monotonic() - self._open_at > LOSS_SLACK_S:
            return Outcome.DROPPED
        time.sleep(0.01)
        socket_error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return Outcome.NOT_READ if socket_error and not received else Outcome.DROPPED

    def close(self) -> None:
        self._sock.close()


def _request_line(raw: bytes) -> str:
    return raw.split(b"\r\n", 1)[0].decode()


def _is_complete(received: bytes) -> bool:
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return True


def render(method: str, host: str, path: str, body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Callers:
    """Client threads that send requests until `end()`, or until connections are refused."""

    def __init__(self, address: str, host: str, prefix: str) -> None:
        self._address = address
        self._host = host
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._id_prefix = f"{threading.get_ident() % 0xFFFF:04x}"
        self.sent: list[SentRequest] = []

    def job(self) -> bytes:
        return render("POST", self._host, f"{self._prefix}{self._id()}", JOB)

    def other(self, method: str) -> bytes:
        return render(method, self._host, f"{self._prefix}{self._id()}")

    def _id(self) -> str:
        return f"{self._id_prefix}{next(self._numbers):012x}"

    def start(self, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def send_repeatedly(
        self, make_request: Callable[[], bytes], interval_s: float, reuse_connection: bool
    ) -> None:
        """Send requests at an interval, over new connections or over one as long as it lasts."""

        def work() -> None:
            conn: Connection | None = None
            while not self._stop.wait(interval_s):
                try:
                    conn = conn or Connection(self._address)
                except OSError:
                    return
                sent = conn.ask(make_request())
                self.sent.append(sent)
                if not reuse_connection or sent.closes or sent.outcome is not Outcome.ANSWERED:
                    conn.close()
                    conn = None

        self.start(work)

    def connect_and_send_later(
        self, make_request: Callable[[], bytes], send_at: float, parts: int = 1
    ) -> None:
        """Open a connection now and send its first request at a later time, at once or in parts."""
        conn = Connection(self._address)

        def work() -> None:
            raw = make_request()
            size = -(-len(raw) // parts)
            time.sleep(max(0.0, send_at - time.monotonic()))
            for begin in range(0, len(raw), size):
                if not conn.send(raw[begin : begin + size]):
                    conn.close()
                    return
                if begin + size < len(raw):
                    time.sleep(0.2)
            self.sent.append(conn.read(raw, time.monotonic()))
            conn.close()

        self.start(work)

    def end(self) -> list[SentRequest]:
        self._stop.set()
        for thread in self._threads:
            thread.join(ANSWER_TIMEOUT_S + 5)
        return self.sent

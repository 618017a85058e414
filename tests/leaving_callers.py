"""Clients of a stopping instance, over plain sockets: what each request that was sent whole got.

A request counts as dropped when its connection ends without a whole answer though the instance
had taken every byte of it. What was still unread when the instance closed is reset, or shows as an
error on the connection: such a request was never read, and its client sends it elsewhere.
"""

import itertools
import json
import socket
import threading
import time
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

ANSWER_WITHIN_S = 20.0
JOB = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 500, "estimateMs": 100}]}).encode()


class Got(Enum):
    ANSWERED = "answered"
    DROPPED = "dropped"
    NOT_READ = "not-read"


class Sent(NamedTuple):
    text: str
    at: float
    got: Got
    status: int = 0
    closes: bool = False


class Connection:
    """One connection of a client, on which one request follows the other."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=ANSWER_WITHIN_S)

    def send(self, raw: bytes) -> bool:
        try:
            self._sock.sendall(raw)
        except OSError:
            return False
        return True

    def ask(self, raw: bytes) -> Sent:
        at = time.monotonic()
        return self.read(raw, at) if self.send(raw) else Sent(_line(raw), at, Got.NOT_READ)

    def read(self, raw: bytes, at: float) -> Sent:
        got = b""
        try:
            while not _whole(got):
                block = self._sock.recv(65536)
                if not block:
                    return Sent(_line(raw), at, self._why_ended(got))
                got += block
        except ConnectionError:
            return Sent(_line(raw), at, Got.DROPPED if got else Got.NOT_READ)
        except TimeoutError:
            return Sent(_line(raw), at, Got.DROPPED)
        status = int(got.split(b" ", 2)[1])
        return Sent(_line(raw), at, Got.ANSWERED, status, b"connection: close" in got.lower())

    def _why_ended(self, got: bytes) -> Got:
        """Tell a close after the request was read from one that threw unread bytes away."""
        time.sleep(0.01)
        unread = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return Got.NOT_READ if unread and not got else Got.DROPPED

    def close(self) -> None:
        self._sock.close()


def _line(raw: bytes) -> str:
    return raw.split(b"\r\n", 1)[0].decode()


def _whole(got: bytes) -> bool:
    head, found, body = got.partition(b"\r\n\r\n")
    if not found:
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
    """Threads that send until told to stop, or until no new connection is taken."""

    def __init__(self, address: str, host: str, prefix: str) -> None:
        self._address = address
        self._host = host
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._first = f"{threading.get_ident() % 0xFFFF:04x}"
        self.sent: list[Sent] = []

    def job(self) -> bytes:
        return render("POST", self._host, f"{self._prefix}{self._id()}", JOB)

    def other(self, method: str) -> bytes:
        return render(method, self._host, f"{self._prefix}{self._id()}")

    def _id(self) -> str:
        return f"{self._first}{next(self._numbers):012x}"

    def start(self, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def steadily(self, make: Callable[[], bytes], every_s: float, keep: bool) -> None:
        """Send one request after the other, over one open connection as long as it stands."""

        def work() -> None:
            conn: Connection | None = None
            while not self._stop.wait(every_s):
                try:
                    conn = conn or Connection(self._address)
                except OSError:
                    return
                sent = conn.ask(make())
                self.sent.append(sent)
                if not keep or sent.closes or sent.got is not Got.ANSWERED:
                    conn.close()
                    conn = None

        self.start(work)

    def standing(self, make: Callable[[], bytes], send_at: float, parts: int = 1) -> None:
        """Open a connection now and send its first request at a later time, at once or in parts."""
        conn = Connection(self._address)

        def work() -> None:
            raw = make()
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

    def end(self) -> list[Sent]:
        self._stop.set()
        for thread in self._threads:
            thread.join(ANSWER_WITHIN_S + 5)
        return self.sent

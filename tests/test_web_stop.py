"""The HTTP server during a planned stop: which requests are answered, when connections close."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from spoolcrank._runtime import Runtime
from spoolcrank._web import HttpReply, HttpRequest, Reply, WebServer, refusal_reply
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import Address

WAIT_S = 30.0
LARGE = b"x" * (8 << 20)
"""Body larger than the kernel buffers for a client that does not read."""


class ServerInThread:
    """Server in its own event loop; the test decides when each request is answered."""

    def __init__(self) -> None:
        self.requests: list[tuple[HttpRequest, Reply]] = []
        self._runtime = Runtime()
        self.web: WebServer = self._runtime.serve(Address("127.0.0.1:0"), self._take)
        self._stop = self._runtime.run_in_thread()
        self._clients: list[socket.socket] = []

    def _take(self, req: HttpRequest, reply: Reply) -> None:
        self.requests.append((req, reply))
        if req.path == "/now":
            reply(HttpReply(200, {}, b"now"))
        elif req.path == "/leaving":
            reply(refusal_reply(Refusal(ErrorKind.LEAVING, "this instance leaves")))

    def do(self, action: Callable[[], Any]) -> Any:
        """Run an action in the loop and return its result."""
        done = threading.Event()
        results: list[Any] = []

        def act() -> None:
            results.append(action())
            done.set()

        self._runtime.post(act)
        assert done.wait(WAIT_S)
        return results[0]

    def post(self, action: Callable[[], None]) -> None:
        """Run an action in the loop, behind the events that are already queued."""
        self._runtime.post(action)

    def wait(self, what: Callable[[], bool]) -> None:
        until = time.monotonic() + WAIT_S
        while not self.do(what):
            assert time.monotonic() < until
            time.sleep(0.01)

    def client(self) -> socket.socket:
        before = self.do(lambda: self.web.connections)
        conn = socket.create_connection(("127.0.0.1", self.web.port), timeout=WAIT_S)
        self._clients.append(conn)
        self.wait(lambda: self.web.connections > before)
        return conn

    def answer(self, body: bytes) -> None:
        """Answer the last request, once it is one that waits for its answer."""

        self.wait(lambda: bool(self.requests) and self.requests[-1][0].path == "/later")
        self.do(lambda: self.answer_now(body))

    def answer_now(self, body: bytes) -> None:
        """Answer the last request; only for actions in the loop."""
        self.requests[-1][1](HttpReply(200, {}, body))

    def close(self) -> None:
        for conn in self._clients:
            conn.close()
        self._stop()


@pytest.fixture
def served() -> Iterator[ServerInThread]:
    server = ServerInThread()
    yield server
    server.close()


def request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


def read_to_end(conn: socket.socket) -> bytes:
    received = b""
    while block := conn.recv(1 << 20):
        received += block
    return received


def test_an_answer_counts_as_unanswered_until_the_kernel_has_it(served: ServerInThread) -> None:
    """A process that exits earlier would lose the rest of the answer."""
    conn = served.client()
    conn.sendall(request("/later"))
    served.do(served.web.close_after_answers)
    served.answer(LARGE)
    time.sleep(0.2)
    assert served.do(lambda: served.web.unanswered) == 1
    assert read_to_end(conn).endswith(LARGE)
    served.wait(lambda: served.web.unanswered == 0)


def test_a_request_that_came_behind_another_is_answered_before_the_close(
    served: ServerInThread,
) -> None:
    conn = served.client()
    conn.sendall(request("/later"))
    served.wait(lambda: len(served.requests) == 1)
    conn.sendall(request("/later"))
    time.sleep(0.2)
    served.do(served.web.close_after_answers)
    served.answer(b"first")
    served.wait(lambda: len(served.requests) == 2)
    time.sleep(0.2)
    served.answer(b"second")
    received = read_to_end(conn)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.endswith(b"second")


def test_a_client_that_goes_leaves_nothing_unanswered(served: ServerInThread) -> None:
    conn = served.client()
    conn.sendall(request("/later"))
    served.wait(lambda: served.web.unanswered == 1)
    conn.close()
    served.wait(lambda: served.web.unanswered == 0)
    served.answer(b"too late")
    assert served.do(lambda: served.web.unanswered) == 0


def test_what_waits_to_be_accepted_is_served_though_the_listener_closes(
    served: ServerInThread,
) -> None:
    def connect_and_stop_listening() -> tuple[list[socket.socket], Any]:
        made = [socket.create_connection(("127.0.0.1", served.web.port)) for _ in range(3)]
        return made, served.web.stop_listening()

    port = served.web.port
    made, accepted = served.do(connect_and_stop_listening)
    assert accepted == (3, "")
    served.do(served.web.close_after_answers)
    for conn in made:
        conn.settimeout(WAIT_S)
        conn.sendall(request("/now"))
        assert read_to_end(conn).endswith(b"now")
        conn.close()
    with pytest.raises(OSError):
        socket.create_connection(("127.0.0.1", port), timeout=1)


def test_only_connections_without_work_are_closed_as_idle(served: ServerInThread) -> None:
    idle, half, asking = served.client(), served.client(), served.client()
    half.sendall(request("/now")[:9])
    asking.sendall(request("/later"))
    served.wait(lambda: (served.web.partly_received, served.web.unanswered) == (1, 1))
    served.do(served.web.close_after_answers)
    served.do(served.web.close_idle)
    assert served.do(lambda: served.web.connections) == 2
    assert idle.recv(1) == b""
    served.answer(b"late")
    assert read_to_end(asking).endswith(b"late")
    half.sendall(request("/now")[9:])
    assert read_to_end(half).endswith(b"now")
    assert served.do(lambda: served.web.connections) == 0


def test_a_request_that_has_just_come_is_answered_and_not_closed_as_idle(
    served: ServerInThread,
) -> None:
    """When idle connections are closed, its bytes may be unread, or read but still in the queue."""
    served.do(served.web.close_after_answers)
    for _ in range(20):
        conn = served.client()

        def send_and_close_idle(conn: socket.socket = conn) -> None:
            conn.sendall(request("/now"))
            served.web.close_idle()
            served.web.close_idle()

        served.do(send_and_close_idle)
        assert read_to_end(conn).endswith(b"now")


def test_what_is_read_but_not_looked_at_when_reading_ends_is_answered(
    served: ServerInThread,
) -> None:
    conn = served.client()

    def send_and_end() -> None:
        conn.sendall(request("/now"))
        served.web.close_idle()
        served.web.stop_reading()
        served.web.close_unanswerable()

    served.do(served.web.close_after_answers)
    served.do(send_and_end)
    assert read_to_end(conn).endswith(b"now")


def test_after_the_end_of_reading_what_was_read_whole_is_answered(served: ServerInThread) -> None:
    half, asking = served.client(), served.client()
    half.sendall(request("/now")[:9])
    asking.sendall(request("/later"))
    served.wait(lambda: (served.web.partly_received, served.web.unanswered) == (1, 1))
    served.do(served.web.close_after_answers)
    served.do(served.web.stop_reading)
    served.do(served.web.close_unanswerable)
    assert half.recv(1) == b""
    served.answer(b"late")
    assert read_to_end(asking).endswith(b"late")
    served.wait(lambda: served.web.connections == 0)


def test_a_request_that_fails_inside_is_answered_once(served: ServerInThread) -> None:
    def fail(req: HttpRequest, reply: Reply) -> None:
        served.requests.append((req, reply))
        raise ValueError("handler failed")

    served.web._answer = fail
    conn = served.client()
    conn.sendall(request("/later"))
    assert read_to_end(conn).startswith(b"HTTP/1.1 500")
    served.answer(b"too late")
    served.wait(lambda: served.web.unanswered == 0)


def test_what_arrives_after_the_end_of_reading_is_not_read_by_a_loop_that_stood_still(
    served: ServerInThread,
) -> None:
    """Guard against reading, before the late check of a stop, what can't be answered any more."""
    conn = served.client()

    def stand_still() -> None:
        served.web.read_until(time.monotonic() + 0.05)
        time.sleep(0.1)
        conn.sendall(request("/now"))

    served.do(stand_still)
    time.sleep(0.2)
    assert served.requests == []
    served.do(served.web.stop_reading)
    served.do(served.web.close_unanswerable)
    assert served.do(lambda: served.web.stop_counts.closed_unread) == 1


# Guards against ending a connection with an unread request as if that request had been read.
@pytest.mark.parametrize("ends", ["as unanswerable", "as idle", "with the loop"])
def test_a_client_whose_request_was_not_read_sees_a_reset(
    served: ServerInThread, ends: str
) -> None:
    conn = served.client()

    def send_and_close() -> None:
        served.web.read_until(time.monotonic())
        conn.sendall(request("/now"))
        if ends == "as idle":
            served.web.close_idle()
        elif ends == "as unanswerable":
            served.web.stop_reading()
            served.web.close_unanswerable()
        else:
            served.web.server.close()

    served.do(send_and_close)
    with pytest.raises(ConnectionResetError):
        conn.recv(1)
    assert served.requests == []

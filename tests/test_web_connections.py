"""The HTTP server and its connections: what is kept for each, and which requests are answered."""

import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from spoolcrank._web import HttpReply, StopCounts
from spoolcrank._web_incoming import MAX_PIPELINED_BYTES
from tests.test_web_stop import ServerInThread, read_to_end, request

CLIENTS = 100


@pytest.fixture
def served() -> Iterator[ServerInThread]:
    server = ServerInThread()
    yield server
    server.close()


def entries_of_connections(served: ServerInThread) -> dict[str, int]:
    """Return the number of entries in each collection that has one for a connection."""
    web = served.web
    poller = web.server._poller
    return {
        "incoming": len(web._incoming),
        "sending": len(web._sending),
        "requests": len(web.http._clients),
        "parsers": len(web.http._buffers),
        "unhandled": len(web.server.unhandled),
        "buffers": len(web.server._buffers),
        "to close": len(web.server._closeq),
        "readers": len(poller._read),
        "writers": len(poller._write),
        "targets": len(poller._targets),
    }


def test_clients_that_leave_without_their_answer_leave_no_entries(served: ServerInThread) -> None:
    """Answers to them were kept for ever, each with an entry that slowed every later write."""
    before = served.do(lambda: entries_of_connections(served))
    for _ in range(CLIENTS):
        conn = socket.create_connection(("127.0.0.1", served.web.port))
        conn.sendall(request("/now"))
        conn.close()
    served.wait(lambda: not served.web.connections and len(served.requests) == CLIENTS)
    time.sleep(0.2)
    assert served.do(lambda: entries_of_connections(served)) == before


def test_a_pipelined_request_of_a_closed_connection_does_not_count_as_unanswered(
    served: ServerInThread,
) -> None:
    """Entries made after the connection had closed were never removed."""
    conn = served.client()
    before = served.do(lambda: entries_of_connections(served))
    conn.sendall(request("/later"))
    served.wait(lambda: len(served.requests) == 1)
    conn.sendall(request("/now"))
    sock = served.web.server.connections[0]
    served.wait(lambda: bool(served.web._incoming[sock].pipelined))

    def close_and_answer() -> None:
        served.web.server._close(sock)
        served.answer_now(b"late")

    served.do(close_and_answer)
    time.sleep(0.2)
    after = served.do(lambda: entries_of_connections(served))
    assert after == before | {"readers": before["readers"] - 1, "targets": before["targets"] - 1}


def answers_to(served: ServerInThread, *blocks: bytes) -> bytes:
    """Send blocks over one connection, close it with the last answer, and return all answers."""
    conn = served.client()
    for block in blocks:
        conn.sendall(block)
        time.sleep(0.05)
    served.do(served.web.close_after_answers)
    conn.sendall(request("/last"))
    served.wait(lambda: bool(served.requests) and served.requests[-1][0].path == "/last")
    served.do(lambda: served.answer_now(b"last"))
    return read_to_end(conn)


def post(path: str, body: bytes) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize("cut", [0, 5, 60, 75, 80])
def test_requests_that_come_in_one_block_are_all_answered_in_order(
    served: ServerInThread, cut: int
) -> None:
    """All behind the first were dropped with no answer, or became part of its body."""
    sent = request("/now?1") + post("/now?2", b"body") + post("/now?3", b"") + request("/now?4")
    answers = answers_to(served, sent[:cut], sent[cut:]) if cut else answers_to(served, sent)
    assert answers.count(b"HTTP/1.1 200") == 5
    asked = [(item.raw_query, item.body) for item, _ in served.requests]
    assert asked == [("1", b""), ("2", b"body"), ("3", b""), ("4", b""), ("", b"")]


def test_requests_that_come_together_behind_another_are_all_answered_in_order(
    served: ServerInThread,
) -> None:
    conn = served.client()
    conn.sendall(request("/later"))
    served.wait(lambda: len(served.requests) == 1)
    conn.sendall(request("/now?2") + request("/now?3")[:9])
    time.sleep(0.05)
    served.do(served.web.close_after_answers)

    def answer_as_the_rest_comes() -> None:
        conn.sendall(request("/now?3")[9:])
        served.web.server._read(served.web.server.connections[0])
        served.answer_now(b"first")

    served.do(answer_as_the_rest_comes)
    answers = read_to_end(conn)
    assert answers.count(b"HTTP/1.1 200") == 3
    assert [item.raw_query for item, _ in served.requests] == ["", "2", "3"]


def test_a_request_read_as_unanswerable_connections_are_closed_is_answered(
    served: ServerInThread,
) -> None:
    """It had been taken from the loop's queue but not yet passed on, and counted as not there."""
    conn = served.client()
    sock = served.web.server.connections[0]

    def close_unanswerable() -> None:
        served.web.stop_reading()
        served.web.close_unanswerable()

    def read_and_end() -> None:
        conn.sendall(request("/now"))
        served.web.server._read(sock)
        served.post(close_unanswerable)

    served.do(served.web.close_after_answers)
    served.do(read_and_end)
    assert read_to_end(conn).endswith(b"now")


@pytest.mark.parametrize("closes", ["instance", "client"])
def test_nothing_is_read_behind_the_request_whose_answer_closes_the_connection(
    served: ServerInThread, closes: str
) -> None:
    """A request that came before the close was carried out, and its answer never sent."""
    if closes == "instance":
        served.do(served.web.close_after_answers)
    header = b"Connection: close\r\n\r\n" if closes == "client" else b"\r\n"
    conn = served.client()
    conn.sendall(request("/later")[:-2] + header)
    served.wait(lambda: len(served.requests) == 1)

    def answer_as_another_comes() -> None:
        served.answer_now(b"last")
        conn.sendall(request("/now"))

    served.do(answer_as_another_comes)
    assert conn.recv(1 << 20).startswith(b"HTTP/1.1 200")
    served.wait(lambda: not served.web.connections)
    time.sleep(0.05)
    assert [item.path for item, _ in served.requests] == ["/later"]


def test_a_block_read_before_the_answer_is_answered_before_the_close(
    served: ServerInThread,
) -> None:
    conn = served.client()
    conn.sendall(request("/later"))
    served.wait(lambda: len(served.requests) == 1)
    served.do(served.web.close_after_answers)

    def answer_as_another_is_read() -> None:
        conn.sendall(request("/now"))
        served.web.server._read(served.web.server.connections[0])
        served.answer_now(b"first")

    served.do(answer_as_another_is_read)
    assert read_to_end(conn).count(b"HTTP/1.1 200") == 2


def test_a_request_behind_one_for_the_head_alone_is_taken_for_what_it_is(
    served: ServerInThread,
) -> None:
    """It was answered as the one before it, without a body, and its client waited for ever."""
    conn = served.client()
    conn.sendall(request("/now?1").replace(b"GET", b"HEAD"))
    served.wait(lambda: len(served.requests) == 1 and not served.web.unanswered)
    served.do(served.web.close_after_answers)
    conn.sendall(request("/now?2"))
    assert read_to_end(conn).endswith(b"\r\n\r\nnow")
    assert [(item.method, item.raw_query) for item, _ in served.requests] == [
        ("HEAD", "1"),
        ("GET", "2"),
    ]


def test_an_answer_without_a_body_closes_its_connection_in_a_stop(served: ServerInThread) -> None:
    conn = served.client()
    served.do(served.web.close_after_answers)
    conn.sendall(request("/now").replace(b"GET", b"HEAD"))
    assert read_to_end(conn).endswith(b"\r\n\r\n")


def test_a_stop_counts_the_connections_it_closes_and_what_it_finds_on_them(
    served: ServerInThread,
) -> None:
    """A client whose next request meets a close sees a reset, of which no line told anything."""
    idle, half, found, leaving, unread = (served.client() for _ in range(5))
    gone = served.client()
    half.sendall(request("/now")[:9])
    unread.sendall(request("/later"))
    served.wait(lambda: (served.web.partly_received, served.web.unanswered) == (1, 1))
    served.do(served.web.close_after_answers)
    leaving.sendall(request("/leaving"))
    assert read_to_end(leaving).startswith(b"HTTP/1.1 503")

    def send_and_close_idle() -> None:
        found.sendall(request("/now"))
        gone.close()
        served.web.close_idle()

    served.do(send_and_close_idle)
    assert read_to_end(found).endswith(b"now")
    assert idle.recv(1) == b""

    def answer_as_another_comes() -> None:
        unread.sendall(request("/now"))
        next(reply for item, reply in served.requests if item.path == "/later")(
            HttpReply(200, {}, b"late")
        )
        served.web.stop_reading()
        served.web.close_unanswerable()

    served.do(answer_as_another_comes)
    served.wait(lambda: not served.web.connections)
    counts = served.web.stop_counts
    assert counts == StopCounts(
        closed_idle=1, found_at_close=1, closed_half_sent=1, closed_unread=1, refused_leaving=1
    )


def test_the_listener_closes_though_a_pending_connection_cannot_be_taken(
    served: ServerInThread, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The exception left the listener open: clients went on connecting, and nobody answered."""
    poller = served.web.server._poller
    add_reader = poller.addReader
    failures = [OSError("no space in the poller")]

    def add_reader_that_fails_once(source: object, sock: socket.socket) -> None:
        add_reader(source, sock)
        if failures:
            raise failures.pop()

    def connect_and_stop_listening() -> tuple[list[socket.socket], Any]:
        made = [socket.create_connection(("127.0.0.1", port)) for _ in range(2)]
        monkeypatch.setattr(poller, "addReader", add_reader_that_fails_once)
        return made, served.web.stop_listening()

    port = served.web.port
    (refused, taken), accepted = served.do(connect_and_stop_listening)
    assert accepted == (1, "no space in the poller")
    refused.settimeout(1)
    assert refused.recv(1) == b""
    taken.sendall(request("/now"))
    assert taken.recv(1 << 16).startswith(b"HTTP/1.1 200")
    taken.close()
    refused.close()
    with pytest.raises(OSError):
        socket.create_connection(("127.0.0.1", port), timeout=1)


def test_what_is_read_behind_a_request_that_waits_is_bounded(served: ServerInThread) -> None:
    """A client that sends on and on while its request waits filled the memory."""
    conn = served.client()
    conn.sendall(request("/later"))
    served.wait(lambda: len(served.requests) == 1)
    sock = served.web.server.connections[0]
    body = b"x" * (1 << 19)
    sender = threading.Thread(target=lambda: conn.sendall(post("/now", body) * 20), daemon=True)
    sender.start()
    time.sleep(0.5)
    waiting = served.do(lambda: sum(map(len, served.web._incoming[sock].pipelined)))
    assert 0 < waiting <= 2 * MAX_PIPELINED_BYTES
    served.do(lambda: served.answer_now(b"first"))
    served.wait(lambda: len(served.requests) == 21)
    assert all(item.body == body for item, _ in served.requests[1:])
    sender.join()

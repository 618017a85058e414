"""The HTTP server and its connections: what is kept for each, and which requests are answered."""

import socket
import time
from collections.abc import Iterator

import pytest

from tests.test_web_stop import ServerInThread, request

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

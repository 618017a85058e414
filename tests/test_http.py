"""Calls over real connections: what counts as an answer in time."""

import socket
import threading
import time
from collections.abc import Callable

from spoolcrank._http import Failed, HttpCall, HttpResult
from spoolcrank._runtime import Runtime
from spoolcrank.ids import Address

PARTS = 6
PAUSE_S = 0.1
PART = b"x" * 10
WAIT_S = 30.0

Send = Callable[[socket.socket], None]


def _in_parts(conn: socket.socket) -> None:
    """Send the whole answer, which takes PARTS pauses at least."""
    for _ in range(PARTS):
        time.sleep(PAUSE_S)
        conn.sendall(PART)


def _first_part_only(conn: socket.socket) -> None:
    """Send a part, then nothing until the client gives up."""
    conn.sendall(PART)
    conn.recv(1)


def _serve(listener: socket.socket, send: Send) -> None:
    conn, _ = listener.accept()
    with conn:
        conn.recv(4096)
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PARTS * len(PART)))
        try:
            send(conn)
        except OSError:
            return


def _call(send: Send, timeout_s: float, quiet_s: float | None) -> HttpResult:
    listener = socket.create_server(("127.0.0.1", 0))
    server = threading.Thread(target=_serve, args=(listener, send), daemon=True)
    server.start()
    port = listener.getsockname()[1]
    runtime = Runtime()
    told: list[HttpResult] = []
    answered = threading.Event()

    def done(got: HttpResult) -> None:
        told.append(got)
        answered.set()

    call = HttpCall(Address(f"127.0.0.1:{port}"), "GET", "/", {}, b"", timeout_s, quiet_s)
    stop = runtime.run_in_thread()
    runtime.post(lambda: runtime.http.send(call, done) and None)
    assert answered.wait(WAIT_S)
    stop()
    server.join(WAIT_S)
    listener.close()
    return told[0]


def test_a_large_answer_over_a_slow_link_is_waited_for_while_it_comes() -> None:
    """Instances behind slow links gave up such answers of the store and began again for ever."""
    assert _call(_in_parts, PAUSE_S * PARTS / 2, WAIT_S).body == PART * PARTS


def test_an_answer_that_stops_half_way_is_given_up() -> None:
    assert _call(_first_part_only, WAIT_S, PAUSE_S).failed is Failed.TIMED_OUT


def test_a_call_with_a_time_for_the_whole_is_given_up_after_it() -> None:
    assert _call(_first_part_only, PAUSE_S, None).failed is Failed.TIMED_OUT

"""The HTTP server: what was read is answered, in whichever turn of the loop a stop looks at it."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from circuits import BaseComponent, Event, handler

from spoolcrank._web import HttpReply, HttpRequest, Reply
from tests.test_web_stop import ServerInThread, read_to_end, request

CHUNKED = (
    b"POST /now HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)
WAIT_S = 2.0

UNREADABLE = [
    b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: a:99999\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: [::1\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: \xff\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Encoding: deflate\r\nContent-Length: 3\r\n\r\nabc",
]


class EachTurn(BaseComponent):
    """Runs an action in every turn of the loop, right before the timers."""

    channel = "each-turn"

    def __init__(self, action: Callable[[], None]) -> None:
        super().__init__()
        self._action = action

    @handler("generate_events", channel="*", priority=3)
    def _on_generate_events(self, event: Event) -> None:
        self._action()
        event.reduce_time_left(0.001)


@pytest.fixture
def served() -> Iterator[ServerInThread]:
    server = ServerInThread()
    yield server
    server.close()


def answer_by(served: ServerInThread, answer: Callable[[HttpRequest, Reply], None]) -> None:
    def take(req: HttpRequest, reply: Reply) -> None:
        served.requests.append((req, reply))
        answer(req, reply)

    served.do(lambda: setattr(served.web, "_answer", take))


def close_in_each_turn(served: ServerInThread, state: str) -> None:
    """Do what a stop does in a state, in every turn after the first bytes were read."""
    web = served.web
    act = {"refusing": web.close_idle, "sending": web.close_unanswerable}[state]

    def act_later() -> None:
        if web._incoming:
            act()

    served.do(lambda: EachTurn(act_later).register(served._runtime))


def answers_to(served: ServerInThread, sent: bytes) -> bytes:
    conn = served.client()
    conn.settimeout(WAIT_S)
    conn.sendall(sent)
    return read_to_end(conn)


@pytest.mark.parametrize("state", ["refusing", "sending"])
@pytest.mark.parametrize("sent", [request("/now"), CHUNKED], ids=["no body", "chunked"])
def test_a_request_that_was_read_is_answered_in_any_turn(
    served: ServerInThread, state: str, sent: bytes
) -> None:
    """One with a body in chunks was closed between the end of the body and its handling."""
    close_in_each_turn(served, state)
    assert answers_to(served, sent).count(b"HTTP/1.1 200") == 1


@pytest.mark.parametrize("state", ["refusing", "sending"])
@pytest.mark.parametrize("body", [b"", b"now"], ids=["no body", "body"])
def test_pipelined_requests_are_answered_in_any_turn(
    served: ServerInThread, state: str, body: bytes
) -> None:
    """The last answer was thrown away if the one before it had no body.

    Once that was sent, the connection counted as one without work.
    """
    answer_by(served, lambda req, reply: reply(HttpReply(410, {}, body)))
    close_in_each_turn(served, state)
    assert answers_to(served, request("/a") * 3).count(b"HTTP/1.1 410") == 3


@pytest.mark.parametrize("sent", UNREADABLE)
def test_a_request_that_cannot_be_decoded_is_refused_at_once(
    served: ServerInThread, sent: bytes
) -> None:
    """It had no answer for 10 s, and held a planned stop up to its forced end."""
    received = answers_to(served, sent)
    assert received.startswith(b"HTTP/1.1 400")
    assert b"Spoolcrank-Outcome: not-run" in received
    served.wait(lambda: served.web.unanswered == 0)


def test_an_exception_in_a_handler_is_answered_as_an_internal_error(
    served: ServerInThread,
) -> None:
    """The answer was a page of the web framework without the headers of a refusal."""

    def fail(req: HttpRequest, reply: Reply) -> Any:
        raise ValueError(req.path)

    answer_by(served, fail)
    received = answers_to(served, request("/a"))
    assert received.startswith(b"HTTP/1.1 500")
    assert b"Spoolcrank-Error: internal" in received
    served.wait(lambda: served.web.unanswered == 0)

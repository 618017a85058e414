"""Serve HTTP through circuits.web behind one plain function.

A daemon gives a function that takes a request and a way to reply; the reply may come at
any later time. Bounds on sizes and on half-sent requests are kept here.
"""

import json
import socket
import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from circuits import BaseComponent, Event, handler
from circuits.net.events import close, write
from circuits.web.events import response
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from spoolcrank._timers import Timers
from spoolcrank._web_sockets import Accepted, WebSockets
from spoolcrank.errors import ANSWERS, ErrorKind, Refusal

MAX_BODY = 1 << 20
MAX_HEAD = 16 << 10
HALF_SENT_S = 10.0
_SWEEP_S = 1.0
_LENGTH_MAX_DIGITS = 12
JSON_TYPE = "application/json"


class HttpRequest(NamedTuple):
    """One request that arrived whole.

    Attributes:
        method: upper case.
        path: without the query.
        query: the last value of each name.
        raw_query: the query as it was sent.
        headers: by lower-case names.
        body: as sent.
        peer: IP address of the other side.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str
    raw_query: str = ""


class HttpReply(NamedTuple):
    """One answer: status, headers, body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Unsent(NamedTuple):
    """One answer that the kernel did not take whole yet.

    Attributes:
        method, path: of the request.
        read_at: when its first bytes were read, s of the monotonic clock.
    """

    method: str
    path: str
    read_at: float


Reply = Callable[[HttpReply], None]
Answerer = Callable[[HttpRequest, Reply], None]


def json_reply(status: int, value: Any, headers: Mapping[str, str] | None = None) -> HttpReply:
    """Return an answer with a JSON body."""
    merged = {"Content-Type": JSON_TYPE, **(headers or {})}
    return HttpReply(status, merged, json.dumps(value).encode())


def refusal_reply(refusal: Refusal, headers: Mapping[str, str] | None = None) -> HttpReply:
    """Return the answer for an error of ours, by the table of kinds."""
    answer = ANSWERS[refusal.kind]
    merged = {
        "Spoolcrank-Outcome": answer.header,
        "Spoolcrank-Error": refusal.kind.value,
        **(headers or {}),
    }
    if refusal.retry_after_s > 0:
        merged["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    body: dict[str, Any] = {
        "error": refusal.kind.value,
        "detail": refusal.detail,
        "outcome": answer.header,
        "retry": answer.retry,
    }
    if refusal.field:
        body["field"] = refusal.field
    if refusal.retry_after_s > 0:
        body["retry_after_s"] = round(refusal.retry_after_s, 3)
    return json_reply(answer.status, body, merged)


class _Incoming:
    """What has arrived on a connection since its last answer."""

    __slots__ = ("busy", "head", "held", "since", "size")

    def __init__(self, now: float) -> None:
        self.size = 0
        self.head = b""
        self.since = now
        self.busy = False
        self.held: list[bytes] = []


class WebServer(BaseComponent):
    """Listen on one address and answer by a function."""

    channel = "web"
    secure = False

    def __init__(
        self, bind: tuple[str, int], answer: Answerer, timers: Timers, channel: str = "web"
    ) -> None:
        super().__init__(channel=channel)
        self._answer = answer
        self._timers = timers
        self._incoming: dict[socket.socket, _Incoming] = {}
        self._sending: dict[socket.socket, Unsent] = {}
        self._closes = False
        self.server: WebSockets = WebSockets(bind, self.channel).register(self)
        self.http = HTTP(self, channel=self.channel).register(self)
        timers.every(_SWEEP_S, self._sweep)

    @property
    def host(self) -> str:
        """Return the bound IP address."""
        return str(self.server.host)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self.server.port or 0)

    @property
    def unanswered(self) -> int:
        """Return how many requests read whole have answers not yet given to the kernel."""
        return sum(1 for seen in self._incoming.values() if seen.busy) + len(self._sending)

    @property
    def unsent(self) -> list[Unsent]:
        """Return the answers that the kernel did not take whole yet."""
        return list(self._sending.values())

    @property
    def connections(self) -> int:
        """Return how many connections stand."""
        return len(self.server.connections)

    @property
    def half_sent(self) -> int:
        """Return on how many connections a part of a request has come."""
        return sum(1 for seen in self._incoming.values() if seen.size and not seen.busy)

    def close_after_answers(self) -> None:
        """Close each connection with its next answer, so that callers go elsewhere."""
        self._closes = True

    def stop_listening(self) -> Accepted:
        """Take no new connection; those that stand, or wait to be accepted, are served on."""
        return self.server.stop_listening()

    def close_idle(self) -> None:
        """Close the connections on which no request, nor a part of one, was read."""
        for sock in self.server.connections:
            seen = self._incoming.get(sock)
            if not self._has_work(sock) and (seen is None or not seen.size):
                self.server.close_unless_bytes_wait(sock)

    def stop_reading(self) -> None:
        """Read nothing more; what was read whole is answered."""
        self.server.stop_reading()

    def close_unanswerable(self) -> None:
        """After the end of reading, close the connections whose request can't come whole any more.

        A closed one would be reset at the end of the process too; its client knows that nothing of
        the request was taken, as it was not sent whole or not read.
        """
        for sock in self.server.connections:
            if not self._has_work(sock):
                self.server.close(sock)

    def _has_work(self, sock: socket.socket) -> bool:
        seen = self._incoming.get(sock)
        busy = seen is not None and seen.busy
        return busy or sock in self._sending or sock in self.server.unhandled

    @handler("read", priority=10)
    def _on_read(self, event: Event, sock: socket.socket, data: bytes) -> None:
        self.server.handled(sock)
        seen = self._incoming.setdefault(sock, _Incoming(time.monotonic()))
        if seen.busy:
            event.stop()
            seen.held.append(data)
            return
        if seen.size == 0:
            seen.since = time.monotonic()
        seen.size += len(data)
        refusal = self._check(seen, data)
        if refusal is not None:
            event.stop()
            self._refuse_raw(sock, refusal)

    def _check(self, seen: _Incoming, data: bytes) -> Refusal | None:
        if seen.size > MAX_BODY + MAX_HEAD:
            return Refusal(ErrorKind.TOO_LARGE, f"a body may have {MAX_BODY} bytes", "body")
        if b"\r\n\r\n" in seen.head:
            return None
        seen.head += data
        end = seen.head.find(b"\r\n\r\n")
        if end < 0:
            if len(seen.head) > MAX_HEAD:
                return Refusal(ErrorKind.TOO_LARGE, f"headers may have {MAX_HEAD} bytes", "headers")
            return None
        return _check_head(seen.head[:end])

    def _refuse_raw(self, sock: socket.socket, refusal: Refusal) -> None:
        reply = refusal_reply(refusal, {"Connection": "close"})
        head = [f"HTTP/1.1 {reply.status} refused"]
        head += [f"{name}: {value}" for name, value in reply.headers.items()]
        head.append(f"Content-Length: {len(reply.body)}")
        self._incoming[sock].size = 0
        self._sending[sock] = Unsent("", "", self._incoming[sock].since)
        self.fire(write(sock, "\r\n".join(head).encode() + b"\r\n\r\n" + reply.body))
        self.fire(close(sock))

    @handler("request", priority=1)
    def _on_request(self, event: Event, req: Request, res: Response) -> bool:
        event.stop()
        sock = req.sock
        seen = self._incoming.setdefault(sock, _Incoming(time.monotonic()))
        seen.busy = True
        answered = False

        def reply(answer: HttpReply) -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            self._send(sock, res, answer)

        plain = HttpRequest(
            method=req.method,
            path=req.path,
            query=dict(parse_qsl(req.qs)),
            headers={str(name).lower(): str(value) for name, value in req.headers.items()},
            body=req.body.read(),
            peer=str(req.remote.ip),
            raw_query=req.qs,
        )
        self._answer(plain, reply)
        return True

    def _send(self, sock: socket.socket, res: Response, answer: HttpReply) -> None:
        seen = self._incoming.get(sock)
        if seen is None:
            return
        res.status = answer.status
        # What came behind this request was read too: it is answered before the close.
        if self._closes and not seen.held:
            res.close = True
        for name, value in answer.headers.items():
            res.headers[name] = value
        res.body = answer.body
        self._sending[sock] = Unsent(res.request.method, res.request.path, seen.since)
        self.fire(response(res))
        seen.busy = False
        seen.size = 0
        seen.head = b""
        held, seen.held = seen.held, []
        if held:
            self.server.unhandled[sock] += 1
            self.fire(Event.create("read", sock, b"".join(held)))

    @handler("httperror", priority=1)
    def _on_httperror(self, event: Event, req: Request, res: Response, code: int, **_: Any) -> None:
        if code == 500 and getattr(event, "error", None) is None:
            return
        kind = ErrorKind.BAD_REQUEST if code < 500 else ErrorKind.INTERNAL
        refusal = Refusal(kind, f"the request could not be read (HTTP {code})")
        answer = refusal_reply(refusal)
        event.stop()
        seen = self._incoming.get(req.sock)
        if seen is not None:
            seen.busy = False
            self._sending[req.sock] = Unsent(req.method or "", req.path or "", seen.since)
        for name, value in answer.headers.items():
            res.headers[name] = value
        res.status = answer.status
        res.close = True
        res.body = answer.body
        self.fire(response(res))

    @handler("_write")
    def _on_written(self, sock: socket.socket) -> None:
        """Take note of an answer whose last bytes the kernel took; the server has just sent some.

        The events that fill a connection's buffer are all handled before the first of these.
        """
        if not self.server.holds_unsent(sock):
            self._sending.pop(sock, None)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._sending.pop(sock, None)
        self.server.unhandled.pop(sock, None)
        self._incoming.pop(sock, None)
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *peer: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @handler("closed", "error")
    def _on_other(self, *args: object) -> None:
        """Take events that need nothing done."""

    def _sweep(self) -> None:
        now = time.monotonic()
        for sock, seen in list(self._incoming.items()):
            if seen.size and not seen.busy and now - seen.since > HALF_SENT_S:
                refusal = Refusal(ErrorKind.BAD_REQUEST, "the request did not arrive whole in time")
                self._refuse_raw(sock, refusal)


def _check_head(head: bytes) -> Refusal | None:
    lengths = set()
    chunked = False
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            lengths.add(value.strip())
        if name.strip().lower() == b"transfer-encoding":
            chunked = True
    if not lengths:
        return None
    if len(lengths) > 1 or chunked:
        return Refusal(ErrorKind.BAD_REQUEST, "the body's length is ambiguous", "content-length")
    length = lengths.pop()
    if not length.isdigit() or len(length) > _LENGTH_MAX_DIGITS:
        return Refusal(ErrorKind.BAD_REQUEST, "the body's length is not a number", "content-length")
    if int(length) > MAX_BODY:
        return Refusal(ErrorKind.TOO_LARGE, f"a body may have {MAX_BODY} bytes", "content-length")
    return None

"""Serve HTTP through circuits.web and pass each request to one function.

A daemon provides a function that gets a request and a reply callback, which it may call at any
later time. This module enforces limits on the size of requests and on the time they take to arrive.
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
from spoolcrank._web_incoming import Incoming
from spoolcrank._web_sockets import AcceptResult, StopCounts, WebSockets
from spoolcrank.errors import ANSWERS, ErrorKind, Refusal

PARTIAL_REQUEST_TIMEOUT_S = 10.0
_PARTIAL_REQUEST_CHECK_S = 1.0
JSON_TYPE = "application/json"


class HttpRequest(NamedTuple):
    """Request that arrived completely.

    Attributes:
        method: HTTP method in upper case.
        path: path without the query.
        query: last value of each name in the query.
        raw_query: query as it was sent.
        headers: headers by lower-case name.
        body: body as it was sent.
        peer: IP address of the client.
        client_left: returns whether the client has closed the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str
    raw_query: str = ""
    client_left: Callable[[], bool] = lambda: False


class HttpReply(NamedTuple):
    """Status, headers and body of the answer to one request."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class UnsentAnswer(NamedTuple):
    """Answer that is not yet completely passed to the kernel.

    Attributes:
        method, path: method and path of the request.
        read_at: time at which its first bytes were read, in seconds of the monotonic clock.
    """

    method: str
    path: str
    read_at: float


Reply = Callable[[HttpReply], None]
RequestHandler = Callable[[HttpRequest, Reply], None]


def json_reply(status: int, value: Any, headers: Mapping[str, str] | None = None) -> HttpReply:
    """Return an answer with a JSON body."""
    merged = {"Content-Type": JSON_TYPE, **(headers or {})}
    return HttpReply(status, merged, json.dumps(value).encode())


def refusal_reply(refusal: Refusal, headers: Mapping[str, str] | None = None) -> HttpReply:
    """Return the answer for a refusal, according to the table of error kinds."""
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


class WebServer(BaseComponent):
    """HTTP server of one address that answers requests by a function."""

    channel = "web"
    secure = False

    def __init__(
        self, bind: tuple[str, int], answer: RequestHandler, timers: Timers, channel: str = "web"
    ) -> None:
        super().__init__(channel=channel)
        self._answer = answer
        self._timers = timers
        self._incoming: dict[socket.socket, Incoming] = {}
        self._sending: dict[socket.socket, UnsentAnswer] = {}
        self._close_after_answers = False
        self._closed_half_sent = 0
        self._refused_leaving = 0
        self.server: WebSockets = WebSockets(bind, self.channel).register(self)
        self.http = HTTP(self, channel=self.channel).register(self)
        timers.every(_PARTIAL_REQUEST_CHECK_S, self._refuse_stalled_requests)

    @property
    def host(self) -> str:
        """Return the IP address to which the listener is bound."""
        return str(self.server.host)

    @property
    def port(self) -> int:
        """Return the port to which the listener is bound; 0 if there is none."""
        return int(self.server.port or 0)

    @property
    def unanswered(self) -> int:
        """Return how many complete requests have answers not yet passed to the kernel."""
        return sum(item.unanswered for item in self._incoming.values()) + len(self._sending)

    @property
    def unsent(self) -> list[UnsentAnswer]:
        """Return the answers that are not yet completely passed to the kernel."""
        return list(self._sending.values())

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self.server.connections)

    @property
    def connections_with_work(self) -> int:
        """Return how many open connections hold bytes not handled or answers not sent yet."""
        return sum(self._has_work(sock) for sock in self.server.connections)

    @property
    def partly_received(self) -> int:
        """Return how many connections hold a partly received request."""
        return sum(incoming.partly_received for incoming in self._incoming.values())

    @property
    def stop_counts(self) -> StopCounts:
        """Return what was done to connections in a stop so far."""
        return StopCounts(
            closed_idle=self.server.closed_idle,
            found_at_close=self.server.found_at_close,
            closed_half_sent=self._closed_half_sent,
            closed_unread=self.server.closed_unread,
            refused_leaving=self._refused_leaving,
        )

    def close_after_answers(self) -> None:
        """Close each connection with its next answer, so that clients go to other instances."""
        self._close_after_answers = True

    def stop_listening(self) -> AcceptResult:
        """Close the listener; connections that are open or pending are still served."""
        return self.server.stop_listening()

    def close_idle(self) -> None:
        """Close the connections that hold no request, not even a partly received one."""
        for sock in self.server.connections:
            incoming = self._incoming.get(sock)
            if not self._has_work(sock) and (incoming is None or not incoming.size):
                self.server.close_if_nothing_arrived(sock)

    def read_until(self, at: float) -> None:
        """Read nothing from a time of the monotonic clock on, also if `stop_reading` comes late."""
        self.server.read_until = at

    def stop_reading(self) -> None:
        """Stop reading; requests that were read completely are still answered."""
        self.server.stop_reading()

    def close_unanswerable(self) -> None:
        """Close, after `stop_reading`, the connections whose request can't be completed any more.

        The end of the process would reset them too. Their clients know that the request was not
        accepted, because it was not sent completely or not read.
        """
        for sock in self.server.connections:
            if not self._has_work(sock):
                incoming = self._incoming.get(sock)
                if incoming is not None and incoming.partly_received:
                    self._closed_half_sent += 1
                self.server.close(sock)

    def _has_work(self, sock: socket.socket) -> bool:
        incoming = self._incoming.get(sock)
        waits = incoming is not None and (incoming.unanswered or bool(incoming.pipelined))
        return waits or sock in self._sending or sock in self.server.unhandled

    @handler("read", priority=10)
    def _on_read(self, event: Event, sock: socket.socket, data: bytes) -> None:
        event.stop()
        self.server.mark_handled(sock)
        incoming = self._incoming.setdefault(sock, Incoming(time.monotonic()))
        if incoming.closing:
            return
        # One answer at a time: `_on_written` can't tell the bytes of two answers apart.
        if incoming.unanswered or incoming.pipelined or sock in self._sending:
            incoming.pipelined.append(data)
            if incoming.is_full:
                self.server.stop_reading_from(sock)
        else:
            self._receive(sock, incoming, data)

    @handler("pipelined")
    def _on_pipelined(self, sock: socket.socket, incoming: Incoming) -> None:
        blocks, incoming.pipelined = incoming.pipelined, []
        if sock in self._incoming:
            self._receive(sock, incoming, b"".join(blocks))
            if not incoming.closing and not incoming.is_full:
                self.server.resume_reading_from(sock)

    def _receive(self, sock: socket.socket, incoming: Incoming, data: bytes) -> None:
        block = incoming.add(data, time.monotonic())
        if block.refusal is not None:
            self._refuse_raw(sock, block.refusal)
            return
        if block.rest:
            incoming.pipelined.append(block.rest)
        # The parser of circuits discards what follows a complete request.
        try:
            self.http._on_read(sock, block.own)
        except Exception as exc:  # The parser raises many kinds on what it can't decode.
            self._refuse_raw(sock, Refusal(ErrorKind.BAD_REQUEST, f"the request: {exc}"))
            return
        # Only the parser knows the end of a body in chunks.
        incoming.whole = incoming.whole or sock not in self.http._buffers

    def _refuse_raw(self, sock: socket.socket, refusal: Refusal) -> None:
        reply = refusal_reply(refusal, {"Connection": "close"})
        head = [f"HTTP/1.1 {reply.status} refused"]
        head += [f"{name}: {value}" for name, value in reply.headers.items()]
        head.append(f"Content-Length: {len(reply.body)}")
        self._begin_close(sock, self._incoming[sock])
        self._sending[sock] = UnsentAnswer("", "", self._incoming[sock].since)
        self.fire(write(sock, "\r\n".join(head).encode() + b"\r\n\r\n" + reply.body))
        self.fire(close(sock))

    @handler("request", priority=1)
    def _on_request(self, event: Event, req: Request, res: Response) -> bool:
        event.stop()
        sock = req.sock
        incoming = self._incoming.setdefault(sock, Incoming(time.monotonic()))
        incoming.busy = True
        answered = False

        def reply(answer: HttpReply) -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            self._send(sock, res, answer)

        http_request = HttpRequest(
            method=req.method,
            path=req.path,
            query=dict(parse_qsl(req.qs)),
            headers={str(name).lower(): str(value) for name, value in req.headers.items()},
            body=req.body.read(),
            peer=str(req.remote.ip),
            raw_query=req.qs,
            client_left=lambda: self.server.has_left(sock),
        )
        self._answer(http_request, reply)
        return True

    def _send(self, sock: socket.socket, res: Response, answer: HttpReply) -> None:
        incoming = self._incoming.get(sock)
        if incoming is None:
            return
        if answer.headers.get("Spoolcrank-Error") == ErrorKind.LEAVING.value:
            self._refused_leaving += 1
        res.status = answer.status
        # Requests pipelined behind this one were read too: answer them before closing.
        is_last = not incoming.pipelined and not self.server.unhandled[sock]
        if self._close_after_answers and is_last:
            res.close = True
        for name, value in answer.headers.items():
            res.headers[name] = value
        res.body = answer.body
        self._sending[sock] = UnsentAnswer(res.request.method, res.request.path, incoming.since)
        self.fire(response(res))
        # Else circuits takes the next request of the connection for this one.
        self.http._clients.pop(sock, None)
        incoming.begin_next()
        if res.close:
            self._begin_close(sock, incoming)

    def _begin_close(self, sock: socket.socket, incoming: Incoming) -> None:
        """Stop reading from a connection that closes with an answer that has just been given."""
        incoming.begin_next()
        incoming.closing = True
        incoming.pipelined = []
        self.server.stop_reading_from(sock)

    @handler("httperror", priority=1)
    def _on_httperror(self, event: Event, req: Request, res: Response, *_: Any, **__: Any) -> None:
        code = event.code
        if code == 500 and event.error is None:
            return
        kind = ErrorKind.BAD_REQUEST if code < 500 else ErrorKind.INTERNAL
        refusal = Refusal(kind, f"the request could not be read (HTTP {code})")
        answer = refusal_reply(refusal)
        event.stop()
        incoming = self._incoming.get(req.sock)
        if incoming is not None:
            self._begin_close(req.sock, incoming)
            self._sending[req.sock] = UnsentAnswer(req.method or "", req.path or "", incoming.since)
        for name, value in answer.headers.items():
            res.headers[name] = value
        res.status = answer.status
        res.close = True
        res.body = answer.body
        self.fire(response(res))

    @handler("response", priority=-1)
    def _on_response(self, res: Response) -> None:
        """Close behind an answer to a HEAD request; circuits closes only behind a body."""
        if res.request.method == "HEAD" and res.close:
            self.fire(close(res.request.sock))

    @handler("_write")
    def _on_written(self, sock: socket.socket) -> None:
        """Record the end of an answer once the kernel has accepted its last bytes.

        The server has just sent bytes. All events that fill a connection's buffer are handled
        before the first event of this kind.
        """
        if self.server.has_unsent_bytes(sock) or self._sending.pop(sock, None) is None:
            return
        incoming = self._incoming.get(sock)
        if incoming is not None and incoming.pipelined:
            self.fire(Event.create("pipelined", sock, incoming))

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self.server.forget(sock)
        self._sending.pop(sock, None)
        self._incoming.pop(sock, None)
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *peer: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @handler("closed", "error")
    def _on_ignored(self, *args: object) -> None:
        """Handle the events of the server that need no action."""

    def _refuse_stalled_requests(self) -> None:
        now = time.monotonic()
        for sock, incoming in list(self._incoming.items()):
            if (
                incoming.size
                and not incoming.busy
                and now - incoming.since > PARTIAL_REQUEST_TIMEOUT_S
            ):
                refusal = Refusal(ErrorKind.BAD_REQUEST, "the request did not arrive whole in time")
                self._refuse_raw(sock, refusal)

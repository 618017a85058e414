"""Send HTTP requests from a circuits loop and report whether they may have reached the server.

A connection carries one request at a time. If its state is uncertain, for example after a timeout,
it is closed and never used again, so an answer cannot reach the wrong request.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from circuits.web.parsers import HttpParser

from spoolcrank._dialer import Connection, Dialer
from spoolcrank._timers import Timer, Timers
from spoolcrank.ids import Address

_MAX_IDLE_PER_ADDRESS = 64
_PARSER_KIND_RESPONSE = 1


class CallFailure(Enum):
    """Reason why a call got no valid answer."""

    NOT_SENT = "not-sent"
    CUT = "cut"
    TIMED_OUT = "timed-out"
    GARBLED = "garbled"


class HttpCall(NamedTuple):
    """Request to send.

    Attributes:
        address: `IP:PORT` of the server.
        method: HTTP method in upper case.
        path: path with the query.
        headers: headers that are sent unchanged, with Host and Content-Length added.
        body: body to send.
        timeout_s: time limit for the whole call, or until its answer begins if `max_pause_s` is
            set.
        max_pause_s: longest pause within the answer, so that a large answer over a slow link may
            take any total time; None if the whole call has to end within `timeout_s`.
        resend_after_s: time after which a call that may safely run twice is sent again over a new
            connection, if a reused one has received nothing; None to never resend it. Idle
            connections may have gone silent without a reset while new ones work.
        peer: name of the intended process, if it matters which one listens at the address.
        connect_timeout_s: time limit for opening a new connection; None if only `timeout_s` limits
            it.
        body_for_unknown_peer: body that is sent instead of `body` unless `peer` is known to be at
            the other end of the connection; None if any process may receive `body`.
    """

    address: Address
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    max_pause_s: float | None = None
    resend_after_s: float | None = None
    peer: str = ""
    body_for_unknown_peer: bytes | None = None
    connect_timeout_s: float | None = None


@dataclass
class PeerIdentity:
    """Name of the process at the other end of a connection; empty until an answer has named it."""

    name: str = ""


class HttpResult(NamedTuple):
    """Result of a call.

    Attributes:
        failed: reason of a failure; None if a complete answer arrived.
        status: HTTP status; 0 after a failure.
        headers: headers of the answer by lower-case name.
        body: complete body of the answer.
        sent: whether any byte may have reached the other side.
        peer: identity of the process at the other end of the connection; code that finds its name
            in an answer stores it there.
    """

    failed: CallFailure | None
    status: int = 0
    headers: Mapping[str, str] = {}
    body: bytes = b""
    sent: bool = True
    peer: PeerIdentity | None = None

    @property
    def ok(self) -> bool:
        """Return whether a complete answer with a 2xx status arrived."""
        return self.failed is None and 200 <= self.status < 300


Done = Callable[[HttpResult], None]


class _Exchange:
    """One connection with the call that is in flight on it, if any."""

    def __init__(self, pool: "HttpClient", address: Address) -> None:
        self._pool = pool
        self.address = address
        self.call: HttpCall | None = None
        self._on_done: Done | None = None
        self._parser = HttpParser(_PARSER_KIND_RESPONSE, False)
        self._timer: Timer | None = None
        self._sent = False
        self._started_at = 0.0
        self.answered_at: float | None = None
        self.answer_started = False
        self.peer = PeerIdentity()
        self.conn: Connection | None = None

    def start(self, call: HttpCall, done: Done) -> None:
        self.call = call
        self._on_done = done
        self._started_at = time.monotonic()
        self.answer_started = False
        self._parser = HttpParser(_PARSER_KIND_RESPONSE, False)
        self._sent = False
        is_connected = self.conn is not None and self.conn.connected
        limit_s = call.timeout_s
        if call.connect_timeout_s is not None and not is_connected:
            limit_s = min(limit_s, call.connect_timeout_s)
        self._timer = self._pool.timers.after(limit_s, self._on_timeout)
        if is_connected:
            self._send()

    def _send(self) -> None:
        if self.call is None or self.conn is None:
            return
        self._sent = True
        self.conn.write(_render(self.call, self.peer))

    def on_connected(self) -> None:
        call = self.call
        if call is not None and call.connect_timeout_s is not None and self._timer is not None:
            left_s = self._started_at + call.timeout_s - time.monotonic()
            self._timer.cancel()
            self._timer = self._pool.timers.after(max(0.0, left_s), self._on_timeout)
        self._send()

    def on_data(self, data: bytes) -> None:
        if self.call is None:
            self._close()
            self._pool.remove_idle(self)
            return
        self.answer_started = True
        if self.call.max_pause_s is not None and self._timer is not None:
            self._timer.cancel()
            self._timer = self._pool.timers.after(self.call.max_pause_s, self._on_timeout)
        self._parser.execute(data, len(data))
        if self._parser.errno is not None:
            self._finish(HttpResult(CallFailure.GARBLED), keep=False)
        elif self._is_complete():
            self._deliver()

    def _is_complete(self) -> bool:
        parser = self._parser
        if not parser.is_headers_complete():
            return False
        return bool(parser.is_message_complete() or parser._clen == 0)

    def _deliver(self) -> None:
        parser = self._parser
        headers = {str(name).lower(): str(value) for name, value in parser.get_headers().items()}
        body = parser.recv_body()
        content_length = headers.get("content-length")
        if content_length is not None and content_length != str(len(body)):
            self._finish(HttpResult(CallFailure.GARBLED), keep=False)
            return
        result = HttpResult(None, parser.get_status_code(), headers, body, peer=self.peer)
        self._finish(result, keep=parser.should_keep_alive())

    def on_closed(self, reason: str) -> None:
        self.conn = None
        self._pool.remove_idle(self)
        if self.call is not None:
            failed = CallFailure.CUT if self._sent else CallFailure.NOT_SENT
            self._finish(HttpResult(failed, sent=self._sent), keep=False)

    def read_arrived(self) -> None:
        """Read what has arrived of the answer to the call in flight.

        A busy process runs overdue timers before it reads its sockets. An answer that arrived in
        time would then count as missing, and its connection would be closed.
        """
        call = self.call
        while self.call is call and self.conn is not None and self.conn.read():
            pass

    def _on_timeout(self) -> None:
        call, timer = self.call, self._timer
        self.read_arrived()
        if self.call is not call or self._timer is not timer:
            return
        failed = CallFailure.TIMED_OUT if self._sent else CallFailure.NOT_SENT
        if self._sent and not self.answer_started:
            self._pool.close_idle_without_answer(self.address, self._started_at)
        self._finish(HttpResult(failed, sent=self._sent), keep=False)

    def abort(self) -> None:
        """End the call as timed out."""
        self._finish(HttpResult(CallFailure.TIMED_OUT, sent=self._sent), keep=False)

    def close(self) -> None:
        """Close the connection; no call may be in flight on it."""
        self._close()

    def _finish(self, result: HttpResult, keep: bool) -> None:
        done, self._on_done, self.call = self._on_done, None, None
        if self._timer is not None:
            self._timer.cancel()
        if keep and self.conn is not None:
            self.answered_at = time.monotonic()
            self._pool.release(self)
        else:
            self._close()
        if done is not None:
            done(result)

    def _close(self) -> None:
        if self.conn is not None:
            self.conn.close()
            self.conn = None


class _HedgedCall:
    """Call that may be resent over a second connection; the first complete answer is used."""

    def __init__(
        self, pool: "HttpClient", call: HttpCall, resend_after_s: float, done: Done
    ) -> None:
        self._pool = pool
        self._call = call
        self._on_done: Done | None = done
        self._call_started_at = time.monotonic()
        self._sent = False
        self._second: _Exchange | None = None
        self._timer = pool.timers.after(resend_after_s, lambda: self._resend(resend_after_s))
        # The connect may fail at once, and then reports its result before this call returns.
        self._first = pool.acquire(call.address, call.peer)
        pool.start(self._first, call, lambda result: self._on_result(self._first, result))

    def _resend(self, after_s: float) -> None:
        first = self._first
        if first.call is self._call:
            first.read_arrived()
        if self._on_done is None or first.answer_started or first.answered_at is None:
            return
        left_s = max(0.0, self._call.timeout_s - after_s)
        call = self._call._replace(timeout_s=left_s)
        second = self._second = _Exchange(self._pool, call.address)
        self._pool.start(second, call, lambda result: self._on_result(second, result))

    def _on_result(self, exchange: _Exchange, result: HttpResult) -> None:
        done = self._on_done
        if done is None:
            return
        self._sent = self._sent or result.sent
        other = self._second if exchange is self._first else self._first
        other_in_flight = other is not None and other.call is not None
        if result.failed is not None and other_in_flight:
            return
        self._on_done = None
        self._timer.cancel()
        if other is not None and other_in_flight:
            if other is self._first:
                self._pool.close_idle_without_answer(other.address, self._call_started_at)
            other.abort()
        done(result if result.failed is None else result._replace(sent=self._sent))

    def abort(self) -> None:
        """End the call as timed out, on both connections."""
        for exchange in (self._first, self._second):
            if exchange is not None and exchange.call is not None:
                exchange.abort()


class HttpClient:
    """Client that sends calls over pooled connections."""

    def __init__(self, dialer: Dialer, timers: Timers) -> None:
        self._dialer = dialer
        self.timers = timers
        self._idle: dict[Address, list[_Exchange]] = {}

    def send(self, call: HttpCall, done: Done) -> Callable[[], None]:
        """Send a call, whose result `done` gets once, and return a function that aborts it."""
        if call.resend_after_s is not None:
            return _HedgedCall(self, call, call.resend_after_s, done).abort
        exchange = self.send_pooled(call, done)

        def abort() -> None:
            if exchange.call is call:
                exchange.abort()

        return abort

    def send_pooled(self, call: HttpCall, done: Done) -> _Exchange:
        """Send a call over an idle connection, or over a new one if none is idle."""
        exchange = self.acquire(call.address, call.peer)
        self.start(exchange, call, done)
        return exchange

    def acquire(self, address: Address, peer: str = "") -> _Exchange:
        """Return an idle connection, preferably one known to lead to `peer`, or a new one."""
        idle = self._idle.get(address)
        if not idle:
            return _Exchange(self, address)
        matching = [candidate for candidate in idle if candidate.peer.name == peer]
        exchange = matching[-1] if matching else idle[-1]
        idle.remove(exchange)
        return exchange

    def start(self, exchange: _Exchange, call: HttpCall, done: Done) -> None:
        """Send a call over a connection, opening it first if it is new."""
        exchange.start(call, done)
        if exchange.conn is not None:
            return
        try:
            exchange.conn = self._dialer.dial(call.address, exchange)
        except (OSError, ValueError, OverflowError) as exc:
            # The address is invalid or no file descriptor is left: the caller must get a result.
            exchange.on_closed(str(exc))

    def close_idle_without_answer(self, address: Address, since: float) -> None:
        """Close the idle connections to an address that received no answer since a given time.

        One connection has been silent since then. Others may be silent too, and each of them would
        make one more call wait for its full timeout.
        """
        for exchange in self._idle.pop(address, []):
            if exchange.answered_at is not None and exchange.answered_at >= since:
                self._idle.setdefault(address, []).append(exchange)
            else:
                exchange.close()

    def release(self, exchange: _Exchange) -> None:
        """Return a connection to the pool; it is closed if the pool for its address is full."""
        idle = self._idle.setdefault(exchange.address, [])
        if len(idle) < _MAX_IDLE_PER_ADDRESS:
            idle.append(exchange)
        else:
            exchange._close()

    def remove_idle(self, exchange: _Exchange) -> None:
        """Remove a connection from the pool, if it is there, because it was closed."""
        idle = self._idle.get(exchange.address, [])
        if exchange in idle:
            idle.remove(exchange)


def _render(call: HttpCall, peer: PeerIdentity) -> bytes:
    peer_accepted = call.body_for_unknown_peer is None or call.peer == peer.name
    body = call.body if peer_accepted else call.body_for_unknown_peer or b""
    lines = [f"{call.method} {call.path} HTTP/1.1", f"Host: {call.address}"]
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body

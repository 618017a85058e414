"""Send HTTP requests from a circuits loop and tell truly whether they went out.

One request at a time uses a connection; a connection with any doubt on it is closed and
never used again, so an answer cannot reach the wrong request.
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

_IDLE_PER_ADDRESS = 64
_PARSE_RESPONSE = 1


class Failed(Enum):
    """Why a call got no answer."""

    NOT_SENT = "not-sent"
    CUT = "cut"
    TIMED_OUT = "timed-out"
    GARBLED = "garbled"


class HttpCall(NamedTuple):
    """One request to send.

    Attributes:
        address: `IP:PORT`.
        method: upper case.
        path: with the query.
        headers: sent as they are, with Host and Content-Length added.
        body: as sent.
        timeout_s: for the whole call, or until its answer begins where `quiet_s` is given.
        quiet_s: a large answer over a slow link may take any time, as long as no pause in it is
            longer than this; None where the whole call has to end within `timeout_s`.
        again_s: a call that may be carried out twice without harm is sent once more, over a new
            connection, when a kept one has said nothing for so long; None for never. Kept
            connections may have gone silent without a reset while new ones work.
        peer: name of the process that is meant, where it matters which one is at the address.
        to_others: sent in place of `body` over a connection of which it is not known that `peer` is
            at its other end; None where `body` may go to any.
    """

    address: Address
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    quiet_s: float | None = None
    again_s: float | None = None
    peer: str = ""
    to_others: bytes | None = None


@dataclass
class Peer:
    """Who is at the other end of one connection, as far as answers told; empty if none did."""

    name: str = ""


class HttpResult(NamedTuple):
    """What became of a call.

    Attributes:
        failed: None when a whole answer arrived.
        status: HTTP status, 0 when failed.
        headers: by lower-case names.
        body: the whole body.
        sent: whether any byte may have reached the other side.
        peer: of the connection that it came over; whoever reads its name in an answer notes it.
    """

    failed: Failed | None
    status: int = 0
    headers: Mapping[str, str] = {}
    body: bytes = b""
    sent: bool = True
    peer: Peer | None = None

    @property
    def ok(self) -> bool:
        """Tell whether a whole answer with a 2xx status arrived."""
        return self.failed is None and 200 <= self.status < 300


Done = Callable[[HttpResult], None]


class _Exchange:
    """One connection and the call that it serves at the moment."""

    def __init__(self, pool: "HttpClient", address: Address) -> None:
        self._pool = pool
        self.address = address
        self.call: HttpCall | None = None
        self._done: Done | None = None
        self._parser = HttpParser(_PARSE_RESPONSE, False)
        self._timer: Timer | None = None
        self._sent = False
        self._begun_at = 0.0
        self.answered_at: float | None = None
        self.heard = False
        self.peer = Peer()
        self.conn: Connection | None = None

    def start(self, call: HttpCall, done: Done) -> None:
        self.call = call
        self._done = done
        self._begun_at = time.monotonic()
        self.heard = False
        self._parser = HttpParser(_PARSE_RESPONSE, False)
        self._sent = False
        self._timer = self._pool.timers.after(call.timeout_s, self._on_timeout)
        if self.conn is not None and self.conn.connected:
            self._send()

    def _send(self) -> None:
        if self.call is None or self.conn is None:
            return
        self._sent = True
        self.conn.write(_render(self.call, self.peer))

    def on_connected(self) -> None:
        self._send()

    def on_data(self, data: bytes) -> None:
        if self.call is None:
            self._close()
            self._pool.forget(self)
            return
        self.heard = True
        if self.call.quiet_s is not None and self._timer is not None:
            self._timer.cancel()
            self._timer = self._pool.timers.after(self.call.quiet_s, self._on_timeout)
        self._parser.execute(data, len(data))
        if self._parser.errno is not None:
            self._finish(HttpResult(Failed.GARBLED), keep=False)
        elif self._whole():
            self._deliver()

    def _whole(self) -> bool:
        parser = self._parser
        if not parser.is_headers_complete():
            return False
        return bool(parser.is_message_complete() or parser._clen == 0)

    def _deliver(self) -> None:
        parser = self._parser
        headers = {str(name).lower(): str(value) for name, value in parser.get_headers().items()}
        body = parser.recv_body()
        expected = headers.get("content-length")
        if expected is not None and expected != str(len(body)):
            self._finish(HttpResult(Failed.GARBLED), keep=False)
            return
        result = HttpResult(None, parser.get_status_code(), headers, body, peer=self.peer)
        self._finish(result, keep=parser.should_keep_alive())

    def on_closed(self, reason: str) -> None:
        self.conn = None
        self._pool.forget(self)
        if self.call is not None:
            failed = Failed.CUT if self._sent else Failed.NOT_SENT
            self._finish(HttpResult(failed, sent=self._sent), keep=False)

    def _on_timeout(self) -> None:
        failed = Failed.TIMED_OUT if self._sent else Failed.NOT_SENT
        if self._sent and not self.heard:
            self._pool.drop_unproven(self.address, self._begun_at)
        self._finish(HttpResult(failed, sent=self._sent), keep=False)

    def give_up(self) -> None:
        """End the call without an answer."""
        self._finish(HttpResult(Failed.TIMED_OUT, sent=self._sent), keep=False)

    def close(self) -> None:
        """Close the connection, on which no call is."""
        self._close()

    def _finish(self, result: HttpResult, keep: bool) -> None:
        done, self._done, self.call = self._done, None, None
        if self._timer is not None:
            self._timer.cancel()
        if keep and self.conn is not None:
            self.answered_at = time.monotonic()
            self._pool.give_back(self)
        else:
            self._close()
        if done is not None:
            done(result)

    def _close(self) -> None:
        if self.conn is not None:
            self.conn.close()
            self.conn = None


class _SentTwice:
    """One call that may be sent over a second connection; the first whole answer counts."""

    def __init__(self, pool: "HttpClient", call: HttpCall, again_s: float, done: Done) -> None:
        self._pool = pool
        self._call = call
        self._done: Done | None = done
        self._began_at = time.monotonic()
        self._sent = False
        self._second: _Exchange | None = None
        self._timer = pool.timers.after(again_s, lambda: self._again(again_s))
        # Its connect may fail at once, and tell so before it returns.
        self._first = pool.take(call.address, call.peer)
        pool.start(self._first, call, lambda got: self._on_result(self._first, got))

    def _again(self, after_s: float) -> None:
        first = self._first
        if self._done is None or first.heard or first.answered_at is None:
            return
        left_s = max(0.0, self._call.timeout_s - after_s)
        call = self._call._replace(timeout_s=left_s)
        second = self._second = _Exchange(self._pool, call.address)
        self._pool.start(second, call, lambda got: self._on_result(second, got))

    def _on_result(self, exchange: _Exchange, got: HttpResult) -> None:
        done = self._done
        if done is None:
            return
        self._sent = self._sent or got.sent
        other = self._second if exchange is self._first else self._first
        waits = other is not None and other.call is not None
        if got.failed is not None and waits:
            return
        self._done = None
        self._timer.cancel()
        if other is not None and waits:
            if other is self._first:
                self._pool.drop_unproven(other.address, self._began_at)
            other.give_up()
        done(got if got.failed is None else got._replace(sent=self._sent))

    def give_up(self) -> None:
        """End the call without an answer."""
        for exchange in (self._first, self._second):
            if exchange is not None and exchange.call is not None:
                exchange.give_up()


class HttpClient:
    """Send calls over pooled connections."""

    def __init__(self, dialer: Dialer, timers: Timers) -> None:
        self._dialer = dialer
        self.timers = timers
        self._idle: dict[Address, list[_Exchange]] = {}

    def send(self, call: HttpCall, done: Done) -> Callable[[], None]:
        """Send a call; `done` is told once. Returns a way to give the call up."""
        if call.again_s is not None:
            return _SentTwice(self, call, call.again_s, done).give_up
        exchange = self.begin(call, done)

        def give_up() -> None:
            if exchange.call is call:
                exchange.give_up()

        return give_up

    def begin(self, call: HttpCall, done: Done) -> _Exchange:
        """Send a call over a kept connection, or over a new one where none is kept."""
        exchange = self.take(call.address, call.peer)
        self.start(exchange, call, done)
        return exchange

    def take(self, address: Address, peer: str = "") -> _Exchange:
        """Return a kept connection that is idle, known to be to `peer` if any, or a new one."""
        idle = self._idle.get(address)
        if not idle:
            return _Exchange(self, address)
        known = [one for one in idle if one.peer.name == peer]
        exchange = known[-1] if known else idle[-1]
        idle.remove(exchange)
        return exchange

    def start(self, exchange: _Exchange, call: HttpCall, done: Done) -> None:
        """Send a call over one connection, opened if it is new."""
        exchange.start(call, done)
        if exchange.conn is not None:
            return
        try:
            exchange.conn = self._dialer.dial(call.address, exchange)
        except (OSError, ValueError, OverflowError) as exc:
            # No address, or no descriptor left: whoever waits for the answer must be told.
            exchange.on_closed(str(exc))

    def drop_unproven(self, address: Address, since: float) -> None:
        """Close the kept connections to an address that have answered nothing since a time.

        One of them has been silent since then; others may be silent too, and each would cost
        one more call its whole time.
        """
        for exchange in self._idle.pop(address, []):
            if exchange.answered_at is not None and exchange.answered_at >= since:
                self._idle.setdefault(address, []).append(exchange)
            else:
                exchange.close()

    def give_back(self, exchange: _Exchange) -> None:
        """Keep a clean connection for the next call."""
        idle = self._idle.setdefault(exchange.address, [])
        if len(idle) < _IDLE_PER_ADDRESS:
            idle.append(exchange)
        else:
            exchange._close()

    def forget(self, exchange: _Exchange) -> None:
        """Stop keeping a connection that closed while idle."""
        idle = self._idle.get(exchange.address, [])
        if exchange in idle:
            idle.remove(exchange)


def _render(call: HttpCall, peer: Peer) -> bytes:
    known = call.to_others is None or call.peer == peer.name
    body = call.body if known else call.to_others or b""
    lines = [f"{call.method} {call.path} HTTP/1.1", f"Host: {call.address}"]
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body

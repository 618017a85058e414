"""Divide the bytes that arrive on a connection into requests, and check the head of each."""

from typing import NamedTuple

from spoolcrank.errors import ErrorKind, Refusal

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 16 << 10
MAX_PIPELINED_BYTES = 16 << 10
"""Number of bytes behind a request that waits for its answer, after which no more are read."""

_MAX_LENGTH_DIGITS = 12
_HEAD_END = b"\r\n\r\n"


class Block(NamedTuple):
    """One block of arrived bytes, divided at the end of the request that is being received.

    Attributes:
        own: bytes that belong to this request.
        rest: bytes that belong to the requests behind it.
        refusal: why the request is refused before it has arrived completely; None if it is not.
    """

    own: bytes
    rest: bytes = b""
    refusal: Refusal | None = None


class Incoming:
    """Data that arrived on a connection since its last answer.

    Attributes:
        size: number of bytes that arrived of the request that is being received.
        head: request line and headers, as far as they arrived.
        missing: number of bytes of the body that have not arrived; None as long as it is unknown,
            which it stays for a body that is sent in chunks.
        since: time at which the first bytes were read, in seconds of the monotonic clock.
        whole: whether the request that is being received has arrived completely.
        busy: whether a complete request waits for its answer.
        pipelined: blocks that arrived behind that request.
        closing: whether the connection closes with an answer that was already given.
    """

    __slots__ = ("busy", "closing", "head", "missing", "pipelined", "since", "size", "whole")

    def __init__(self, now: float) -> None:
        self.size = 0
        self.head = b""
        self.missing: int | None = None
        self.since = now
        self.whole = False
        self.busy = False
        self.pipelined: list[bytes] = []
        self.closing = False

    @property
    def unanswered(self) -> bool:
        """Return whether a complete request has no answer yet."""
        return self.whole or self.busy

    @property
    def partly_received(self) -> bool:
        """Return whether a request has arrived in part."""
        return bool(self.size) and not self.unanswered

    def add(self, data: bytes, now: float) -> Block:
        """Add a block to the request that is being received, as far as it belongs to it."""
        if self.size == 0:
            self.since = now
        block = self._divide(data)
        self.size += len(block.own)
        self.whole = self.missing == 0
        if self.size > MAX_BODY_BYTES + MAX_HEAD_BYTES:
            detail = f"a body may have {MAX_BODY_BYTES} bytes"
            return block._replace(refusal=Refusal(ErrorKind.TOO_LARGE, detail, "body"))
        return block

    @property
    def is_full(self) -> bool:
        """Return whether so much arrived behind the request that no more should be read."""
        return sum(map(len, self.pipelined)) > MAX_PIPELINED_BYTES

    def begin_next(self) -> None:
        """Start with the request behind the one that was answered."""
        self.whole = False
        self.busy = False
        self.size = 0
        self.head = b""
        self.missing = None

    def _divide(self, data: bytes) -> Block:
        if _HEAD_END in self.head:
            return self._divide_body(data, b"")
        self.head += data
        end = self.head.find(_HEAD_END)
        if end < 0:
            return Block(data, refusal=_check_head_size(self.head))
        arrived_of_body = len(self.head) - end - len(_HEAD_END)
        self.head = self.head[: end + len(_HEAD_END)]
        refusal = _check_head(self.head[:end])
        if refusal is not None:
            return Block(data, refusal=refusal)
        self.missing = _body_length(self.head[:end])
        end_of_head = len(data) - arrived_of_body
        return self._divide_body(data[end_of_head:], data[:end_of_head])

    def _divide_body(self, data: bytes, end_of_head: bytes) -> Block:
        if self.missing is None:
            return Block(end_of_head + data)
        own = data[: self.missing]
        self.missing -= len(own)
        return Block(end_of_head + own, data[len(own) :])


def _headers(head: bytes) -> list[tuple[bytes, bytes]]:
    """Return the names, in lower case, and the values of the headers."""
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return [(name.strip().lower(), value.strip()) for name, _, value in pairs]


def _body_length(head: bytes) -> int | None:
    """Return the length of the body, or None if it is sent in chunks."""
    headers = dict(_headers(head))
    if b"transfer-encoding" in headers:
        return None
    return int(headers.get(b"content-length", b"0"))


def _check_head_size(head: bytes) -> Refusal | None:
    if len(head) <= MAX_HEAD_BYTES:
        return None
    return Refusal(ErrorKind.TOO_LARGE, f"headers may have {MAX_HEAD_BYTES} bytes", "headers")


def _check_head(head: bytes) -> Refusal | None:
    headers = _headers(head)
    lengths = {value for name, value in headers if name == b"content-length"}
    if not lengths:
        return None
    if len(lengths) > 1 or any(name == b"transfer-encoding" for name, _ in headers):
        return Refusal(ErrorKind.BAD_REQUEST, "the body's length is ambiguous", "content-length")
    length = lengths.pop()
    if not length.isdigit() or len(length) > _MAX_LENGTH_DIGITS:
        return Refusal(ErrorKind.BAD_REQUEST, "the body's length is not a number", "content-length")
    if int(length) > MAX_BODY_BYTES:
        detail = f"a body may have {MAX_BODY_BYTES} bytes"
        return Refusal(ErrorKind.TOO_LARGE, detail, "content-length")
    return None

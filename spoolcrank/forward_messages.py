"""Encode requests that are forwarded to a peer, and the answers to them, as thrift structs."""

from typing import Any, NamedTuple

from spoolcrank._thrift import SCHEMA, as_bytes, read_struct, write_struct
from spoolcrank._web import HttpReply
from spoolcrank.errors import ErrorKind, Refusal, WireError
from spoolcrank.ids import InstanceId

ANY_INSTANCE = InstanceId("")

FORWARD_PATH = "/forward"
MESSAGE_TYPE = "application/x-thrift"


class ForwardedRequest(NamedTuple):
    """A client's request as it is forwarded.

    Attributes:
        method, path, host, body: of the request as its client sent it.
        left_s: time left to answer it, seconds.
        to: the instance that is meant to answer it.
    """

    method: str
    path: str
    host: str
    body: bytes
    left_s: float
    to: InstanceId = ANY_INSTANCE


def encode_request(request: ForwardedRequest) -> bytes:
    """Return a forwarded request as a message; raise WireError if it cannot be encoded."""
    struct = SCHEMA.ForwardedRequest(
        method=request.method,
        path=request.path,
        host=request.host,
        body=request.body,
        left_ms=int(request.left_s * 1000),
        to_instance=request.to,
    )
    return _encode(struct)


def decode_request(raw: bytes) -> ForwardedRequest:
    """Return the request of a message; raise WireError if it is malformed."""
    struct = SCHEMA.ForwardedRequest()
    _decode(raw, struct)
    if not (struct.method and struct.path) or struct.left_ms is None:
        raise _unreadable("a field is missing")
    return ForwardedRequest(
        struct.method,
        struct.path,
        struct.host or "",
        as_bytes(struct.body),
        struct.left_ms / 1000.0,
        InstanceId(struct.to_instance or ""),
    )


def encode_answer(reply: HttpReply) -> bytes:
    """Return the answer to a forwarded request as a message."""
    headers = dict(reply.headers)
    return _encode(SCHEMA.ForwardedAnswer(status=reply.status, headers=headers, body=reply.body))


def decode_answer(raw: bytes) -> HttpReply:
    """Return the answer of a message; raise WireError if it is malformed."""
    struct = SCHEMA.ForwardedAnswer()
    _decode(raw, struct)
    if not struct.status:
        raise _unreadable("the status is missing")
    return HttpReply(struct.status, dict(struct.headers or {}), as_bytes(struct.body))


def _encode(struct: Any) -> bytes:
    try:
        return write_struct(struct)
    except Exception as exc:
        raise _unreadable(str(exc)) from exc


def _decode(raw: bytes, into: Any) -> None:
    try:
        read_struct(raw, into)
    except Exception as exc:
        raise _unreadable(str(exc)) from exc


def _unreadable(detail: str) -> WireError:
    return WireError(Refusal(ErrorKind.BAD_REQUEST, f"malformed message: {detail}"))

"""Encode messages between entry instances as thrift frames, and decode them."""

import struct
from typing import Any, NamedTuple

from spoolcrank._thrift import SCHEMA as _SCHEMA
from spoolcrank._thrift import as_bytes, read_struct, write_struct
from spoolcrank.errors import ErrorKind, Refusal, WireError
from spoolcrank.ids import (
    AvailabilityZone,
    ConfigVersion,
    Epoch,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceName,
)
from spoolcrank.membership import Echo, Heartbeat, ServerStatus
from spoolcrank.resources import Resources

_LENGTH_PREFIX = struct.Struct("!I")
_MAX_FRAME_BYTES = 64 << 20


class Forward(NamedTuple):
    """Caller's request that is forwarded to the owner of a runner."""

    request: RequestId
    service: ServiceName
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    left_s: float
    urgency: int
    repeatable: bool


class Forwarded(NamedTuple):
    """Outcome of a forwarded request at the owner of a runner; `error` is None for an answer."""

    request: RequestId
    error: ErrorKind | None
    detail: str
    status: int
    headers: dict[str, str]
    body: bytes
    server: InstanceId
    retry_after_s: float


class HandoverMessage(NamedTuple):
    """Handover of a server from its owner to the receiver of the message."""

    server: InstanceId
    epoch: Epoch
    busy: int


class Query(NamedTuple):
    """Question to a peer: `number` is repeated in its answer, `what` names the subject."""

    number: int
    what: str
    text: str


class Answer(NamedTuple):
    """Peer's answer to the query with the same number, as JSON text."""

    number: int
    text: str


Message = Heartbeat | Forward | Forwarded | HandoverMessage | Query | Answer


class Frame(NamedTuple):
    """One message with the instance that sent it."""

    sender: InstanceId
    message: Message


def encode(sender: InstanceId, message: Message) -> bytes:
    """Return a message as a frame, prefixed with its length."""
    envelope = _SCHEMA.Envelope(sender=sender)
    match message:
        case Heartbeat():
            envelope.heartbeat = _from_heartbeat(message)
        case Forward():
            fields = message._asdict()
            fields["service_name"] = fields.pop("service")
            envelope.forward = _SCHEMA.Forward(**fields)
        case Forwarded():
            fields = message._asdict()
            fields["error"] = message.error.value if message.error else ""
            envelope.forwarded = _SCHEMA.Forwarded(**fields)
        case HandoverMessage():
            envelope.handover = _SCHEMA.Handover(**message._asdict())
        case Query():
            envelope.query = _SCHEMA.Query(**message._asdict())
        case Answer():
            envelope.answer = _SCHEMA.Answer(**message._asdict())
    raw = write_struct(envelope)
    return _LENGTH_PREFIX.pack(len(raw)) + raw


def _from_heartbeat(heartbeat: Heartbeat) -> Any:
    fields = heartbeat._asdict()
    fields["servers"] = [
        _SCHEMA.Server(
            server=status.server,
            epoch=status.epoch,
            free_slots=status.free_slots,
            processors=status.free.processors,
            memory_mb=status.free.memory_mb,
            accelerators=status.free.accelerators,
            ready=status.ready,
            latency_s=status.latency_s,
        )
        for status in heartbeat.servers
    ]
    fields["echoes"] = [_SCHEMA.Echo(**echo._asdict()) for echo in heartbeat.echoes]
    return _SCHEMA.Heartbeat(**fields)


def decode(raw: bytes) -> Frame:
    """Return the sender and message of a frame without its length prefix.

    Raises:
        WireError: if the frame cannot be decoded.
    """
    envelope = _SCHEMA.Envelope()
    try:
        read_struct(raw, envelope)
        return Frame(InstanceId(envelope.sender), _parse_message(envelope))
    except WireError:
        raise
    except Exception as exc:
        raise _unreadable(str(exc)) from exc


def _unreadable(detail: str) -> WireError:
    return WireError(Refusal(ErrorKind.BAD_REQUEST, f"unreadable frame: {detail}"))


def _parse_message(envelope: Any) -> Message:
    if envelope.heartbeat is not None:
        return _to_heartbeat(envelope.heartbeat)
    if envelope.forward is not None:
        return _to_forward(envelope.forward)
    if envelope.forwarded is not None:
        return _to_forwarded(envelope.forwarded)
    if envelope.handover is not None:
        handover = envelope.handover
        return HandoverMessage(
            InstanceId(handover.server),
            Epoch(handover.epoch),
            handover.busy,
        )
    if envelope.query is not None:
        return Query(envelope.query.number, envelope.query.what, envelope.query.text)
    if envelope.answer is not None:
        return Answer(envelope.answer.number, envelope.answer.text)
    raise _unreadable("the envelope holds no message")


def _to_heartbeat(raw: Any) -> Heartbeat:
    return Heartbeat(
        sender=InstanceId(raw.sender),
        incarnation=Incarnation(raw.incarnation),
        zone=AvailabilityZone(raw.zone),
        seq=raw.seq,
        sent_at=raw.sent_at,
        leaving=raw.leaving,
        ready=raw.ready,
        config_version=ConfigVersion(raw.config_version),
        ledger_offset=raw.ledger_offset,
        log_ok=raw.log_ok,
        servers=tuple(
            ServerStatus(
                InstanceId(server.server),
                Epoch(server.epoch),
                server.free_slots,
                Resources(server.processors, server.memory_mb, server.accelerators),
                server.ready,
                server.latency_s,
            )
            for server in raw.servers or []
        ),
        echoes=tuple(
            Echo(InstanceId(echo.instance), Incarnation(echo.incarnation), echo.sent_at, echo.age_s)
            for echo in raw.echoes or []
        ),
    )


def _to_forward(raw: Any) -> Forward:
    return Forward(
        request=RequestId(raw.request),
        service=ServiceName(raw.service_name),
        method=raw.method,
        path=raw.path,
        headers=dict(raw.headers or {}),
        body=as_bytes(raw.body),
        left_s=raw.left_s,
        urgency=raw.urgency,
        repeatable=raw.repeatable,
    )


def _to_forwarded(raw: Any) -> Forwarded:
    return Forwarded(
        request=RequestId(raw.request),
        error=ErrorKind(raw.error) if raw.error else None,
        detail=raw.detail,
        status=raw.status,
        headers=dict(raw.headers or {}),
        body=as_bytes(raw.body),
        server=InstanceId(raw.server),
        retry_after_s=raw.retry_after_s,
    )


class FrameReader:
    """Split a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete.

        Raises:
            WireError: if a frame is too long or cannot be decoded.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if length > _MAX_FRAME_BYTES:
                raise _unreadable("the frame is longer than 64 MiB")
            end = _LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            frames.append(decode(bytes(self._buffer[_LENGTH_PREFIX.size : end])))
            del self._buffer[:end]
        return frames

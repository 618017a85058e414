"""Parse the headers of callers' requests."""

from collections.abc import Mapping
from typing import NamedTuple

from spoolcrank._web import HttpRequest, Reply
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import InstanceId, RequestId, ServiceName
from spoolcrank.route_state import Request

MAX_KEY_LENGTH = 200
MAX_DEADLINE_MS = 600_000.0
_DEFAULT_URGENCY = 5
_SAFE_METHODS = frozenset({"GET", "OPTIONS"})
HOP_HEADERS = frozenset(  # not forwarded: valid for one connection or set anew for each hop
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "transfer-encoding",
        "accept-encoding",
        "spoolcrank-request-id",
    }
)


class RequestContext(NamedTuple):
    """The parts of a request that are needed until it is answered.

    Attributes:
        reply: sends the answer to a caller; None for a request that a peer forwarded.
        origin: the peer that forwarded the request; None if it came from a caller.
        key: the full idempotency key; empty if the request has none.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline: float
    reply: Reply | None = None
    origin: InstanceId | None = None
    key: str = ""


def parse_headers(
    request: RequestId, service: ServiceName, req: HttpRequest, default_ms: float, now: float
) -> Request | Refusal:
    """Return the request that the headers describe, or a refusal that names the invalid header."""
    deadline_ms = _parse_number(req.headers.get("spoolcrank-deadline-ms"), default_ms)
    if deadline_ms is None or not 0 < deadline_ms <= MAX_DEADLINE_MS:
        detail = f"Spoolcrank-Deadline-Ms must be above 0 and at most {MAX_DEADLINE_MS:g}"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Spoolcrank-Deadline-Ms")
    urgency = _parse_number(req.headers.get("spoolcrank-urgency"), _DEFAULT_URGENCY)
    if urgency is None or urgency not in range(10):
        detail = "Spoolcrank-Urgency must be an integer from 0 to 9"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Spoolcrank-Urgency")
    repeatable = req.headers.get("spoolcrank-repeatable", "").lower()
    if repeatable not in ("", "yes", "no"):
        detail = "Spoolcrank-Repeatable must be yes or no"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Spoolcrank-Repeatable")
    if len(req.headers.get("idempotency-key", "")) > MAX_KEY_LENGTH:
        detail = f"Idempotency-Key must have at most {MAX_KEY_LENGTH} characters"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Idempotency-Key")
    is_repeatable = repeatable == "yes" or (not repeatable and req.method in _SAFE_METHODS)
    return Request(
        id=request,
        service=service,
        urgency=int(urgency),
        repeatable=is_repeatable,
        arrived_at=now,
        deadline=now + deadline_ms / 1000,
    )


def _parse_number(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        return None


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are forwarded to a runner."""
    return {name: value for name, value in headers.items() if name not in HOP_HEADERS}

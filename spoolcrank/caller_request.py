"""Read what a caller asks for from its request's headers."""

from collections.abc import Mapping
from typing import NamedTuple

from spoolcrank._web import HttpRequest, Reply
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import InstanceId, RequestId, ServiceName
from spoolcrank.route_state import Request

MAX_KEY = 200
MAX_DEADLINE_MS = 600_000.0
_DEFAULT_URGENCY = 5
_SAFE_METHODS = frozenset({"GET", "OPTIONS"})
NOT_PASSED_ON = frozenset(
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


class HeldRequest(NamedTuple):
    """What belongs to a request while it is being served.

    Attributes:
        reply: how a caller's own request is answered; None for a forwarded one.
        origin: the peer that forwarded it.
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
    """Read a request's own headers, or say which one is wrong."""
    deadline_ms = _number(req.headers.get("spoolcrank-deadline-ms"), default_ms)
    if deadline_ms is None or not 0 < deadline_ms <= MAX_DEADLINE_MS:
        detail = f"Spoolcrank-Deadline-Ms must be above 0 and at most {MAX_DEADLINE_MS:g}"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Spoolcrank-Deadline-Ms")
    urgency = _number(req.headers.get("spoolcrank-urgency"), _DEFAULT_URGENCY)
    if urgency is None or urgency not in range(10):
        detail = "Spoolcrank-Urgency must be a whole number from 0 to 9"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Spoolcrank-Urgency")
    repeatable = req.headers.get("spoolcrank-repeatable", "").lower()
    if repeatable not in ("", "yes", "no"):
        detail = "Spoolcrank-Repeatable must be yes or no"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Spoolcrank-Repeatable")
    if len(req.headers.get("idempotency-key", "")) > MAX_KEY:
        detail = f"Idempotency-Key may have {MAX_KEY} characters"
        return Refusal(ErrorKind.BAD_FIELD, detail, "Idempotency-Key")
    may_repeat = repeatable == "yes" or (not repeatable and req.method in _SAFE_METHODS)
    return Request(
        id=request,
        service=service,
        urgency=int(urgency),
        repeatable=may_repeat,
        arrived_at=now,
        deadline=now + deadline_ms / 1000,
    )


def _number(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        return None


def passed_on(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that go on to a runner."""
    return {name: value for name, value in headers.items() if name not in NOT_PASSED_ON}

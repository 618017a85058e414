"""Name what the router keeps, what it is asked, and what it asks for."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from spoolcrank.errors import Refusal
from spoolcrank.ids import AvailabilityZone, InstanceId, RequestId, ServiceName

MAX_TOKENS = 20.0
"""Retries and hedges that may be saved up."""

FIRST_GUESS_S = 0.02
"""Latency of a runner that has answered nothing yet, s."""


class Request(NamedTuple):
    """A request as far as routing needs it.

    Attributes:
        deadline: by the monotonic clock, in seconds.
        origin: the entry instance that forwarded it; None for a caller's own.
    """

    id: RequestId
    service: ServiceName
    urgency: int
    repeatable: bool
    arrived_at: float
    deadline: float
    origin: InstanceId | None = None


class Result(Enum):
    """How an attempt at a runner or a peer came out."""

    ANSWERED = "answered"
    SERVICE_ERROR = "service-error"
    NOT_SENT = "not-sent"
    CUT = "cut"
    SILENT = "silent"
    FOREIGN = "foreign"
    REFUSED = "refused"


class ToRunner(NamedTuple):
    """Send a request to one of our runners."""

    request: RequestId
    attempt: int
    server: InstanceId


class ToPeer(NamedTuple):
    """Forward a request to the owner of other runners."""

    request: RequestId
    attempt: int
    peer: InstanceId


class Refuse(NamedTuple):
    """Give a request its final answer, an error of ours."""

    request: RequestId
    refusal: Refusal


class Deliver(NamedTuple):
    """Give a request the answer that an attempt brought."""

    request: RequestId
    attempt: int


class Count(NamedTuple):
    """Count a decision under a name."""

    name: str


RouteAction = ToRunner | ToPeer | Refuse | Deliver | Count


@dataclass
class Runner:
    """One runner that we own."""

    server: InstanceId
    service: ServiceName
    slots: int
    busy: int = 0
    open_from: float = 0.0
    held: int = 0
    failures: int = 0
    out_until: float = 0.0
    latency_s: float = FIRST_GUESS_S
    samples: int = 0
    sampled_at: float = 0.0


class FreeSlots(NamedTuple):
    """Free slots of one runner and what a request takes there of late."""

    slots: int
    latency_s: float


class PeerRunners(NamedTuple):
    """What a peer told of its free slots for one service."""

    peer: InstanceId
    zone: AvailabilityZone
    free_slots: int
    heard_at: float
    latency_s: float = FIRST_GUESS_S


@dataclass
class Flight:
    """A request that was not answered yet."""

    req: Request
    tries: int = 0
    open: dict[int, InstanceId] = field(default_factory=dict)
    sent_at: float = 0.0
    hedged: bool = False
    maybe_ran: bool = False
    avoid: set[InstanceId] = field(default_factory=set)


@dataclass
class Router:
    """The routing state of one entry instance."""

    me: InstanceId
    zone: AvailabilityZone
    runners: dict[InstanceId, Runner] = field(default_factory=dict)
    peers: dict[ServiceName, dict[InstanceId, PeerRunners]] = field(default_factory=dict)
    forwarded: dict[InstanceId, dict[int, float]] = field(default_factory=dict)
    flights: dict[RequestId, Flight] = field(default_factory=dict)
    queue: dict[ServiceName, list[RequestId]] = field(default_factory=dict)
    shares: dict[ServiceName, float] = field(default_factory=dict)
    late: dict[int, InstanceId] = field(default_factory=dict)
    usual_s: dict[ServiceName, float] = field(default_factory=dict)
    tail_s: dict[ServiceName, float] = field(default_factory=dict)
    tokens: float = MAX_TOKENS / 2
    next_attempt: int = 0

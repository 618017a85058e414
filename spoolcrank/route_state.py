"""Define the state, the requests and the actions of the request router."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from spoolcrank.errors import Refusal
from spoolcrank.ids import AvailabilityZone, InstanceId, RequestId, ServiceName

MAX_RETRY_TOKENS = 20.0
"""Maximum number of retries and hedges that the retry budget can accumulate."""

INITIAL_LATENCY_S = 0.02
"""Assumed latency of a runner that has not answered any request yet, in seconds."""


class Request(NamedTuple):
    """The properties of a request that routing needs.

    Attributes:
        deadline: in seconds of the monotonic clock.
        origin: the entry instance that forwarded the request; None if it came from a caller.
    """

    id: RequestId
    service: ServiceName
    urgency: int
    repeatable: bool
    arrived_at: float
    deadline: float
    origin: InstanceId | None = None


class Result(Enum):
    """Result of one attempt to get a request answered by a runner or a peer."""

    ANSWERED = "answered"
    SERVICE_ERROR = "service-error"
    NOT_SENT = "not-sent"
    CUT = "cut"
    SILENT = "silent"
    FOREIGN = "foreign"
    REFUSED = "refused"


class ToRunner(NamedTuple):
    """Action: send a request to one of our own runners."""

    request: RequestId
    attempt: int
    server: InstanceId


class ToPeer(NamedTuple):
    """Action: forward a request to a peer that owns runners of its service."""

    request: RequestId
    attempt: int
    peer: InstanceId


class Refuse(NamedTuple):
    """Action: answer a request with an error of this instance."""

    request: RequestId
    refusal: Refusal


class Deliver(NamedTuple):
    """Action: answer a request with the response to one of its attempts."""

    request: RequestId
    attempt: int


class Count(NamedTuple):
    """Action: increment the counter of a routing decision."""

    name: str


RouteAction = ToRunner | ToPeer | Refuse | Deliver | Count


@dataclass
class Runner:
    """One runner that this instance owns.

    Attributes:
        withheld_until: time until which `withheld_slots` slots are left free, because requests
            of the previous owner may still occupy them; in seconds of the monotonic clock.
        failures: consecutive attempts that did not end with `Result.ANSWERED`.
        next_probe_at: when a runner with too many failures may be tried again.
        samples: number of latencies recorded.
    """

    server: InstanceId
    service: ServiceName
    slots: int
    busy: int = 0
    withheld_until: float = 0.0
    withheld_slots: int = 0
    failures: int = 0
    next_probe_at: float = 0.0
    latency_s: float = INITIAL_LATENCY_S
    samples: int = 0
    sampled_at: float = 0.0


class FreeSlots(NamedTuple):
    """Free slots and recent latency of one runner of a peer."""

    slots: int
    latency_s: float


class PeerRunners(NamedTuple):
    """What a peer's last heartbeat reported about its fast runners of one service."""

    peer: InstanceId
    zone: AvailabilityZone
    free_slots: int
    reported_at: float
    latency_s: float = INITIAL_LATENCY_S


@dataclass
class InFlightRequest:
    """A request that has not been answered yet.

    Attributes:
        open_attempts: attempts without a result, with the runner or peer that each was sent to.
        maybe_ran: whether a runner may have executed the request.
        avoid: runners and peers that further attempts do not use.
    """

    req: Request
    tries: int = 0
    open_attempts: dict[int, InstanceId] = field(default_factory=dict)
    sent_at: float = 0.0
    hedged: bool = False
    maybe_ran: bool = False
    avoid: set[InstanceId] = field(default_factory=set)


@dataclass
class Router:
    """Routing state of one entry instance.

    Attributes:
        forwarded: per peer, the open forwarded attempts and when each was sent.
        slot_shares: this instance's share of the fleet's slots, per service.
        attempt_runners: our runner that each attempt occupies, also after its request was refused.
        retry_tokens: retry budget; each retry that may repeat work, and each hedge, costs 1.
    """

    me: InstanceId
    zone: AvailabilityZone
    runners: dict[InstanceId, Runner] = field(default_factory=dict)
    peers: dict[ServiceName, dict[InstanceId, PeerRunners]] = field(default_factory=dict)
    forwarded: dict[InstanceId, dict[int, float]] = field(default_factory=dict)
    in_flight: dict[RequestId, InFlightRequest] = field(default_factory=dict)
    queue: dict[ServiceName, list[RequestId]] = field(default_factory=dict)
    slot_shares: dict[ServiceName, float] = field(default_factory=dict)
    attempt_runners: dict[int, InstanceId] = field(default_factory=dict)
    typical_latency_s: dict[ServiceName, float] = field(default_factory=dict)
    tail_latency_s: dict[ServiceName, float] = field(default_factory=dict)
    retry_tokens: float = MAX_RETRY_TOKENS / 2
    next_attempt: int = 0

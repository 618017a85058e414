"""Forward the requests of clients to peers, and report what the instance has to do by itself."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from spoolcrank._http import HttpCall, HttpResult
from spoolcrank._web import HttpReply
from spoolcrank._web_incoming import MAX_BODY_BYTES
from spoolcrank.errors import ErrorKind, WireError
from spoolcrank.forward_messages import (
    FORWARD_PATH,
    MESSAGE_TYPE,
    ForwardedRequest,
    decode_answer,
    encode_request,
)
from spoolcrank.forwarding import (
    CONNECT_TIMEOUT_S,
    FORWARD_TIMEOUT_S,
    RETURN_ALLOWANCE_S,
    ForwardReason,
    NextStep,
    NotForwarded,
    Offered,
    OfferOutcome,
    Situation,
    forward_reason,
    is_forwarded,
    is_read,
    next_step,
)
from spoolcrank.ids import InstanceId
from spoolcrank.open_requests import OpenRequest
from spoolcrank.peer_directory import LEFT_OUT_S, PeerDirectory, PeerRecord
from spoolcrank.prometheus_metrics import PrometheusMetrics
from spoolcrank.store_health import StoreHealth
from spoolcrank.telemetry import Telemetry

_STATUS_REFUSED = 503
_HEADERS = {"Content-Type": MESSAGE_TYPE}


ForwardDone = Callable[[HttpReply | NotForwarded], None]


class HttpSender(Protocol):
    """The part of the HTTP client that forwarding needs."""

    def send(self, call: HttpCall, done: Callable[[HttpResult], None]) -> object:
        """Send a call and call `done` once with its result."""


class InstanceView(Protocol):
    """What the forwarder has to know of its own instance."""

    @property
    def contact(self) -> bool:
        """Return whether the store answers this instance."""

    @property
    def answered_at(self) -> float:
        """Return when the store last answered this instance, monotonic seconds."""

    @property
    def leader(self) -> InstanceId | None:
        """Return the instance that leads, if it is another one."""

    @property
    def append_sent_at(self) -> float | None:
        """Return when the append of clients' records in flight was sent; None if there is none."""

    @property
    def intake_ended(self) -> bool:
        """Return whether a planned stop has ended the intake of requests."""


class _Answer(NamedTuple):
    outcome: OfferOutcome
    reply: HttpReply | None = None

    @property
    def lacks_contact(self) -> bool:
        """Return whether the peer refused for another reason than its load."""
        if self.outcome is not OfferOutcome.REFUSED or self.reply is None:
            return False
        return self.reply.headers.get("Spoolcrank-Error") != ErrorKind.OVERLOADED.value


class RequestForwarder:
    """Forwards requests while the store is slow for this instance or does not answer it."""

    def __init__(
        self,
        http: HttpSender,
        directory: PeerDirectory,
        health: StoreHealth,
        view: InstanceView,
        telemetry: Telemetry,
        metrics: PrometheusMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._http = http
        self._directory = directory
        self._health = health
        self._view = view
        self._telemetry = telemetry
        self._metrics = metrics
        self._clock = clock
        self._reason: ForwardReason | None = None
        self._changed_at = 0.0

    def update(self) -> ForwardReason | None:
        """Return why requests are forwarded now; log each change."""
        now, view = self._clock(), self._view
        self._health.record_append(view.append_sent_at, now)
        leader = self._leader(now)
        situation = Situation(view.contact, self._health.is_slow, leader is not None)
        reason = forward_reason(situation)
        if reason is not self._reason:
            self._log_change(reason, leader, now)
            self._reason, self._changed_at = reason, now
        return reason

    def forward(self, open_request: OpenRequest, done: ForwardDone) -> bool:
        """Offer a request to a peer and call `done` once; return False if it is not forwarded."""
        reason, req = self.update(), open_request.request
        if reason is None or not is_forwarded(reason, req.method) or self._view.intake_ended:
            return False
        if req.method == "POST" and req.client_left():
            # Nobody waits for the job; the instance itself refuses it.
            return False
        peer = self._choose(reason, frozenset())
        return peer is not None and _Forwarding(self, open_request, reason, done).offer(peer)

    def _leader(self, now: float) -> PeerRecord | None:
        leader = self._view.leader
        return self._directory.peer(leader, now) if leader is not None else None

    def _choose(self, reason: ForwardReason, asked: frozenset[InstanceId]) -> PeerRecord | None:
        now = self._clock()
        if reason is ForwardReason.SLOW_STORE:
            return self._leader(now)
        return self._directory.next_peer(now, asked)

    def _log_change(
        self, reason: ForwardReason | None, leader: PeerRecord | None, now: float
    ) -> None:
        log, slow_s = self._telemetry.log, round(self._health.delay_s, 3)
        if reason is ForwardReason.SLOW_STORE and leader is not None:
            to = leader.instance
            log("forwards", important=True, reason=reason.value, delay_s=slow_s, to=to)
        elif reason is not None:
            silent_s = round(now - self._view.answered_at, 3)
            log("forwards", important=True, reason=reason.value, delay_s=silent_s, to="any")
        elif self._reason is not None:
            is_slow = self._reason is ForwardReason.SLOW_STORE
            log(
                "stores-itself",
                important=True,
                reason=self._reason.value,
                after_s=round(now - self._changed_at, 3),
                **({"delay_s": slow_s} if is_slow else {}),
            )

    # Called for each request that is forwarded

    def call(
        self, peer: PeerRecord, message: bytes, left_s: float, done: Callable[[_Answer], None]
    ) -> None:
        """Send a message to a peer and report its answer."""
        self._directory.record_offer(peer.instance)
        call = HttpCall(
            peer.address,
            "POST",
            FORWARD_PATH,
            _HEADERS,
            message,
            left_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self._http.send(call, lambda result: done(_answer(result)))

    @property
    def contact(self) -> bool:
        """Return whether the store answers this instance."""
        return self._view.contact

    def next_peer(self, asked: frozenset[InstanceId]) -> PeerRecord | None:
        """Return the peer to ask next; None if there is none or the instance can store itself."""
        if self._view.contact or self._view.intake_ended:
            return None
        return self._choose(ForwardReason.NO_CONTACT, asked)

    def record_outcome(self, reason: ForwardReason, peer: PeerRecord, answer: _Answer) -> None:
        """Count the outcome of a call, and leave its peer out if the next call would fail too."""
        outcome = answer.outcome
        self._metrics.count_labelled("forwarded", reason=reason.value, outcome=outcome.value)
        # The leader refuses while its own append is stalled, although it has contact.
        lacks_contact = reason is ForwardReason.NO_CONTACT and answer.lacks_contact
        if lacks_contact or outcome in (OfferOutcome.NOT_SENT, OfferOutcome.NO_ANSWER):
            self._directory.leave_out(peer.instance, self._clock())
            self._telemetry.log(
                "peer-left-out",
                important=True,
                peer=peer.instance,
                address=peer.address,
                outcome=outcome.value,
                for_s=LEFT_OUT_S,
            )

    def age_s(self, open_request: OpenRequest) -> float:
        """Return the time since a request arrived, seconds."""
        return self._clock() - open_request.received_at


class _Forwarding:
    """One request that is offered to one peer after the other."""

    def __init__(
        self,
        forwarder: RequestForwarder,
        open_request: OpenRequest,
        reason: ForwardReason,
        done: ForwardDone,
    ) -> None:
        self._forwarder = forwarder
        self._open_request = open_request
        self._reason = reason
        self._done = done
        self._asked: frozenset[InstanceId] = frozenset()

    def offer(self, peer: PeerRecord) -> bool:
        """Send the request to a peer; return False if it cannot be encoded or is too large."""
        req = self._open_request.request
        left_s = max(0.0, FORWARD_TIMEOUT_S - self._forwarder.age_s(self._open_request))
        answer_in_s = max(0.0, left_s - RETURN_ALLOWANCE_S)
        host = req.headers.get("host", "")
        try:
            message = encode_request(
                ForwardedRequest(req.method, req.path, host, req.body, answer_in_s, peer.instance)
            )
        except WireError:
            return False
        if len(message) > MAX_BODY_BYTES:
            # The peer would refuse it, and this call could not be told from a lost one.
            return False
        self._asked |= {peer.instance}
        self._open_request.offers = len(self._asked)
        self._forwarder.call(peer, message, left_s, lambda answer: self._on_answer(peer, answer))
        return True

    def _on_answer(self, peer: PeerRecord, answer: _Answer) -> None:
        open_request = self._open_request
        self._forwarder.record_outcome(self._reason, peer, answer)
        if answer.outcome is OfferOutcome.NO_ANSWER and not is_read(open_request.request.method):
            open_request.may_be_stored = True
        following = self._forwarder.next_peer(self._asked)
        offered = Offered(
            open_request.request.method,
            open_request.offers,
            self._forwarder.age_s(open_request),
            open_request.may_be_stored,
        )
        status = answer.reply.status if answer.reply is not None else 0
        step = next_step(
            answer.outcome, offered, self._forwarder.contact, following is not None, status
        )
        if step is NextStep.PASS_ON and answer.reply is not None:
            self._done(answer.reply)
        elif step is NextStep.UNKNOWN:
            self._done(NotForwarded.UNKNOWN)
        elif step is not NextStep.OFFER or following is None or not self._offer_next(following):
            self._done(NotForwarded.SERVE)

    def _offer_next(self, peer: PeerRecord) -> bool:
        # Only without contact is a second peer asked, also if the store was slow before.
        self._reason = ForwardReason.NO_CONTACT
        return self.offer(peer)


def _answer(result: HttpResult) -> _Answer:
    if not result.sent:
        return _Answer(OfferOutcome.NOT_SENT)
    if result.failed is not None or result.status != 200:
        return _Answer(OfferOutcome.NO_ANSWER)
    try:
        reply = decode_answer(result.body)
    except WireError:
        return _Answer(OfferOutcome.NO_ANSWER)
    refused = reply.status == _STATUS_REFUSED
    return _Answer(OfferOutcome.REFUSED if refused else OfferOutcome.ANSWERED, reply)

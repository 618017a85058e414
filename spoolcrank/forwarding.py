"""Decide whether a client's request is forwarded to a peer, and what follows each outcome.

A request is offered to two peers at the most. Once one of them may have stored it, the answer is
that of a store, or "unknown", but never "not run".
"""

from enum import Enum
from typing import NamedTuple

from spoolcrank.job_intake import APPEND_TIMEOUT_S, MAX_SEND_AGE_S

FORWARD_TIMEOUT_S = APPEND_TIMEOUT_S
"""Time from the arrival of a client's request until the answer of a peer is given up, seconds."""

CONNECT_TIMEOUT_S = 0.6
"""Time limit for opening a connection to a peer, seconds; as for an order to a runner, many round
trips to another region."""

RETURN_ALLOWANCE_S = 0.1
"""Part of the time limit of a call that is reserved for the transfer of the answer, seconds: some
round trips between regions, and a delayed event loop."""

MAX_OFFERS = 2
"""Maximum number of peers to which one request is offered."""

_READ_METHODS = frozenset({"GET"})
_STORE_METHODS = frozenset({"POST", "DELETE"})


class ForwardReason(Enum):
    """Why an instance forwards requests."""

    SLOW_STORE = "slow-store"
    NO_CONTACT = "no-contact"


class Situation(NamedTuple):
    """What an instance knows of the store and of the leader.

    Attributes:
        contact: whether the store answers this instance.
        slow: whether the store is slow for this instance.
        reaches_leader: whether another instance leads and may be asked at a known address.
    """

    contact: bool
    slow: bool
    reaches_leader: bool


def forward_reason(situation: Situation) -> ForwardReason | None:
    """Return why requests are forwarded now; None if the instance serves them by itself."""
    if not situation.contact:
        return ForwardReason.NO_CONTACT
    if situation.slow and situation.reaches_leader:
        return ForwardReason.SLOW_STORE
    return None


def is_read(method: str) -> bool:
    """Return whether requests with an HTTP method store nothing."""
    return method in _READ_METHODS


def is_forwarded(reason: ForwardReason, method: str) -> bool:
    """Return whether requests with an HTTP method are forwarded for a reason."""
    if method in _READ_METHODS:
        return reason is ForwardReason.NO_CONTACT
    return method in _STORE_METHODS


class OfferOutcome(Enum):
    """The outcome of one call to a peer.

    NOT_SENT: no byte of the request can have reached the peer.
    NO_ANSWER: the request was sent and has no readable answer, so the peer may have stored it.
    REFUSED: the peer answered 503, so it stored nothing.
    """

    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"
    REFUSED = "refused"
    ANSWERED = "answered"


class NextStep(Enum):
    """What an instance does after a call to a peer.

    PASS_ON: give the client the answer of the peer.
    SERVE: serve the request by itself.
    OFFER: offer the request to the next peer.
    UNKNOWN: answer that the outcome is unknown.
    """

    PASS_ON = "pass-on"
    SERVE = "serve"
    OFFER = "offer"
    UNKNOWN = "unknown"


class NotForwarded(Enum):
    """What the instance has to do with a request that no peer has answered.

    SERVE: serve it by itself; a record that a peer stored too does no harm.
    UNKNOWN: answer that the outcome is unknown.
    """

    SERVE = "serve"
    UNKNOWN = "unknown"


class Offered(NamedTuple):
    """A request that was offered to a peer.

    Attributes:
        method: HTTP method of the request.
        offers: number of peers to which it was offered.
        age_s: time since it arrived from its client, seconds.
        may_be_stored: whether one of the peers may have stored it.
    """

    method: str
    offers: int
    age_s: float
    may_be_stored: bool


def next_step(
    outcome: OfferOutcome, offered: Offered, contact: bool, peer_left: bool, status: int = 0
) -> NextStep:
    """Return what follows a call to a peer.

    Args:
        contact: whether the store answers this instance now.
        peer_left: whether there is a peer that may be asked next.
        status: HTTP status of the answer of the peer.
    """
    reads = is_read(offered.method)
    in_time = offered.age_s <= MAX_SEND_AGE_S
    may_offer = not contact and peer_left and in_time and offered.offers < MAX_OFFERS
    if outcome is OfferOutcome.ANSWERED:
        return NextStep.UNKNOWN if _says_not_run(offered, status) else NextStep.PASS_ON
    if outcome is OfferOutcome.NO_ANSWER and reads:
        return NextStep.SERVE
    if may_offer:
        return NextStep.OFFER
    if offered.may_be_stored:
        return NextStep.SERVE if contact and in_time else NextStep.UNKNOWN
    # A read may be answered from the copy of the log without contact.
    passes_on = outcome is OfferOutcome.REFUSED and not contact and not reads
    return NextStep.PASS_ON if passes_on else NextStep.SERVE


def _says_not_run(offered: Offered, status: int) -> bool:
    """Return whether an answer denies what another peer may have done.

    Status 410 does not: it says that a cancel is stored of a job that is not on the log.
    """
    return offered.may_be_stored and status >= 400 and status not in (410, 504)

"""Track the requests that have no answer yet, and log those that a stop abandons."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from spoolcrank._web import HttpRequest, Reply, UnsentAnswer

MAX_GIVEN_UP_LINES = 20
"""Maximum number of `given-up` log lines per stop.

This is enough to see what the requests wait for, and a fifth of the lines that failures may log
in one second. The `stop` line has the number of all unanswered requests.
"""


class WaitReason(Enum):
    """What an unanswered request waits for.

    PEER: for the answer of a peer to which it was forwarded.
    CLIENT: for the client to read the answer.
    """

    NOTHING = "nothing"
    APPEND = "append"
    READ = "read"
    READ_THEN_APPEND = "read-then-append"
    PEER = "peer"
    CLIENT = "client"


@dataclass(eq=False)
class OpenRequest:
    """One request that was read completely and has no answer yet.

    Attributes:
        request: the request as received.
        reply: sends the answer.
        received_at: when it was read completely, in seconds of the monotonic clock.
        waits: what the request waits for.
        from_peer: whether a peer forwarded it; it is not forwarded again.
        offers: number of peers to which it was offered.
        may_be_stored: whether a peer may have stored it, so that it must not be called not run.
    """

    request: HttpRequest
    reply: Reply
    received_at: float
    waits: WaitReason = WaitReason.NOTHING
    from_peer: bool = False
    offers: int = 0
    may_be_stored: bool = False

    @property
    def stored_since(self) -> float | None:
        """Return when the time limits of the store's calls began, monotonic seconds.

        None if they begin with the first call, as for every request that was not forwarded.
        """
        return self.received_at if self.from_peer or self.offers else None


class OpenRequests:
    """The unanswered requests of one listening address, oldest first."""

    def __init__(self) -> None:
        self._requests: dict[OpenRequest, None] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request: OpenRequest) -> bool:
        return request in self._requests

    def begin(self, request: OpenRequest) -> None:
        """Add a request that was read completely."""
        self._requests[request] = None

    def end(self, request: OpenRequest) -> bool:
        """Remove a request that is being answered; return False if it already has an answer."""
        if request not in self._requests:
            return False
        del self._requests[request]
        return True

    def oldest_first(self) -> list[OpenRequest]:
        """Return the unanswered requests in the order of their arrival."""
        return list(self._requests)


class AbandonedRequest(NamedTuple):
    """One request whose answer a stop did not send, or not completely.

    Attributes:
        method, path: of the request.
        read_at: when it was read, in seconds of the monotonic clock.
        waits: what the request waits for.
    """

    method: str
    path: str
    read_at: float
    waits: WaitReason


def abandoned_requests(
    open_requests: OpenRequests, unsent: list[UnsentAnswer]
) -> list[AbandonedRequest]:
    """Return the requests that a stop abandons: unanswered, or with a partly sent answer."""
    waiting = [
        AbandonedRequest(
            unanswered.request.method,
            unanswered.request.path,
            unanswered.received_at,
            unanswered.waits,
        )
        for unanswered in open_requests.oldest_first()
    ]
    return waiting + [AbandonedRequest(*answer, WaitReason.CLIENT) for answer in unsent]


def log_given_up(
    requests: list[AbandonedRequest], stopped_at: float, now: float, log: Callable[..., None]
) -> None:
    """Log one line for each abandoned request, up to `MAX_GIVEN_UP_LINES`."""
    for request in requests[:MAX_GIVEN_UP_LINES]:
        log(
            "given-up",
            important=True,
            method=request.method,
            path=request.path,
            age_s=round(now - request.read_at, 3),
            read_after_signal_s=round(request.read_at - stopped_at, 3),
            waits=request.waits.value,
        )

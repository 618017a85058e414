"""Track the requests that have no answer yet, and log those that a stop abandons."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from spoolcrank._web import HttpRequest, Reply, Unsent

MAX_GIVEN_UP_LINES = 20
"""Maximum number of `given-up` log lines per stop.

This is enough to see what the requests wait for, and a fifth of the lines that failures may log
in one second. The `stop` line has the number of all unanswered requests.
"""


class WaitReason(Enum):
    """What an unanswered request waits for; CLIENT: for the client to read the answer."""

    NOTHING = "nothing"
    APPEND = "append"
    READ = "read"
    READ_THEN_APPEND = "read-then-append"
    CLIENT = "client"


@dataclass(eq=False)
class OpenRequest:
    """One request that was read completely and has no answer yet.

    Attributes:
        request: the request as received.
        reply: sends the answer.
        came_at: when it was read completely, in seconds of the monotonic clock.
        waits: what the request waits for.
    """

    request: HttpRequest
    reply: Reply
    received_at: float
    waits: WaitReason = WaitReason.NOTHING


class OpenRequests:
    """The unanswered requests of one listening address, oldest first."""

    def __init__(self) -> None:
        self._asked: dict[OpenRequest, None] = {}

    def __len__(self) -> int:
        return len(self._asked)

    def begin(self, asked: OpenRequest) -> None:
        """Add a request that was read completely."""
        self._asked[asked] = None

    def end(self, asked: OpenRequest) -> bool:
        """Remove a request that is being answered; return False if it already has an answer."""
        if asked not in self._asked:
            return False
        del self._asked[asked]
        return True

    def oldest_first(self) -> list[OpenRequest]:
        """Return the unanswered requests in the order of their arrival."""
        return list(self._asked)


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


def given_up(asked: OpenRequests, unsent: list[Unsent]) -> list[AbandonedRequest]:
    """Return the requests that a stop abandons: unanswered, or with a partly sent answer."""
    waiting = [
        AbandonedRequest(
            unanswered.request.method,
            unanswered.request.path,
            unanswered.received_at,
            unanswered.waits,
        )
        for unanswered in asked.oldest_first()
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

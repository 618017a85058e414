"""Keep what is known of each request that has no answer yet."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from spoolcrank._web import HttpRequest, Reply, Unsent

GIVEN_UP_LINES = 20
"""Of one stop, lines that name a request without an answer; line `stop` has the number of all. A
choice: enough to see what they wait for, a fifth of the lines about failures of one second."""


class Waits(Enum):
    """What a request without an answer waits for; CLIENT: that it reads what was answered."""

    NOTHING = "nothing"
    APPEND = "append"
    READ = "read"
    READ_THEN_APPEND = "read-then-append"
    CLIENT = "client"


@dataclass(eq=False)
class Asked:
    """One request that was read whole and has no answer yet.

    Attributes:
        request: as it came.
        reply: the way to answer it.
        came_at: when it was read whole, s of the monotonic clock.
        waits: for what.
    """

    request: HttpRequest
    reply: Reply
    came_at: float
    waits: Waits = Waits.NOTHING


class OpenRequests:
    """The requests of one address that have no answer yet, oldest first."""

    def __init__(self) -> None:
        self._asked: dict[Asked, None] = {}

    def __len__(self) -> int:
        return len(self._asked)

    def begin(self, asked: Asked) -> None:
        """Take a request that was read whole."""
        self._asked[asked] = None

    def end(self, asked: Asked) -> bool:
        """Take note that a request gets its answer; returns False if it had one."""
        if asked not in self._asked:
            return False
        del self._asked[asked]
        return True

    def oldest_first(self) -> list[Asked]:
        """Return the requests without an answer."""
        return list(self._asked)


class GivenUp(NamedTuple):
    """One request whose answer a stop did not give, or not whole.

    Attributes:
        method, path: of the request.
        read_at: when it was read, s of the monotonic clock.
        waits: for what.
    """

    method: str
    path: str
    read_at: float
    waits: Waits


def given_up(asked: OpenRequests, unsent: list[Unsent]) -> list[GivenUp]:
    """Return what a stop gives up: requests without an answer, and answers not handed on whole."""
    waiting = [
        GivenUp(one.request.method, one.request.path, one.came_at, one.waits)
        for one in asked.oldest_first()
    ]
    return waiting + [GivenUp(*one, Waits.CLIENT) for one in unsent]


def tell_given_up(
    requests: list[GivenUp], stopped_at: float, now: float, log: Callable[..., None]
) -> None:
    """Write one line for each request that a stop gives up."""
    for one in requests[:GIVEN_UP_LINES]:
        log(
            "given-up",
            grave=True,
            method=one.method,
            path=one.path,
            age_s=round(now - one.read_at, 3),
            read_after_signal_s=round(one.read_at - stopped_at, 3),
            waits=one.waits.value,
        )

"""Judge, from the records alone, whether a task brings down the servers that start it.

Everything on a server that crashes is lost, and one task at most is the cause. A task is given up
after crashes soon after its starts, of which some had nothing else that began there lately. No
clock is read and nothing of one instance's memory is used, so that all instances judge alike.
"""

from collections.abc import Iterable, Sequence

from pydantic import BaseModel

from spoolcrank.ids import InstanceId

MOST_KEPT = 6
"""Crashes kept of one task, the newest."""

GIVE_UP_AFTER = 3
"""Crashes soon after the start, of which ALONE had no other possible cause."""

ALONE = 2

SURELY_AFTER = 5
"""After so many it is given up whatever was beside it."""

SOON_S = 3.0
"""A run lost no later than that after its start died soon, s: how long it lived is known to one
renewal."""

SETTLED_S = 2.0
"""What was placed so much earlier on the same server is not the cause, s; two renewals."""

APART_AFTER = 2
"""Crashes after which a task has a server for itself."""

UNKNOWN_S = -1.0
"""Stands for a time that is not known."""

CLOSED_S = 4.0
"""Nothing else is placed beside such a task for so long, s."""

PAUSES_S = (0.0, 1.0, 2.0, 5.0)
"""Before the next start after one, two, three, more crashes, s: each costs a server with all that
it runs."""


class Crash(BaseModel):
    """A server that came back as another incarnation while a task's attempt was on it.

    `lived_s` is how long the attempt had been there at most, or UNKNOWN_S; `alone` tells
    that nothing else there began lately.
    """

    server: InstanceId
    lived_s: float = UNKNOWN_S
    alone: bool = False


def with_crash(crashes: Iterable[Crash], crash: Crash) -> list[Crash]:
    """Return the crashes that count once one more is known: a run that lived on clears its task."""
    if crash.lived_s > SOON_S:
        return [crash]
    return [*crashes, crash][-MOST_KEPT:]


def is_guilty(crashes: Sequence[Crash]) -> bool:
    """Tell whether a task is proved to bring servers down."""
    soon = [one for one in crashes if one.lived_s <= SOON_S]
    alone = [one for one in soon if one.alone]
    enough = len(soon) >= GIVE_UP_AFTER and len({one.server for one in alone}) >= ALONE
    return enough or len(soon) >= SURELY_AFTER


def pause_s(crashes: int) -> float:
    """Return how long a task waits before its next start."""
    return PAUSES_S[min(crashes, len(PAUSES_S)) - 1] if crashes else 0.0

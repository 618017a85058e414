"""Decide, from the records alone, whether a task brings down the servers that start it.

All work on a server that crashes is lost, and at most one task is the cause. A task is given up
after crashes soon after its starts, if in some of them nothing else had begun there recently. The
decision uses no clock and no state in the memory of one instance, so that all instances decide
alike.
"""

from collections.abc import Iterable, Sequence

from pydantic import BaseModel

from spoolcrank.ids import InstanceId

MAX_STORED_CRASHES = 6
"""Maximum number of crashes stored for one task, the newest."""

MIN_CRASHES = 3
"""Number of crashes soon after the start after which a task is given up, if crashes on at least
MIN_SERVERS_ALONE of the servers had no other possible cause."""

MIN_SERVERS_ALONE = 2

CERTAIN_CRASHES = 5
"""Number of crashes soon after the start after which a task is given up whatever else ran
on the servers."""

MAX_EARLY_LIFETIME_S = 3.0
"""Maximum time between the start of a run and its loss, in seconds, for the loss to count as
soon after the start. The lifetime of a run is known to within one renewal."""

MIN_AGE_GAP_S = 2.0
"""Minimum time, in seconds, by which an attempt on the same server must be older to be ruled out
as the cause; two renewals."""

ISOLATE_AFTER_CRASHES = 2
"""Number of crashes after which a task is isolated on a server of its own."""

UNKNOWN_LIFETIME_S = -1.0
"""Value of `Crash.lived_s` if the lifetime of the attempt is not known."""

EXCLUSIVE_S = 4.0
"""Time for which nothing else is placed on the server of an isolated task, in seconds."""

RESTART_DELAYS_S = (0.0, 1.0, 2.0, 5.0)
"""Delays before the next start after one, two, three, or more crashes, in seconds: each crash
costs a server with all that it runs."""


class Crash(BaseModel):
    """Crash of a server that was running an attempt of a task.

    The server has returned as another incarnation. `lived_s` is the longest time that the attempt
    can have been there, or UNKNOWN_LIFETIME_S; `alone` states that nothing else there had begun
    recently.
    """

    server: InstanceId
    lived_s: float = UNKNOWN_LIFETIME_S
    alone: bool = False


def with_crash(crashes: Iterable[Crash], crash: Crash) -> list[Crash]:
    """Return the crashes that count after one more.

    An attempt that lived longer than MAX_EARLY_LIFETIME_S clears its task of the earlier crashes.
    """
    if crash.lived_s > MAX_EARLY_LIFETIME_S:
        return [crash]
    return [*crashes, crash][-MAX_STORED_CRASHES:]


def causes_crashes(crashes: Sequence[Crash]) -> bool:
    """Return whether the crashes prove that a task brings servers down."""
    soon = [crash for crash in crashes if crash.lived_s <= MAX_EARLY_LIFETIME_S]
    alone = [crash for crash in soon if crash.alone]
    enough = (
        len(soon) >= MIN_CRASHES and len({crash.server for crash in alone}) >= MIN_SERVERS_ALONE
    )
    return enough or len(soon) >= CERTAIN_CRASHES


def restart_delay_s(crashes: int) -> float:
    """Return how long a task waits before its next start, in seconds."""
    return RESTART_DELAYS_S[min(crashes, len(RESTART_DELAYS_S)) - 1] if crashes else 0.0

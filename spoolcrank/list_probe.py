"""Read the list of runners on an instance that does not lead, while the leader's copies are old.

A leader whose copy of the list of runners, or of the log, is old places nothing, but it goes on to
extend the leases of the runners that it knows. Its claims then state that it lacks a copy. They do
not resign: a successor that cannot read the list either would know no runner's address, and all
work would be lost. Instead, other instances try to read the list. One that has the whole list and a
recent copy of the log claims without waiting for the leader's silence, and takes over with the
copies that it has. Where no instance has them, none claims, and the leader goes on.
"""

import math
import random
from collections.abc import Callable

from spoolcrank.leadership import SMALLER_INSTANCE_DELAY_S, Leadership
from spoolcrank.leadership_monitor import (
    MAX_LIST_AGE_S,
    MAX_LOG_AGE_S,
    LeadershipMonitor,
    PlacingBlock,
)
from spoolcrank.log_follower import LogFollower

MAX_OLD_COPY_S = 1.5
"""Time for which an old copy must prevent placing before claims state it, in seconds. Within it a
call that got no answer over a silent connection is repeated over another one and answered."""

MAX_LOAD_S = 0.7
"""Time for which a list that was not read yet must prevent placing before claims state it, in
seconds. Until the list is read no lease is extended, and the leader before ended 1.3 to 2.5 s ago;
leases of 6 s have to last until a successor has the list."""

FIRST_PROBES_SHARE = 0.01
"""Share of the instances that try at once; the others follow at a rate that grows tenfold in half
of MAX_PROBE_DELAY_S. Each of them reads the whole list, and the first that has it claims."""

MAX_PROBE_DELAY_S = 1.5
"""Time after which all instances try to read the list, in seconds."""

MAX_FAILING_S = 1.0
"""Time without an answer after which an instance stops trying, in seconds; more than a call's
limit."""

MIN_HELD_S = 0.8
"""Time for which an instance must have had recent copies before it claims, in seconds. Where the
store was away for all, the leader reads again within it, and the others read that it withdraws its
statement: a call without an answer takes 0.8 s and its repetition 0.15 s."""

RETRY_DELAY_S = 1.0
"""Delay before an instance tries again, in seconds. 300 instances then send 900 calls
a second at most."""

_MAX_BLOCKED_S = {
    PlacingBlock.LIST_NOT_READ: MAX_LOAD_S,
    PlacingBlock.OLD_LIST: MAX_OLD_COPY_S,
    PlacingBlock.OLD_LOG: MAX_OLD_COPY_S,
}


def is_copy_old(monitor: LeadershipMonitor, now: float) -> bool:
    """Return whether a leader has placed nothing for some time because a copy of it is old.

    Now one copy may be old and now the other.
    """
    since = monitor.copies_old_since
    return since is not None and now - since >= _MAX_BLOCKED_S[monitor.block]


def probe_delay_s(seed: str) -> float:
    """Return how long after the leader's statement an instance tries to read the list, seconds."""
    share = max(FIRST_PROBES_SHARE, random.Random(seed).random())
    return MAX_PROBE_DELAY_S * (1.0 - math.log(share) / math.log(FIRST_PROBES_SHARE))


class ListProbe:
    """The reading of the list of runners by an instance that does not lead."""

    def __init__(
        self,
        leadership: Leadership,
        log: LogFollower,
        follower: LogFollower,
        clock: Callable[[], float],
    ) -> None:
        self._leadership = leadership
        self._log = log
        self._follower = follower
        self._clock = clock
        self._delay_s = probe_delay_s(leadership.incarnation)
        self._wanted_since: float | None = None
        self._began_at: float | None = None
        self._retry_at = -math.inf
        self._copies_since: float | None = None

    def check(self) -> None:
        """Begin, repeat or end the reading as needed; record whether this instance has copies."""
        now, follower, leadership = self._clock(), self._follower, self._leadership
        if leadership.leads:
            # Its claim was read back; it takes over once it has read the log.
            return
        if not (leadership.leader_lacks_copy or self._reads_to_offer()):
            self._end()
            self._wanted_since = None
            return
        if self._wanted_since is None:
            self._wanted_since = now
        if self._began_at is None:
            if now >= max(self._retry_at, self._wanted_since + self._claim_delay_s()):
                self._began_at = now
                follower.begin()
        elif now - max(self._began_at, follower.answered_at) > MAX_FAILING_S:
            self._end()
            self._retry_at = now + RETRY_DELAY_S
        has_list = follower.copy.loaded and follower.is_fresh(MAX_LIST_AGE_S)
        has_log = self._log.copy.loaded and self._log.is_fresh(MAX_LOG_AGE_S)
        if self._began_at is None or not (has_list and has_log):
            self._copies_since = None
        elif self._copies_since is None:
            self._copies_since = now
        since = self._copies_since
        held = since is not None and now - since >= MIN_HELD_S
        leadership.has_copies = leadership.may_offer = held

    def _reads_to_offer(self) -> bool:
        """Return whether to read the list before this instance offers to lead again.

        It lacked a copy as it led, or while the leader did, and may still lack it.
        """
        return self._leadership.is_larger and not self._leadership.may_offer

    def _claim_delay_s(self) -> float:
        return self._delay_s + SMALLER_INSTANCE_DELAY_S * self._leadership.is_smaller

    def _end(self) -> None:
        self._leadership.has_copies, self._copies_since = False, None
        if self._began_at is not None:
            self._began_at = None
            self._follower.pause()

    def take_over(self) -> None:
        """Go on to follow the list as the leader, from the copy that was read if it is complete."""
        has_list = self._began_at is not None and self._follower.copy.loaded
        self._began_at = self._wanted_since = self._copies_since = None
        if not has_list:
            self._follower.begin()

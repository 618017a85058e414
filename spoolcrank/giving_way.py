"""Let others claim while a leader cannot read the log, and so can place nothing.

The records of such a leader show the others that it lives, so that they claim nothing. It therefore
writes that it resigned; only an instance that reads this can claim. Until one does, the leader goes
on to extend leases: where no instance can read, nothing that runs is lost.
"""

from spoolcrank.leadership import Leadership
from spoolcrank.log_follower import LogFollower
from spoolcrank.scheduler import Scheduler

MAX_UNREAD_S = 3.5
"""Age of the copy of the log at which a leader whose reads fail lets others claim, in seconds. By
then it has placed nothing for two seconds, and a job of which nothing runs for three counts as
lost."""

GIVE_WAY_INTERVAL_S = 1.5
"""Interval between the records by which a leader lets others claim, in seconds. Each restarts the
delay of their claims, of 1.2 s at most, and confirms the leases, which it may do for 1.7 s."""

MAX_READ_S = 2.0
"""Time after which a read that was sent when the store took writes again has failed or succeeded,
in seconds: the wait for a record, the time limit of a call and the delay between two reads."""


def gives_way(state: Scheduler, follower: LogFollower, leadership: Leadership, now: float) -> bool:
    """Return whether a leader whose writes are stored lets others claim; log when that begins."""
    if state.resigned:
        return True
    reads_fail = not follower.contact and now - follower.copy.read_at > MAX_UNREAD_S
    writes_are_stored = leadership.may_extend(now) and now - leadership.confirmed_since > MAX_READ_S
    if not (reads_fail and writes_are_stored):
        return False
    state.log_event("lets-others-claim")
    return True


def resignation_due(state: Scheduler, leadership: Leadership, now: float) -> bool:
    """Return whether to write the record by which others may claim, for the first time or again."""
    return not state.resigned or now - leadership.wrote_at >= GIVE_WAY_INTERVAL_S

"""Tell from the log lines whether a leader leads all of its runners, and why it places nothing."""

from dataclasses import dataclass
from enum import Enum

from spoolcrank.scheduler import Scheduler

BLOCKED_S = 0.5
"""A leader that places nothing for so long says why, s; a list of runners is read within it."""

STALE_LIST_S = 1.2
"""Nothing is placed by a list of runners read longer ago, s; with the time of an order it stays
below the 2 s after which a leaving runner must get no start."""

STALE_LOG_S = 1.5
"""Nothing is placed by jobs and cancels read up to a time longer ago, s; with a record and an order
it stays below the 3 s after which a cancelled job must get no start. Reads wait 0.7 s for news."""


class Blocked(Enum):
    """Why a leader places nothing."""

    NOT = ""
    LEAVING = "leaving"
    NO_LIST = "the list of runners was not read yet"
    OLD_LIST = "the list of runners is old"
    OLD_LOG = "the log was read too long ago"


@dataclass
class LeadWatch:
    """What was said so far of one term.

    Attributes:
        began_at: when the term began, monotonic seconds.
        reached_all: every listed runner has answered this leader once.
        blocked: why it places nothing now.
        since: since when that is so.
        told: whether a line said so.
    """

    began_at: float
    reached_all: bool = False
    blocked: Blocked = Blocked.NOT
    since: float = 0.0
    told: bool = False


def why_blocked(leaving: bool, loaded: bool, list_age_s: float, log_age_s: float) -> Blocked:
    """Return why nothing may be placed now, by the ages of what was read."""
    if leaving:
        return Blocked.LEAVING
    if not loaded:
        return Blocked.NO_LIST
    if list_age_s > STALE_LIST_S:
        return Blocked.OLD_LIST
    # A new leader may be far behind in the log: what it has yet to read may be cancelled.
    return Blocked.OLD_LOG if log_age_s > STALE_LOG_S else Blocked.NOT


def watch_placing(
    watch: LeadWatch, state: Scheduler, blocked: Blocked, list_age_s: float, now: float
) -> None:
    """Take note of why nothing is placed; says so once it lasts, and once it is over."""
    if blocked is not watch.blocked:
        if watch.told:
            state.note("places-again", why=watch.blocked.value, after_s=round(now - watch.since, 2))
        watch.blocked, watch.since, watch.told = blocked, now, False
    if blocked is not Blocked.NOT and not watch.told and now - watch.since >= BLOCKED_S:
        watch.told = True
        state.note("places-nothing", why=blocked.value, list_age_s=round(list_age_s, 2))


def watch_runners(watch: LeadWatch, state: Scheduler, now: float) -> None:
    """Say once when every listed runner has answered this leader."""
    if watch.reached_all:
        return
    listed = [one for one in state.runners.values() if one.listed and not one.gone]
    if not listed or not all(one.adopted for one in listed):
        return
    watch.reached_all = True
    runs = sum(len(one.runs) for one in listed)
    after_s = round(now - watch.began_at, 2)
    state.note("runners-taken-over", after_s=after_s, runners=len(listed), runs=runs)

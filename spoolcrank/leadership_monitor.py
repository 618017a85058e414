"""Log when a leader has taken over all listed runners, and why it places nothing."""

from dataclasses import dataclass
from enum import Enum

from spoolcrank.keyed_log import KeyedLog
from spoolcrank.scheduler import Scheduler

BLOCK_LOG_DELAY_S = 0.5
"""Time for which placing must be blocked before the reason is logged, in seconds. A list of runners
is read within this time."""

MAX_LIST_AGE_S = 1.2
"""Maximum age of the list of runners at which tasks are placed, in seconds. Together with the time
of an order it stays below the 2 s after which a leaving runner must get no start."""

MAX_LOG_AGE_S = 1.5
"""Maximum age of the copy of the log at which tasks are placed, in seconds. Together with the time
of a record and an order it stays below the 3 s after which a cancelled job must get no start. A
read of the log waits up to 0.7 s for new records."""


FEW_POLLS_SHARE = 0.5
"""Share of the usual polls of runners without runs from which a leader logs that it sends fewer."""


class PlacingBlock(Enum):
    """Reason why a leader places nothing."""

    NONE = ""
    LEAVING = "leaving"
    LIST_NOT_READ = "the list of runners was not read yet"
    OLD_LIST = "the list of runners is old"
    OLD_LOG = "the log was read too long ago"


@dataclass
class LeadershipMonitor:
    """Observations of one term, and whether they were logged.

    Attributes:
        term_began_at: when the term began, in monotonic seconds.
        all_runners_answered: whether every listed runner has answered this leader.
        block: why nothing is placed now.
        block_since: when that reason began to apply, in monotonic seconds.
        block_logged: whether it was logged.
        copies_old_since: since when a copy has been too old to place anything, whichever of them,
            in monotonic seconds; None if none is.
        short_of_time_since: since when it has sent few polls for want of time, in monotonic
            seconds; None if it has not.
    """

    term_began_at: float
    all_runners_answered: bool = False
    block: PlacingBlock = PlacingBlock.NONE
    block_since: float = 0.0
    block_logged: bool = False
    copies_old_since: float | None = None
    short_of_time_since: float | None = None


def find_placing_block(
    leaving: bool, loaded: bool, list_age_s: float, log_age_s: float
) -> PlacingBlock:
    """Return why nothing may be placed now, judged by the ages of what was read."""
    if leaving:
        return PlacingBlock.LEAVING
    if not loaded:
        return PlacingBlock.LIST_NOT_READ
    if list_age_s > MAX_LIST_AGE_S:
        return PlacingBlock.OLD_LIST
    # A new leader may be far behind in the log and not have read cancellations yet.
    return PlacingBlock.OLD_LOG if log_age_s > MAX_LOG_AGE_S else PlacingBlock.NONE


def update_placing_block(
    monitor: LeadershipMonitor,
    state: Scheduler,
    leaving: bool,
    runners: KeyedLog,
    log: KeyedLog,
    now: float,
) -> PlacingBlock:
    """Return why nothing may be placed now, and record it.

    Args:
        leaving: whether this instance stops.
        runners: the copy of the list of runners.
        log: the copy of the scheduler's log.
    """
    list_age_s = now - runners.read_at
    block = find_placing_block(leaving, runners.loaded, list_age_s, now - log.read_at)
    log_placing_block(monitor, state, block, list_age_s, now)
    return block


def log_placing_block(
    monitor: LeadershipMonitor, state: Scheduler, block: PlacingBlock, list_age_s: float, now: float
) -> None:
    """Record why nothing is placed; log it after BLOCK_LOG_DELAY_S, and log its end."""
    if block is not monitor.block:
        if monitor.block_logged:
            state.log_event(
                "places-again", why=monitor.block.value, after_s=round(now - monitor.block_since, 2)
            )
        monitor.block, monitor.block_since, monitor.block_logged = block, now, False
    if (
        block is not PlacingBlock.NONE
        and not monitor.block_logged
        and now - monitor.block_since >= BLOCK_LOG_DELAY_S
    ):
        monitor.block_logged = True
        state.log_event("places-nothing", why=block.value, list_age_s=round(list_age_s, 2))
    if block in (PlacingBlock.NONE, PlacingBlock.LEAVING):
        monitor.copies_old_since = None
    elif monitor.copies_old_since is None:
        monitor.copies_old_since = now
    state.placing_blocked = block is not PlacingBlock.NONE
    state.places_nothing = monitor.block_logged


def log_progress(monitor: LeadershipMonitor, state: Scheduler, now: float) -> None:
    """Log when all runners are taken over, and while the leader is short of time for polls."""
    _log_takeover_done(monitor, state, now)
    share, since = state.polls.share, monitor.short_of_time_since
    if since is None and share <= FEW_POLLS_SHARE:
        monitor.short_of_time_since = now
        state.log_event("polls-fewer", share=round(share, 2), runners=len(state.runners))
    elif since is not None and share >= 1.0:
        monitor.short_of_time_since = None
        state.log_event("polls-as-usual", after_s=round(now - since, 2))


def _log_takeover_done(monitor: LeadershipMonitor, state: Scheduler, now: float) -> None:
    """Log once when every listed runner has answered this leader."""
    if monitor.all_runners_answered:
        return
    listed = [runner for runner in state.runners.values() if runner.listed and not runner.gone]
    if not listed or not all(runner.adopted for runner in listed):
        return
    monitor.all_runners_answered = True
    runs = sum(len(runner.runs) for runner in listed)
    after_s = round(now - monitor.term_began_at, 2)
    state.log_event("runners-taken-over", after_s=after_s, runners=len(listed), runs=runs)

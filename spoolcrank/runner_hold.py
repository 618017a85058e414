"""Tell why a runner takes no new work."""

from enum import Enum

from spoolcrank.ids import AvailabilityZone
from spoolcrank.runner_state import MAX_ANSWER_AGE_S, RunnerState


class RunnerHold(Enum):
    """Reason why a runner takes no new work."""

    GONE = "gone"
    UNLISTED = "unlisted"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    NOT_TAKEN_OVER = "not-taken-over"
    SILENT = "silent"
    OLD_ANSWER = "old-answer"
    SILENT_ZONE = "silent-zone"
    ISOLATED = "isolated"
    QUARANTINED = "quarantined"


def runner_hold(
    runner: RunnerState, silent_zones: frozenset[AvailabilityZone], now: float
) -> RunnerHold | None:
    """Return why a runner takes no new work now, or None if it may take some.

    Args:
        runner: the runner.
        silent_zones: availability zones that answer no starts now.
        now: time in monotonic seconds.
    """
    holds = {
        RunnerHold.GONE: runner.gone,
        RunnerHold.UNLISTED: not runner.listed,
        RunnerHold.LEAVING: runner.is_leaving(now),
        RunnerHold.EVACUATED: runner.evacuated,
        RunnerHold.NOT_TAKEN_OVER: not runner.adopted,
        RunnerHold.SILENT: runner.silent_since is not None,
        RunnerHold.OLD_ANSWER: now - runner.answered_at > MAX_ANSWER_AGE_S,
        RunnerHold.SILENT_ZONE: runner.entry.availability_zone in silent_zones,
        RunnerHold.ISOLATED: runner.isolated_for is not None,
        RunnerHold.QUARANTINED: now < runner.quarantined_until,
    }
    return next((hold for hold, applies in holds.items() if applies), None)

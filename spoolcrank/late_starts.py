"""Remember which runners may still carry out a start that got no answer.

A runner that restarts under its name knows neither the fence nor the runs of before, so that it
carries out such a start too, even of a task that is done by then. Only a poll voids it, and only
from the moment at which the poll reaches the new incarnation. A silent runner may be restarting.
"""

from spoolcrank.runner_ids import RunnerName, name_of
from spoolcrank.workflow import RunnerId

MAX_START_DELAY_S = 12.0
"""Time after which a start without an answer no longer counts as outstanding, in seconds. The
platform states no limit, but that it may be carried out seconds later."""


class LateStarts:
    """Starts of one leader, and of those before it, that may still be carried out.

    Args:
        began_at: time of the takeover, monotonic seconds. Until MAX_START_DELAY_S later, starts of
            earlier leaders may be outstanding at any runner.

    Attributes:
        kept: runners without an entry that are still polled for their late starts.
    """

    def __init__(self, began_at: float) -> None:
        self.kept: set[RunnerId] = set()
        self._began_at = began_at
        self._sent_at: dict[RunnerName, float] = {}

    def record(self, runner: RunnerId, sent_at: float) -> None:
        """Record a start that got no answer."""
        self._sent_at[name_of(runner)] = sent_at

    def is_outstanding(self, runner: RunnerId, now: float) -> bool:
        """Return whether a start may still be carried out at any incarnation of a runner."""
        sent_at = max(self._began_at, self._sent_at.get(name_of(runner), self._began_at))
        return now - sent_at < MAX_START_DELAY_S

    def forget_old(self, now: float) -> None:
        """Forget the starts that are no longer outstanding."""
        self._sent_at = {
            runner: sent_at
            for runner, sent_at in self._sent_at.items()
            if now - sent_at < MAX_START_DELAY_S
        }

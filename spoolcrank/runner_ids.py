"""Identifiers and fence ranks of the incarnations of runners.

A runner may start again under the same name. It then has none of its earlier runs and knows nothing
of them.
Everything that is known of a runner, and everything that is sent to it, therefore belongs to one
incarnation: a `RunnerId` consists of the name and the time of that start. Where the platform does
not report the time, the id is the name alone, and the incarnations of that name are not
distinguished.
"""

from typing import NewType

from spoolcrank.workflow import RunnerId

RunnerName = NewType("RunnerName", str)

START_SEPARATOR = "@"
"""Separator between the name and the time of the start; no name may contain it."""

FENCES_PER_TERM = 1024
"""Number of fences that a leader has for each name: one for each incarnation that it registers
in its term. An incarnation that has seen its own fence ignores orders that were meant for an
earlier one, however late they arrive."""

MAX_RAISED_RANK = FENCES_PER_TERM // 2
"""Limit of the ranks that incarnations get by being raised; higher ones are left to later
incarnations."""

MAX_INCARNATIONS_PER_NAME = 8
"""Maximum number of incarnations remembered for one name, the newest; the runs of others are
settled by their leases."""

MAX_NAMES = 10_000
"""Maximum number of names remembered. Names that no runner has now are included, so that orders
to their last incarnation stay outranked."""


def runner_id(name: RunnerName, started_ms: int | None) -> RunnerId:
    """Return the id of an incarnation.

    Args:
        name: name of the runner.
        started_ms: time of its start by its own clock, in ms since 1970, or None if unknown. That
            clock may step: different times mean different incarnations, but do not show which one
            is later.
    """
    return RunnerId(name if started_ms is None else f"{name}{START_SEPARATOR}{started_ms:x}")


def name_of(runner: RunnerId) -> RunnerName:
    """Return the name that an incarnation shares with those before and after it."""
    return RunnerName(runner.partition(START_SEPARATOR)[0])


def knows_start(runner: RunnerId) -> bool:
    """Return whether an id distinguishes one incarnation from the others of its name."""
    return START_SEPARATOR in runner


def answers_for(answered: RunnerId, asked: RunnerId) -> bool:
    """Return whether the incarnation that was asked answered, as far as the answer shows."""
    return answered in (asked, RunnerId(name_of(asked)))


class FenceRanks:
    """Incarnations of each name, ranked in the order in which one leader registered them."""

    def __init__(self) -> None:
        self._ranks: dict[RunnerName, dict[RunnerId, int]] = {}

    def register(self, runner: RunnerId) -> int:
        """Register an incarnation and return its rank, above all earlier ones of its name."""
        ranks = self._ranks.setdefault(name_of(runner), {})
        if ranks and next(reversed(ranks)) == runner:
            return ranks[runner]
        rank = min(self.newest(runner) + 1, FENCES_PER_TERM - 1) if ranks else 0
        ranks.pop(runner, None)
        ranks[runner] = rank
        if len(ranks) > MAX_INCARNATIONS_PER_NAME:
            del ranks[next(iter(ranks))]
        if len(self._ranks) > MAX_NAMES:
            del self._ranks[next(iter(self._ranks))]
        return rank

    def raise_rank(self, runner: RunnerId) -> int | None:
        """Raise an incarnation above all ranks of its name and return its rank.

        Return None if the ranks that are left are needed for later incarnations.
        """
        rank = self.newest(runner) + 1
        if rank >= MAX_RAISED_RANK:
            return None
        self._ranks.setdefault(name_of(runner), {})[runner] = rank
        return rank

    def newest(self, runner: RunnerId) -> int:
        """Return the highest rank of any incarnation of a runner's name."""
        return max(self._ranks.get(name_of(runner), {}).values(), default=0)

    def others(self, runner: RunnerId) -> list[RunnerId]:
        """Return the other incarnations of a runner's name."""
        return [other for other in self._ranks.get(name_of(runner), {}) if other != runner]

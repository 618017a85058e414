"""Name the incarnations of runners.

A runner may start again under the name that it had, and then holds and knows nothing of before. So
whatever is known of a runner, and whatever is sent to it, is of one incarnation: a `RunnerId` names
the runner and the time of that start. Where the platform does not tell the time the id is the name
alone, and incarnations of that name are not told apart.
"""

from typing import NewType

from spoolcrank.workflow import RunnerId

RunnerName = NewType("RunnerName", str)

START_MARK = "@"
"""Between the name and the time of the start; no name may contain it."""

FENCES_A_TERM = 1024
"""A leader has so many fences for each name: one for each incarnation that it meets in its term. A
later one that has seen its own does nothing for orders that were meant for an earlier one, however
late they come."""

MOST_OF_A_NAME = 8
"""Incarnations remembered of one name, the newest; what is on others goes by their leases."""

MOST_NAMES = 10_000
"""Names remembered though no runner has them now, so that orders to the last one stay outranked."""


def runner_id(name: RunnerName, started_ms: int | None) -> RunnerId:
    """Return the id of an incarnation, started so many milliseconds after 1970 by its own clock.

    That clock may step: incarnations differ where it differs, and which is the later one is not
    told by it.
    """
    return RunnerId(name if started_ms is None else f"{name}{START_MARK}{started_ms:x}")


def name_of(runner: RunnerId) -> RunnerName:
    """Return the name that an incarnation shares with those before and after it."""
    return RunnerName(runner.partition(START_MARK)[0])


def knows_start(runner: RunnerId) -> bool:
    """Tell whether an id tells one incarnation from the others of its name."""
    return START_MARK in runner


def answers_for(answered: RunnerId, asked: RunnerId) -> bool:
    """Tell whether the incarnation that was asked answered, as far as the answer tells."""
    return answered in (asked, RunnerId(name_of(asked)))


class FenceRanks:
    """The incarnations of each name that one leader has met, ranked in the order of that."""

    def __init__(self) -> None:
        self._met: dict[RunnerName, dict[RunnerId, int]] = {}

    def meet(self, runner: RunnerId) -> int:
        """Return the rank of an incarnation: above those of its name that were met before it."""
        met = self._met.setdefault(name_of(runner), {})
        if met and next(reversed(met)) == runner:
            return met[runner]
        rank = min(self.newest(runner) + 1, FENCES_A_TERM - 1) if met else 0
        met.pop(runner, None)
        met[runner] = rank
        if len(met) > MOST_OF_A_NAME:
            del met[next(iter(met))]
        if len(self._met) > MOST_NAMES:
            del self._met[next(iter(self._met))]
        return rank

    def newest(self, runner: RunnerId) -> int:
        """Return the highest rank of any incarnation of a runner's name."""
        return max(self._met.get(name_of(runner), {}).values(), default=0)

    def others(self, runner: RunnerId) -> list[RunnerId]:
        """Return the other incarnations of a runner's name."""
        return [one for one in self._met.get(name_of(runner), {}) if one != runner]

"""Name the lives of runners.

A runner may start again under the name that it had, and then holds and knows nothing of before. So
whatever is known of a runner, and whatever is sent to it, is of one life of it: a `RunnerId` names
the runner and when that life was born. Where the platform does not tell the birth it is the name
alone, and whether it is the same life as another of that name is not known.
"""

from typing import NamedTuple, NewType

from spoolcrank.workflow import RunnerId

RunnerName = NewType("RunnerName", str)

BORN_MARK = "@"
"""Between the name and the birth; no name may contain it."""


FENCES_A_TERM = 1024
"""A leader has so many fences for each name: one for each life of it that it meets in its term. A
later life that has seen its own does nothing for orders that were meant for an earlier one, however
late they come."""

MOST_NAMES = 10_000
"""Names remembered with no life in use, so that orders to the last one stay outranked."""


def life_of(name: RunnerName, born_ms: int | None) -> RunnerId:
    """Return the id of a life, born so many milliseconds after 1970 by the runner's own clock.

    That clock may step: lives differ where it differs, and nothing tells which is the later one.
    """
    return RunnerId(name if born_ms is None else f"{name}{BORN_MARK}{born_ms:x}")


def name_of(runner: RunnerId) -> RunnerName:
    """Return the name that a life shares with those before and after it."""
    return RunnerName(runner.partition(BORN_MARK)[0])


def knows_birth(runner: RunnerId) -> bool:
    """Tell whether an id tells one life from the others of its name."""
    return BORN_MARK in runner


def answers_for(answered: RunnerId, asked: RunnerId) -> bool:
    """Tell whether who answered is the life that was asked, as far as it tells its birth."""
    return answered in (asked, RunnerId(name_of(asked)))


class _Newest(NamedTuple):
    life: RunnerId
    rank: int


class LifeRanks:
    """The lives of each name that one leader has met, ranked in the order of that."""

    def __init__(self) -> None:
        self._newest: dict[RunnerName, _Newest] = {}

    def meet(self, runner: RunnerId) -> int:
        """Return the rank of a life: above all others of its name that were met before it."""
        name = name_of(runner)
        held = self._newest.get(name)
        if held is None:
            rank = 0
        elif held.life == runner:
            rank = held.rank
        else:
            rank = min(held.rank + 1, FENCES_A_TERM - 1)
        self._newest[name] = _Newest(runner, rank)
        if len(self._newest) > MOST_NAMES:
            del self._newest[next(iter(self._newest))]
        return rank

    def newest(self, runner: RunnerId) -> int:
        """Return the highest rank of any life of a runner's name."""
        held = self._newest.get(name_of(runner))
        return held.rank if held is not None else 0

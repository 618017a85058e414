"""Choose runners for all tasks of one step by one evaluation of the runners.

Pattern: wide jobs over many runners. The tasks of a step want the same, and binding one of them
changes one runner only, so that the order of all others still holds. Weighing every runner anew
for each task took 37 to 57 % of a leader's busy time over 270 runners (its stack sampled on three
days), and what waits behind a pass starts later. The choice is exactly that of `packing.choose`
for one task after the other.
"""

from bisect import insort
from collections.abc import Sequence

from spoolcrank.contention import Contention
from spoolcrank.packing import PlacementRequest, score
from spoolcrank.runner_state import RunnerState


class Ranking:
    """The runners that may take a task of one step, best first.

    Valid while nothing but `changed` runners changes: within one decision, for requests that differ
    in their task only.
    """

    def __init__(
        self,
        request: PlacementRequest,
        runners: Sequence[RunnerState],
        contention: Contention,
        now: float,
    ) -> None:
        self._request = request
        self._runners = runners
        self._contention = contention
        self._now = now
        self._demand = request.step.demand
        scores = map(self._score, runners)
        # Of equal ones the first runner comes last, as the best is taken from the end.
        self._order = [(found, -place) for place, found in enumerate(scores) if found]
        self._order.sort()

    def _score(self, runner: RunnerState) -> tuple[float, ...]:
        return score(self._request, self._demand, runner, self._contention, self._now)

    def best(self) -> RunnerState | None:
        """Return the runner for the next task, or None if it has to wait."""
        return self._runners[-self._order[-1][1]] if self._order else None

    def best_changed(self) -> None:
        """Weigh the best runner anew: a task was bound to it."""
        _, place = self._order.pop()
        found = self._score(self._runners[-place])
        if found:
            insort(self._order, (found, place))

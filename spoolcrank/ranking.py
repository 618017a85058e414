"""Choose runners for all tasks of one step with a single evaluation of the runners.

This makes wide jobs on many runners cheap to place. All tasks of a step have the same needs, and
binding one of them changes only one runner, so that the order of the others stays valid. The result
is exactly that of calling `packing.choose` for one task after the other.
"""

from bisect import insort
from collections.abc import Sequence

from spoolcrank.contention import ContentionModel
from spoolcrank.packing import PlacementRequest, score
from spoolcrank.runner_state import RunnerState


class Ranking:
    """The runners that may execute a task of one step, ordered by score.

    A ranking is valid within one decision, for requests that differ only in their task, as long as
    no runner changes without a call of `rescore_best`.
    """

    def __init__(
        self,
        request: PlacementRequest,
        runners: Sequence[RunnerState],
        contention: ContentionModel,
        now: float,
    ) -> None:
        self._request = request
        self._runners = runners
        self._contention = contention
        self._now = now
        self._demand = request.step.demand
        scores = map(self._score, runners)
        # The best runner is last. Indices are negated so that the first of equal runners wins.
        self._order = [
            (runner_score, -index) for index, runner_score in enumerate(scores) if runner_score
        ]
        self._order.sort()

    def _score(self, runner: RunnerState) -> tuple[float, ...]:
        return score(self._request, self._demand, runner, self._contention, self._now)

    def best(self) -> RunnerState | None:
        """Return the best runner for the next task, or None if the task has to wait."""
        return self._runners[-self._order[-1][1]] if self._order else None

    def rescore_best(self) -> None:
        """Score the best runner again after a task was bound to it."""
        _, negative_index = self._order.pop()
        runner_score = self._score(self._runners[-negative_index])
        if runner_score:
            insort(self._order, (runner_score, negative_index))

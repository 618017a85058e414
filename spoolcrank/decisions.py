"""Store recent decisions about requests, so that `why` can explain them."""

from collections import deque
from typing import NamedTuple

from spoolcrank.ids import RequestId

_MAX_DECISIONS = 2000


class Decision(NamedTuple):
    """A past decision about a request, as `why` shows it."""

    request: RequestId
    kind: str
    detail: str
    at: float
    config_version: int


class DecisionHistory:
    """The most recent decisions about requests, limited in number."""

    def __init__(self) -> None:
        self._recent: deque[Decision] = deque(maxlen=_MAX_DECISIONS)

    def add(self, decision: Decision) -> None:
        """Store a decision; the oldest one is dropped when the history is full."""
        self._recent.append(decision)

    def find(self, request: str) -> Decision | None:
        """Return the latest decision about a request, or None if none is stored."""
        return next((entry for entry in reversed(self._recent) if entry.request == request), None)

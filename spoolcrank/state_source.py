"""Choose the peer to query for its ledger while the log cannot be read."""

from collections.abc import Iterable

from spoolcrank.ids import InstanceId
from spoolcrank.membership import Heartbeat


class StateSource:
    """A selector of the peer to query, which avoids peers that left their last query unanswered."""

    def __init__(self) -> None:
        self._silent: set[InstanceId] = set()

    def pick(self, ahead: Iterable[Heartbeat]) -> Heartbeat | None:
        """Return the heartbeat with the highest ledger offset, preferring peers that answer."""
        candidates = list(ahead)
        answering = [candidate for candidate in candidates if candidate.sender not in self._silent]
        if not answering:
            # No peer answered its last query: try all of them again.
            self._silent.clear()
        return max(
            answering or candidates, key=lambda candidate: candidate.ledger_offset, default=None
        )

    def record_answer(self, peer: InstanceId, has_answered: bool) -> None:
        """Record whether a peer answered its last query."""
        if has_answered:
            self._silent.discard(peer)
        else:
            self._silent.add(peer)

"""Queues that are added and removed while the instances run, and when each was acknowledged."""

import random
import threading
import time
from typing import NamedTuple

from tests.soak.faults import UNREADABLE_VALUES
from tests.soak.fleet import Fleet

NEVER = tuple(f"never{number}" for number in range(5))
MAX_EXTRA_QUEUES = 6


class Published(NamedTuple):
    """One configuration that can be read; times in seconds of the monotonic clock."""

    sent_at: float
    acked_at: float
    names: frozenset[str]


class Queues:
    """The queues of each configuration that was published."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._lock = threading.Lock()
        self._count = 0
        self._version = int(time.monotonic() * 1000)
        self._dropped: list[str] = []
        self._names: list[str] = []
        self.history: list[Published] = []
        self.publish()

    def any_name(self, chance: random.Random) -> str:
        """Return a queue that is there, the newest, a removed one, or one that never was."""
        with self._lock:
            newest = self._names[-1:]
            groups = [group for group in (self._names, newest, self._dropped, NEVER) if group]
        return chance.choice(chance.choice(groups))

    def change(self, chance: random.Random) -> None:
        """Publish the next configuration: with a queue more or fewer, or one without sense."""
        draw = chance.random()
        if draw < 0.15:
            self._fleet.put("op", "config", chance.choice(UNREADABLE_VALUES))
            return
        with self._lock:
            if self._names and (draw < 0.5 or len(self._names) >= MAX_EXTRA_QUEUES):
                dropped = self._names.pop(chance.randrange(len(self._names)))
                self._dropped = [*self._dropped[-3:], dropped]
            else:
                self._count += 1
                self._names.append(f"extra{self._count}")
        self.publish()

    def publish(self) -> None:
        """Publish the queues as they are."""
        with self._lock:
            names = list(self._names)
        self._version = max(self._version + 1, int(time.monotonic() * 1000))
        sent_at = time.monotonic()
        self._fleet.configure(self._version, names)
        self.history.append(Published(sent_at, time.monotonic(), frozenset({"q", *names})))

    def must_know(self, name: str, sent_at: float, answered_at: float, apply_s: float) -> bool:
        """Return whether a request may not be told that there is no such queue.

        So it is if the newest configuration acknowledged `apply_s` before it was sent has the
        queue, and all have it that were published from then on until the answer.
        """
        old = [item for item in self.history if item.acked_at + apply_s <= sent_at]
        newer = [
            item
            for item in self.history
            if item.acked_at + apply_s > sent_at and item.sent_at <= answered_at
        ]
        return bool(old) and all(name in item.names for item in [old[-1], *newer])

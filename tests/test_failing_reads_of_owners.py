"""Owners of the own interface start waiting work although reads of the log fail now and then."""

import random
from dataclasses import dataclass

import pytest

from spoolcrank import core as decisions
from spoolcrank import membership
from spoolcrank.ids import Offset
from spoolcrank.records import Entry
from tests import world as worlds
from tests.world import Owner, World

TICK_S = 0.05
"""Interval between two ticks of an owner, in seconds."""

READ_WAIT_S = 0.5
"""Time for which a read waits for a record, in seconds."""

RETRY_S = 0.2
"""Delay before the next read after a failed one, in seconds."""

SEEN_SHARE = 0.2
"""Share of the failed reads that a tick precedes, as each is answered within 0.01 s."""

MAX_START_S = 2.0
"""Time within which tasks start beside free servers, in seconds; 0.15 where no read fails."""

SEEDS = 6


@dataclass
class _Reader:
    asked_at: float | None = None
    retry_at: float = 0.0
    reads: int = 0


class _FailingReads(World):
    """A world in which each second read of the log fails at once, and each append succeeds."""

    def __init__(self, seed: int) -> None:
        self._chance = random.Random(seed)
        self._readers: dict[str, _Reader] = {}
        super().__init__()

    def _run_owner(self, name: str, owner: Owner) -> None:
        now = self.now + owner.skew_s
        membership.on_list_read(owner.core.members, now)
        decisions.on_config_read(owner.core, now)
        self._append(owner)
        reader = self._readers.setdefault(name, _Reader())
        if reader.asked_at is None and self.now >= reader.retry_at:
            self._ask(owner, reader)
        elif reader.asked_at is not None:
            self._answer(name, owner, reader, reader.asked_at)
        self._act(name, owner, decisions.tick(owner.core, now, self.now))

    def _ask(self, owner: Owner, reader: _Reader) -> None:
        """Send the next read; each second one fails, mostly before the next tick."""
        reader.reads += 1
        reader.asked_at = self.now
        if reader.reads % 2 and self._chance.random() >= SEEN_SHARE:
            self._fail(owner, reader)

    def _fail(self, owner: Owner, reader: _Reader) -> None:
        decisions.on_log_failed(owner.core, self.now + owner.skew_s)
        reader.asked_at, reader.retry_at = None, self.now + RETRY_S

    def _answer(self, name: str, owner: Owner, reader: _Reader, asked_at: float) -> None:
        if reader.reads % 2:
            return self._fail(owner, reader)
        records = self.log[owner.next_offset :]
        if not records and self.now - asked_at < READ_WAIT_S:
            return None
        for offset, envelope in enumerate(records, owner.next_offset):
            entry, now = Entry(Offset(offset), envelope), self.now + owner.skew_s
            self._act(name, owner, decisions.on_entry(owner.core, entry, now))
        owner.next_offset = len(self.log)
        decisions.on_log_read(owner.core, asked_at + owner.skew_s)
        return self._ask(owner, reader)


# Guards against work that waits beside free servers, as a failed read hides the one before it.
def test_reads_that_fail_now_and_then_do_not_delay_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(worlds, "STEP_S", TICK_S)
    waits_s = []
    for seed in range(SEEDS):
        world = _FailingReads(seed)
        world.submit(2, 1000.0, True, processors=4.0)
        began_at = world.now
        while not all(worker.running for worker in world.workers.values()):
            assert world.now - began_at < 60.0
            world.advance(TICK_S)
        waits_s.append(round(world.now - began_at, 2))
        assert world.breaches() == []
    assert max(waits_s) <= MAX_START_S, waits_s

"""A simulated store with keyed topics, and an instance's faulty connection to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.store_port import (
    Append,
    Appended,
    AppendOutcome,
    NewestPage,
    ReadOutcome,
    Records,
)
from tests.stored_progress import CompletedWork

if TYPE_CHECKING:
    from tests.fleet_world import Instance, World

ANSWER_S = 0.004
CALL_TIMEOUT_S = 0.8
MAX_READ_RECORDS = 6
REMEMBERED_ANSWERS = 5
"""Number of a writer's last appends for which the store repeats its first answer."""


class Topic:
    """One keyed topic: all its records and the fence of its writer."""

    def __init__(self, violations: list[str]) -> None:
        self.records: list[KeyedRecord] = []
        self._violations = violations
        self._completed_work = CompletedWork()
        self.first_retained_offset = 0
        self.epoch = 0
        self.sequence = 0
        self.first_answers: dict[int, int] = {}

    def put(self, key: str, value: bytes) -> None:
        record = KeyedRecord(key, value, len(self.records))
        self.records.append(record)
        self._violations += [
            f"BACK {undone}, offset {record.offset}"
            for undone in self._completed_work.find_regressions(record)
        ]

    def append(self, append: Append) -> Appended:
        if append.fence is not None:
            refusal = self._check(append)
            if refusal is not None:
                return refusal
        if append.at is not None and append.at != len(self.records):
            return Appended(AppendOutcome.OFFSET_MISMATCH)
        first = len(self.records)
        for record in append.records:
            self.put(record.key, record.value)
        if append.fence is not None:
            self.epoch, self.sequence = append.fence
            self.first_answers[self.sequence] = first
        return Appended(AppendOutcome.STORED, first)

    def _check(self, append: Append) -> Appended | None:
        assert append.fence is not None
        term, sequence = append.fence
        if term < self.epoch:
            return Appended(AppendOutcome.FENCED)
        if term > self.epoch:
            self.first_answers = {}
            return None
        if sequence in self.first_answers and sequence > self.sequence - REMEMBERED_ANSWERS:
            return Appended(AppendOutcome.STORED, self.first_answers[sequence])
        if sequence != self.sequence + 1:
            return Appended(AppendOutcome.OUT_OF_ORDER)
        return None

    def newest(self) -> list[KeyedRecord]:
        newest = {record.key: record for record in self.records}
        return sorted(record for record in newest.values() if record.value)


class Store:
    """The topics of the store and the faults of its connections."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.jobs = Topic(world.violations)
        self.entries = Topic(world.violations)
        self.refused_instances: set[str] = set()
        self.unanswered_instances: set[str] = set()
        self.slow_reads_s: dict[str, float] = {}
        self.slow_pages_s: dict[str, float] = {}
        self.silent = False
        self.slow_s = 0.0
        self.lost_append_answer_share = 0.0
        self.late_append_share = 0.0
        self.answer_s = ANSWER_S
        self.max_read_records = MAX_READ_RECORDS

    def port(self, instance: Instance, topic: Topic) -> StorePort:
        return StorePort(self, instance, topic)


@dataclass
class StorePort:
    """The connection of one instance to one topic of the store."""

    store: Store
    instance: Instance
    topic: Topic

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        world, store = self.store.world, self.store
        unknown = Appended(AppendOutcome.UNKNOWN)
        if self.instance.name in store.refused_instances:
            self._answer_after(store.answer_s, done, Appended(AppendOutcome.NOT_STORED))
        elif store.silent:
            self._answer_after(CALL_TIMEOUT_S, done, unknown)
        elif world.random.random() < store.late_append_share:
            world.at(world.random.uniform(1, 6), lambda: self.topic.append(append))
            self._answer_after(CALL_TIMEOUT_S, done, unknown)
        else:
            if append.fence is not None:
                world.repeat_call(lambda: self.topic.append(append))
            is_answer_lost = world.random.random() < store.lost_append_answer_share
            is_answer_lost = is_answer_lost or self.instance.name in store.unanswered_instances

            def arrive() -> None:
                answer = self.topic.append(append)
                self._answer_after(
                    CALL_TIMEOUT_S if is_answer_lost else store.answer_s / 2,
                    done,
                    unknown if is_answer_lost else answer,
                )

            world.at(store.answer_s / 2 + store.slow_s, arrive)

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        if self._is_unreachable():
            self._answer_after(CALL_TIMEOUT_S / 4, done, Records(ReadOutcome.FAILED))
            return
        until = self.store.world.now + wait_ms / 1000

        def poll() -> None:
            if self._is_unreachable():
                self._answer_after(CALL_TIMEOUT_S, done, Records(ReadOutcome.FAILED))
            elif from_offset < self.topic.first_retained_offset:
                self._answer_after(self.store.answer_s, done, Records(ReadOutcome.EXPIRED))
            elif len(self.topic.records) > from_offset or self.store.world.now >= until:
                read_to = from_offset + self.store.max_read_records
                answer = tuple(self.topic.records[from_offset:read_to])
                end = len(self.topic.records)
                answer_delay_s = self.store.answer_s / 2
                if self.topic is self.store.jobs:
                    answer_delay_s = self.store.slow_reads_s.get(self.instance.name, answer_delay_s)
                self._answer_after(answer_delay_s, done, Records(ReadOutcome.OK, answer, end))
            else:
                self.store.world.at(0.01, poll)

        self.store.world.at(self.store.answer_s / 2, poll)

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        if self._is_unreachable():
            self._answer_after(CALL_TIMEOUT_S / 4, done, NewestPage(False))
            return
        page = [record for record in self.topic.newest() if record.key > after_key]
        answer = NewestPage(True, tuple(page[:7]), len(page) > 7, len(self.topic.records))
        delay_s = self.store.slow_pages_s.get(self.instance.name, self.store.answer_s)
        self._answer_after(delay_s, done, answer)

    def _is_unreachable(self) -> bool:
        return self.store.silent or self.instance.name in self.store.refused_instances

    def _answer_after(self, delay_s: float, done: Callable[[Any], None], answer: Any) -> None:
        self.instance.later(delay_s, lambda: done(answer))

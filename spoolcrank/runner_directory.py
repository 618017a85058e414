"""Decode the list of runners, which may also contain entries of other writers."""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from spoolcrank.decoding import Unreadable
from spoolcrank.keyed_log import KeyedLog, KeyedRecord
from spoolcrank.runner_ids import RunnerName
from spoolcrank.runner_state import RunnerEntry
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId

CHECKS_PER_S = 30_000.0
"""Number of runners per second that are checked for being as the list tells, after heartbeats."""


class Listing(NamedTuple):
    """List of runners as the store has it.

    Attributes:
        entries: the readable entries, by runner.
        unreadable: names whose records do not describe a usable runner.
    """

    entries: dict[RunnerId, RunnerEntry]
    unreadable: frozenset[RunnerName] = frozenset()


class _DecodedRecord(NamedTuple):
    offset: int
    value: bytes
    entry: RunnerEntry | None


def decode_always(entry: bytes, newer: bytes) -> bool:
    """Take no value for a repetition of an earlier one."""
    return False


class RunnerDirectory:
    """Entries of runners, each decoded once for each offset of its record.

    Args:
        decode: decoder of a record; raises Unreadable if it does not describe a usable runner.
        on_unreadable: callback, called once for each such record, with the reason.
        is_heartbeat: tells from two values of a record whether the second repeats the first.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], RunnerEntry],
        on_unreadable: Callable[[KeyedRecord, str], None],
        is_heartbeat: Callable[[bytes, bytes], bool] = decode_always,
    ) -> None:
        self._is_heartbeat = is_heartbeat
        self._decode = decode
        self._on_unreadable = on_unreadable
        self._records: dict[str, _DecodedRecord] = {}
        self._listing: Listing | None = None
        self._next_check_at = -math.inf

    def read(self, copy: KeyedLog) -> Listing:
        """Return the list of runners from a loaded copy of the topic."""
        records = {
            key: self._read_record(record) for key, record in copy.newest.items() if record.value
        }
        self._records = records
        entries = {read.entry.id: read.entry for read in records.values() if read.entry is not None}
        unreadable = (RunnerName(key) for key, read in records.items() if read.entry is None)
        self._listing = Listing(entries, frozenset(unreadable))
        return self._listing

    def update(
        self, copy: KeyedLog, records: Iterable[KeyedRecord], state: Scheduler, now: float
    ) -> Listing | None:
        """Return the list of runners to apply after some of its records were read.

        None if it is still being loaded, or if nothing would change, as after heartbeats of the
        runners.
        """
        if not copy.loaded:
            self._listing = None
            return None
        if self._listing is not None and self._only_repeat(self._listing, records, state, now):
            return None
        return self.read(copy)

    def _only_repeat(
        self, listing: Listing, records: Iterable[KeyedRecord], state: Scheduler, now: float
    ) -> bool:
        """Return whether records repeat entries of the list, which the state agrees with."""
        if not all(map(self._repeats_entry, records)):
            return False
        if now < self._next_check_at:
            return True
        self._next_check_at = now + len(listing.entries) / CHECKS_PER_S
        if any(not runner.listed or runner.gone for runner in state.runners.values()):
            return False
        services = state.services()
        return all(
            runner in state.runners or (services is not None and entry.service not in services)
            for runner, entry in listing.entries.items()
        )

    def forget_listing(self) -> None:
        """Have the next update return the whole list, as another reason to apply it arose."""
        self._listing = None

    def _repeats_entry(self, record: KeyedRecord) -> bool:
        known = self._records.get(record.key)
        if known is None or known.entry is None or not record.value:
            return False
        if record.offset > known.offset:
            if not self._is_heartbeat(known.value, record.value):
                if self._read_record(record).entry != known.entry:
                    return False
            self._records[record.key] = _DecodedRecord(record.offset, record.value, known.entry)
        return True

    def _read_record(self, record: KeyedRecord) -> _DecodedRecord:
        known = self._records.get(record.key)
        if known is not None and known.offset == record.offset:
            return known
        try:
            entry = self._decode(record.key, record.value)
            return _DecodedRecord(record.offset, record.value, entry)
        except Unreadable as exc:
            self._on_unreadable(record, str(exc))
            return _DecodedRecord(record.offset, record.value, None)

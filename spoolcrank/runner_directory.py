"""Decode the list of runners, which may also contain entries of other writers."""

from collections.abc import Callable
from typing import NamedTuple

from spoolcrank.decoding import Unreadable
from spoolcrank.keyed_log import KeyedLog, KeyedRecord
from spoolcrank.runner_ids import RunnerName
from spoolcrank.runner_state import RunnerEntry
from spoolcrank.workflow import RunnerId


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
    entry: RunnerEntry | None


class RunnerDirectory:
    """Entries of runners, each decoded once for each offset of its record.

    Args:
        decode: decoder of a record; raises Unreadable if it does not describe a usable runner.
        on_unreadable: callback, called once for each such record, with the reason.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], RunnerEntry],
        on_unreadable: Callable[[KeyedRecord, str], None],
    ) -> None:
        self._decode = decode
        self._on_unreadable = on_unreadable
        self._records: dict[str, _DecodedRecord] = {}

    def read(self, copy: KeyedLog) -> Listing:
        """Return the list of runners from a loaded copy of the topic."""
        records = {
            key: self._read_record(record) for key, record in copy.newest.items() if record.value
        }
        self._records = records
        entries = {read.entry.id: read.entry for read in records.values() if read.entry is not None}
        unreadable = (RunnerName(key) for key, read in records.items() if read.entry is None)
        return Listing(entries, frozenset(unreadable))

    def _read_record(self, record: KeyedRecord) -> _DecodedRecord:
        known = self._records.get(record.key)
        if known is not None and known.offset == record.offset:
            return known
        try:
            return _DecodedRecord(record.offset, self._decode(record.key, record.value))
        except Unreadable as exc:
            self._on_unreadable(record, str(exc))
            return _DecodedRecord(record.offset, None)

"""Read the list of runners, in which other writers' entries may stand beside theirs."""

from collections.abc import Callable
from typing import NamedTuple

from spoolcrank.keyed_log import KeyedLog, KeyedRecord
from spoolcrank.reading import Unreadable
from spoolcrank.runner_ids import RunnerName
from spoolcrank.runner_state import RunnerEntry
from spoolcrank.workflow import RunnerId


class Listing(NamedTuple):
    """The list of runners as the store has it.

    Attributes:
        entries: those that can be read.
        unreadable: names under which something stands that names no runner to use.
    """

    entries: dict[RunnerId, RunnerEntry]
    unreadable: frozenset[RunnerName] = frozenset()


class _Read(NamedTuple):
    offset: int
    entry: RunnerEntry | None


class RunnerDirectory:
    """The entries of runners, each decoded once for each of its offsets.

    Args:
        decode: raises Unreadable for what names no runner to use.
        on_unreadable: told once of each such record, and why.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], RunnerEntry],
        on_unreadable: Callable[[KeyedRecord, str], None],
    ) -> None:
        self._decode = decode
        self._on_unreadable = on_unreadable
        self._held: dict[str, _Read] = {}

    def read(self, copy: KeyedLog) -> Listing:
        """Return the list of a loaded copy."""
        held = {key: self._read_one(record) for key, record in copy.newest.items() if record.value}
        self._held = held
        entries = {one.entry.id: one.entry for one in held.values() if one.entry is not None}
        unreadable = (RunnerName(key) for key, one in held.items() if one.entry is None)
        return Listing(entries, frozenset(unreadable))

    def _read_one(self, record: KeyedRecord) -> _Read:
        held = self._held.get(record.key)
        if held is not None and held.offset == record.offset:
            return held
        try:
            return _Read(record.offset, self._decode(record.key, record.value))
        except Unreadable as exc:
            self._on_unreadable(record, str(exc))
            return _Read(record.offset, None)

"""Hold a copy of a keyed log: the newest value of each key, with its offset.

The log is the only durable storage. Every record holds the complete new value of its key, so
applying a record twice, or only the newest record of a key, gives the same state.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import InstanceId, JobId

_JOB = "j/"
_CANCEL = "c/"
_PROGRESS = "p/"
_PEER = "peer/"
LEADER_KEY = "leader"
LEARNED_KEY = "learnt"
OFFER_KEY = "offer"


class RecordKind(Enum):
    """The kinds of keys in the scheduler's log; a value is the key or its prefix."""

    JOB = _JOB
    CANCEL = _CANCEL
    PROGRESS = _PROGRESS
    LEADER = LEADER_KEY
    LEARNED = LEARNED_KEY
    OFFER = OFFER_KEY
    PEER = _PEER


LEADER_ONLY_KINDS = frozenset({RecordKind.PROGRESS, RecordKind.LEARNED})
"""The kinds that only the leader writes. Each such record confirms a write from which the leader
extends leases. If other instances did not count them, a successor would treat leases as expired up
to one heartbeat too early."""

_SINGLE_KEYS = frozenset({LEADER_KEY, LEARNED_KEY, OFFER_KEY})


class KeyedRecord(NamedTuple):
    """One record of the log; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int = -1


def job_key(job: JobId) -> str:
    """Return the key of an accepted job."""
    return _JOB + job


def cancel_key(job: JobId) -> str:
    """Return the key of the request to cancel a job."""
    return _CANCEL + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return _PROGRESS + job


def peer_key(instance: InstanceId) -> str:
    """Return the key under which an instance states where its peers reach it."""
    return _PEER + instance


def kind_of(key: str) -> RecordKind | None:
    """Return the kind of a key, or None for an unknown key, such as one of a newer version."""
    if key in _SINGLE_KEYS:
        return RecordKind(key)
    for kind in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS, RecordKind.PEER):
        if key.startswith(kind.value):
            return kind
    return None


def job_of_key(key: str) -> JobId:
    """Return the job of a job, cancel or progress key."""
    return JobId(key[2:])


class _SeenEnd(NamedTuple):
    """An end of the log that the copy has not reached yet, and when the read was sent that saw it.

    A copy that reaches `offset` contains every record written before `asked_at`.
    """

    offset: int
    asked_at: float


class KeyedLog:
    """A copy of the log, complete up to `next_offset` once `loaded` is set.

    Attributes:
        newest: newest record of each key.
        next_offset: offset of the next record to read.
        loaded: whether the copy is complete up to `next_offset`.
        read_at: time before which every record written is in the copy, monotonic seconds.
    """

    def __init__(self) -> None:
        self.newest: dict[str, KeyedRecord] = {}
        self.next_offset = 0
        self.loaded = False
        self.read_at = -1.0
        self._listed: set[str] = set()
        self._seen_end: _SeenEnd | None = None

    def reset(self) -> None:
        """Mark the copy as incomplete; its values stay until the next load completes."""
        self.loaded = False
        self._listed = set()
        self._seen_end = None

    def load_page(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Apply the newest records of some keys, in any order, and return them."""
        page = list(records)
        for record in page:
            self.apply(record)
            self._listed.add(record.key)
        return page

    def finish_load(self, end: int) -> list[KeyedRecord]:
        """Mark the copy as complete up to `end`, the end of the log at the first page.

        Remove keys that were not listed and have no later record: the log no longer has them.
        Return a deleting record for each of them that had a value.
        """
        removed = [
            record
            for key, record in self.newest.items()
            if key not in self._listed and record.offset < end
        ]
        for record in removed:
            del self.newest[record.key]
        self.loaded = True
        self.next_offset = end
        return [record._replace(value=b"") for record in removed if record.value]

    def extend(
        self, records: Iterable[KeyedRecord], end: int, asked_at: float
    ) -> list[KeyedRecord]:
        """Apply the records that follow `next_offset` and return those not read before.

        Args:
            records: records in ascending order of offset, possibly not up to the end of the log.
            end: end of the log at the time of the read.
            asked_at: time at which the read was sent; once the copy reaches `end`, it contains
                every record written before that time.
        """
        new_records = []
        for record in records:
            if record.offset >= self.next_offset:
                self.next_offset = record.offset + 1
                new_records.append(record)
                self.apply(record)
                self._forget_deleted(record)
        self._update_read_at(end, asked_at)
        return new_records

    def _forget_deleted(self, record: KeyedRecord) -> None:
        """Forget a key that a record deleted; records up to `next_offset` are not applied again."""
        if not record.value and self.newest.get(record.key) is record:
            del self.newest[record.key]

    def _update_read_at(self, end: int, asked_at: float) -> None:
        """Update `read_at` by the end of the log that the latest read saw.

        A log that grows while it is read is never read to its present end; the copy is then as
        recent as the last end that it has reached.
        """
        seen = self._seen_end
        if seen is not None and self.next_offset >= seen.offset:
            self.read_at = max(self.read_at, seen.asked_at)
            seen = None
        if self.next_offset >= end:
            self.read_at = max(self.read_at, asked_at)
        elif seen is None:
            seen = _SeenEnd(end, asked_at)
        self._seen_end = seen

    def is_complete_to(self, offset: int) -> bool:
        """Return whether the copy is complete up to and including the record at an offset."""
        return self.loaded and self.next_offset > offset

    def apply(self, record: KeyedRecord) -> None:
        """Apply a record whose offset is known, unless the copy has a newer one of its key."""
        newest = self.newest.get(record.key)
        if newest is None or newest.offset < record.offset:
            self.newest[record.key] = record

    def value(self, key: str) -> bytes:
        """Return the newest value of a key; empty if there is none."""
        record = self.newest.get(key)
        return record.value if record is not None else b""

    def offset(self, key: str) -> int:
        """Return the offset of the newest value of a key, or -1."""
        record = self.newest.get(key)
        return record.offset if record is not None and record.value else -1

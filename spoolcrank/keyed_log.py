"""Keep a copy of a keyed log: the newest value of each key, by offset.

The log is the only place where anything lasts. Every record holds the whole new value of its
key, so that applying one twice, or only the newest, gives the same state.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import JobId

_JOB = "j/"
_CANCEL = "c/"
_PROGRESS = "p/"
LEADER_KEY = "leader"
LEARNT_KEY = "learnt"
OFFER_KEY = "offer"


class RecordKind(Enum):
    """What a key of the scheduler's log is about."""

    JOB = _JOB
    CANCEL = _CANCEL
    PROGRESS = _PROGRESS
    LEADER = LEADER_KEY
    LEARNT = LEARNT_KEY
    OFFER = OFFER_KEY


LEADERS_OWN = frozenset({RecordKind.PROGRESS, RecordKind.LEARNT})
"""Only the leader writes these. Each confirms its writes, from which it extends leases; one that
others did not count would have a successor take leases as passed up to a heartbeat too early."""

_SINGLE_KEYS = frozenset({LEADER_KEY, LEARNT_KEY, OFFER_KEY})


class KeyedRecord(NamedTuple):
    """One record: an empty value drops the key."""

    key: str
    value: bytes
    offset: int = -1


def job_key(job: JobId) -> str:
    """Return the key of an accepted job."""
    return _JOB + job


def cancel_key(job: JobId) -> str:
    """Return the key of the wish to cancel a job."""
    return _CANCEL + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return _PROGRESS + job


def kind_of(key: str) -> RecordKind | None:
    """Return what a key is about; None for one that a newer version may have written."""
    if key in _SINGLE_KEYS:
        return RecordKind(key)
    for kind in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS):
        if key.startswith(kind.value):
            return kind
    return None


def job_of_key(key: str) -> JobId:
    """Return the job that a key of a job is about."""
    return JobId(key[2:])


class KeyedLog:
    """A copy of the log, complete up to `next_offset` once `loaded`."""

    def __init__(self) -> None:
        self.newest: dict[str, KeyedRecord] = {}
        self.next_offset = 0
        self.loaded = False
        self.read_at = -1.0
        self._listed: set[str] = set()

    def reset(self) -> None:
        """Forget that the copy is complete; its values stay until it is again."""
        self.loaded = False
        self._listed = set()

    def load_page(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Take newest-of-key records, in any order; returns them."""
        page = list(records)
        for one in page:
            self.apply(one)
            self._listed.add(one.key)
        return page

    def loaded_to(self, end: int) -> None:
        """Mark the copy as complete up to `end`, where the first page began.

        Keys that were not listed, and have no later record, are not there any more.
        """
        for key, held in list(self.newest.items()):
            if key not in self._listed and held.offset < end:
                del self.newest[key]
        self.loaded = True
        self.next_offset = end

    def extend(
        self, records: Iterable[KeyedRecord], end: int, asked_at: float
    ) -> list[KeyedRecord]:
        """Take the records that follow `next_offset`; returns those not read before.

        Args:
            records: with ascending offsets; perhaps not all that there are.
            end: where the log ended then.
            asked_at: when the read was sent; once the copy reaches `end`, everything that was
                written before it is in the copy.
        """
        news = []
        for one in records:
            if one.offset >= self.next_offset:
                self.next_offset = one.offset + 1
                news.append(one)
            self.apply(one)
        if self.next_offset >= end:
            self.read_at = max(self.read_at, asked_at)
        return news

    def apply(self, record: KeyedRecord) -> None:
        """Take one record whose offset is known, unless a newer one of its key is held."""
        held = self.newest.get(record.key)
        if held is None or held.offset < record.offset:
            self.newest[record.key] = record

    def value(self, key: str) -> bytes:
        """Return the newest value of a key; empty if there is none."""
        held = self.newest.get(key)
        return held.value if held is not None else b""

    def offset(self, key: str) -> int:
        """Return the offset of the newest value of a key, or -1."""
        held = self.newest.get(key)
        return held.offset if held is not None and held.value else -1

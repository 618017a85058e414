"""Define the interface of the store that holds all durable state.

The scheduler needs one log of keyed records that supports conditional appends, reads from an
offset, and a listing of the newest record of each key.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from spoolcrank.keyed_log import KeyedRecord

CALL_TIMEOUT_S = 0.8
"""The time without data after which a call of the store fails, seconds: 200 times the usual answer
time. It also limits the whole of an append, because the answer to an append is small."""


class AppendOutcome(Enum):
    """The outcome of an append.

    UNKNOWN: there was no answer; the append may have been done, or may still be done while its
    conditions hold.
    """

    STORED = "kept"
    NOT_STORED = "not-kept"
    FENCED = "fenced"
    OUT_OF_ORDER = "out-of-order"
    OFFSET_MISMATCH = "moved"
    UNKNOWN = "unknown"


class WriterFence(NamedTuple):
    """The condition of a leader's append: the store has seen no higher term.

    The store answers a repeated append with the same term and sequence with its first answer and
    adds nothing.
    """

    term: int
    sequence: int


class Append(NamedTuple):
    """Records to append atomically.

    Attributes:
        fence: condition of the leader's appends; None for other appends.
        at: offset at which the log must end; None for any.
    """

    records: Sequence[KeyedRecord]
    fence: WriterFence | None = None
    at: int | None = None


class Appended(NamedTuple):
    """The result of an append; `offset` is that of the first record, or -1 if unknown."""

    outcome: AppendOutcome
    offset: int = -1
    detail: str = ""


class ReadOutcome(Enum):
    """The outcome of a read; EXPIRED means that the store no longer retains the offset."""

    OK = "ok"
    EXPIRED = "expired"
    FAILED = "failed"


class Records(NamedTuple):
    """The result of a read: the records from the offset on, and the end of the log."""

    outcome: ReadOutcome
    records: tuple[KeyedRecord, ...] = ()
    end: int = 0
    detail: str = ""


class NewestPage(NamedTuple):
    """One page of the newest record of each key; `more` is set if further keys follow."""

    ok: bool
    records: tuple[KeyedRecord, ...] = ()
    more: bool = False
    end: int = 0
    detail: str = ""


class LogPort(Protocol):
    """One keyed log of the store."""

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        """Append records and call `done` once."""

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        """Read records from an offset on; wait up to `wait_ms` for the first one."""

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        """List one page of the newest record of each key that follows `after_key`."""

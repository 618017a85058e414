"""Say what the scheduler needs of the store in which everything lasting lives.

One log of keyed records, appended under conditions, read from an offset on, and listed as the
newest value of each key.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from spoolcrank.keyed_log import KeyedRecord

CALL_S = 0.8
"""A call of the store whose answer does not begin, or pauses, for so long is given up, s; 200
usual answers. An append has ended by then, as its answer is small."""


class AppendOutcome(Enum):
    """What became of an append.

    UNKNOWN: no answer; it may have been done, or may still be, while its conditions hold.
    """

    KEPT = "kept"
    NOT_KEPT = "not-kept"
    FENCED = "fenced"
    OUT_OF_ORDER = "out-of-order"
    MOVED = "moved"
    UNKNOWN = "unknown"


class WriterFence(NamedTuple):
    """The condition of a leader's append: no higher term was seen, and nothing is repeated.

    A repeated append with the same term and sequence gets its first answer again.
    """

    term: int
    sequence: int


class Append(NamedTuple):
    """Records to add in one step, all or none.

    Attributes:
        fence: for the leader's appends.
        at: the log must end at this offset; None for any.
    """

    records: Sequence[KeyedRecord]
    fence: WriterFence | None = None
    at: int | None = None


class Appended(NamedTuple):
    """The result of an append; `offset` is that of the first record when it is known."""

    outcome: AppendOutcome
    offset: int = -1
    detail: str = ""


class ReadOutcome(Enum):
    """What became of a read. EXPIRED: what was asked for is not kept any more."""

    OK = "ok"
    EXPIRED = "expired"
    FAILED = "failed"


class Records(NamedTuple):
    """The result of a read: records from the offset on, and where the log ends."""

    outcome: ReadOutcome
    records: tuple[KeyedRecord, ...] = ()
    end: int = 0
    detail: str = ""


class NewestPage(NamedTuple):
    """One page of the newest record of each key; `more` follow after the last key."""

    ok: bool
    records: tuple[KeyedRecord, ...] = ()
    more: bool = False
    end: int = 0
    detail: str = ""


class LogPort(Protocol):
    """One keyed log of the store."""

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        """Append records; `done` is told once."""

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        """Read records; the answer may wait so long for the first one."""

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        """List the newest record of each key that follows `after_key`."""

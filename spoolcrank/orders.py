"""Name the orders that go to runners, and what can come of them."""

from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import Address
from spoolcrank.workflow import RunnerId, TaskKey


class Target(NamedTuple):
    """The incarnation of a runner that an order is meant for, and the leader's fence."""

    runner: RunnerId
    address: Address
    fence: int


class Start(NamedTuple):
    """Start one run; void on the runner after `until_ms` of its clock."""

    target: Target
    task: TaskKey
    run: int
    payload: str
    saved: str
    until_ms: int


class Stop(NamedTuple):
    """Stop one run, or keep it from ever starting."""

    target: Target
    task: TaskKey
    run: int


class Pace(NamedTuple):
    """Let one run work at a share of its speed, percent."""

    target: Target
    task: TaskKey
    run: int
    percent: int


class Poll(NamedTuple):
    """Ask what runs and what has ended; extends the lease to `until_ms` if it is given.

    Attributes:
        seen: ends up to this number may be forgotten.
        wait_ms: the answer may wait so long for an end.
    """

    target: Target
    seen: int
    until_ms: int | None
    wait_ms: int


Order = Start | Stop | Pace | Poll


class OrderResult(Enum):
    """What came of an order.

    DONE: carried out. NOT_DONE: surely not carried out. UNKNOWN: no answer; it may be carried
    out any time until its lease time. The rest are the runner's own refusals.
    """

    DONE = "done"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"
    UNHEALTHY = "unhealthy"
    OUTRANKED = "outranked"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    REJECTED = "rejected"
    OTHER_INCARNATION = "other-incarnation"


class Answered(NamedTuple):
    """The result of one order, with the runner's clock where it told it."""

    result: OrderResult
    clock_ms: float | None = None


class EndKind(Enum):
    """How a run ended, as its runner says."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow(NamedTuple):
    """One run that is on a runner.

    `percent` is its pace or progress, `figure` a tail latency in ms for a task that serves
    and millicores in use for any other.
    """

    task: TaskKey
    run: int
    saved: str
    percent: int
    figure: float


class EndedRow(NamedTuple):
    """One run that has ended on a runner; numbers rise within an incarnation."""

    number: int
    task: TaskKey
    run: int
    how: EndKind
    saved: str


class Report(NamedTuple):
    """What a runner answered to a poll.

    Attributes:
        runner: the incarnation that answered; another than was asked, where that one is over.
        clock_ms: its clock then.
        running: what runs there.
        ended: what has ended there and may not be forgotten yet, by rising numbers.
        whole: every such end is among `ended`; others follow once these may be forgotten.
        unread: rows of both lists that could not be read and are left out.
        unread_ends: numbers of those of them that are ends.
    """

    runner: RunnerId
    clock_ms: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    whole: bool = True
    unread: int = 0
    unread_ends: tuple[int, ...] = ()

"""Define the orders that are sent to runners, and their possible results."""

from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import Address
from spoolcrank.workflow import RunnerId, TaskKey


class Target(NamedTuple):
    """The runner incarnation that an order is meant for, and the leader's fence."""

    runner: RunnerId
    address: Address
    fence: int


class Start(NamedTuple):
    """An order to start a run; the runner refuses it after `until_ms` of its own clock."""

    target: Target
    task: TaskKey
    run: int
    payload: str
    saved: str
    until_ms: int


class Stop(NamedTuple):
    """An order to stop a run, or to prevent it from ever starting."""

    target: Target
    task: TaskKey
    run: int


class Pace(NamedTuple):
    """An order to let a run work at `percent` of its full speed."""

    target: Target
    task: TaskKey
    run: int
    percent: int


class Poll(NamedTuple):
    """A request for the running and ended runs; it extends the lease to `until_ms` if given.

    Attributes:
        seen: the runner may forget ends up to this number.
        wait_ms: maximum time for which the answer may wait for an end.
    """

    target: Target
    seen: int
    until_ms: int | None
    wait_ms: int


Order = Start | Stop | Pace | Poll


class OrderResult(Enum):
    """The result of an order.

    DONE: carried out. NOT_DONE: certainly not carried out. UNKNOWN: no answer; the runner may carry
    it out at any time until its lease time. The others are refusals by the runner.
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
    """The result of one order, and the runner's clock if the answer contains it."""

    result: OrderResult
    clock_ms: float | None = None


class EndKind(Enum):
    """How a run ended, as reported by its runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow(NamedTuple):
    """One run that is present on a runner.

    `percent` is its pace or progress. `measurement` is the tail latency in ms for a serving task,
    and the millicores in use for any other task.
    """

    task: TaskKey
    run: int
    saved: str
    percent: int
    measurement: float


class EndedRow(NamedTuple):
    """One run that has ended on a runner; `number` increases with each end in an incarnation."""

    number: int
    task: TaskKey
    run: int
    how: EndKind
    saved: str


class Report(NamedTuple):
    """A runner's answer to a poll.

    Attributes:
        runner: the incarnation that answered; it differs from the polled one if that has ended.
        clock_ms: its clock at the time of the answer.
        running: the runs that are present there.
        ended: the runs that ended there and may not be forgotten yet, by increasing number.
        whole: whether `ended` contains every such end; if not, the next follow once these may be
            forgotten.
        unreadable: number of rows of both lists that could not be read and are left out.
        unreadable_ends: the `number` of each unreadable row of `ended`.
        unreadable_runs: the task and run of each unreadable row of `running` that names them; these
            runs are present there.
    """

    runner: RunnerId
    clock_ms: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    whole: bool = True
    unreadable: int = 0
    unreadable_ends: tuple[int, ...] = ()
    unreadable_runs: tuple[tuple[TaskKey, int], ...] = ()

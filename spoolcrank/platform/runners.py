"""Give the platform's runners their orders over HTTP."""

from collections.abc import Callable, Iterable
from typing import Annotated, Any, TypeVar

import msgspec

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank.ids import JobId
from spoolcrank.orders import (
    Answered,
    EndedRow,
    EndKind,
    OrderResult,
    Pace,
    Poll,
    Report,
    RunningRow,
    Start,
    Stop,
    Target,
)
from spoolcrank.reading import Unreadable, reader
from spoolcrank.runner_ids import answers_for, name_of, runner_id
from spoolcrank.runner_port import Polled
from spoolcrank.workflow import RunnerId, TaskKey

Row = TypeVar("Row")

ORDER_S = 0.6
"""An order without an answer counts as unanswered after so long, s; many usual answers."""

AGAIN_S = 0.3
"""A poll that waits, without any answer over a kept connection for so long after its wait, is sent
again over a new one, s: the runner is not taken as silent for one connection's sake, and its
lease goes on."""

ENDS_AT_ONCE = 500
"""A runner lists so many ends at once; stated by the platform."""

LARGEST = 1 << 52
"""Above any runner's clock, in ms, and any number of a run or end; up to here a float holds each
whole number."""

_REFUSALS = {
    "fence": OrderResult.OUTRANKED,
    # The run, or a later one of the task, was stopped or has ended there.
    "old": OrderResult.SUPERSEDED,
    "late": OrderResult.LATE,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.NO_TICKET,
}


_Number = Annotated[int, msgspec.Meta(ge=0, le=LARGEST)]
_Clock = Annotated[float, msgspec.Meta(ge=0, le=LARGEST)]


class _OrderAnswer(msgspec.Struct):
    reason: str = ""
    clock: float | None = msgspec.field(name="clockMs", default=None)


class _Running(msgspec.Struct, array_like=True):
    task: str
    run: _Number
    saved: str
    percent: float
    figure: float | None = None


class _Ended(msgspec.Struct, array_like=True):
    number: _Number
    task: str
    run: _Number
    how: EndKind
    saved: str


class _NumberOnly(msgspec.Struct, array_like=True):
    number: _Number


class _HoldAnswer(msgspec.Struct):
    clock: _Clock = msgspec.field(name="clockMs")
    born: _Number | None = None
    running: list[_Running] = []
    ended: list[_Ended] = []


class _HoldRows(msgspec.Struct):
    clock: _Clock = msgspec.field(name="clockMs")
    born: _Number | None = None
    running: list[msgspec.Raw] = []
    ended: list[msgspec.Raw] = []


_decode_order = reader(msgspec.json.Decoder(_OrderAnswer).decode)
_decode_hold = msgspec.json.Decoder(_HoldAnswer).decode
_decode_hold_rows = reader(msgspec.json.Decoder(_HoldRows).decode)
_decode_running = msgspec.json.Decoder(_Running).decode
_decode_ended = msgspec.json.Decoder(_Ended).decode
_decode_number = reader(msgspec.json.Decoder(_NumberOnly).decode)
_encode = msgspec.json.Encoder().encode


def _task_name(task: TaskKey) -> str:
    return f"{task.job}.{task.round}.{task.step}.{task.number}"


def _task_key(name: str) -> TaskKey:
    job, number, step, index = name.rsplit(".", 3)
    return TaskKey(JobId(job), int(number), int(step), int(index))


class PlatformRunners:
    """The runners, each named by its address and the incarnation that is meant."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def start(self, order: Start, done: Callable[[Answered], None]) -> None:
        """Start a run."""
        body: dict[str, Any] = {
            "task": _task_name(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.until_ms,
            "fence": order.target.fence,
        }
        if order.saved:
            body["checkpointed"] = order.saved
        self._order(order.target, "run-start", body, done)

    def stop(self, order: Stop, done: Callable[[Answered], None]) -> None:
        """Stop a run."""
        body = {
            "task": _task_name(order.task),
            "run": order.run,
            "fence": order.target.fence,
        }
        self._order(order.target, "run-stop", body, done)

    def pace(self, order: Pace, done: Callable[[Answered], None]) -> None:
        """Set the speed of a run."""
        body = {
            "task": _task_name(order.task),
            "run": order.run,
            "percent": order.percent,
            "fence": order.target.fence,
        }
        self._order(order.target, "pace", body, done)

    def poll(self, order: Poll, done: Callable[[Polled], None]) -> None:
        """Ask what runs and what has ended."""
        asks: dict[str, Any] = {"fence": order.target.fence, "lastSeen": 0}
        body = asks | {"lastSeen": order.seen}
        if order.until_ms is not None:
            body["deadlineMs"] = order.until_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms

        def polled(got: HttpResult) -> None:
            told = _polled(order.target.runner, got)
            if told.report is not None and got.peer is not None:
                asked, answered = order.target.runner, told.report.runner
                got.peer.name = asked if answers_for(answered, asked) else answered
            done(told)

        # Another incarnation may be there by now: it would forget ends that nobody has read, and
        # count its lease by the clock of the one before. Over a known connection it is the same.
        self._send(
            order.target,
            "hold",
            body,
            ORDER_S + order.wait_ms / 1000.0,
            polled,
            AGAIN_S + order.wait_ms / 1000.0 if order.wait_ms else None,
            _encode(asks),
        )

    def _order(
        self, target: Target, call: str, body: dict[str, Any], done: Callable[[Answered], None]
    ) -> None:
        self._send(target, call, body, ORDER_S, lambda got: done(_answered(got)))

    def _send(
        self,
        target: Target,
        call: str,
        body: dict[str, Any],
        timeout_s: float,
        done: Callable[[HttpResult], None],
        again_s: float | None = None,
        to_others: bytes | None = None,
    ) -> None:
        headers = {
            "Content-Type": "application/json",
            "Spoolcrank-Expect-Instance": name_of(target.runner),
        }
        # Other orders leave the connections that are known to be to a runner to the polls of it.
        peer = target.runner if to_others is not None else ""
        self._http.send(
            HttpCall(
                target.address,
                "POST",
                f"/api/{call}",
                headers,
                _encode(body),
                timeout_s,
                again_s=again_s,
                peer=peer,
                to_others=to_others,
            ),
            done,
        )


def _result_of(got: HttpResult) -> OrderResult:
    if got.failed is not None:
        return OrderResult.UNKNOWN if got.sent else OrderResult.NOT_DONE
    if got.status == 200:
        return OrderResult.DONE
    if got.status == 421:
        return OrderResult.OTHER_INCARNATION
    if got.status in (429, 503):
        return OrderResult.UNHEALTHY
    if got.status == 409:
        return _REFUSALS.get(_order_answer(got).reason, OrderResult.REJECTED)
    return OrderResult.REJECTED


def _order_answer(got: HttpResult) -> _OrderAnswer:
    """Read an answer's body; one that cannot be read says no more than its status."""
    try:
        return _decode_order(got.body)
    except Unreadable:
        return _OrderAnswer()


def _answered(got: HttpResult) -> Answered:
    result = _result_of(got)
    if result is OrderResult.DONE and got.body:
        return Answered(result, _order_answer(got).clock)
    return Answered(result)


def _polled(asked: RunnerId, got: HttpResult) -> Polled:
    result = _result_of(got)
    if result is not OrderResult.DONE:
        return Polled(result)
    try:
        return Polled(result, _report(asked, got.body))
    except Unreadable:
        pass
    try:
        return Polled(result, _report_by_rows(asked, got.body))
    except Unreadable:
        # Nothing is known of its runs: as good as no answer.
        return Polled(OrderResult.UNKNOWN)


@reader
def _report(asked: RunnerId, body: bytes) -> Report:
    answer = _decode_hold(body)
    running = tuple(map(_running, answer.running))
    ended = tuple(map(_ended, answer.ended))
    whole = len(ended) < ENDS_AT_ONCE
    return Report(_answerer(asked, answer.born), answer.clock, running, ended, whole)


def _report_by_rows(asked: RunnerId, body: bytes) -> Report:
    """Read a report of which some row cannot be read: it is left out, the others hold."""
    answer = _decode_hold_rows(body)
    running, no_runs = _rows(_running_of, answer.running)
    ended, no_ends = _rows(_ended_of, answer.ended)
    unread = len(no_runs) + len(no_ends)
    whole = len(answer.ended) < ENDS_AT_ONCE
    runner = _answerer(asked, answer.born)
    return Report(runner, answer.clock, running, ended, whole, unread, _numbers(no_ends))


def _answerer(asked: RunnerId, born: int | None) -> RunnerId:
    """Return which incarnation answered; its name was asked for, as others refuse."""
    return runner_id(name_of(asked), born)


def _rows(
    read: Callable[[bytes], Row], raws: Iterable[msgspec.Raw | bytes]
) -> tuple[tuple[Row, ...], list[bytes]]:
    """Read each row by itself; returns those that can be read, and the others as they came."""
    rows: list[Row] = []
    unread: list[bytes] = []
    for raw in map(bytes, raws):
        try:
            rows.append(read(raw))
        except Unreadable:
            unread.append(raw)
    return tuple(rows), unread


def _running(row: _Running) -> RunningRow:
    return RunningRow(_task_key(row.task), row.run, row.saved, int(row.percent), row.figure or 0.0)


def _ended(row: _Ended) -> EndedRow:
    return EndedRow(row.number, _task_key(row.task), row.run, row.how, row.saved)


_running_of = reader(lambda raw: _running(_decode_running(raw)))
_ended_of = reader(lambda raw: _ended(_decode_ended(raw)))


def _numbers(raws: list[bytes]) -> tuple[int, ...]:
    rows, _ = _rows(_decode_number, raws)
    return tuple(row.number for row in rows)

"""Send orders and polls to the platform's runners over HTTP."""

from collections.abc import Callable, Iterable
from typing import Annotated, Any, TypeVar

import msgspec

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank.decoding import Unreadable, raises_unreadable
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
from spoolcrank.runner_ids import answers_for, name_of, runner_id
from spoolcrank.runner_port import PollResult
from spoolcrank.workflow import RunnerId, TaskKey

Row = TypeVar("Row")

ORDER_TIMEOUT_S = 0.6
"""Time that a runner has to answer an order, seconds; several times the usual answer time."""

RESEND_AFTER_S = 0.3
"""Time after the wait of a long poll at which it is sent again over a new connection, seconds.

This applies if a reused connection has delivered no answer. A single broken connection then neither
makes the runner count as silent nor lets its lease expire.
"""

MAX_ENDED_ROWS = 500
"""Maximum number of ended runs in one answer of a runner, as the platform documents it."""

MAX_NUMBER = 1 << 52
"""Upper limit of a runner's clock, in milliseconds, and of the numbers of runs and ends.

No real value reaches it, and a float represents every integer up to it exactly.
"""

_REFUSALS = {
    "fence": OrderResult.OUTRANKED,
    # This run, or a later run of the same task, was stopped or has ended on the runner.
    "old": OrderResult.SUPERSEDED,
    "late": OrderResult.LATE,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.NO_TICKET,
}


_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Clock = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _OrderAnswer(msgspec.Struct):
    reason: str = ""
    clock: float | None = msgspec.field(name="clockMs", default=None)


class _Running(msgspec.Struct, array_like=True):
    task: str
    run: _Number
    saved: str
    percent: float
    measurement: float | None = None


class _Ended(msgspec.Struct, array_like=True):
    number: _Number
    task: str
    run: _Number
    how: EndKind
    saved: str


class _NumberOnly(msgspec.Struct, array_like=True):
    number: _Number


class _RunOnly(msgspec.Struct, array_like=True):
    task: str
    run: _Number


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


_decode_order = raises_unreadable(msgspec.json.Decoder(_OrderAnswer).decode)
_decode_hold = msgspec.json.Decoder(_HoldAnswer).decode
_decode_hold_rows = raises_unreadable(msgspec.json.Decoder(_HoldRows).decode)
_decode_running = msgspec.json.Decoder(_Running).decode
_decode_ended = msgspec.json.Decoder(_Ended).decode
_decode_run = msgspec.json.Decoder(_RunOnly).decode
_decode_number = raises_unreadable(msgspec.json.Decoder(_NumberOnly).decode)
_encode = msgspec.json.Encoder().encode


def _task_name(task: TaskKey) -> str:
    return f"{task.job}.{task.round}.{task.step}.{task.number}"


def _task_key(name: str) -> TaskKey:
    job, round_number, step, number = name.rsplit(".", 3)
    return TaskKey(JobId(job), int(round_number), int(step), int(number))


class PlatformRunners:
    """Client for the runners, each addressed by its address and its expected incarnation."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def start(self, order: Start, done: Callable[[Answered], None]) -> None:
        """Order a runner to start a run; `done` receives the result."""
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
        """Order a runner to stop a run; `done` receives the result."""
        body = {
            "task": _task_name(order.task),
            "run": order.run,
            "fence": order.target.fence,
        }
        self._order(order.target, "run-stop", body, done)

    def pace(self, order: Pace, done: Callable[[Answered], None]) -> None:
        """Set the pace of a run, as a percentage of full speed."""
        body = {
            "task": _task_name(order.task),
            "run": order.run,
            "percent": order.percent,
            "fence": order.target.fence,
        }
        self._order(order.target, "pace", body, done)

    def poll(self, order: Poll, done: Callable[[PollResult], None]) -> None:
        """Ask a runner for its running and ended runs; a deadline in the poll renews its lease."""
        base_body: dict[str, Any] = {"fence": order.target.fence, "lastSeen": 0}
        body = base_body | {"lastSeen": order.seen}
        if order.until_ms is not None:
            body["deadlineMs"] = order.until_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms

        def on_response(response: HttpResult) -> None:
            poll_result = _poll_result(order.target.runner, response)
            if poll_result.report is not None and response.peer is not None:
                requested, actual = order.target.runner, poll_result.report.runner
                response.peer.name = requested if answers_for(actual, requested) else actual
            done(poll_result)

        # Another incarnation may listen at the address by now. With the full body it would discard
        # ends that nobody has read, and measure its lease by the previous incarnation's clock. A
        # connection that is known to reach this incarnation still does, so it gets the full body.
        self._send(
            order.target,
            "hold",
            body,
            ORDER_TIMEOUT_S + order.wait_ms / 1000.0,
            on_response,
            RESEND_AFTER_S + order.wait_ms / 1000.0 if order.wait_ms else None,
            _encode(base_body),
        )

    def _order(
        self, target: Target, call: str, body: dict[str, Any], done: Callable[[Answered], None]
    ) -> None:
        self._send(
            target, call, body, ORDER_TIMEOUT_S, lambda response: done(_order_result(response))
        )

    def _send(
        self,
        target: Target,
        call: str,
        body: dict[str, Any],
        timeout_s: float,
        done: Callable[[HttpResult], None],
        resend_after_s: float | None = None,
        body_for_unknown_peer: bytes | None = None,
    ) -> None:
        headers = {
            "Content-Type": "application/json",
            "Spoolcrank-Expect-Instance": name_of(target.runner),
        }
        # Connections known to reach a certain incarnation are reserved for its polls.
        peer = target.runner if body_for_unknown_peer is not None else ""
        self._http.send(
            HttpCall(
                target.address,
                "POST",
                f"/api/{call}",
                headers,
                _encode(body),
                timeout_s,
                resend_after_s=resend_after_s,
                peer=peer,
                body_for_unknown_peer=body_for_unknown_peer,
            ),
            done,
        )


def _result_of(response: HttpResult) -> OrderResult:
    if response.failed is not None:
        return OrderResult.UNKNOWN if response.sent else OrderResult.NOT_DONE
    if response.status == 200:
        return OrderResult.DONE
    if response.status == 421:
        return OrderResult.OTHER_INCARNATION
    if response.status in (429, 503):
        return OrderResult.UNHEALTHY
    if response.status == 409:
        return _REFUSALS.get(_order_answer(response).reason, OrderResult.REJECTED)
    return OrderResult.REJECTED


def _order_answer(response: HttpResult) -> _OrderAnswer:
    """Decode the body of an answer; an unreadable one counts as empty, so the status decides."""
    try:
        return _decode_order(response.body)
    except Unreadable:
        return _OrderAnswer()


def _order_result(response: HttpResult) -> Answered:
    result = _result_of(response)
    if result is OrderResult.DONE and response.body:
        return Answered(result, _order_answer(response).clock)
    return Answered(result)


def _poll_result(requested: RunnerId, response: HttpResult) -> PollResult:
    result = _result_of(response)
    if result is not OrderResult.DONE:
        return PollResult(result)
    try:
        return PollResult(result, _decode_report(requested, response.body))
    except Unreadable:
        pass
    try:
        return PollResult(result, _decode_report_by_rows(requested, response.body))
    except Unreadable:
        # The answer says nothing about the runner's runs, so it counts as no answer.
        return PollResult(OrderResult.UNKNOWN)


@raises_unreadable
def _decode_report(requested: RunnerId, body: bytes) -> Report:
    answer = _decode_hold(body)
    running = tuple(map(_to_running_row, answer.running))
    ended = tuple(map(_to_ended_row, answer.ended))
    complete = len(ended) < MAX_ENDED_ROWS
    return Report(_answering_runner(requested, answer.born), answer.clock, running, ended, complete)


def _decode_report_by_rows(requested: RunnerId, body: bytes) -> Report:
    """Decode a report row by row, leaving out and counting the rows that cannot be read."""
    answer = _decode_hold_rows(body)
    running, unreadable_runs = _decode_rows(_decode_running_row, answer.running)
    ended, unreadable_ends = _decode_rows(_decode_ended_row, answer.ended)
    unreadable = len(unreadable_runs) + len(unreadable_ends)
    complete = len(answer.ended) < MAX_ENDED_ROWS
    runner = _answering_runner(requested, answer.born)
    numbers, present = _decode_numbers(unreadable_ends), _decode_runs(unreadable_runs)
    return Report(runner, answer.clock, running, ended, complete, unreadable, numbers, present)


def _answering_runner(requested: RunnerId, born: int | None) -> RunnerId:
    """Return the incarnation that answered.

    Its name is the requested one, because a runner of another name refuses the request.
    """
    return runner_id(name_of(requested), born)


def _decode_rows(
    decode: Callable[[bytes], Row], raw_rows: Iterable[msgspec.Raw | bytes]
) -> tuple[tuple[Row, ...], list[bytes]]:
    """Decode each row separately; return the decoded rows and the raw bytes of the others."""
    rows: list[Row] = []
    unreadable: list[bytes] = []
    for raw in map(bytes, raw_rows):
        try:
            rows.append(decode(raw))
        except Unreadable:
            unreadable.append(raw)
    return tuple(rows), unreadable


def _to_running_row(row: _Running) -> RunningRow:
    return RunningRow(
        _task_key(row.task), row.run, row.saved, int(row.percent), row.measurement or 0.0
    )


def _to_ended_row(row: _Ended) -> EndedRow:
    return EndedRow(row.number, _task_key(row.task), row.run, row.how, row.saved)


_decode_running_row = raises_unreadable(lambda raw: _to_running_row(_decode_running(raw)))
_decode_ended_row = raises_unreadable(lambda raw: _to_ended_row(_decode_ended(raw)))


def _decode_numbers(raw_rows: list[bytes]) -> tuple[int, ...]:
    rows, _ = _decode_rows(_decode_number, raw_rows)
    return tuple(row.number for row in rows)


@raises_unreadable
def _decode_run_reference(raw: bytes) -> tuple[TaskKey, int]:
    row = _decode_run(raw)
    return _task_key(row.task), row.run


def _decode_runs(raw_rows: list[bytes]) -> tuple[tuple[TaskKey, int], ...]:
    runs, _ = _decode_rows(_decode_run_reference, raw_rows)
    return runs

"""Give the platform's runners their orders over HTTP."""

from collections.abc import Callable
from typing import Any

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
from spoolcrank.runner_port import Polled
from spoolcrank.workflow import TaskKey

ORDER_S = 0.6
"""An order without an answer counts as unanswered after so long, s; many usual answers."""

AGAIN_S = 0.3
"""A poll that waits, without any answer over a kept connection for so long after its wait, is sent
again over a new one, s: the runner is not taken as silent for one connection's sake, and its
lease goes on."""

ENDS_AT_ONCE = 500
"""A runner lists so many ends at once; stated by the platform."""

_REFUSALS = {
    "fence": OrderResult.OUTRANKED,
    # The run, or a later one of the task, was stopped or has ended there.
    "old": OrderResult.SUPERSEDED,
    "late": OrderResult.LATE,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.NO_TICKET,
}


class _OrderAnswer(msgspec.Struct):
    reason: str = ""
    clock: float | None = msgspec.field(name="clockMs", default=None)


class _HoldAnswer(msgspec.Struct):
    clock: float = msgspec.field(name="clockMs")
    running: list[list[Any]] = []
    ended: list[tuple[int, str, int, str, str]] = []


_decode_order = msgspec.json.Decoder(_OrderAnswer).decode
_decode_hold = msgspec.json.Decoder(_HoldAnswer).decode
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
        body: dict[str, Any] = {"fence": order.target.fence, "lastSeen": order.seen}
        if order.until_ms is not None:
            body["deadlineMs"] = order.until_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms
        self._send(
            order.target,
            "hold",
            body,
            ORDER_S + order.wait_ms / 1000.0,
            lambda got: done(_polled(got)),
            AGAIN_S + order.wait_ms / 1000.0 if order.wait_ms else None,
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
    ) -> None:
        headers = {
            "Content-Type": "application/json",
            "Spoolcrank-Expect-Instance": target.runner,
        }
        self._http.send(
            HttpCall(
                target.address,
                "POST",
                f"/api/{call}",
                headers,
                _encode(body),
                timeout_s,
                again_s=again_s,
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
        return _REFUSALS.get(_decode_order(got.body).reason, OrderResult.REJECTED)
    return OrderResult.REJECTED


def _answered(got: HttpResult) -> Answered:
    result = _result_of(got)
    if result is OrderResult.DONE and got.body:
        return Answered(result, _decode_order(got.body).clock)
    return Answered(result)


def _polled(got: HttpResult) -> Polled:
    result = _result_of(got)
    if result is not OrderResult.DONE:
        return Polled(result)
    answer = _decode_hold(got.body)
    running = tuple(
        RunningRow(
            _task_key(row[0]), row[1], row[2], row[3], float(row[4] or 0) if len(row) > 4 else 0.0
        )
        for row in answer.running
    )
    ended = tuple(
        EndedRow(number, _task_key(task), run, EndKind(how), saved)
        for number, task, run, how, saved in answer.ended
    )
    whole = len(ended) < ENDS_AT_ONCE
    return Polled(result, Report(answer.clock, running, ended, whole))

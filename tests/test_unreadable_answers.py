"""Malformed answers of the store and of runners: what can be read of them counts."""

from typing import Any

import pytest

from spoolcrank.ids import Address, JobId
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.orders import EndKind, OrderResult, Poll, Start, Stop, Target
from spoolcrank.platform.documents import decode_runner_entry
from spoolcrank.platform.runners import PlatformRunners
from spoolcrank.platform.store import StoreLog
from spoolcrank.runner_port import PollResult
from spoolcrank.store_port import Append, Appended, AppendOutcome, NewestPage, Records
from spoolcrank.workflow import RunnerId, TaskKey
from tests.fleet_jobs import QUICK, hang
from tests.fleet_world import small_world
from tests.runner_entries import entry
from tests.test_platform import STORE, RecordingHttp, answer

OTHER = "i-other"


# Answers of the store


def _append(result: Any) -> Appended:
    results: list[Appended] = []
    StoreLog(RecordingHttp(result), STORE, "jobs").append(
        Append([KeyedRecord("k", b"v")]), results.append
    )
    return results[0]


@pytest.mark.parametrize(
    "result",
    [
        answer(409, {"reason": "unheard"}),
        answer(409, b"\xff"),
        answer(409, {"reason": 3}),
        answer(200, b"<html>"),
        answer(200, {"offset": "first"}),
    ],
)
def test_an_append_with_an_unreadable_answer_has_an_unknown_outcome(result: Any) -> None:
    assert _append(result).outcome is AppendOutcome.UNKNOWN


def _newest(body: Any) -> NewestPage:
    results: list[NewestPage] = []
    StoreLog(RecordingHttp(answer(200, body)), STORE, "servers").newest("", results.append)
    return results[0]


@pytest.mark.parametrize(
    "item",
    [
        {"key": None, "value": "b25l", "offset": 5},
        {"key": "b", "value": "not base64!", "offset": 5},
        {"key": "b", "value": "b25l", "offset": "five"},
        {"value": "b25l", "offset": 5},
        "an item",
        None,
    ],
)
def test_an_item_that_cannot_be_read_does_not_lose_its_page(item: Any) -> None:
    first = {"key": "a", "value": "b25l", "offset": 4}
    last = {"key": "c", "value": "b25l", "offset": 6}
    page = _newest({"items": [first, item, last], "more": True, "end": 7})
    assert page.ok
    assert [record.key for record in page.records] == ["a", "c"]
    assert page.more


@pytest.mark.parametrize("body", [b"\xff", b"[]", {"items": 3}, {"items": [], "end": "x"}], ids=str)
def test_a_page_that_cannot_be_read_is_asked_for_again(body: Any) -> None:
    page = _newest(body)
    assert not page.ok
    assert page.detail


def _read(framed: bytes) -> Records:
    results: list[Records] = []
    body = (20).to_bytes(8, "big") + (3).to_bytes(8, "big") + framed
    StoreLog(RecordingHttp(answer(200, body)), STORE, "servers").read(10, 0, results.append)
    return results[0]


def frame(raw: bytes) -> bytes:
    return len(raw).to_bytes(4, "big") + raw


@pytest.mark.parametrize(
    "raw", [b"\x02\xff\xfevalue", b"", b"\x09ab", b"\x00value"], ids=["no text", "", "cut", "none"]
)
def test_a_record_under_a_key_that_is_no_text_keeps_its_offset(raw: bytes) -> None:
    read_result = _read(frame(b"\x01aone") + frame(raw) + frame(b"\x01btwo"))
    assert [record.offset for record in read_result.records] == [10, 11, 12]
    assert read_result.records[0] == KeyedRecord("a", b"one", 10)
    assert read_result.records[2] == KeyedRecord("b", b"two", 12)
    assert read_result.records[1].key not in ("a", "b", "ab")


def test_a_truncated_record_is_ignored() -> None:
    read_result = _read(frame(b"\x01aone") + frame(b"\x01btwo")[:-1])
    assert read_result.records == (KeyedRecord("a", b"one", 10),)


# Answers of runners

TARGET = Target(RunnerId("i-1"), Address("10.0.0.1:80"), 4)
TASK = TaskKey(JobId("ab"), 0, 1, 2)


def _poll(body: Any) -> PollResult:
    results: list[PollResult] = []
    PlatformRunners(RecordingHttp(answer(200, body))).poll(
        Poll(TARGET, 57, 486000, 1000), results.append
    )
    assert len(results) == 1
    return results[0]


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"[]",
        {},
        {"clockMs": "late"},
        {"clockMs": 1e300},
        {"clockMs": -5},
        {"clockMs": 1, "running": 3},
        {"clockMs": 1, "ended": {"a": 1}},
    ],
    ids=str,
)
def test_a_runner_whose_report_cannot_be_read_counts_as_silent(body: Any) -> None:
    poll_result = _poll(body)
    assert poll_result.result is OrderResult.UNKNOWN
    assert poll_result.report is None


@pytest.mark.parametrize(
    "row",
    [
        ["no-task", 1, "", 3],
        ["ab.0.x.1", 1, "", 3],
        ["ab.0.1.1", "1", "", 3],
        ["ab.0.1.1"],
        7,
        None,
    ],
)
def test_a_running_row_that_cannot_be_read_does_not_lose_the_others(row: Any) -> None:
    rows = [["ab.0.1.16", 2, "", 41], row, ["ab.0.1.17", 2, "00bb", 41, 12.5]]
    poll_result = _poll({"clockMs": 5, "running": rows})
    assert poll_result.report is not None
    assert [run.task.number for run in poll_result.report.running] == [16, 17]


@pytest.mark.parametrize(
    "row",
    [
        [59, "ab.0.1.9", 1, "vanished", ""],
        [59, "no-task", 1, "done", ""],
        [59, "ab.0.1.9", None, "done", ""],
        [59],
        ["x", "ab.0.1.9", 1, "done", ""],
        [10**30, "ab.0.1.9", 1, "done", ""],
        None,
    ],
)
def test_an_ended_row_that_cannot_be_read_does_not_lose_the_others(row: Any) -> None:
    rows = [[58, "ab.0.1.8", 1, "done", ""], row, [60, "ab.0.1.10", 1, "failed", ""]]
    poll_result = _poll({"clockMs": 5, "ended": rows})
    assert poll_result.report is not None
    assert [(end.number, end.how) for end in poll_result.report.ended] == [
        (58, EndKind.DONE),
        (60, EndKind.FAILED),
    ]


def test_an_end_that_cannot_be_read_is_forgotten_by_its_runner_like_any_other() -> None:
    """Otherwise each poll returns it again, so that no long poll ever waits."""
    world = small_world(runners=1)
    runner = next(iter(world.runners.values()))
    hang(world)
    world.instances["entry-0"].submit("a1", QUICK)
    world.run(1.0)
    asked: list[int] = []
    poll = runner.poll

    def with_unreadable_end(order: Poll) -> PollResult:
        asked.append(order.seen)
        poll_result = poll(order)
        if order.seen >= 40 or poll_result.report is None:
            return poll_result
        return PollResult(OrderResult.DONE, poll_result.report._replace(unreadable_ends=(40,)))

    runner.poll = with_unreadable_end  # type: ignore[method-assign]
    world.run(4.0)
    assert asked[-1] == 40


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (answer(200, b"\xff"), OrderResult.DONE),
        (answer(200, {"clockMs": "late"}), OrderResult.DONE),
        (answer(409, b"\xff"), OrderResult.REJECTED),
        (answer(409, {"reason": ["room"]}), OrderResult.REJECTED),
    ],
)
def test_an_order_whose_answer_cannot_be_read_goes_by_its_status(
    result: Any, expected: OrderResult
) -> None:
    results: list[Any] = []
    PlatformRunners(RecordingHttp(result)).start(
        Start(TARGET, TASK, 3, "text", "", 900), results.append
    )
    PlatformRunners(RecordingHttp(result)).stop(Stop(TARGET, TASK, 3), results.append)
    assert [order_result.result for order_result in results] == [expected, expected]


def test_a_runners_entry_as_it_is_written_is_read() -> None:
    assert decode_runner_entry(OTHER, entry()).room.millicores == 8000
    assert decode_runner_entry(OTHER, entry(state="draining")).leaving

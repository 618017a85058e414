"""Reads of a log whose long answers do not arrive in time."""

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank.ids import Address, Incarnation, JobId
from spoolcrank.jobs import JobSpec
from spoolcrank.log_link import LogLink
from spoolcrank.metrics import Metrics
from spoolcrank.records import Envelope, JobAccepted, dump
from tests.test_large_records import ManualTimers

RECORDS = 700


class _SlowLog:
    """A log whose answers get through only if they hold at most a number of records."""

    def __init__(self, max_records: int) -> None:
        self.max_records = max_records

    def send(self, call: HttpCall, done: Any) -> None:
        query = {name: values[0] for name, values in parse_qs(urlsplit(call.path).query).items()}
        if "/spoolcrank/" not in call.path:
            done(_page([], 0))
            return
        start, count = int(query["from"]), int(query["max"])
        if min(count, RECORDS - start) > self.max_records:
            done(HttpResult(CallFailure.TIMED_OUT))
        else:
            done(_page(list(range(start, min(RECORDS, start + count))), RECORDS))


def _page(offsets: list[int], end: int) -> HttpResult:
    records = [{"offset": offset, "record": _record(offset)} for offset in offsets]
    body = json.dumps({"records": records, "first": 0, "next": end}).encode()
    return HttpResult(None, 200, {}, body)


def _record(offset: int) -> dict[str, Any]:
    record = JobAccepted(job=JobId(f"job-{offset}"), spec=JobSpec(name="x"))
    return dump(Envelope(writer=Incarnation("w"), seq=offset + 1, at=1.0, record=record))


def test_a_log_whose_long_answers_are_late_is_read_in_shorter_ones() -> None:
    """Each read asked for 500 records, so that one that failed for their size failed for ever."""
    timers = ManualTimers()
    untyped: Any = (_SlowLog(20), timers)
    client, clock = untyped
    link = LogLink(client, clock, Address("x:1"), Incarnation("entry-1"), Metrics())
    read: list[Any] = []
    at_end: list[bool] = []

    def on_event(event: Any) -> None:
        if event.name == "log_read":
            read.extend(event.args[0])
            at_end.append(event.args[2])

    vars(link)["fire"] = on_event
    link.begin()
    for _ in range(200):
        timers.fire()
    assert [entry.offset for entry in read] == list(range(RECORDS))
    assert at_end[-1]

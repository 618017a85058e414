"""Reads of a log that grows, of which some fail at once, whatever their size."""

import heapq
import json
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank.ids import Address, Incarnation, JobId
from spoolcrank.jobs import JobSpec
from spoolcrank.log_link import LogLink
from spoolcrank.metrics import Metrics
from spoolcrank.records import CONFIG_STREAM, CONTROL_STREAM, Envelope, JobAccepted, dump

ANSWER_S = 0.005
"""Time that the log takes for an answer, in seconds."""

POLL_S = 0.05
"""Interval at which a read that waits looks for records, in seconds."""

READ_WAIT_S = 0.5
"""Time for which a read waits for a record, in seconds."""

PLAY_S = 60.0
"""Simulated time of a play, in seconds."""

MAX_BEHIND_S = 15.0
"""Longest time without a read to the log's end, in seconds."""

SEEDS = range(3)


class _BusyLog:
    """A log that takes records at a rate, its clock, and the timers of its reader."""

    def __init__(self, failed_share: float, records_per_s: float, seed: int) -> None:
        self.now = 0.0
        self._failed_share = failed_share
        self._records_per_s = records_per_s
        self._chance = random.Random(seed)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (self.now + delay_s, self._count, action))

    def run(self) -> None:
        while self._due and self.now < PLAY_S:
            self.now, _, action = heapq.heappop(self._due)
            action()

    def send(self, call: HttpCall, done: Any) -> None:
        target = urlsplit(call.path)
        if f"/{CONFIG_STREAM}/" in target.path:
            return
        if f"/{CONTROL_STREAM}/" not in target.path:
            self.after(ANSWER_S, lambda: done(_page([], 0)))
        elif self._chance.random() < self._failed_share:
            self.after(ANSWER_S, lambda: done(HttpResult(CallFailure.CUT)))
        else:
            query = parse_qs(target.query)
            start, count = int(query["from"][0]), int(query["max"][0])
            asked_at = self.now
            self.after(ANSWER_S, lambda: self._answer(start, count, asked_at, done))

    def _answer(self, start: int, count: int, asked_at: float, done: Any) -> None:
        end = int(self._records_per_s * self.now)
        if start >= end and self.now - asked_at < READ_WAIT_S:
            self.after(POLL_S, lambda: self._answer(start, count, asked_at, done))
            return
        done(_page(list(range(start, min(end, start + count))), end))


def _page(offsets: list[int], end: int) -> HttpResult:
    records = [{"offset": offset, "record": _record(offset)} for offset in offsets]
    body = json.dumps({"records": records, "first": 0, "next": end}).encode()
    return HttpResult(None, 200, {}, body)


def _record(offset: int) -> dict[str, Any]:
    record = JobAccepted(job=JobId(f"job-{offset}"), spec=JobSpec(name="x"))
    return dump(Envelope(writer=Incarnation("w"), seq=offset + 1, at=1.0, record=record))


def _longest_behind_s(failed_share: float, records_per_s: float, seed: int) -> float:
    """Return the longest time for which a reader does not reach the log's end, in seconds."""
    log = _BusyLog(failed_share, records_per_s, seed)
    untyped: Any = (log, log)
    client, timers = untyped
    link = LogLink(client, timers, Address("x:1"), Incarnation("entry-1"), Metrics())
    ends_at = [0.0]

    def on_event(event: Any) -> None:
        if event.name == "log_read" and event.args[2]:
            ends_at.append(log.now)

    vars(link)["fire"] = on_event
    link.begin()
    log.run()
    return max(b - a for a, b in zip(ends_at, [*ends_at[1:], PLAY_S], strict=True))


# Guards against reads so short after failed ones that they never reach the end of a busy log.
@pytest.mark.parametrize(
    ("failed_share", "records_per_s"), [(0.5, 10.0), (0.5, 100.0), (0.3, 50.0), (0.2, 200.0)]
)
def test_failed_reads_do_not_keep_a_reader_from_the_end(
    failed_share: float, records_per_s: float
) -> None:
    behind_s = [_longest_behind_s(failed_share, records_per_s, seed) for seed in SEEDS]
    assert max(behind_s) <= MAX_BEHIND_S, [round(each, 1) for each in behind_s]

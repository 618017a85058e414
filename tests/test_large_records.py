"""Records that are too large together, or alone, for one append to the log.

The tests guard against an instance whose appends all wait behind records that the log refuses: it
accepts no job, places none, and its servers stand idle.
"""

import json
import threading
from typing import Any

from spoolcrank._http import HttpCall, HttpResult
from spoolcrank.ids import Address, Incarnation, JobId
from spoolcrank.jobs import JobSpec
from spoolcrank.log_link import MAX_APPEND_BYTES, LogLink
from spoolcrank.metrics import Metrics
from spoolcrank.records import JobAccepted, parse_envelope
from tests.scenario import Scenario, call, wait_for

SMALL_BYTES = 100


class ManualTimers:
    """Timers that fire when a test says so."""

    def __init__(self) -> None:
        self.due: list[Any] = []

    def after(self, delay_s: float, action: Any) -> None:
        self.due.append(action)

    def fire(self) -> None:
        due, self.due = self.due, []
        for action in due:
            action()


class _Log:
    """A log that refuses appends of more than a number of bytes; reads are not answered."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.records: list[Any] = []
        self.refused = 0

    def send(self, call: HttpCall, done: Any) -> None:
        if len(call.body) > self.max_bytes:
            self.refused += 1
            done(HttpResult(None, 413))
            return
        self.records += json.loads(call.body)["records"]
        done(HttpResult(None, 200, {}, b"{}"))


def _append_all(sizes: list[int], max_bytes: int) -> tuple[list[str], int, list[str]]:
    """Append one job for each size; return the jobs on the log, its refusals, those applied."""
    log, timers = _Log(max_bytes), ManualTimers()
    untyped: Any = (log, timers)
    client, clock = untyped
    link = LogLink(client, clock, Address("x:1"), Incarnation("entry-1"), Metrics())
    applied: list[str] = []
    for number, size in enumerate(sizes):
        spec = JobSpec(name="large", payload={"text": "x" * size})
        record = JobAccepted(job=JobId(f"job-{number}"), spec=spec)
        link.append(record, lambda number=number: applied.append(f"job-{number}"))  # type: ignore[misc]
    for _ in range(4 * len(sizes)):
        timers.fire()
        if log.records:
            link.confirm_applied(parse_envelope(log.records[-1]).seq)
    jobs = [item["record"]["job"] for item in log.records]
    assert link.pending_count == 0
    return jobs, log.refused, applied


def test_large_records_are_appended_in_several_batches() -> None:
    """One append took up to 100 records whatever their size; the log refused it again and again."""
    sizes = [MAX_APPEND_BYTES // 3] * 6 + [SMALL_BYTES]
    jobs, refused, applied = _append_all(sizes, MAX_APPEND_BYTES)
    assert jobs == applied == [f"job-{number}" for number in range(len(sizes))]
    assert refused == 0


def test_a_log_with_a_lower_limit_gets_smaller_batches() -> None:
    jobs, refused, applied = _append_all([1000] * 20, 5000)
    assert jobs == applied == [f"job-{number}" for number in range(20)]
    assert refused > 0


def test_a_record_that_the_log_never_accepts_holds_back_no_other() -> None:
    jobs, _, applied = _append_all([SMALL_BYTES, 9000, SMALL_BYTES, SMALL_BYTES], 5000)
    assert jobs == applied == ["job-0", "job-2", "job-3"]


def test_an_instance_goes_on_after_large_jobs_at_once() -> None:
    """Four jobs of 0.7 MB at once: the instance appended nothing more and refused further jobs."""
    with Scenario() as run:
        url = f"{run.entry('entry-a1').url}/jobs"
        statuses: list[int] = []

        def post(text_bytes: int) -> None:
            job = {"name": "large", "payload": {"run_s": 0.1, "text": "x" * text_bytes}}
            statuses.append(call("POST", url, job).status)

        threads = [threading.Thread(target=post, args=(700_000,)) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert statuses == [202] * 4
        post(MAX_APPEND_BYTES - 100)
        assert statuses[-1] == 413
        small = run.submit("entry-a1", name="small", payload={"run_s": 0.1})
        wait_for(lambda: run.fleet.job("entry-b1", small)["state"] == "finished", 20, small)

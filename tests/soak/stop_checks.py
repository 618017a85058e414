"""Checks on the stops of one seed: each function returns a line for each violation."""

import json
import struct
import urllib.request
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import cancel_key, job_key, progress_key
from spoolcrank.workflow import FINAL, decode_phase
from tests.leaving_callers import Outcome
from tests.soak.fleet import STOP_GRACE_S, Fleet
from tests.soak.processor_time import ProcessorTime
from tests.soak.stop_callers import SentRequest
from tests.soak.stop_queues import Queues

CONFIG_APPLY_S = 2.0
"""Time from the acknowledgement of a configuration until it is in force, in seconds."""

REJECT_S = 0.3
"""Time for which a process may be idle while it holds a request that came after the end of its
intake, in seconds: it has to refuse at once what it cannot serve."""

NO_TIME_S = 0.005
"""Processor time up to which a process counts as having got none, in seconds."""

MAX_LINES_OF_A_KIND = 3

STOP_LINES = frozenset(
    {"stopping", "intake-ended", "answers-ended", "given-up", "stop", "internal-error"}
)
WAYS_READ_AT_ONCE = frozenset({"idle", "reused", "new", "parts", "large"})
"""Ways to send in which nothing stands before the request, and its answer is read at once."""


class Stop(NamedTuple):
    """One stop of one process.

    Attributes:
        clock_offset_s: time of day less the monotonic clock.
        told: what was done to the process, with times relative to the signal.
        ended_at: when it was seen that the process is gone; None if it had to be killed.
    """

    instance: str
    signal_at: float
    ended_at: float | None
    code: int | None
    may_be_unready: bool
    told: list[str]
    sent: list[SentRequest]
    log: list[dict[str, Any]]
    clock_offset_s: float
    processor: ProcessorTime

    def line_at(self, name: str) -> float | None:
        """Return the time of the first line of a kind, by the monotonic clock."""
        times = [line["timestamp"] for line in self.log if line["message_type"] == name]
        return times[0] - self.clock_offset_s if times else None


def read_log(path: Path, begin: int) -> list[dict[str, Any]]:
    """Return the log lines of one process, whose output begins at an offset of the file."""
    text = path.read_bytes()[begin:].decode(errors="replace")
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if "message_type" in line]


def all_violations(fleet: Fleet, queues: Queues, stops: list[Stop]) -> list[str]:
    """Check every stop; the store has to answer again."""
    records = StoredRecords(fleet)
    violations = []
    for stop in stops:
        found = [
            *_drops(stop),
            *_end(stop),
            *_given_up(stop),
            *_late_refusals(stop),
            *_denied_queues(stop, queues),
            *_broken_answers(stop, records),
        ]
        if found:
            violations += [*_first_of_each_kind(found), describe(stop)]
    return violations


def count_excused(stops: list[Stop]) -> int:
    """Return the number of unanswered requests after whose reading a process got no time."""
    return sum(
        sent.outcome is Outcome.DROPPED and _is_excused(stop, sent.last_at)
        for stop in stops
        for sent in stop.sent
    )


def _first_of_each_kind(found: list[str]) -> Iterator[str]:
    """Return at most `MAX_LINES_OF_A_KIND` lines for each rule and way to send."""
    counts: Counter[tuple[str, ...]] = Counter()
    for line in found:
        kind = tuple(line.split()[:2])
        counts[kind] += 1
        if counts[kind] <= MAX_LINES_OF_A_KIND:
            yield line
    yield from (f"{' '.join(kind)}: {count}" for kind, count in counts.items())


def describe(stop: Stop) -> str:
    """Return what was done to a process, and the log lines of its stop."""
    lines = [line for line in stop.log if line["message_type"] in STOP_LINES]
    shown = "\n".join(f"    {json.dumps(line)}" for line in lines)
    return f"  {stop.instance}: {', '.join(stop.told)}; code {stop.code}\n{shown}"


def _text(stop: Stop, sent: SentRequest) -> str:
    opened, first, last, ended = (
        f"{at - stop.signal_at:.3f}"
        for at in (sent.opened_at, sent.first_at, sent.last_at, sent.ended_at)
    )
    stood_s = stop.processor.stood_s(sent.last_at, sent.ended_at)
    return (
        f"{sent.way} {sent.question.line} opened {opened} first byte {first} last byte {last} "
        f"ended {ended} ({stood_s:.3f} s standing): {sent.outcome.value} {sent.status} {sent.error}"
    )


def _drops(stop: Stop) -> Iterator[str]:
    """Report requests that were read and got no complete answer."""
    for sent in stop.sent:
        if sent.outcome is Outcome.DROPPED and not _is_excused(stop, sent.last_at):
            yield f"LOST {_text(stop, sent)}"


def _is_excused(stop: Stop, read_at: float) -> bool:
    """Return whether a process got no processor time from a moment to the end of the grace."""
    end = stop.signal_at + STOP_GRACE_S
    is_standing = stop.processor.stood_s(end - 0.02, end + 0.02) > 0.0
    return is_standing and stop.processor.used_s(read_at, end) <= NO_TIME_S


def _end(stop: Stop) -> Iterator[str]:
    if stop.ended_at is None:
        yield f"END killed {STOP_GRACE_S} s and what it stood after the signal"
        return
    is_early = stop.may_be_unready and stop.line_at("stopping") is None
    if stop.code != 0 and not is_early:
        yield f"END code {stop.code}"
    took_s = stop.ended_at - stop.signal_at
    stood_s = stop.processor.stood_s(stop.signal_at, stop.ended_at)
    if took_s > STOP_GRACE_S + stood_s:
        yield f"END after {took_s:.2f} s, of which it stood {stood_s:.2f} s"


def _given_up(stop: Stop) -> Iterator[str]:
    """Report requests that the process itself says it gave up, and errors in its loop."""
    for line in stop.log:
        if line["message_type"] == "given-up" and line["waits"] != "client":
            if not _is_excused(stop, stop.signal_at + line["read_after_signal_s"]):
                yield f"LOST by its log: {line}"
        elif line["message_type"] == "stop" and line["unanswered"]:
            if not any(other["message_type"] == "given-up" for other in stop.log):
                yield f"LOST by its log: {line}"
        elif line["message_type"] == "internal-error":
            yield f"ERROR {line}"


def _late_refusals(stop: Stop) -> Iterator[str]:
    """Report requests sent after the end of intake that waited for their answer."""
    intake_ended_at = stop.line_at("intake-ended")
    if intake_ended_at is None:
        return
    for sent in stop.sent:
        if sent.way not in WAYS_READ_AT_ONCE or sent.last_at < intake_ended_at:
            continue
        span = (sent.last_at, sent.ended_at)
        # While the process works, it hasn't read the request yet, or is about to answer it.
        idle_s = span[1] - span[0] - stop.processor.stood_s(*span) - stop.processor.used_s(*span)
        if sent.outcome is Outcome.ANSWERED and idle_s > REJECT_S:
            yield f"SLOW {_text(stop, sent)}, process idle for {idle_s:.3f} s"


def _denied_queues(stop: Stop, queues: Queues) -> Iterator[str]:
    for sent in stop.sent:
        if sent.status != 404:
            continue
        stood_s = stop.processor.stood_s(sent.first_at - 10.0, sent.ended_at)
        apply_s = CONFIG_APPLY_S + stood_s
        if queues.must_know(sent.question.queue, sent.first_at, sent.ended_at, apply_s):
            yield f"CONFIG {_text(stop, sent)}"


def _broken_answers(stop: Stop, records: "StoredRecords") -> Iterator[str]:
    """Report accepted jobs and cancels that are not on the log, and refused ones that are."""
    for sent in stop.sent:
        method = sent.question.line.split()[0]
        job = JobId(sent.question.job)
        if method == "POST" and sent.status == 200 and job_key(job) not in records.keys:
            yield f"LOST not on the log: {_text(stop, sent)}"
        elif method == "POST" and sent.status in (404, 429, 503) and job_key(job) in records.keys:
            yield f"REFUSED but on the log: {_text(stop, sent)}"
        elif method == "DELETE" and sent.status == 200:
            if cancel_key(job) not in records.keys and job not in records.final:
                yield f"CANCEL not on the log: {_text(stop, sent)}"


class StoredRecords:
    """The keys of all records that were ever appended, and the jobs that reached a final state."""

    def __init__(self, fleet: Fleet) -> None:
        self.keys: set[str] = set()
        self.final: set[JobId] = set()
        begin = 0
        while (end := self._read(fleet, begin)) > begin:
            begin = end

    def _read(self, fleet: Fleet, begin: int) -> int:
        url = f"http://{fleet.store_address}/api/log-read?topic=keyed.jobs&part=0&fromRev={begin}"
        with urllib.request.urlopen(url, timeout=30) as answer:
            body = answer.read()
        at = 16
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            frame = body[at + 4 : at + 4 + length]
            self._add(frame[1 : 1 + frame[0]].decode(), frame[1 + frame[0] :])
            at += 4 + length
            begin += 1
        return begin

    def _add(self, key: str, value: bytes) -> None:
        self.keys.add(key)
        prefix = progress_key(JobId(""))
        if key.startswith(prefix) and value and decode_phase(value) in FINAL:
            self.final.add(JobId(key.removeprefix(prefix)))

"""Work out from instances' logs where the time of each job went.

The path that decided when a job ended is walked backwards: from the task that ended last over
its runs and the gaps between them to the step it waited for, and on to the job's acceptance. So
every second of a job has one cause. A job that never ended is walked from the last line on.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.log_search import Line
from spoolcrank.note_lines import singles
from spoolcrank.workflow import TaskKey

DECISIONS = frozenset({"job-read", "task-bound", "took-over"})
"""Nothing was decided between the last of these by one leader and the next one's takeover."""


class Cause(Enum):
    """What a second of a job's time went to."""

    INTAKE = "until a leader read it"
    NO_LEADER = "while nobody led"
    PLACE = "waiting for a place"
    START = "between its record and its start"
    WORK = "at work"
    PACE = "held back by pace"
    MOVED = "between a stop and the next start"
    FAILED = "in a run that failed"
    LOST = "in a run lost with its runner or lease"


class Run(NamedTuple):
    """One run of a task: when bound, how long until it started, when and how its end was noted."""

    bound_at: float
    ended_at: float
    how: str
    start_s: float = 0.0


@dataclass
class _Job:
    accepted_at: float = -1.0
    read_at: float = -1.0
    ended_at: float = -1.0
    phase: str = ""
    queue: str = ""
    objective_s: float = 0.0
    after: list[list[int]] = field(default_factory=list)
    images: list[str] = field(default_factory=list)
    runs: dict[TaskKey, list[Run]] = field(default_factory=lambda: defaultdict(list))
    bound: dict[TaskKey, float] = field(default_factory=dict)
    paces: dict[TaskKey, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )


UNFINISHED = "unfinished"
"""Phase of a job that has no end in the logs."""

MEASURED = frozenset({"completed", UNFINISHED})
"""Phases whose time is accounted for; a cancelled job's end says nothing of the scheduler."""


class JobTimes(NamedTuple):
    """One job that completed or never ended.

    Attributes:
        job: its id.
        queue: it came in by.
        took_s: from its acceptance to its end, or to the last line.
        objective_s: within what time it should have finished, as the leader reckoned.
        seconds: by cause; they add up to `took_s`.
        phase: "completed" or "unfinished".
        images: of its steps.
    """

    job: JobId
    queue: str
    took_s: float
    objective_s: float
    seconds: dict[Cause, float]
    phase: str
    images: tuple[str, ...]


def job_times(lines: Iterable[Line]) -> list[JobTimes]:
    """Return where the time of each job that completed or never ended went."""
    ordered = sorted(lines, key=lambda line: line.at)
    jobs: dict[JobId, _Job] = defaultdict(_Job)
    for line in ordered:
        _take(jobs, line)
    for job in jobs.values():
        _close(job, ordered[-1].at)
    leaderless = _leaderless(ordered)
    return [
        JobTimes(
            job_id,
            job.queue,
            job.ended_at - job.accepted_at,
            job.objective_s,
            _walk(job, leaderless),
            job.phase,
            tuple(job.images),
        )
        for job_id, job in jobs.items()
        if job.phase in MEASURED and job.accepted_at >= 0 and job.read_at >= 0
    ]


def _close(job: _Job, last_at: float) -> None:
    """Let what has no end yet count up to the last line."""
    if job.phase:
        return
    job.phase = UNFINISHED
    job.ended_at = last_at
    for key, bound_at in job.bound.items():
        job.runs[key].append(Run(bound_at, last_at, UNFINISHED))


def _take(jobs: dict[JobId, _Job], line: Line) -> None:
    fields = line.fields
    if "task" in fields or "step" in fields:
        for single in singles(line.fields):
            _take_task(jobs, _decided(line, single))
        return
    if "job" not in fields:
        return
    line = _decided(line, fields)
    job = jobs[JobId(str(fields["job"]))]
    if line.event == "job-accepted" and job.accepted_at < 0:
        job.accepted_at = line.at
    elif line.event == "job-read" and job.read_at < 0:
        job.read_at = line.at
        job.queue = str(fields.get("queue", ""))
        job.objective_s = float(fields.get("objective_s", 0.0))
        job.after = fields.get("after", [])
        job.images = fields.get("images", [])
    elif line.event == "job-ended":
        job.ended_at, job.phase = line.at, str(fields["phase"])


def _decided(line: Line, fields: dict[str, Any]) -> Line:
    """Return a line as if it had been written when its decision was made."""
    return line._replace(at=line.at - float(fields.get("ago_ms", 0.0)) / 1000.0, fields=fields)


def _take_task(jobs: dict[JobId, _Job], line: Line) -> None:
    name = line.fields["task"]
    key = TaskKey(JobId(str(name[0])), int(name[1]), int(name[2]), int(name[3]))
    job = jobs[key.job]
    if line.event == "task-bound":
        job.bound[key] = line.at
        job.paces[key].append((line.at, 1.0))
    elif line.event == "paced":
        job.paces[key].append((line.at, float(line.fields["percent"]) / 100.0))
    elif line.event in ("run-ended", "run-released"):
        bound_at = job.bound.pop(key, None)
        if bound_at is not None:
            how = str(line.fields.get("how", "lost"))
            start_s = min(float(line.fields.get("start_ms", 0.0)) / 1000.0, line.at - bound_at)
            job.runs[key].append(Run(bound_at, line.at, how, max(0.0, start_s)))


def _leaderless(lines: Iterable[Line]) -> list[tuple[float, float]]:
    """Return the times between the last line of a leader and the first of the next."""
    spans = []
    last: Line | None = None
    for line in lines:
        if line.event not in DECISIONS:
            continue
        if line.event == "took-over" and last is not None and last.at < line.at:
            spans.append((last.at, line.at))
        last = line
    return spans


def _walk(job: _Job, leaderless: list[tuple[float, float]]) -> dict[Cause, float]:
    """Return the seconds of a job by cause, along the path that decided its end."""
    seconds: dict[Cause, float] = defaultdict(float)
    key = _last_task(job, range(len(job.after)))
    until = job.ended_at
    if job.phase == UNFINISHED:
        # What came after the last run of all was a wait for the next place.
        last_at = job.runs[key][-1].ended_at if key is not None else job.read_at
        _wait(seconds, Cause.PLACE, last_at, until, leaderless)
        until = last_at
    while key is not None:
        ready_at, before = _ready(job, key)
        until = _walk_task(job, key, ready_at, until, seconds, leaderless)
        key = before
    _wait(seconds, Cause.INTAKE, job.accepted_at, until, leaderless)
    return dict(seconds)


def _last_task(job: _Job, steps: Iterable[int]) -> TaskKey | None:
    """Return the task of some steps whose last run ended last."""
    wanted = set(steps)
    ends = [(runs[-1].ended_at, key) for key, runs in job.runs.items() if key.step in wanted]
    return max(ends)[1] if ends else None


def _ready(job: _Job, key: TaskKey) -> tuple[float, TaskKey | None]:
    """Return when a task's turn came, and the task that it had waited for."""
    before = _last_task(job, job.after[key.step]) if key.step < len(job.after) else None
    if before is None:
        return job.read_at, None
    return job.runs[before][-1].ended_at, before


def _walk_task(
    job: _Job,
    key: TaskKey,
    ready_at: float,
    until: float,
    seconds: dict[Cause, float],
    leaderless: list[tuple[float, float]],
) -> float:
    """Count one task's time up to `until` backwards; returns when its turn had come."""
    runs = [run for run in job.runs[key] if run.bound_at < until]
    for number in range(len(runs) - 1, -1, -1):
        run = runs[number]
        ended_at = min(run.ended_at, until)
        _wait(seconds, Cause.WORK, ended_at, until, leaderless)
        _run(job, key, run, ended_at, seconds)
        before = runs[number - 1] if number else None
        since = ready_at if before is None else before.ended_at
        stopped = before is not None and before.how == "stopped"
        cause = Cause.MOVED if stopped else Cause.PLACE
        until = min(max(since, ready_at), run.bound_at)
        _wait(seconds, cause, until, run.bound_at, leaderless)
    return min(until, ready_at)


def _run(job: _Job, key: TaskKey, run: Run, ended_at: float, seconds: dict[Cause, float]) -> None:
    """Count the time of one run."""
    in_all = ended_at - run.bound_at
    if run.how == "failed":
        seconds[Cause.FAILED] += in_all
    elif run.how not in ("done", "stopped", UNFINISHED):
        seconds[Cause.LOST] += in_all
    else:
        started_at = min(run.bound_at + run.start_s, ended_at)
        at_work = _at_pace(job.paces[key], started_at, ended_at)
        seconds[Cause.START] += started_at - run.bound_at
        seconds[Cause.WORK] += at_work
        seconds[Cause.PACE] += ended_at - started_at - at_work


def _at_pace(paces: list[tuple[float, float]], since: float, until: float) -> float:
    """Return the time of a span weighted by the pace in force."""
    first = max(0, bisect_right(paces, (since, 2.0)) - 1)
    total = 0.0
    for number in range(first, len(paces)):
        begin, pace = paces[number]
        end = paces[number + 1][0] if number + 1 < len(paces) else until
        total += pace * max(0.0, min(end, until) - max(begin, since))
    return total


def _wait(
    seconds: dict[Cause, float],
    cause: Cause,
    since: float,
    until: float,
    leaderless: list[tuple[float, float]],
) -> None:
    """Count a wait, the part without a leader apart."""
    if until <= since:
        return
    without = sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in leaderless)
    without = min(without, until - since)
    seconds[Cause.NO_LEADER] += without
    seconds[cause] += until - since - without

"""Attribute the time of each job to causes, based on the logs of the instances.

The critical path of a job is followed backwards: from the task that ended last through its runs
and the gaps between them to the step that it waited for, and so on to the job's acceptance. Each
second of a job is attributed to exactly one cause. For a job that never ended, the path starts at
the time of the last log line.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.log_event_groups import split_by_task
from spoolcrank.log_search import Line
from spoolcrank.workflow import TaskKey

LEADER_EVENTS = frozenset({"job-read", "task-bound", "took-over"})
"""Events that show an active leader.

The time between the last of them and the next leader's takeover counts as time without a leader.
"""


class Cause(Enum):
    """The cause that a second of a job's time is attributed to."""

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
    """One run of a task: its binding, its start and its logged end.

    `start_s` is the time from the binding to the start, in seconds.
    """

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

MEASURED_PHASES = frozenset({"completed", UNFINISHED})
"""Phases of the jobs whose time is attributed.

The end of a cancelled job says nothing about the scheduler.
"""


class JobTimes(NamedTuple):
    """One job that completed or never ended.

    Attributes:
        job: The id of the job.
        queue: The queue that the job was submitted to.
        duration_s: The time from its acceptance to its end, or to the last log line.
        objective_s: The time within which the leader expected it to finish.
        seconds: The seconds of each cause, which add up to `duration_s`.
        phase: Either "completed" or "unfinished".
        images: The images of its steps.
    """

    job: JobId
    queue: str
    duration_s: float
    objective_s: float
    seconds: dict[Cause, float]
    phase: str
    images: tuple[str, ...]


def job_times(lines: Iterable[Line]) -> list[JobTimes]:
    """Return the time of each job that completed or never ended, by cause."""
    ordered = sorted(lines, key=lambda line: line.at)
    jobs: dict[JobId, _Job] = defaultdict(_Job)
    for line in ordered:
        _record_line(jobs, line)
    for job in jobs.values():
        _end_unfinished(job, ordered[-1].at)
    leaderless = _leaderless_spans(ordered)
    return [
        JobTimes(
            job_id,
            job.queue,
            job.ended_at - job.accepted_at,
            job.objective_s,
            _seconds_by_cause(job, leaderless),
            job.phase,
            tuple(job.images),
        )
        for job_id, job in jobs.items()
        if job.phase in MEASURED_PHASES and job.accepted_at >= 0 and job.read_at >= 0
    ]


def _end_unfinished(job: _Job, last_at: float) -> None:
    """End an unfinished job and its open runs at the time of the last log line."""
    if job.phase:
        return
    job.phase = UNFINISHED
    job.ended_at = last_at
    for key, bound_at in job.bound.items():
        job.runs[key].append(Run(bound_at, last_at, UNFINISHED))


def _record_line(jobs: dict[JobId, _Job], line: Line) -> None:
    fields = line.fields
    if "task" in fields or "step" in fields:
        for task_fields in split_by_task(line.fields):
            _record_task_line(jobs, _at_decision_time(line, task_fields))
        return
    if "job" not in fields:
        return
    line = _at_decision_time(line, fields)
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


def _at_decision_time(line: Line, fields: dict[str, Any]) -> Line:
    """Return a line with the time of its decision, which is `ago_ms` before it was written."""
    return line._replace(at=line.at - float(fields.get("ago_ms", 0.0)) / 1000.0, fields=fields)


def _record_task_line(jobs: dict[JobId, _Job], line: Line) -> None:
    parts = line.fields["task"]
    key = TaskKey(JobId(str(parts[0])), int(parts[1]), int(parts[2]), int(parts[3]))
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


def _leaderless_spans(lines: Iterable[Line]) -> list[tuple[float, float]]:
    """Return the spans between the last event of a leader and the takeover by the next one."""
    spans = []
    last: Line | None = None
    for line in lines:
        if line.event not in LEADER_EVENTS:
            continue
        if line.event == "took-over" and last is not None and last.at < line.at:
            spans.append((last.at, line.at))
        last = line
    return spans


def _seconds_by_cause(job: _Job, leaderless: list[tuple[float, float]]) -> dict[Cause, float]:
    """Return the seconds of a job by cause, along its critical path."""
    seconds: dict[Cause, float] = defaultdict(float)
    key = _last_task(job, range(len(job.after)))
    until = job.ended_at
    if job.phase == UNFINISHED:
        # The time after the last run counts as a wait for the next placement.
        last_at = job.runs[key][-1].ended_at if key is not None else job.read_at
        _add_wait(seconds, Cause.PLACE, last_at, until, leaderless)
        until = last_at
    while key is not None:
        ready_at, predecessor = _ready_since(job, key)
        until = _add_task(job, key, ready_at, until, seconds, leaderless)
        key = predecessor
    _add_wait(seconds, Cause.INTAKE, job.accepted_at, until, leaderless)
    return dict(seconds)


def _last_task(job: _Job, steps: Iterable[int]) -> TaskKey | None:
    """Return the task of the given steps whose last run ended last, or None without any run."""
    step_numbers = set(steps)
    ends = [(runs[-1].ended_at, key) for key, runs in job.runs.items() if key.step in step_numbers]
    return max(ends)[1] if ends else None


def _ready_since(job: _Job, key: TaskKey) -> tuple[float, TaskKey | None]:
    """Return when a task became ready to run, and the task whose end it had waited for."""
    predecessor = _last_task(job, job.after[key.step]) if key.step < len(job.after) else None
    if predecessor is None:
        return job.read_at, None
    return job.runs[predecessor][-1].ended_at, predecessor


def _add_task(
    job: _Job,
    key: TaskKey,
    ready_at: float,
    until: float,
    seconds: dict[Cause, float],
    leaderless: list[tuple[float, float]],
) -> float:
    """Add the time of one task before `until` to `seconds`, from the last run backwards.

    Returns the time at which the task became ready to run, or `until` if that is earlier.
    """
    runs = [run for run in job.runs[key] if run.bound_at < until]
    for number in range(len(runs) - 1, -1, -1):
        run = runs[number]
        ended_at = min(run.ended_at, until)
        _add_wait(seconds, Cause.WORK, ended_at, until, leaderless)
        _add_run(job, key, run, ended_at, seconds)
        previous = runs[number - 1] if number else None
        since = ready_at if previous is None else previous.ended_at
        stopped = previous is not None and previous.how == "stopped"
        cause = Cause.MOVED if stopped else Cause.PLACE
        until = min(max(since, ready_at), run.bound_at)
        _add_wait(seconds, cause, until, run.bound_at, leaderless)
    return min(until, ready_at)


def _add_run(
    job: _Job, key: TaskKey, run: Run, ended_at: float, seconds: dict[Cause, float]
) -> None:
    """Add the time of one run to `seconds`."""
    total_s = ended_at - run.bound_at
    if run.how == "failed":
        seconds[Cause.FAILED] += total_s
    elif run.how not in ("done", "stopped", UNFINISHED):
        seconds[Cause.LOST] += total_s
    else:
        started_at = min(run.bound_at + run.start_s, ended_at)
        work_s = _paced_time(job.paces[key], started_at, ended_at)
        seconds[Cause.START] += started_at - run.bound_at
        seconds[Cause.WORK] += work_s
        seconds[Cause.PACE] += ended_at - started_at - work_s


def _paced_time(paces: list[tuple[float, float]], since: float, until: float) -> float:
    """Return the length of a span, weighted by the pace of each part of it."""
    # 2.0 is above every pace, so a pace that was set exactly at `since` is found too.
    first = max(0, bisect_right(paces, (since, 2.0)) - 1)
    total_s = 0.0
    for number in range(first, len(paces)):
        begin, pace = paces[number]
        end = paces[number + 1][0] if number + 1 < len(paces) else until
        total_s += pace * max(0.0, min(end, until) - max(begin, since))
    return total_s


def _add_wait(
    seconds: dict[Cause, float],
    cause: Cause,
    since: float,
    until: float,
    leaderless: list[tuple[float, float]],
) -> None:
    """Add a wait to `seconds`; its part without a leader counts as `NO_LEADER`."""
    if until <= since:
        return
    without_leader_s = sum(
        max(0.0, min(end, until) - max(begin, since)) for begin, end in leaderless
    )
    without_leader_s = min(without_leader_s, until - since)
    seconds[Cause.NO_LEADER] += without_leader_s
    seconds[cause] += until - since - without_leader_s

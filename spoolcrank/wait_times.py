"""Find in the logs how long jobs waited beside free capacity, and which jobs no leader knows.

A wait begins when nothing of its job runs any more and ends with the next run that starts or ends,
or with the end of the job. It lasts across leaders, each of which counts its own part only.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from spoolcrank.hold_words import TASK_WAITS
from spoolcrank.ids import JobId
from spoolcrank.log_event_groups import split_by_task
from spoolcrank.log_search import Line
from spoolcrank.workflow import TaskKey

NOT_ENDED = ""
"""Event that ended a wait which the logs do not end."""

_WAIT_ENDS = frozenset({"task-bound", "run-ended", "job-ended", "cancel-read"})
_JOB_ENDS = frozenset({"job-ended", "cancel-read"})


class Wait(NamedTuple):
    """One wait of a job beside free capacity.

    Attributes:
        task: the task whose turn had come and that was named last.
        obstacle: what was named last as holding it.
        runners: what kept runners from it then, sorted.
        began_at: time since which nothing of its job ran, in seconds.
        ended_at: time of the line that ended it, in seconds; of the last line of all without one.
        end: the event of that line, or `NOT_ENDED`.
    """

    task: TaskKey
    obstacle: str
    runners: tuple[str, ...]
    began_at: float
    ended_at: float
    end: str

    def length_s(self) -> float:
        """Return how long it lasted, in seconds."""
        return self.ended_at - self.began_at


class UnknownJob(NamedTuple):
    """A job without an end of which nothing is told after the last takeover.

    Attributes:
        job: the id of the job.
        last_event: the last event about it.
        at: the time of that event, in seconds.
    """

    job: JobId
    last_event: str
    at: float


def waits(lines: Iterable[Line]) -> list[Wait]:
    """Return the waits beside free capacity in the order of their ends."""
    ordered = sorted(lines, key=lambda line: line.at)
    open_waits: dict[JobId, Wait] = {}
    ended: list[Wait] = []
    for line in ordered:
        for job, task_line in _by_job(line):
            if line.event == TASK_WAITS:
                open_waits[job] = _continued(open_waits.get(job), task_line)
            elif line.event in _WAIT_ENDS and job in open_waits:
                wait = open_waits.pop(job)
                ended.append(wait._replace(ended_at=task_line.at, end=line.event))
    last_at = ordered[-1].at if ordered else 0.0
    return ended + [wait._replace(ended_at=last_at) for wait in open_waits.values()]


def _by_job(line: Line) -> list[tuple[JobId, Line]]:
    """Return the line once for each task that it is about, at the time of its decision."""
    found = []
    for fields in split_by_task(line.fields):
        job = fields["task"][0] if "task" in fields else fields.get("job")
        if job is not None:
            at = line.at - float(fields.get("ago_ms", 0.0)) / 1000.0
            found.append((JobId(str(job)), line._replace(at=at, fields=fields)))
    return found


def _continued(before: Wait | None, line: Line) -> Wait:
    """Return the wait that a line is about, begun when the wait before it had begun."""
    fields = line.fields
    parts = fields["task"]
    task = TaskKey(JobId(str(parts[0])), int(parts[1]), int(parts[2]), int(parts[3]))
    began_at = line.at - float(fields["waited_s"])
    if before is not None:
        began_at = min(began_at, before.began_at)
    runners = tuple(sorted(fields.get("runners") or {}))
    return Wait(task, str(fields["obstacle"]), runners, began_at, line.at, NOT_ENDED)


def longest_first(found: Sequence[Wait]) -> dict[tuple[str, tuple[str, ...]], list[Wait]]:
    """Group waits by what held them and by what kept runners from them, the longest first."""
    groups: dict[tuple[str, tuple[str, ...]], list[Wait]] = defaultdict(list)
    for wait in sorted(found, key=lambda wait: -wait.length_s()):
        groups[wait.obstacle, wait.runners].append(wait)
    return dict(groups)


def unknown_jobs(lines: Iterable[Line]) -> list[UnknownJob]:
    """Return the jobs without an end that no line names after the last takeover, in time order."""
    ordered = sorted(lines, key=lambda line: line.at)
    taken_over_at = max((line.at for line in ordered if line.event == "took-over"), default=0.0)
    last: dict[JobId, UnknownJob] = {}
    ended: set[JobId] = set()
    for line in ordered:
        for job, task_line in _by_job(line):
            last[job] = UnknownJob(job, line.event, task_line.at)
            if line.event in _JOB_ENDS:
                ended.add(job)
    unknown = [
        found for job, found in last.items() if job not in ended and found.at < taken_over_at
    ]
    return sorted(unknown, key=lambda found: found.at)

"""Test that every decision is logged at the rate of a large fleet.

A leader of 270 runners wrote 16,916 lines in a quiet day and dropped 45,218. Only 4,334 of 26,468
starts had a line, so that `why` and `report` showed almost nothing. No event that concerns a
request may be dropped.
"""

import json
from typing import Any

from spoolcrank.ids import JobId
from spoolcrank.job_times import job_times
from spoolcrank.log_event_groups import LOG_GROUP_INTERVAL_S, LogEventGroups, split_by_task
from spoolcrank.log_events import LogEvent
from spoolcrank.log_search import Line
from spoolcrank.telemetry import ATOMIC_BYTES, BURST_LINES, LINES_PER_S
from spoolcrank.workflow import TaskKey

NOW = 80.0
STARTS_PER_S = 600
WIDTH = 24
"""Mean width of a step at that deployment: 39 for settlement steps, nine for receipt steps."""

SECONDS = 5.0


def _bound(task: TaskKey, run: int = 1) -> LogEvent:
    return LogEvent(
        "task-bound",
        {
            "task": task,
            "run": run,
            "runner": f"i-{task.number:010d}",
            "preassigned": False,
            "idle_millicores": 20_000 + task.number,
            "report_age_ms": 480,
        },
    )


def _ended(task: TaskKey, run: int = 1) -> LogEvent:
    fields = {"task": task, "run": run, "runner": f"i-{task.number:010d}", "how": "done"}
    fields["start_ms"] = 250
    return LogEvent("run-ended", fields)


def _decisions() -> list[list[LogEvent]]:
    """Return the log events of five seconds of a large fleet, grouped by line interval.

    A step is bound within one interval; its ends are spread over six.
    """
    periods: list[list[LogEvent]] = [[] for _ in range(int(SECONDS / LOG_GROUP_INTERVAL_S) + 8)]
    steps = int(STARTS_PER_S * SECONDS / WIDTH)
    for step in range(steps):
        at = int(step / steps * SECONDS / LOG_GROUP_INTERVAL_S)
        for number in range(WIDTH):
            task = TaskKey(JobId(f"{step:016x}"), 0, 0, number)
            periods[at].append(_bound(task))
            periods[at + 2 + number % 6].append(_ended(task))
    return periods


def test_a_peak_of_starts_and_ends_stays_within_the_bound_on_lines() -> None:
    lines = LogEventGroups()
    written = 0
    told: list[dict[str, Any]] = []
    periods = _decisions()
    for notes in periods:
        for note in notes:
            lines.add(note, NOW)
        for line in lines.pop_lines(NOW):
            written += 1
            told += split_by_task(line.fields)
    allowed = BURST_LINES + LINES_PER_S * len(periods) * LOG_GROUP_INTERVAL_S
    assert written <= allowed
    assert len(told) == sum(map(len, periods)), "each decision is told once"


def test_a_line_of_many_tasks_goes_into_a_pipe_whole() -> None:
    lines = LogEventGroups()
    for number in range(160):
        lines.add(_bound(TaskKey(JobId("f" * 16), 0, 1, number)), NOW)
    for line in lines.pop_lines(NOW):
        assert len(json.dumps(line.fields)) < ATOMIC_BYTES - 300


def test_a_line_says_of_each_task_what_a_line_of_its_own_would() -> None:
    lines = LogEventGroups()
    notes = [_bound(TaskKey(JobId("a" * 16), 0, 0, number)) for number in range(5)]
    for note in notes:
        lines.add(note, NOW)
    (line,) = lines.pop_lines(NOW)
    alone = [{**note.fields, "task": list(note.fields["task"]), "ago_ms": 0} for note in notes]
    assert split_by_task(line.fields) == alone


def test_what_is_told_of_one_task_keeps_its_order() -> None:
    lines = LogEventGroups()
    first, second = (TaskKey(JobId("a" * 16), 0, 0, number) for number in range(2))
    notes = [_bound(first), _ended(first), _bound(second), _bound(first, run=2)]
    for note in notes:
        lines.add(note, NOW)
    told = [
        (one.name, *single["task"], single["run"])
        for one in lines.pop_lines(NOW)
        for single in split_by_task(one.fields)
    ]
    of_first = [(name, run) for name, *task, run in told if task[-1] == 0]
    assert of_first == [("task-bound", 1), ("run-ended", 1), ("task-bound", 2)]


def test_the_report_reads_lines_of_many_tasks() -> None:
    job = "a" * 16
    tasks = [TaskKey(JobId(job), 0, 0, number) for number in range(3)]
    lines = LogEventGroups()
    told = [
        Line(0.0, "e", "job-accepted", {"job": job}),
        Line(
            0.1,
            "e",
            "job-read",
            {
                "job": job,
                "queue": "q",
                "objective_s": 1.0,
                "after": [[]],
                "images": [""],
                "tasks": [3],
            },
        ),
    ]
    for at, notes in ((0.2, map(_bound, tasks)), (1.2, map(_ended, tasks))):
        for note in notes:
            lines.add(note, NOW)
        for line in lines.pop_lines(NOW + 0.3):
            fields = json.loads(json.dumps(line.fields))
            told.append(Line(at + 0.3, "e", line.name, fields))
    told.append(Line(1.2, "e", "job-ended", {"job": job, "phase": "completed"}))
    (found,) = job_times(told)
    assert round(found.duration_s, 2) == 1.2
    assert {cause.value: round(s, 2) for cause, s in found.seconds.items() if s > 0.001} == {
        "until a leader read it": 0.1,
        "waiting for a place": 0.1,
        "between its record and its start": 0.25,
        "at work": 0.75,
    }

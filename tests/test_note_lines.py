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
MEAN_STEP_WIDTH = 24
"""Mean width of a step at that deployment: 39 for settlement steps, nine for receipt steps."""

DURATION_S = 5.0


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
    periods: list[list[LogEvent]] = [[] for _ in range(int(DURATION_S / LOG_GROUP_INTERVAL_S) + 8)]
    steps = int(STARTS_PER_S * DURATION_S / MEAN_STEP_WIDTH)
    for step in range(steps):
        at = int(step / steps * DURATION_S / LOG_GROUP_INTERVAL_S)
        for number in range(MEAN_STEP_WIDTH):
            task = TaskKey(JobId(f"{step:016x}"), 0, 0, number)
            periods[at].append(_bound(task))
            periods[at + 2 + number % 6].append(_ended(task))
    return periods


def test_a_peak_of_starts_and_ends_stays_within_the_bound_on_lines() -> None:
    lines = LogEventGroups()
    written = 0
    logged: list[dict[str, Any]] = []
    periods = _decisions()
    for log_events in periods:
        for log_event in log_events:
            lines.add(log_event, NOW)
        for line in lines.pop_lines(NOW):
            written += 1
            logged += split_by_task(line.fields)
    allowed = BURST_LINES + LINES_PER_S * len(periods) * LOG_GROUP_INTERVAL_S
    assert written <= allowed
    assert len(logged) == sum(map(len, periods)), "each decision is logged once"


def test_a_line_of_many_tasks_is_written_to_a_pipe_whole() -> None:
    lines = LogEventGroups()
    for number in range(160):
        lines.add(_bound(TaskKey(JobId("f" * 16), 0, 1, number)), NOW)
    for line in lines.pop_lines(NOW):
        assert len(json.dumps(line.fields)) < ATOMIC_BYTES - 300


def test_a_grouped_line_has_the_fields_of_each_tasks_own_line() -> None:
    lines = LogEventGroups()
    log_events = [_bound(TaskKey(JobId("a" * 16), 0, 0, number)) for number in range(5)]
    for log_event in log_events:
        lines.add(log_event, NOW)
    (line,) = lines.pop_lines(NOW)
    alone = [
        {**log_event.fields, "task": list(log_event.fields["task"]), "ago_ms": 0}
        for log_event in log_events
    ]
    assert split_by_task(line.fields) == alone


def test_events_of_one_task_keep_their_order() -> None:
    lines = LogEventGroups()
    first, second = (TaskKey(JobId("a" * 16), 0, 0, number) for number in range(2))
    log_events = [_bound(first), _ended(first), _bound(second), _bound(first, run=2)]
    for log_event in log_events:
        lines.add(log_event, NOW)
    logged = [
        (line.name, *single["task"], single["run"])
        for line in lines.pop_lines(NOW)
        for single in split_by_task(line.fields)
    ]
    of_first = [(name, run) for name, *task, run in logged if task[-1] == 0]
    assert of_first == [("task-bound", 1), ("run-ended", 1), ("task-bound", 2)]


def test_the_report_reads_lines_of_many_tasks() -> None:
    job = "a" * 16
    tasks = [TaskKey(JobId(job), 0, 0, number) for number in range(3)]
    lines = LogEventGroups()
    log_lines = [
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
    for at, log_events in ((0.2, map(_bound, tasks)), (1.2, map(_ended, tasks))):
        for log_event in log_events:
            lines.add(log_event, NOW)
        for line in lines.pop_lines(NOW + 0.3):
            fields = json.loads(json.dumps(line.fields))
            log_lines.append(Line(at + 0.3, "e", line.name, fields))
    log_lines.append(Line(1.2, "e", "job-ended", {"job": job, "phase": "completed"}))
    (times,) = job_times(log_lines)
    assert round(times.duration_s, 2) == 1.2
    assert {cause.value: round(s, 2) for cause, s in times.seconds.items() if s > 0.001} == {
        "until a leader read it": 0.1,
        "waiting for a place": 0.1,
        "between its record and its start": 0.25,
        "at work": 0.75,
    }

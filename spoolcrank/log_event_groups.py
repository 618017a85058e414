"""Group the log events of a step's tasks within a short time into one log line.

A wide step of forty tasks is bound, ends and is paced within a few passes, and one line for each
task exceeds the limit on log lines: at some 600 starts and ends a second the log contained one
decision in six. One line for a step lists each task with its own values, so that every decision is
logged within the limit.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from spoolcrank.log_events import IMPORTANT, LogEvent
from spoolcrank.workflow import TaskKey

LOG_GROUP_INTERVAL_S = 0.5
"""Time over which log events are grouped into a line, in seconds; the line contains the age of each
event. The ends of one step have to share a line."""

MAX_TASKS_PER_LINE = 32
"""Maximum number of tasks in one line. It keeps a line below 4,096 bytes, which a pipe writes
atomically."""

_LogFunction = Callable[..., None]
_PLURALS = {"task": "tasks", "run": "runs", "runner": "runners"}
_Group = tuple[Any, ...]


class _TimedEvent(NamedTuple):
    """A log event, and when it occurred, in monotonic seconds."""

    event: LogEvent
    at: float


class LogEventGroups:
    """Log events that wait to be written, in order for each task."""

    def __init__(self) -> None:
        self._groups: dict[_Group, list[_TimedEvent]] = {}
        self._closed_groups: list[list[_TimedEvent]] = []
        self._group_of: dict[TaskKey, _Group] = {}

    def add_all(self, events: Iterable[LogEvent], now: float) -> None:
        """Add log events in their order."""
        for event in events:
            self.add(event, now)

    def add(self, event: LogEvent, now: float) -> None:
        """Add one log event; one without a task gets a line of its own."""
        task = event.fields.get("task")
        if not isinstance(task, TaskKey):
            self._closed_groups.append([_TimedEvent(event, now)])
            return
        group = _group(event, task)
        # Keep the events of one task in order: a later event must not join an earlier line.
        if self._group_of.get(task, group) != group or self._has_event(task, group):
            self._close()
        group_events = self._groups.setdefault(group, [])
        group_events.append(_TimedEvent(event, now))
        self._group_of[task] = group
        if len(group_events) >= MAX_TASKS_PER_LINE:
            self._close()

    def _has_event(self, task: TaskKey, group: _Group) -> bool:
        return any(timed.event.fields["task"] == task for timed in self._groups.get(group, ()))

    def _close(self) -> None:
        self._closed_groups += self._groups.values()
        self._groups = {}
        self._group_of = {}

    def write(self, log: _LogFunction, now: float) -> None:
        """Write the lines of all events added so far, and remove the events."""
        for line in self.pop_lines(now):
            log(line.name, important=line.name in IMPORTANT, **line.fields)

    def pop_lines(self, now: float) -> list[LogEvent]:
        """Remove all events added so far and return their lines, the earliest first."""
        self._close()
        closed_groups, self._closed_groups = self._closed_groups, []
        return [_line(timed_events, now) for timed_events in closed_groups]


def _group(event: LogEvent, task: TaskKey) -> _Group:
    """Return the values that all events of one line share: name, step, text and boolean fields."""
    shared_values = tuple(
        (name, value)
        for name, value in event.fields.items()
        if name not in _PLURALS and isinstance(value, str | bool)
    )
    return (event.name, task.job, task.round, task.step, shared_values)


def _line(timed_events: list[_TimedEvent], now: float) -> LogEvent:
    ages_ms = [round((now - timed.at) * 1000.0) for timed in timed_events]
    events = [timed.event for timed in timed_events]
    first = events[0]
    if len(events) == 1:
        return LogEvent(first.name, {**first.fields, "ago_ms": ages_ms[0]})
    task: TaskKey = first.fields["task"]
    fields: dict[str, Any] = {"step": [task.job, task.round, task.step]}
    for name, value in first.fields.items():
        if name == "task":
            fields["tasks"] = [event.fields["task"].number for event in events]
        elif name in _PLURALS or not isinstance(value, str | bool):
            fields[_PLURALS.get(name, name)] = [event.fields[name] for event in events]
        else:
            fields[name] = value
    return LogEvent(first.name, {**fields, "ago_ms": ages_ms})


def split_by_task(fields: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the fields of each event in a line, as if every task had a line of its own."""
    if "step" not in fields or "tasks" not in fields:
        return [fields]
    indices = range(len(fields["tasks"]))
    return [_fields_of_task(fields, index) for index in indices]


def _fields_of_task(fields: dict[str, Any], index: int) -> dict[str, Any]:
    split: dict[str, Any] = {"task": [*fields["step"], fields["tasks"][index]]}
    names = {plural: name for name, plural in _PLURALS.items()}
    for name, value in fields.items():
        if name in ("step", "tasks"):
            continue
        split[names.get(name, name)] = value[index] if isinstance(value, list) else value
    return split

"""Gather what one short time decides for the tasks of a step into one line of the log.

Pattern: wide steps. A step of forty tasks is bound, ends and is paced within some passes, and a
line for each task exceeds the bound on lines: at some 600 starts and ends a second the log held
one decision in six. One line of a step names each task with its own inputs, so that every decision
has its line within the bound.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from spoolcrank.notes import GRAVE, Note
from spoolcrank.workflow import TaskKey

LINES_EVERY_S = 0.5
"""Decisions of so long share a line, s; how old each is stands in it. With 0.1 s the ends of one
step still came one by one: a leader of 270 runners left out 26,571 lines of a day."""

MOST_TASKS = 32
"""Of one line. A line then stays below 4,096 bytes, which a pipe takes whole or not at all."""

_Write = Callable[..., None]
_PLURALS = {"task": "tasks", "run": "runs", "runner": "runners"}
_Group = tuple[Any, ...]


class _Told(NamedTuple):
    """A decision, and when it was made."""

    note: Note
    at: float


class NoteLines:
    """Decisions on their way to the log, in order for each task."""

    def __init__(self) -> None:
        self._groups: dict[_Group, list[_Told]] = {}
        self._closed: list[list[_Told]] = []
        self._group_of: dict[TaskKey, _Group] = {}

    def add_all(self, notes: Iterable[Note], now: float) -> None:
        """Take some decisions, in their order."""
        for note in notes:
            self.add(note, now)

    def add(self, note: Note, now: float) -> None:
        """Take one decision."""
        task = note.fields.get("task")
        if not isinstance(task, TaskKey):
            self._closed.append([_Told(note, now)])
            return
        group = _group(note, task)
        # What is told of one task stays in its order: no earlier line may take a later decision.
        if self._group_of.get(task, group) != group or self._is_told(task, group):
            self._close()
        held = self._groups.setdefault(group, [])
        held.append(_Told(note, now))
        self._group_of[task] = group
        if len(held) >= MOST_TASKS:
            self._close()

    def _is_told(self, task: TaskKey, group: _Group) -> bool:
        return any(one.note.fields["task"] == task for one in self._groups.get(group, ()))

    def _close(self) -> None:
        self._closed += self._groups.values()
        self._groups = {}
        self._group_of = {}

    def write(self, log: _Write, now: float) -> None:
        """Write the lines of all decisions taken so far."""
        for line in self.take(now):
            log(line.name, grave=line.name in GRAVE, **line.fields)

    def take(self, now: float) -> list[Note]:
        """Return the lines of all decisions taken so far, the earliest first."""
        self._close()
        closed, self._closed = self._closed, []
        return [_line(told, now) for told in closed]


def _group(note: Note, task: TaskKey) -> _Group:
    """Return what decisions have to share to stand in one line: the step, and every word."""
    words = tuple(
        (name, value)
        for name, value in note.fields.items()
        if name not in _PLURALS and isinstance(value, str | bool)
    )
    return (note.name, task.job, task.round, task.step, words)


def _line(told: list[_Told], now: float) -> Note:
    ages_ms = [round((now - one.at) * 1000.0) for one in told]
    notes = [one.note for one in told]
    first = notes[0]
    if len(notes) == 1:
        return Note(first.name, {**first.fields, "ago_ms": ages_ms[0]})
    task: TaskKey = first.fields["task"]
    fields: dict[str, Any] = {"step": [task.job, task.round, task.step]}
    for name, value in first.fields.items():
        if name == "task":
            fields["tasks"] = [note.fields["task"].number for note in notes]
        elif name in _PLURALS or not isinstance(value, str | bool):
            fields[_PLURALS.get(name, name)] = [note.fields[name] for note in notes]
        else:
            fields[name] = value
    return Note(first.name, {**fields, "ago_ms": ages_ms})


def singles(fields: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the fields of each decision in a line, as if every task had a line of its own."""
    if "step" not in fields or "tasks" not in fields:
        return [fields]
    places = range(len(fields["tasks"]))
    return [_single(fields, place) for place in places]


def _single(fields: dict[str, Any], place: int) -> dict[str, Any]:
    single: dict[str, Any] = {"task": [*fields["step"], fields["tasks"][place]]}
    names = {plural: name for name, plural in _PLURALS.items()}
    for name, value in fields.items():
        if name in ("step", "tasks"):
            continue
        single[names.get(name, name)] = value[place] if isinstance(value, list) else value
    return single

"""Join the log lines of several instances that concern one job, request or runner."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

_HIDDEN = frozenset({"timestamp", "message_type", "instance"})


class Line(NamedTuple):
    """One log line: when it was written, by whom, what happened, and what decided it."""

    at: float
    instance: str
    event: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the fields as one line."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


def lines_about(wanted: str, texts: Iterable[str]) -> list[Line]:
    """Return the lines that name `wanted` in any field, in order of time.

    Args:
        wanted: the id of a job, a runner, an instance or part of a path.
        texts: log lines; what stands before the first brace of each is passed over.
    """
    found = [line for line in parsed(texts) if _names(line, wanted)]
    return sorted(found, key=lambda line: line.at)


def parsed(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among some texts; what stands before the first brace is passed over."""
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            raw = json.loads(text[begin:])
        except ValueError:
            continue
        if isinstance(raw, dict) and "message_type" in raw:
            fields = {name: value for name, value in raw.items() if name not in _HIDDEN}
            event, instance = str(raw["message_type"]), str(raw.get("instance", ""))
            yield Line(float(raw.get("timestamp", 0.0)), instance, event, fields)


def _names(line: Line, wanted: str) -> bool:
    return any(_holds(value, wanted) for value in line.fields.values())


def _holds(value: Any, wanted: str) -> bool:
    if isinstance(value, str):
        return wanted in value
    if isinstance(value, list):
        return any(_holds(one, wanted) for one in value)
    return False

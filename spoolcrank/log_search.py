"""Find the log lines of several instances about one job, request or runner, in time order."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

_HEADER_FIELDS = frozenset({"timestamp", "message_type", "instance"})


class Line(NamedTuple):
    """One log line: its time, the instance that wrote it, its event name and its other fields."""

    at: float
    instance: str
    event: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the fields as `name=value` pairs, separated by spaces."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


def lines_about(query: str, texts: Iterable[str]) -> list[Line]:
    """Return the lines that contain `query` in any field, in time order.

    Args:
        query: The id of a job, runner or instance, or a part of a path.
        texts: The log lines. Text before the first brace of a line is ignored.
    """
    matches = [line for line in parse_lines(texts) if _matches(line, query)]
    return sorted(matches, key=lambda line: line.at)


def parse_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parse log lines and skip texts that are not log lines.

    Text before the first brace of a line is ignored.
    """
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            raw = json.loads(text[begin:])
        except ValueError:
            continue
        if isinstance(raw, dict) and "message_type" in raw:
            fields = {name: value for name, value in raw.items() if name not in _HEADER_FIELDS}
            event, instance = str(raw["message_type"]), str(raw.get("instance", ""))
            yield Line(float(raw.get("timestamp", 0.0)), instance, event, fields)


def _matches(line: Line, query: str) -> bool:
    return any(_contains(value, query) for value in line.fields.values())


def _contains(value: Any, query: str) -> bool:
    if isinstance(value, str):
        return query in value
    if isinstance(value, list):
        return any(_contains(item, query) for item in value)
    return False

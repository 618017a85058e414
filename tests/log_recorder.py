"""Collect the log lines of a simulated instance."""

from dataclasses import dataclass, field
from typing import Any


@dataclass
class LogRecorder:
    """A log that collects lines; an internal error fails the test unless it is `expected`."""

    lines: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    expected: bool = False

    def log(self, name: str, important: bool = False, **fields: Any) -> None:
        self.lines.append((name, fields))
        if name == "internal-error" and not self.expected:
            raise AssertionError(fields["trace"])

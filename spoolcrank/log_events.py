"""Define the log events of the scheduler's decisions, and which of them are important."""

from typing import Any, NamedTuple

IMPORTANT = frozenset(
    {
        "start-refused",
        "stop-refused",
        "runner-silent",
        "runner-gone",
        "runner-unlisted",
        "runner-distrusted",
        "task-hangs",
        "run-released",
        "job-ended",
        "task-given-up",
        "end-not-ours",
        "late-end",
        "run-not-ours",
        "places-nothing",
        "places-again",
        "polls-fewer",
        "polls-as-usual",
        "runners-taken-over",
        "rows-unreadable",
        "task-waits",
        "short-reserve",
    }
)
"""Names of log events that are dropped last when too many lines are logged."""


class LogEvent(NamedTuple):
    """One decision to be logged, with the values that led to it."""

    name: str
    fields: dict[str, Any]

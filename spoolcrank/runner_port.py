"""Say what the scheduler needs of the runners that carry its orders out."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from spoolcrank.orders import Answered, OrderResult, Pace, Poll, Report, Start, Stop


class Polled(NamedTuple):
    """The result of a poll; a report only where the result is DONE."""

    result: OrderResult
    report: Report | None = None


class RunnerPort(Protocol):
    """Orders to runners; each `done` is told once."""

    def start(self, order: Start, done: Callable[[Answered], None]) -> None:
        """Start a run."""

    def stop(self, order: Stop, done: Callable[[Answered], None]) -> None:
        """Stop a run, or keep it from starting."""

    def pace(self, order: Pace, done: Callable[[Answered], None]) -> None:
        """Set the speed of a run."""

    def poll(self, order: Poll, done: Callable[[Polled], None]) -> None:
        """Ask what runs and what has ended."""

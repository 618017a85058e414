"""Say what the scheduler needs of the runners that carry its orders out."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from spoolcrank.orders import Answered, Look, OrderResult, Pace, Report, Start, Stop


class Looked(NamedTuple):
    """The result of a look; a report only where the result is DONE."""

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

    def look(self, order: Look, done: Callable[[Looked], None]) -> None:
        """Ask what runs and what has ended."""

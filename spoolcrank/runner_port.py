"""Interface through which the scheduler sends orders to runners."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from spoolcrank.orders import Answered, OrderResult, Pace, Poll, Report, Start, Stop


class PollResult(NamedTuple):
    """Result of a poll; it has a report only if the result is DONE."""

    result: OrderResult
    report: Report | None = None


class RunnerPort(Protocol):
    """Sender of orders to runners; each `done` callback is called once."""

    def start(self, order: Start, done: Callable[[Answered], None]) -> None:
        """Start a run."""

    def stop(self, order: Stop, done: Callable[[Answered], None]) -> None:
        """Stop a run, or prevent its start."""

    def pace(self, order: Pace, done: Callable[[Answered], None]) -> None:
        """Set the speed of a run."""

    def poll(self, order: Poll, done: Callable[[PollResult], None]) -> None:
        """Ask a runner for its running and ended runs."""

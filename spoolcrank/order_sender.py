"""Send the leader's orders to runners and hand the answers to its decisions."""

from collections.abc import Callable

from spoolcrank.order_answers import pace_answered, start_answered, stop_answered
from spoolcrank.orders import Answered, Order, OrderResult, Pace, Poll, Start, Stop
from spoolcrank.run_control import poll_answered, poll_failed
from spoolcrank.runner_port import Polled, RunnerPort
from spoolcrank.scheduler import Scheduler

OnAnswer = Callable[[Scheduler, Order, OrderResult], None]
Guard = Callable[[Scheduler, Callable[[], None]], None]


class OrderSender:
    """The orders on their way.

    Args:
        runners: where orders go.
        clock: monotonic seconds.
        on_answer: told of each answer after the decisions have taken it.
        guard: runs a decision; what it raises ends this leader's term.

    Attributes:
        busy_s: time spent on decisions so far. An answer that waited for one was not late.
    """

    def __init__(
        self,
        runners: RunnerPort,
        clock: Callable[[], float],
        on_answer: OnAnswer,
        guard: Guard,
    ) -> None:
        self._runners = runners
        self._clock = clock
        self._on_answer = on_answer
        self._guard = guard
        self.busy_s = 0.0

    def send(self, scheduler: Scheduler, order: Order) -> None:
        """Send one order."""
        if isinstance(order, Poll):
            self._poll(scheduler, order)
        elif isinstance(order, Start):
            self._start(scheduler, order)
        elif isinstance(order, Stop):
            self._stop(scheduler, order)
        else:
            self._pace(scheduler, order)

    def _poll(self, scheduler: Scheduler, order: Poll) -> None:
        asked_at = self._clock()

        def polled(got: Polled) -> None:
            def take() -> None:
                now = self._clock()
                if got.report is not None:
                    poll_answered(scheduler, order, got.report, asked_at, now)
                else:
                    poll_failed(scheduler, order, got.result, now)

            self._take(scheduler, order, got.result, take)

        self._runners.poll(order, polled)

    def _start(self, scheduler: Scheduler, order: Start) -> None:
        sent_at, busy_s = self._clock(), self.busy_s

        def started(got: Answered) -> None:
            def take() -> None:
                now = self._clock()
                took_s = now - sent_at - (self.busy_s - busy_s)
                _watch_link(scheduler, order, got.result, took_s, now)
                start_answered(scheduler, order, got, now)

            self._take(scheduler, order, got.result, take)

        self._runners.start(order, started)

    def _stop(self, scheduler: Scheduler, order: Stop) -> None:
        def stopped(got: Answered) -> None:
            def take() -> None:
                stop_answered(scheduler, order, got, self._clock())

            self._take(scheduler, order, got.result, take)

        self._runners.stop(order, stopped)

    def _pace(self, scheduler: Scheduler, order: Pace) -> None:
        def paced(got: Answered) -> None:
            def take() -> None:
                pace_answered(scheduler, order, got, self._clock())

            self._take(scheduler, order, got.result, take)

        self._runners.pace(order, paced)

    def _take(
        self, scheduler: Scheduler, order: Order, result: OrderResult, take: Callable[[], None]
    ) -> None:
        self._guard(scheduler, take)
        self._on_answer(scheduler, order, result)


def _watch_link(
    scheduler: Scheduler, order: Start, result: OrderResult, took_s: float, now: float
) -> None:
    """Take the time of a start's answer into the window, and tell where it shrinks."""
    starts = scheduler.starts
    before = starts.limit
    if result in (OrderResult.UNKNOWN, OrderResult.NOT_DONE):
        starts.unanswered(order.task, order.run, now)
    else:
        starts.answered(order.task, order.run, took_s, now)
    if starts.limit < before:
        scheduler.note(
            "starts-held-back",
            runner=order.target.runner,
            result=result.value,
            took_ms=round(took_s * 1000.0),
            window_bytes=round(starts.limit),
            waiting=len(starts.waiting),
        )

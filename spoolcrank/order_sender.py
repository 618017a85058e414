"""Send the leader's orders to runners and apply their answers to the scheduler's state."""

from collections.abc import Callable

from spoolcrank.order_answers import pace_answered, start_answered, stop_answered
from spoolcrank.orders import Answered, Order, OrderResult, Pace, Poll, Start, Stop
from spoolcrank.run_control import poll_answered, poll_failed
from spoolcrank.runner_port import PollResult, RunnerPort
from spoolcrank.scheduler import Scheduler

OnAnswer = Callable[[Scheduler, Order, OrderResult], None]
Guard = Callable[[Scheduler, Callable[[], None]], None]


class OrderSender:
    """The leader's sender of orders.

    Args:
        runners: the port to the runners.
        clock: returns the time in monotonic seconds.
        on_answer: called after each answer was applied to the state.
        guard: runs a decision; an exception that it raises ends this leader's term.

    Attributes:
        busy_s: total time spent on decisions, in seconds. It is subtracted from the time that an
            answer took, as an answer that waited for a decision was not late.
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
        """Send one order; its answer is applied when it arrives."""
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

        def polled(answer: PollResult) -> None:
            def apply() -> None:
                now = self._clock()
                if answer.report is not None:
                    poll_answered(scheduler, order, answer.report, asked_at, now)
                else:
                    poll_failed(scheduler, order, answer.result, now)

            self._apply(scheduler, order, answer.result, apply)

        self._runners.poll(order, polled)

    def _start(self, scheduler: Scheduler, order: Start) -> None:
        sent_at, busy_before_s = self._clock(), self.busy_s

        def started(answer: Answered) -> None:
            def apply() -> None:
                now = self._clock()
                took_s = now - sent_at - (self.busy_s - busy_before_s)
                if answer.result is OrderResult.UNKNOWN:
                    scheduler.late_starts.record(order.target.runner, sent_at)
                _update_window(scheduler, order, answer.result, took_s, now)
                start_answered(scheduler, order, answer, now)

            self._apply(scheduler, order, answer.result, apply)

        self._runners.start(order, started)

    def _stop(self, scheduler: Scheduler, order: Stop) -> None:
        def stopped(answer: Answered) -> None:
            def apply() -> None:
                stop_answered(scheduler, order, answer, self._clock())

            self._apply(scheduler, order, answer.result, apply)

        self._runners.stop(order, stopped)

    def _pace(self, scheduler: Scheduler, order: Pace) -> None:
        def paced(answer: Answered) -> None:
            def apply() -> None:
                pace_answered(scheduler, order, answer, self._clock())

            self._apply(scheduler, order, answer.result, apply)

        self._runners.pace(order, paced)

    def _apply(
        self, scheduler: Scheduler, order: Order, result: OrderResult, apply: Callable[[], None]
    ) -> None:
        self._guard(scheduler, apply)
        self._on_answer(scheduler, order, result)


def _update_window(
    scheduler: Scheduler, order: Start, result: OrderResult, took_s: float, now: float
) -> None:
    """Update the start window by the time of a start's answer, and log if the window shrinks."""
    starts = scheduler.starts
    limit_before = starts.limit
    if result in (OrderResult.UNKNOWN, OrderResult.NOT_DONE):
        starts.unanswered(order.task, order.run, now)
    else:
        starts.answered(order.task, order.run, took_s, now)
    if starts.limit < limit_before:
        scheduler.log_event(
            "starts-held-back",
            runner=order.target.runner,
            result=result.value,
            took_ms=round(took_s * 1000.0),
            window_bytes=round(starts.limit),
            waiting=len(starts.waiting),
        )

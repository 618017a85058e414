"""Run actions at later times inside a circuits event loop."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, Event, handler


class Timer:
    """Action that is due at a time of the monotonic clock."""

    __slots__ = ("action", "at")

    def __init__(self, at: float, action: Callable[[], None]) -> None:
        self.at = at
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Discard the action, so that it does not run any more."""
        self.action = None


class Timers(BaseComponent):
    """Component that runs the timers of a process, which it keeps in a heap."""

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> Timer:
        """Run `action` once after `delay_s` seconds."""
        timer = Timer(time.monotonic() + delay_s, action)
        heapq.heappush(self._heap, (timer.at, next(self._count), timer))
        return timer

    def every(self, period_s: float, action: Callable[[], None]) -> None:
        """Run `action` repeatedly, `period_s` seconds after each start.

        The next run is scheduled first, so an action that raises does not end the repetition;
        circuits reports the exception.
        """

        def run_and_reschedule() -> None:
            self.after(period_s, run_and_reschedule)
            action()

        self.after(period_s, run_and_reschedule)

    @handler("generate_events", channel="*", priority=2)
    def _on_generate_events(self, event: Event) -> None:
        now = time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, _, timer = heapq.heappop(self._heap)
            if timer.action is not None:
                timer.action()
            # An action may have fired events; the poller must not sleep before they are handled.
            event.reduce_time_left(0)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - now))

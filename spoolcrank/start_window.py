"""Limit the rate of starts to what the leader's network link carries.

When wide jobs arrive together, every task's start carries the job's payload, and all starts leave
through one instance's link. A start that queues there for longer than an order's time-out counts as
unanswered, is sent again or stopped, and its task is bound again. The repeats fill the link, and
the load never falls again. Starts therefore wait at the leader, in the order of work, and a window
limits the bytes in flight by the delay of their answers, like the congestion control of one
connection: the window doubles with each round trip at first while answers are quick, and shrinks
when they are late. Tasks are bound only for what the window will soon admit, so that a waiting
start does not occupy a runner for long, and a more valuable job that arrives later can go first.

Polls, stops and paces do not wait: they are small, and leases and tail latencies depend on them.
"""

from collections import deque
from dataclasses import dataclass, field

from spoolcrank.ids import AvailabilityZone
from spoolcrank.pending_writes import BoundRun
from spoolcrank.workflow import TaskKey
from spoolcrank.zone_silence import ZoneSilence

START_OVERHEAD_BYTES = 400
"""Size of a start without payload and checkpoint, in bytes: some 250 for headers, the rest for the
body."""

INITIAL_WINDOW_BYTES = 32 * 1024
"""Initial limit on the bytes in flight, before anything is known about the link. It takes 0.26 s on
a link of 1 Mbit/s, the slowest that the platform provides, and allows 6 MB per second on a usual
one with answers after 5 ms."""

MIN_WINDOW_BYTES = 8 * 1024
"""Minimum of the window, in bytes: two starts of the largest payload. With less, the link would be
idle between them."""

MAX_WINDOW_BYTES = 4 * 1024 * 1024
"""Maximum of the window, in bytes: 0.34 s on the links of the largest instances (100 Mbit/s)."""

BIND_AHEAD_FACTOR = 1.25
"""Multiple of the window for which tasks are bound. A larger factor would occupy runners for starts
that wait for the link, and delay the jobs that arrive next."""

LATE_ANSWER_S = 0.15
"""Time after which an answer counts as late, in seconds: a quarter of an order's time-out. Answers
usually take 2 to 5 ms, and one poll answer of a busy runner does not delay a start this much."""

SHRINK_FACTOR = 0.7
"""Factor applied to the window after a late answer, at most once per round trip. The usual halving
empties the queue that causes most of the delay, which would leave the link idle."""

WINDOW_STEP_BYTES = MIN_WINDOW_BYTES
"""Bytes by which the window grows per round trip once it has been too large."""

TURN_WAIT_S = 1.0
"""Time without a start after which a job gets a turn, which is one start out of order, seconds. A
job counts as lost once it has had nothing running for 3 s while there is free capacity for it."""

TURN_INTERVAL_S = 0.25
"""Interval between turns while some waiting job can still meet its objective, seconds. With the
largest payloads, turns then use a seventh of a link of 1 Mbit/s."""

LATE_TURN_INTERVAL_S = 0.02
"""Interval between turns while only late jobs wait, seconds. Turns then use all of a link of
1 Mbit/s: the order of late jobs gains little value, and forty jobs get one start each in 2 s."""


NO_ZONE = AvailabilityZone("")


@dataclass(slots=True)
class InFlightStart:
    """A start that was sent and is not answered yet.

    Attributes:
        size: the bytes that it counts for in the window; 0 once its runner is found silent.
        sent_at: when it was sent, in monotonic seconds.
        zone: the availability zone of its runner.
    """

    size: int
    sent_at: float
    zone: AvailabilityZone


@dataclass
class StartWindow:
    """The starts of one leader that are in flight, and those that wait to be sent.

    Attributes:
        waiting: runs whose record is stored, in the order of work.
        limit: maximum bytes in flight.
        held_back: whether tasks that could be placed wait for free space in the window.
        last_turn_at: when a job last got a turn out of order, in monotonic seconds.
        zones: which availability zones answer.
    """

    waiting: deque[BoundRun] = field(default_factory=deque)
    limit: float = INITIAL_WINDOW_BYTES
    held_back: bool = False
    last_turn_at: float = -1.0
    zones: ZoneSilence = field(default_factory=ZoneSilence)
    _slow_start: bool = True
    _in_flight: dict[tuple[TaskKey, int], InFlightStart] = field(default_factory=dict)
    _in_flight_bytes: int = 0
    _last_sent_at: float = -1.0
    _last_quick_answer_at: float = -1.0
    _last_shrunk_at: float = -1.0

    @property
    def open(self) -> bool:
        """Return whether the window has free space; one start at a time may always be sent."""
        return self._in_flight_bytes < self.limit

    def may_send(self, now: float) -> bool:
        """Return whether one more start may be sent now.

        If the window is full and no start was sent for LATE_ANSWER_S, all starts in flight may be
        at silent runners. A quick answer to one more start shows whether that is so.
        """
        return self.open or (bool(self._in_flight) and now - self._last_sent_at >= LATE_ANSWER_S)

    @property
    def blocked(self) -> bool:
        """Return whether more starts would be sent, or tasks bound, if the window had space."""
        return self.held_back or bool(self.waiting)

    def silent_zones(self, now: float) -> frozenset[AvailabilityZone]:
        """Return the availability zones that appear to be partitioned now."""
        for start in self._in_flight.values():
            if now - start.sent_at >= LATE_ANSWER_S:
                self.zones.record_no_answer(start.zone, start.sent_at)
        return self.zones.silent(now)

    def sent(
        self,
        task: TaskKey,
        run: int,
        size: int,
        now: float,
        zone: AvailabilityZone = NO_ZONE,
    ) -> None:
        """Record a start that is sent now."""
        self._remove_in_flight(task, run)
        self._in_flight[task, run] = InFlightStart(size, now, zone)
        self._in_flight_bytes += size
        self._last_sent_at = now

    def _remove_in_flight(self, task: TaskKey, run: int) -> InFlightStart | None:
        start = self._in_flight.pop((task, run), None)
        if start is not None:
            self._in_flight_bytes -= start.size
        return start

    def answered(self, task: TaskKey, run: int, took_s: float, now: float) -> None:
        """Record any kind of answer to a start, `took_s` after the start was sent."""
        was_half_full = self._in_flight_bytes * 2 >= self.limit
        start = self._remove_in_flight(task, run)
        if start is None:
            return
        self.zones.answered(start.zone, start.sent_at)
        if took_s >= LATE_ANSWER_S:
            self._shrink(start, now)
            return
        self._last_quick_answer_at = now
        self._discount_silent(start)
        if was_half_full:
            growth = start.size if self._slow_start else WINDOW_STEP_BYTES * start.size / self.limit
            self.limit = min(MAX_WINDOW_BYTES, self.limit + growth)

    def _discount_silent(self, answered_start: InFlightStart) -> None:
        """Stop counting starts that were sent long before one that was answered quickly.

        Their runners are silent; the link is not full. If a zone is partitioned, starts that wait
        there for their time-out would otherwise fill the window.
        """
        for start in self._in_flight.values():
            if start.sent_at > answered_start.sent_at - LATE_ANSWER_S:
                return
            self._in_flight_bytes -= start.size
            start.size = 0

    def unanswered(self, task: TaskKey, run: int, now: float) -> None:
        """Record that a start got no answer, because of its runner or because of the link.

        The link counts as the cause only if no start was answered quickly since this one was sent:
        a partitioned zone leaves a fifth of all starts unanswered.
        """
        start = self._remove_in_flight(task, run)
        if start is None:
            return
        self.zones.record_no_answer(start.zone, start.sent_at)
        if self._last_quick_answer_at < start.sent_at:
            self._shrink(start, now)

    def _shrink(self, start: InFlightStart, now: float) -> None:
        # A start sent before the last change says nothing about the window since.
        if start.sent_at < self._last_shrunk_at:
            return
        self._last_shrunk_at = now
        self._slow_start = False
        self.limit = max(MIN_WINDOW_BYTES, self.limit * SHRINK_FACTOR)

    def bindable_bytes(self, waiting_bytes: int, now: float) -> float:
        """Return the size of the starts, in bytes, for which further tasks may be bound now.

        Tasks are bound for a quarter more than the window, so that the link is not idle while the
        store confirms their records.
        """
        bindable_bytes = BIND_AHEAD_FACTOR * self.limit - self._in_flight_bytes - waiting_bytes
        # One byte allows exactly one more start to be bound.
        return (
            max(1.0, bindable_bytes) if not waiting_bytes and self.may_send(now) else bindable_bytes
        )

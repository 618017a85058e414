"""Write log lines as JSON to standard output, without blocking and with limited memory.

Lines are collected and written in batches. Lines beyond the rate limits or the buffer are dropped
and counted. Important lines, which report failures, have a separate rate limit, so that they are
the last to be dropped.
"""

import os
import time
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from spoolcrank._timers import Timers

FLUSH_INTERVAL_S = 0.1
"""Interval between two writes, seconds; it limits the number of system calls."""

LINES_PER_S = 300.0
"""Sustained rate of ordinary lines per second; about four for each task start at peak load."""

BURST_LINES = 900.0
"""Maximum number of lines of one kind, ordinary or important, in a burst after a quiet period."""

IMPORTANT_LINES_PER_S = 100.0
"""Sustained rate of important lines, which report failures, per second."""

MAX_PENDING_BYTES = 1 << 18
"""Maximum size of the lines that wait for a slow reader, bytes; further lines are dropped."""

ATOMIC_BYTES = 4096
"""Maximum size of an atomic write to a pipe, bytes: PIPE_BUF of POSIX on Linux."""

STDOUT = 1

_encode = msgspec.json.Encoder(enc_hook=str).encode


class _RateLimiter:
    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def allow(self, now: float) -> bool:
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._per_s)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Telemetry:
    """Rate-limited logger of one process."""

    def __init__(self, timers: Timers, instance: str, out: int = STDOUT) -> None:
        self._out = out
        self._instance = instance
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._ordinary_rate = _RateLimiter(LINES_PER_S, BURST_LINES)
        self._important_rate = _RateLimiter(IMPORTANT_LINES_PER_S, BURST_LINES)
        self.left_out = 0
        self._logged_left_out = 0
        self.count: Callable[[str], None] = lambda name: None
        os.set_blocking(out, False)
        eliot.add_destinations(self._add_line)
        timers.every(FLUSH_INTERVAL_S, self.flush)

    def log(self, name: str, important: bool = False, **fields: Any) -> None:
        """Count an event, and queue its line unless the rate limit drops it."""
        self.count(name)
        rate = self._important_rate if important else self._ordinary_rate
        if not rate.allow(time.monotonic()):
            self.left_out += 1
            return
        eliot.log_message(message_type=name, **fields)

    def _add_line(self, message: dict[str, Any]) -> None:
        message.pop("task_level", None)
        message.pop("task_uuid", None)
        line = _encode({**message, "instance": self._instance}) + b"\n"
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.left_out += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def flush(self) -> None:
        """Write the pending lines until standard output would block."""
        if self.left_out != self._logged_left_out:
            self._logged_left_out = self.left_out
            eliot.log_message(message_type="lines-left-out", in_all=self.left_out)
        while self._pending:
            count, block = self._next_block()
            try:
                os.write(self._out, block)
            except BlockingIOError:
                return
            except OSError:
                self.left_out += count
            del self._pending[:count]
            self._pending_bytes -= len(block)

    def _next_block(self) -> tuple[int, bytes]:
        """Return the count and the bytes of the lines for one atomic pipe write, at least one."""
        count, size = 1, len(self._pending[0])
        while count < len(self._pending) and size + len(self._pending[count]) <= ATOMIC_BYTES:
            size += len(self._pending[count])
            count += 1
        return count, b"".join(self._pending[:count])

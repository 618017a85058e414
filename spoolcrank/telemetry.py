"""Write decisions as JSON lines to standard output, bounded and without ever waiting.

Lines are gathered and written together. What a slow reader or a flood would hold up is left
out and counted; lines about failures are the last to be left out.
"""

import os
import time
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from spoolcrank._timers import Timers

FLUSH_S = 0.1
"""Between two writes, s; one system call for all lines of that time."""

LINES_PER_S = 300.0
"""Ordinary lines a second in the long run; about four for each task start at today's peak."""

BURST_LINES = 900.0
"""Ordinary lines at once after a quiet time."""

GRAVE_LINES_PER_S = 100.0
"""Lines about failures have a rate of their own, lines a second."""

HELD_BYTES = 1 << 18
"""What waits for a slow reader, bytes; beyond it lines are left out."""

ATOMIC_BYTES = 4096
"""What one write to a pipe moves whole or not at all, bytes; from POSIX as Linux has it."""

STDOUT = 1

_encode = msgspec.json.Encoder(enc_hook=str).encode


class _Rate:
    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._at = 0.0

    def take(self, now: float) -> bool:
        self._left = min(self._burst, self._left + (now - self._at) * self._per_s)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Telemetry:
    """The log lines of one process."""

    def __init__(self, timers: Timers, instance: str, out: int = STDOUT) -> None:
        self._out = out
        self._instance = instance
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._ordinary = _Rate(LINES_PER_S, BURST_LINES)
        self._grave = _Rate(GRAVE_LINES_PER_S, BURST_LINES)
        self.left_out = 0
        self._told_left_out = 0
        self.count: Callable[[str], None] = lambda name: None
        os.set_blocking(out, False)
        eliot.add_destinations(self._take)
        timers.every(FLUSH_S, self.flush)

    def log(self, name: str, grave: bool = False, **fields: Any) -> None:
        """Write one line, if its rate allows, and count it."""
        self.count(name)
        rate = self._grave if grave else self._ordinary
        if not rate.take(time.monotonic()):
            self.left_out += 1
            return
        eliot.log_message(message_type=name, **fields)

    def _take(self, message: dict[str, Any]) -> None:
        message.pop("task_level", None)
        message.pop("task_uuid", None)
        line = _encode({**message, "instance": self._instance}) + b"\n"
        if self._held_bytes + len(line) > HELD_BYTES:
            self.left_out += 1
            return
        self._held.append(line)
        self._held_bytes += len(line)

    def flush(self) -> None:
        """Write what is held, as far as standard output takes it."""
        if self.left_out != self._told_left_out:
            self._told_left_out = self.left_out
            eliot.log_message(message_type="lines-left-out", in_all=self.left_out)
        while self._held:
            count, block = self._block()
            try:
                os.write(self._out, block)
            except BlockingIOError:
                return
            except OSError:
                self.left_out += count
            del self._held[:count]
            self._held_bytes -= len(block)

    def _block(self) -> tuple[int, bytes]:
        """Return how many lines come next, and their bytes: a pipe takes them whole or not."""
        count, size = 1, len(self._held[0])
        while count < len(self._held) and size + len(self._held[count]) <= ATOMIC_BYTES:
            size += len(self._held[count])
            count += 1
        return count, b"".join(self._held[:count])

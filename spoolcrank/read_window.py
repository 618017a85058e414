"""Limit the size of reads of a log by the time that the latest answers took.

Many instances may read the same records over one link, which also carries orders to runners and
polls of them. A large read delays all of these, and a delayed read is sent again. Reads therefore
start small and grow only while full answers arrive quickly.
"""

MIN_READ_KB = 32
"""The smallest size of a read, kB. When 24 instances of a region read this much at once, they
occupy a link of 30 Mbit/s for 0.2 s, a third of the time that an order waits for its answer."""

MAX_READ_KB = 320
"""The largest size of a read, kB: more than the largest record (256 kB)."""

FAST_ANSWER_S = 0.1
"""The time within which a full answer must arrive for the window to grow, seconds."""

SLOW_ANSWER_S = 0.25
"""The time after which a full answer shrinks the window, seconds: it waited for a busy link or
occupied it."""


class ReadWindow:
    """The size of the next read of one log, `kb`."""

    def __init__(self) -> None:
        self.kb = MIN_READ_KB

    def record_full_answer(self, took_s: float) -> None:
        """Adjust the window after an answer that left further records unread."""
        if took_s <= FAST_ANSWER_S:
            self.kb = min(MAX_READ_KB, self.kb * 2)
        elif took_s > SLOW_ANSWER_S:
            self.kb = max(MIN_READ_KB, self.kb // 2)

    def record_failure(self) -> None:
        """Reset the window to its minimum after a read without an answer."""
        self.kb = MIN_READ_KB

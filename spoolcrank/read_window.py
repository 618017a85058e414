"""Bound what one read of a log asks for by how soon the last answers came.

Many instances may read the same records over one link, which orders and polls of runners share. A
read that brings much holds all of them up, and one that is held up is sent again. So reads begin
small, and grow only while full answers come at once.
"""

LEAST_KB = 32
"""Of one read, kB: 24 instances of a region that read at once then hold a link of 30 Mbit/s up for
0.2 s, a third of what an order waits for its answer."""

MOST_KB = 320
"""Of one read, kB: more than the largest record (256)."""

QUICK_S = 0.1
"""A full answer that came within that leaves room for a larger one, s."""

SLOW_S = 0.25
"""One that took longer waited for a link or held it up, s."""


class ReadWindow:
    """How much the next read of one log asks for."""

    def __init__(self) -> None:
        self.kb = LEAST_KB

    def full(self, took_s: float) -> None:
        """Take note of an answer that left records behind."""
        if took_s <= QUICK_S:
            self.kb = min(MOST_KB, self.kb * 2)
        elif took_s > SLOW_S:
            self.kb = max(LEAST_KB, self.kb // 2)

    def failed(self) -> None:
        """Take note of a read without an answer."""
        self.kb = LEAST_KB

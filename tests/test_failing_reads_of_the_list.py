"""A leader without the list is followed although others' reads of it fail again and again."""

import itertools
from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank.store_port import NewestPage, ReadOutcome, Records
from tests.test_list_probe import MAX_HOLD_S, _fail, _lists, _port, _world

FAILED_S = 0.01
"""Time after which a read that fails does so, in seconds, as if its connection was reset."""

MAX_READ_RECORDS = 500
"""Number of records that one read returns at most; with a few only, no reader keeps up with the
entries of 24 runners while half of its reads fail."""

MAX_WAIT_S = MAX_HOLD_S / (1.0 - 0.5)
"""Longest time, in seconds, until a leader without the list is followed while half of the reads of
it fail; MAX_HOLD_S where none fails."""


def _fail_each_second(port: Any) -> None:
    """Have each second read of one topic by one instance fail at once."""
    numbers = itertools.count()
    later, read, newest = port.instance.later, port.read, port.newest

    def read_or_fail(offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        if next(numbers) % 2:
            later(FAILED_S, lambda: done(Records(ReadOutcome.FAILED)))
        else:
            read(offset, wait_ms, done)

    def newest_or_fail(after_key: str, done: Callable[[NewestPage], None]) -> None:
        if next(numbers) % 2:
            later(FAILED_S, lambda: done(NewestPage(False)))
        else:
            newest(after_key, done)

    port.read, port.newest = read_or_fail, newest_or_fail


# Guards against a leader that places nothing and is not followed: a failed read ends an attempt to
# read the list, which then begins anew with its first page.
@pytest.mark.parametrize("runners", [4, 24, 60])
def test_a_leader_without_the_list_is_followed_while_reads_fail_now_and_then(runners: int) -> None:
    world, leader = _world(instances=8, runners=runners)
    world.store.max_read_records = MAX_READ_RECORDS
    for port in _lists(world):
        _fail_each_second(port)
    _fail(_port(leader, "list"))
    world.run_until(lambda: world.leader() not in (leader, None), MAX_WAIT_S)
    assert world.violations == []

"""Followers of the log that share one link with the orders to runners behind it."""

import heapq
import itertools
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank.ids import Address
from spoolcrank.log_follower import LogFollower
from spoolcrank.platform.store import StoreLog

FOLLOWERS = 24
LINK_BYTES_PER_S = 30e6 / 8
ONE_WAY_DELAY_S = 0.02
JOBS = 104
JOB_BYTES = 4600
ORDER_TIMEOUT_S = 0.6
"""The time after which an order or a poll counts as unanswered, seconds."""

BUSY_STEPS = 60
BUSY_STEP_INTERVAL_S = 0.1
"""The interval between groups of records, seconds; 24 readers then use nine tenths of the link."""

LEASE_S = 6.0
"""The length of a lease in that region, seconds. A follower that reads a record later than this may
act on a decision that the leader has already replaced."""


class Link:
    """A link that transmits bytes in order, with the timers of the simulation."""

    def __init__(self) -> None:
        self.now = 0.0
        self.records: list[bytes] = []
        self.carried = 0
        self._free_at = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def at(self, moment: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (moment, next(self._count), act))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        self.at(self.now + delay_s, act)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = until

    def carry(self, size: int) -> float:
        """Send bytes over the link and return the time at which the last of them arrives."""
        self.carried += size
        self._free_at = max(self.now, self._free_at) + size / LINK_BYTES_PER_S
        return self._free_at + ONE_WAY_DELAY_S


class Http:
    """The HTTP client of one follower for the store behind the link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def send(self, call: HttpCall, done: Callable[[HttpResult], None]) -> None:
        query = {key: value[0] for key, value in parse_qs(urlsplit(call.path).query).items()}
        if "log-newest" in call.path:
            body = b'{"items":[],"more":false,"end":0}'
            self._link.after(ONE_WAY_DELAY_S, lambda: done(HttpResult(None, 200, {}, body)))
            return
        until = self._link.now + float(query.get("waitMs", 0)) / 1000.0
        self._read(call, int(query["fromRev"]), int(query["max_kb"]) * 1024, until, done)

    def _read(
        self,
        call: HttpCall,
        first: int,
        max_bytes: int,
        until: float,
        done: Callable[[HttpResult], None],
    ) -> None:
        link = self._link
        if len(link.records) <= first and link.now < until:
            link.after(0.01, lambda: self._read(call, first, max_bytes, until, done))
            return
        body = struct.pack(">QQ", len(link.records), 0)
        for record in link.records[first:]:
            if len(body) + len(record) > max_bytes:
                break
            body += record
        begins_at = link.carry(0)
        arrives_at = link.carry(len(body))
        asked_again = call.resend_after_s is not None and begins_at - link.now > call.resend_after_s
        if asked_again:
            link.at(link.now + (call.resend_after_s or 0.0), lambda: link.carry(len(body)) and None)
        if begins_at - link.now > call.timeout_s:
            link.after(call.timeout_s, lambda: done(HttpResult(CallFailure.TIMED_OUT)))
            return
        link.at(arrives_at, lambda: done(HttpResult(None, 200, {}, body)))


def _record(number: int) -> bytes:
    key = f"j/{number:016x}".encode()
    whole = bytes([len(key)]) + key + b"x" * JOB_BYTES
    return struct.pack(">I", len(whole)) + whole


def _following(link: Link) -> list[LogFollower]:
    """Return followers behind a link that have read the whole log, which is empty."""
    timers: Any = link
    followers = []
    for _ in range(FOLLOWERS):
        http: Any = Http(link)
        log = StoreLog(http, Address("10.0.0.9:80"), "jobs", clock=lambda: link.now)
        follower = LogFollower(log, timers, lambda: link.now, lambda news: None, lambda *_: None)
        follower.begin()
        followers.append(follower)
    link.run(2.0)
    return followers


def test_followers_of_a_far_region_do_not_delay_polls() -> None:
    """Guard against large reads of the log that delay the polls of runners over a shared link.

    The limit on the size of a read assumed that each instance had a link of its own. In a far
    region, each of 24 instances asked for a hundred new jobs in one read, 11 MB in all for a link
    of 30 Mbit/s, and asked again over a new connection after 0.3 s without data. The leader's
    polls queued behind these reads for longer than the lease, so the runners there counted as
    silent and their work was started again. This began 7 s before any traffic, in a quiet
    simulation. In one run of it with each size, reads of 32 kB broke no rule, and reads
    of 320 kB gave 40 TWICE and 144 LOST violations. With the former limit, polls wait for 8.4 s in
    this test.
    """
    link = Link()
    followers = _following(link)
    link.records += [_record(number) for number in range(JOBS)]
    waits = []
    caught_up_at = 0.0
    while link.now < 2.0 + 2 * LEASE_S:
        link.run(link.now + 0.05)
        waits.append(link.carry(1000) - link.now)
        if all(follower.copy.next_offset == JOBS for follower in followers) and not caught_up_at:
            caught_up_at = link.now - 2.0
    assert max(waits) <= ORDER_TIMEOUT_S, f"a poll waited for {max(waits):.2f} s"
    assert 0.0 < caught_up_at <= LEASE_S


def test_a_refresh_reads_no_record_twice() -> None:
    """Guard against a refresh that reads the same records as a read already in flight.

    A query for the state of a job read the log at once, in parallel with the read in flight, so
    half of the bytes were transferred twice. The link between two regions was saturated for twelve
    seconds. All runners of the far region were silent for longer than the lease without any fault,
    and their work was started again (TWICE).
    """
    link = Link()
    followers = _following(link)
    results: list[bool] = []
    for number in range(BUSY_STEPS):
        link.records += [_record(3 * number + index) for index in range(3)]
        for follower in followers[number % 3 :: 3]:
            follower.refresh(results.append)
        link.run(link.now + BUSY_STEP_INTERVAL_S)
    link.run(link.now + LEASE_S)
    log_bytes = sum(len(record) for record in link.records) * FOLLOWERS
    assert all(reader.copy.next_offset == len(link.records) for reader in followers)
    assert len(results) == BUSY_STEPS * FOLLOWERS // 3
    assert link.carried <= log_bytes * 1.1, f"{link.carried / log_bytes:.2f} times the records"

"""Reach one keyed log of the platform's store over HTTP."""

import struct
import time
from collections.abc import Callable, Iterator
from urllib.parse import urlencode

import msgspec

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank.ids import Address
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.read_window import MOST_KB, ReadWindow
from spoolcrank.reading import Unreadable, reader
from spoolcrank.store_port import (
    CALL_S,
    Append,
    Appended,
    AppendOutcome,
    NewestPage,
    ReadOutcome,
    Records,
)

KEYED = "keyed."
"""Topics whose names begin so keep the newest record of each key for good."""

AGAIN_S = 0.3
"""A read, or an append of the leader, without any answer over a kept connection for so long is
sent again over a new one, s. Nothing is done twice by it: the store gives a repeated sequence its
first answer. It is above the answers of a slow store that were seen (0.24) and lets the leader be
heard again within the 1.3 s after which others claim."""

_PRODUCER = "leader"
_LENGTH = struct.Struct(">I")
_SPAN = struct.Struct(">QQ")
_NO_HEADERS: dict[str, str] = {}


class _AppendAnswer(msgspec.Struct):
    offset: int = -1
    end: int = -1
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: bytes = b""


class _NewestAnswer(msgspec.Struct):
    # Each by itself: one that another writer made unreadable must not lose the page.
    items: list[msgspec.Raw] = []
    more: bool = False
    end: int = 0


_decode_append = reader(msgspec.json.Decoder(_AppendAnswer).decode)
_decode_newest = reader(msgspec.json.Decoder(_NewestAnswer).decode)
_decode_item = reader(msgspec.json.Decoder(_Item).decode)


def _pass_over(why: str) -> None:
    """Leave an item out where nobody asks to be told."""


class StoreLog:
    """One keyed topic of the store, whose only partition is 0.

    Args:
        http: sends the calls.
        address: of the store.
        name: of the topic, without what makes it a keyed one.
        on_unreadable: told why an item of a page is left out.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        name: str,
        on_unreadable: Callable[[str], None] = _pass_over,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._window = ReadWindow()
        self._on_unreadable = on_unreadable
        self._http = http
        self._address = address
        self._topic = {"topic": KEYED + name, "part": "0"}

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        """Append records under their conditions."""
        query = dict(self._topic)
        if append.at is not None:
            query["at"] = str(append.at)
        if append.fence is not None:
            query["producer"] = _PRODUCER
            query["epoch"] = str(append.fence.term)
            query["callSeq"] = str(append.fence.sequence)
        body = b"".join(_frame(record) for record in append.records)
        self._send("POST", "log-append", query, body, 0, lambda got: done(_appended(got)))

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        """Read from an offset on; waits for a first record."""
        asked_at = self._clock()

        def answered(got: HttpResult) -> None:
            records = _records(got, from_offset)
            if records.outcome is ReadOutcome.FAILED:
                self._window.failed()
            elif records.end > from_offset + len(records.records):
                self._window.full(self._clock() - asked_at)
            if records.records or records.end <= from_offset:
                done(records)
            else:
                # One record alone is larger than the read.
                self._ask(from_offset, MOST_KB, 0, lambda got: done(_records(got, from_offset)))

        self._ask(from_offset, self._window.kb, wait_ms, answered)

    def _ask(
        self, from_offset: int, most_kb: int, wait_ms: int, done: Callable[[HttpResult], None]
    ) -> None:
        query = {**self._topic, "fromRev": str(from_offset), "max_kb": str(most_kb)}
        if wait_ms:
            query["waitMs"] = str(wait_ms)
        self._send("GET", "log-read", query, b"", wait_ms, done)

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        """List the newest record of each key."""
        query = dict(self._topic)
        if after_key:
            query["afterRev"] = after_key
        self._send("GET", "log-newest", query, b"", 0, lambda got: done(self._page(got)))

    def _page(self, got: HttpResult) -> NewestPage:
        if got.failed is not None:
            return NewestPage(False, detail=got.failed.value)
        if got.status != 200:
            return NewestPage(False, detail=f"{got.status} {got.body[:200]!r}")
        try:
            answer = _decode_newest(got.body)
        except Unreadable as exc:
            return NewestPage(False, detail=str(exc))
        records = tuple(self._readable(answer.items))
        if answer.more and not records:
            return NewestPage(False, detail="no key to go on from")
        return NewestPage(True, records, answer.more, answer.end)

    def _readable(self, items: list[msgspec.Raw]) -> Iterator[KeyedRecord]:
        for raw in items:
            try:
                item = _decode_item(bytes(raw))
            except Unreadable as exc:
                self._on_unreadable(str(exc))
                continue
            yield KeyedRecord(item.key, item.value, item.offset)

    def _send(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        body: bytes,
        wait_ms: int,
        done: Callable[[HttpResult], None],
    ) -> None:
        path = f"/api/{call}?{urlencode(query)}"
        timeout_s = CALL_S + wait_ms / 1000.0
        # An instance that gave up a large answer on its way would begin it again for ever.
        quiet_s = CALL_S if method == "GET" else None
        again_s = AGAIN_S + wait_ms / 1000.0 if method == "GET" or "producer" in query else None
        self._http.send(
            HttpCall(self._address, method, path, _NO_HEADERS, body, timeout_s, quiet_s, again_s),
            done,
        )


def _frame(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    return _LENGTH.pack(1 + len(key) + len(record.value)) + bytes([len(key)]) + key + record.value


def _unframe(body: bytes, first: int) -> tuple[KeyedRecord, ...]:
    records: list[KeyedRecord] = []
    at = 0
    while at + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        whole = body[at : at + length]
        if len(whole) < length:
            break
        at += length
        records.append(_record(whole, first + len(records)))
    return tuple(records)


def _record(whole: bytes, offset: int) -> KeyedRecord:
    """Read one record; one whose key is cut or no text keeps its offset, under no key of ours."""
    key_end = 1 + whole[0] if whole else 1
    if key_end > len(whole):
        return KeyedRecord("", b"", offset)
    return KeyedRecord(whole[1:key_end].decode(errors="backslashreplace"), whole[key_end:], offset)


_APPEND_REFUSALS = {"fenced": AppendOutcome.FENCED, "seq": AppendOutcome.OUT_OF_ORDER}


def _appended(got: HttpResult) -> Appended:
    if got.failed is not None:
        outcome = AppendOutcome.UNKNOWN if got.sent else AppendOutcome.NOT_KEPT
        return Appended(outcome, detail=got.failed.value)
    if got.status == 412:
        return Appended(AppendOutcome.MOVED, detail="412")
    detail = f"{got.status} {got.body[:200]!r}"
    if got.status not in (200, 409):
        return Appended(AppendOutcome.NOT_KEPT, detail=detail)
    try:
        answer = _decode_append(got.body)
    except Unreadable:
        return Appended(AppendOutcome.UNKNOWN, detail=detail)
    if got.status == 200:
        return Appended(AppendOutcome.KEPT, answer.offset)
    return Appended(_APPEND_REFUSALS.get(answer.reason, AppendOutcome.UNKNOWN), detail=detail)


def _records(got: HttpResult, from_offset: int) -> Records:
    if got.failed is not None:
        return Records(ReadOutcome.FAILED, detail=got.failed.value)
    if got.status == 410:
        return Records(ReadOutcome.EXPIRED)
    if got.status != 200 or len(got.body) < _SPAN.size:
        return Records(ReadOutcome.FAILED, detail=f"{got.status} {got.body[:200]!r}")
    end, _first = _SPAN.unpack_from(got.body)
    return Records(ReadOutcome.OK, _unframe(got.body[_SPAN.size :], from_offset), end)

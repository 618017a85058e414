"""Reach one keyed log of the platform's store over HTTP."""

import struct
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank.ids import Address
from spoolcrank.keyed_log import KeyedRecord
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

READ_KB = 320
"""Of one read, kB: more than the largest record (256), and half a second on the slowest links
seen (5 Mbit/s)."""

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
    items: list[_Item] = []
    more: bool = False
    end: int = 0


_decode_append = msgspec.json.Decoder(_AppendAnswer).decode
_decode_newest = msgspec.json.Decoder(_NewestAnswer).decode


class StoreLog:
    """One keyed topic of the store, whose only partition is 0."""

    def __init__(self, http: HttpClient, address: Address, name: str) -> None:
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
        query = {**self._topic, "fromRev": str(from_offset), "max_kb": str(READ_KB)}
        if wait_ms:
            query["waitMs"] = str(wait_ms)
        self._send(
            "GET", "log-read", query, b"", wait_ms, lambda got: done(_records(got, from_offset))
        )

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        """List the newest record of each key."""
        query = dict(self._topic)
        if after_key:
            query["afterRev"] = after_key
        self._send("GET", "log-newest", query, b"", 0, lambda got: done(_newest(got)))

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
        at += length
        key_end = 1 + whole[0]
        records.append(
            KeyedRecord(whole[1:key_end].decode(), whole[key_end:], first + len(records))
        )
    return tuple(records)


_APPEND_REFUSALS = {"fenced": AppendOutcome.FENCED, "seq": AppendOutcome.OUT_OF_ORDER}


def _appended(got: HttpResult) -> Appended:
    if got.failed is not None:
        outcome = AppendOutcome.UNKNOWN if got.sent else AppendOutcome.NOT_KEPT
        return Appended(outcome, detail=got.failed.value)
    if got.status == 200:
        return Appended(AppendOutcome.KEPT, _decode_append(got.body).offset)
    if got.status == 412:
        return Appended(AppendOutcome.MOVED, detail="412")
    if got.status == 409:
        reason = _decode_append(got.body).reason
        return Appended(_APPEND_REFUSALS[reason], detail=reason)
    return Appended(AppendOutcome.NOT_KEPT, detail=f"{got.status} {got.body[:200]!r}")


def _records(got: HttpResult, from_offset: int) -> Records:
    if got.failed is not None:
        return Records(ReadOutcome.FAILED, detail=got.failed.value)
    if got.status == 410:
        return Records(ReadOutcome.EXPIRED)
    if got.status != 200 or len(got.body) < _SPAN.size:
        return Records(ReadOutcome.FAILED, detail=f"{got.status} {got.body[:200]!r}")
    end, _first = _SPAN.unpack_from(got.body)
    return Records(ReadOutcome.OK, _unframe(got.body[_SPAN.size :], from_offset), end)


def _newest(got: HttpResult) -> NewestPage:
    if got.failed is not None:
        return NewestPage(False, detail=got.failed.value)
    if got.status != 200:
        return NewestPage(False, detail=f"{got.status} {got.body[:200]!r}")
    answer = _decode_newest(got.body)
    records = tuple(KeyedRecord(item.key, item.value, item.offset) for item in answer.items)
    return NewestPage(True, records, answer.more, answer.end)

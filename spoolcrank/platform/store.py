"""Read and append to a keyed log of the platform's store over HTTP."""

import struct
import time
from collections.abc import Callable, Iterator
from urllib.parse import urlencode

import msgspec

from spoolcrank._http import HttpCall, HttpClient, HttpResult
from spoolcrank.decoding import Unreadable, raises_unreadable
from spoolcrank.ids import Address
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.read_window import MAX_READ_KB, ReadWindow
from spoolcrank.store_port import (
    CALL_TIMEOUT_S,
    Append,
    Appended,
    AppendOutcome,
    NewestPage,
    ReadOutcome,
    Records,
)

KEYED_TOPIC_PREFIX = "keyed."
"""Prefix of topics in which the store retains the newest record of each key indefinitely."""

RESEND_AFTER_S = 0.3
"""Time after which a read or a leader's append is sent again over a new connection, seconds.

This applies if a reused connection has delivered nothing. It is safe because the store answers a
repeated sequence number with its first answer. The value is above the answer time of a slow store
(0.24 s), and low enough for a heartbeat of the leader to arrive within the 1.3 s after which other
instances claim the leadership.
"""

_PRODUCER = "leader"
_FRAME_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
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
    # Items are decoded one by one: an unreadable item of another writer must not lose the page.
    items: list[msgspec.Raw] = []
    more: bool = False
    end: int = 0


_decode_append = raises_unreadable(msgspec.json.Decoder(_AppendAnswer).decode)
_decode_newest = raises_unreadable(msgspec.json.Decoder(_NewestAnswer).decode)
_decode_item = raises_unreadable(msgspec.json.Decoder(_Item).decode)


def _ignore_unreadable(why: str) -> None:
    """Ignore an unreadable item; the default for `on_unreadable`."""


class StoreLog:
    """One keyed topic of the store, which has the single partition 0.

    Args:
        http: client that sends the calls.
        address: address of the store.
        name: name of the topic, without the prefix of keyed topics.
        on_unreadable: called with the reason when an item of a page is left out.
        clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        name: str,
        on_unreadable: Callable[[str], None] = _ignore_unreadable,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._window = ReadWindow()
        self._on_unreadable = on_unreadable
        self._http = http
        self._address = address
        self._topic = {"topic": KEYED_TOPIC_PREFIX + name, "part": "0"}

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        """Append records if the expected offset and the fence, where given, still hold."""
        query = dict(self._topic)
        if append.at is not None:
            query["at"] = str(append.at)
        if append.fence is not None:
            query["producer"] = _PRODUCER
            query["epoch"] = str(append.fence.term)
            query["callSeq"] = str(append.fence.sequence)
        body = b"".join(_encode_frame(record) for record in append.records)
        self._send(
            "POST", "log-append", query, body, 0, lambda response: done(_append_result(response))
        )

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        """Read records from an offset on, waiting up to `wait_ms` for the first one."""
        asked_at = self._clock()

        def on_response(response: HttpResult) -> None:
            records = _decode_records(response, from_offset)
            if records.outcome is ReadOutcome.FAILED:
                self._window.record_failure()
            elif records.end > from_offset + len(records.records):
                self._window.record_full_answer(self._clock() - asked_at)
            if records.records or records.end <= from_offset:
                done(records)
            else:
                # The next record alone exceeds the read size, so ask for the maximum.
                self._request_records(
                    from_offset,
                    MAX_READ_KB,
                    0,
                    lambda response: done(_decode_records(response, from_offset)),
                )

        self._request_records(from_offset, self._window.kb, wait_ms, on_response)

    def _request_records(
        self, from_offset: int, max_kb: int, wait_ms: int, done: Callable[[HttpResult], None]
    ) -> None:
        query = {**self._topic, "fromRev": str(from_offset), "max_kb": str(max_kb)}
        if wait_ms:
            query["waitMs"] = str(wait_ms)
        self._send("GET", "log-read", query, b"", wait_ms, done)

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        """Read one page of the newest record of each key, after `after_key`."""
        query = dict(self._topic)
        if after_key:
            query["afterRev"] = after_key
        self._send(
            "GET", "log-newest", query, b"", 0, lambda response: done(self._newest_page(response))
        )

    def _newest_page(self, response: HttpResult) -> NewestPage:
        if response.failed is not None:
            return NewestPage(False, detail=response.failed.value)
        if response.status != 200:
            return NewestPage(False, detail=f"{response.status} {response.body[:200]!r}")
        try:
            answer = _decode_newest(response.body)
        except Unreadable as exc:
            return NewestPage(False, detail=str(exc))
        records = tuple(self._readable_records(answer.items))
        if answer.more and not records:
            return NewestPage(
                False,
                detail="the page announces more items but holds no readable key to continue after",
            )
        return NewestPage(True, records, answer.more, answer.end)

    def _readable_records(self, items: list[msgspec.Raw]) -> Iterator[KeyedRecord]:
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
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1000.0
        # A read is timed by its pauses, not as a whole: an instance that gave up a large answer
        # midway would request it again forever.
        max_pause_s = CALL_TIMEOUT_S if method == "GET" else None
        resend_after_s = (
            RESEND_AFTER_S + wait_ms / 1000.0 if method == "GET" or "producer" in query else None
        )
        self._http.send(
            HttpCall(
                self._address,
                method,
                path,
                _NO_HEADERS,
                body,
                timeout_s,
                max_pause_s,
                resend_after_s,
            ),
            done,
        )


def _encode_frame(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    return (
        _FRAME_LENGTH.pack(1 + len(key) + len(record.value))
        + bytes([len(key)])
        + key
        + record.value
    )


def _decode_frames(body: bytes, first_offset: int) -> tuple[KeyedRecord, ...]:
    records: list[KeyedRecord] = []
    position = 0
    while position + _FRAME_LENGTH.size <= len(body):
        (length,) = _FRAME_LENGTH.unpack_from(body, position)
        position += _FRAME_LENGTH.size
        frame = body[position : position + length]
        if len(frame) < length:
            break
        position += length
        records.append(_decode_record(frame, first_offset + len(records)))
    return tuple(records)


def _decode_record(frame: bytes, offset: int) -> KeyedRecord:
    """Decode one record.

    A record with a truncated or non-UTF-8 key keeps its offset, under a key that this program
    does not use.
    """
    key_end = 1 + frame[0] if frame else 1
    if key_end > len(frame):
        return KeyedRecord("", b"", offset)
    return KeyedRecord(frame[1:key_end].decode(errors="backslashreplace"), frame[key_end:], offset)


_APPEND_REFUSALS = {"fenced": AppendOutcome.FENCED, "seq": AppendOutcome.OUT_OF_ORDER}


def _append_result(response: HttpResult) -> Appended:
    if response.failed is not None:
        outcome = AppendOutcome.UNKNOWN if response.sent else AppendOutcome.NOT_STORED
        return Appended(outcome, detail=response.failed.value)
    if response.status == 412:
        return Appended(AppendOutcome.OFFSET_MISMATCH, detail="412")
    detail = f"{response.status} {response.body[:200]!r}"
    if response.status not in (200, 409):
        return Appended(AppendOutcome.NOT_STORED, detail=detail)
    try:
        answer = _decode_append(response.body)
    except Unreadable:
        return Appended(AppendOutcome.UNKNOWN, detail=detail)
    if response.status == 200:
        return Appended(AppendOutcome.STORED, answer.offset)
    return Appended(_APPEND_REFUSALS.get(answer.reason, AppendOutcome.UNKNOWN), detail=detail)


def _decode_records(response: HttpResult, from_offset: int) -> Records:
    if response.failed is not None:
        return Records(ReadOutcome.FAILED, detail=response.failed.value)
    if response.status == 410:
        return Records(ReadOutcome.EXPIRED)
    if response.status != 200 or len(response.body) < _READ_HEADER.size:
        return Records(ReadOutcome.FAILED, detail=f"{response.status} {response.body[:200]!r}")
    end, _first = _READ_HEADER.unpack_from(response.body)
    return Records(
        ReadOutcome.OK, _decode_frames(response.body[_READ_HEADER.size :], from_offset), end
    )

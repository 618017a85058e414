"""Read and append to the platform's log from a daemon.

One batch of appends is in flight at a time, and the next is sent only when every record of the
previous one was read back from the log. A lost answer is thus resolved by reading; a batch that is
sent twice is harmless, since readers drop records that they have already applied.
"""

import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from circuits import BaseComponent
from pydantic import ValidationError

from spoolcrank._http import CallFailure, HttpCall, HttpClient, HttpResult
from spoolcrank._timers import Timers
from spoolcrank.events import config_read, log_failed, log_read, snapshot_read
from spoolcrank.ids import Address, Incarnation, Offset
from spoolcrank.ledger import Ledger, load
from spoolcrank.ledger import dump as dump_ledger
from spoolcrank.logs import log
from spoolcrank.metrics import Metrics
from spoolcrank.records import (
    CONFIG_STREAM,
    CONTROL_STREAM,
    SNAPSHOT_STREAM,
    AnyRecord,
    ConfigRecord,
    Entry,
    Envelope,
    dump,
    parse_envelope,
)

MAX_QUEUED_RECORDS = 2000
MAX_APPEND_BYTES = 1 << 20
"""Maximum size of the body of one append that the log accepts, in bytes."""

_MAX_ENVELOPE_BYTES = 1 << 10
"""Maximum size of what surrounds a record in an append of its own, in bytes."""

_MAX_BATCH_RECORDS = 100
_MAX_BATCH_BYTES = MAX_APPEND_BYTES // 2
"""Size of the records of one append from which it takes no further record, in bytes."""

_HTTP_TOO_LARGE = 413
_APPEND_TIMEOUT_S = 2.0
_READ_WAIT_S = 0.5
_READ_TIMEOUT_S = 3.0
_INITIAL_RETRY_S = 0.2
_MAX_RETRY_S = 1.0
_BACKOFF_FACTOR = 1.5
_MAX_READ_RECORDS = 500
_READ_GROWTH = 20
"""Divisor of the number of records in a read by which the next read is larger after an answer."""

OnApplied = Callable[[], None]


class Snapshot(NamedTuple):
    """Ledger with the configuration that was in force when it was written."""

    ledger: Ledger
    config_version: int
    config_toml: str


class ConfigEntry(NamedTuple):
    """Configuration record with its version, which is its offset plus one."""

    version: int
    record: ConfigRecord


class _QueuedRecord(NamedTuple):
    envelope: Envelope
    text: str
    on_applied: OnApplied | None


class LogLink(BaseComponent):
    """Component that reads the log and appends records to it."""

    channel = "log"

    def __init__(
        self,
        http: HttpClient,
        timers: Timers,
        address: Address,
        writer: Incarnation,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._http = http
        self._timers = timers
        self._address = address
        self._writer = writer
        self._metrics = metrics
        self._seq = 0
        self._outbox: deque[_QueuedRecord] = deque()
        self._in_flight: list[_QueuedRecord] = []
        self._sent_at = float("-inf")
        self._scheduled = False
        self._append_delay_s = _INITIAL_RETRY_S
        self._read_delay_s = _INITIAL_RETRY_S
        self._read_records = _MAX_READ_RECORDS
        self._next_offset = Offset(0)
        self._next_config_offset = 0
        self.interval_s = 0.05
        self.retention_s = 86400.0
        self._gap_offset = -1
        self._config_read_started = False

    def begin(self) -> None:
        """Read the last snapshot, then all records after it."""
        self._read_snapshot()

    @property
    def pending_count(self) -> int:
        """Return how many records are queued or not yet read back."""
        return len(self._outbox) + len(self._in_flight)

    @property
    def next_offset(self) -> Offset:
        """Return the offset at which the next read of the control stream starts."""
        return self._next_offset

    def skip_to(self, offset: int) -> None:
        """Continue reading from a later offset, for example after a snapshot of a peer."""
        self._next_offset = Offset(max(self._next_offset, offset))

    def append(self, record: AnyRecord, on_applied: OnApplied | None = None) -> int | None:
        """Queue a record; `on_applied` is called once it was read back and applied.

        Returns:
            The record's sequence number, or None when the queue is full.
        """
        if self.pending_count >= MAX_QUEUED_RECORDS:
            self._metrics.incr("log.queue-full")
            return None
        self._seq += 1
        envelope = Envelope(writer=self._writer, seq=self._seq, at=time.time(), record=record)
        self._outbox.append(_QueuedRecord(envelope, json.dumps(dump(envelope)), on_applied))
        self._schedule()
        return self._seq

    def withdraw(self, seq: int) -> bool:
        """Remove a record from the queue; return False if it may already be on the log."""
        for queued in self._outbox:
            if queued.envelope.seq == seq:
                self._outbox.remove(queued)
                return True
        return False

    def confirm_applied(self, seq: int) -> None:
        """Record that this writer's records up to `seq` were read back and applied."""
        for queued in list(self._in_flight):
            if queued.envelope.seq <= seq:
                self._in_flight.remove(queued)
                if queued.on_applied is not None:
                    queued.on_applied()
        if not self._in_flight and self._outbox:
            self._schedule()

    def _schedule(self) -> None:
        if self._scheduled or self._in_flight or not self._outbox:
            return
        self._scheduled = True
        wait_s = max(0.0, self._sent_at + self.interval_s - time.monotonic())
        self._timers.after(wait_s, self._send_next)

    def _send_next(self) -> None:
        self._scheduled = False
        if self._in_flight or not self._outbox:
            return
        size = 0
        while self._outbox and len(self._in_flight) < _MAX_BATCH_RECORDS:
            size += len(self._outbox[0].text)
            if self._in_flight and size > _MAX_BATCH_BYTES:
                break
            self._in_flight.append(self._outbox.popleft())
        self._send_batch()

    def _send_batch(self) -> None:
        if not self._in_flight:
            return
        self._sent_at = time.monotonic()
        last_seq = self._in_flight[-1].envelope.seq
        records = ",".join(queued.text for queued in self._in_flight)
        self._metrics.incr("log.appends")
        self._metrics.incr("log.records", len(self._in_flight))
        call = HttpCall(
            self._address,
            "POST",
            f"/streams/{CONTROL_STREAM}/records",
            {"Content-Type": "application/json"},
            f'{{"records": [{records}]}}'.encode(),
            _APPEND_TIMEOUT_S,
        )
        self._http.send(call, lambda result: self._on_appended(last_seq, result))

    def _on_appended(self, last_seq: int, result: HttpResult) -> None:
        if result.ok:
            self._append_delay_s = _INITIAL_RETRY_S
            return
        reason = result.failed.value if result.failed else str(result.status)
        self._metrics.incr(f"retry.append.{reason}")
        if result.failed is None and result.status == _HTTP_TOO_LARGE:
            self._on_too_large(last_seq)
            return
        self.fire(log_failed())
        delay_s = self._append_delay_s
        self._append_delay_s = min(_MAX_RETRY_S, delay_s * _BACKOFF_FACTOR)
        self._timers.after(delay_s, lambda: self._resend(last_seq))

    def _on_too_large(self, last_seq: int) -> None:
        """Send fewer records at once; drop a single one, which would hold back all behind it."""
        if not self._in_flight or self._in_flight[-1].envelope.seq != last_seq:
            return
        if len(self._in_flight) > 1:
            kept = len(self._in_flight) // 2
            self._outbox.extendleft(reversed(self._in_flight[kept:]))
            del self._in_flight[kept:]
            self._send_batch()
            return
        for queued in self._in_flight:
            kind = queued.envelope.record.kind
            log("log.record-too-large", kind=kind, bytes=len(queued.text))
        self._in_flight.clear()
        self._schedule()

    def _resend(self, last_seq: int) -> None:
        if self._in_flight and self._in_flight[-1].envelope.seq == last_seq:
            self._send_batch()

    def _read_snapshot(self) -> None:
        call = self._read_call(SNAPSHOT_STREAM, "last=1", _READ_TIMEOUT_S)
        self._http.send(call, self._on_snapshot)

    def _on_snapshot(self, result: HttpResult) -> None:
        page = _parse_page(result)
        if page is None:
            self.fire(log_failed())
            self._timers.after(_MAX_RETRY_S, self._read_snapshot)
            return
        self.retention_s = float(page.get("retention_s", self.retention_s))
        for item in page["records"]:
            snapshot = parse_snapshot(item["record"])
            if snapshot is not None and snapshot.ledger.offset > self._next_offset:
                self.skip_to(snapshot.ledger.offset)
                self.fire(snapshot_read(snapshot))
        self._read()
        if not self._config_read_started:
            self._config_read_started = True
            self._timers.after(0.0, self._read_config)

    def _read(self) -> None:
        self._read_from(CONTROL_STREAM, self._next_offset, self._read_records, self._on_read)

    def _on_read(self, asked_at: float, result: HttpResult) -> None:
        page = _parse_page(result)
        if page is None:
            self.fire(log_failed())
            if result.failed is CallFailure.TIMED_OUT:
                # The answer may have been too long for the time limit.
                self._read_records = max(1, self._read_records // 2)
            self._timers.after(self._read_delay_s, self._read)
            self._read_delay_s = min(_MAX_RETRY_S, self._read_delay_s * _BACKOFF_FACTOR)
            return
        self._read_delay_s = _INITIAL_RETRY_S
        grown = self._read_records + max(1, self._read_records // _READ_GROWTH)
        self._read_records = min(_MAX_READ_RECORDS, grown)
        if page["first"] > self._next_offset:
            self._metrics.incr("log.gap")
            if self._gap_offset != self._next_offset:
                self._gap_offset = self._next_offset
                self._read_snapshot()
                return
        entries = _parse_entries(page, self._metrics)
        read_to = int(page["records"][-1]["offset"]) + 1 if page["records"] else self._next_offset
        self._next_offset = Offset(max(self._next_offset, read_to))
        at_end = self._next_offset >= int(page["next"])
        self.fire(log_read(entries, asked_at, at_end))
        self._timers.after(0.0, self._read)

    def _read_config(self) -> None:
        offset = self._next_config_offset
        self._read_from(CONFIG_STREAM, offset, _MAX_READ_RECORDS, self._on_config)

    def _on_config(self, asked_at: float, result: HttpResult) -> None:
        page = _parse_page(result)
        if page is None:
            self._metrics.incr("config.read-failed")
            self._timers.after(_MAX_RETRY_S, self._read_config)
            return
        config_entries = []
        self._next_config_offset = max(self._next_config_offset, int(page["first"]))
        for item in page["records"]:
            self._next_config_offset = int(item["offset"]) + 1
            try:
                record = ConfigRecord.model_validate(item["record"])
            except ValidationError:
                self._metrics.incr("config.unreadable")
                continue
            config_entries.append(ConfigEntry(int(item["offset"]) + 1, record))
        at_end = self._next_config_offset >= int(page["next"])
        self.fire(config_read(config_entries, asked_at, at_end))
        self._timers.after(0.0, self._read_config)

    def publish(self, record: ConfigRecord, done: Callable[[int | None], None]) -> None:
        """Append a configuration; `done` gets its offset, or None if no answer confirms it."""
        self._append_to_stream(CONFIG_STREAM, dump(record), done)

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Append a snapshot of the ledger without retries: the next one replaces a lost one."""
        self._append_to_stream(SNAPSHOT_STREAM, dump_snapshot(snapshot), lambda offset: None)

    def _append_to_stream(
        self, stream: str, record: dict[str, Any], done: Callable[[int | None], None]
    ) -> None:
        call = HttpCall(
            self._address,
            "POST",
            f"/streams/{stream}/records",
            {"Content-Type": "application/json"},
            json.dumps({"records": [record]}).encode(),
            _APPEND_TIMEOUT_S,
        )
        self._metrics.incr("log.appends")

        def on_result(result: HttpResult) -> None:
            done(int(json.loads(result.body)["first"]) if result.ok else None)

        self._http.send(call, on_result)

    def _read_from(
        self, stream: str, offset: int, records: int, on_result: Callable[[float, HttpResult], None]
    ) -> None:
        """Read records from an offset; `on_result` gets the time of the read and its result."""
        asked_at = time.monotonic()
        query = f"from={offset}&max={records}&wait_s={_READ_WAIT_S}"
        call = self._read_call(stream, query, _READ_TIMEOUT_S)
        self._http.send(call, lambda result: on_result(asked_at, result))

    def _read_call(self, stream: str, query: str, timeout_s: float) -> HttpCall:
        path = f"/streams/{stream}/records?{query}"
        return HttpCall(self._address, "GET", path, {}, b"", timeout_s)


def is_too_large(record: AnyRecord) -> bool:
    """Return whether a record is larger than what the log accepts in one append."""
    return len(json.dumps(dump(record))) + _MAX_ENVELOPE_BYTES > MAX_APPEND_BYTES


def _parse_page(result: HttpResult) -> dict[str, Any] | None:
    if not result.ok:
        return None
    try:
        page = json.loads(result.body)
    except ValueError:
        return None
    return page if isinstance(page, dict) and "records" in page else None


def _parse_entries(page: dict[str, Any], metrics: Metrics) -> list[Entry]:
    entries = []
    for item in page["records"]:
        try:
            entries.append(Entry(Offset(int(item["offset"])), parse_envelope(item["record"])))
        except ValidationError:
            metrics.incr("log.unreadable")
    return entries


def dump_snapshot(snapshot: Snapshot) -> dict[str, Any]:
    """Return a snapshot as plain JSON values, for `parse_snapshot`."""
    return {
        "ledger": dump_ledger(snapshot.ledger),
        "config_version": snapshot.config_version,
        "config_toml": snapshot.config_toml,
    }


def parse_snapshot(record: Any) -> Snapshot | None:
    """Return a snapshot from its JSON values, or None if they are invalid."""
    try:
        return Snapshot(
            load(record["ledger"]), int(record["config_version"]), str(record["config_toml"])
        )
    except (ValidationError, KeyError, TypeError):
        return None

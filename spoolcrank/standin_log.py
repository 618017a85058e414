"""Simulate the append-only log service of the platform, with faults that a test can inject."""

import json
import random
import time
from enum import Enum
from typing import Any
from urllib.parse import unquote

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from spoolcrank._runtime import Runtime, print_ready
from spoolcrank._web import HttpReply, HttpRequest, Reply, json_reply
from spoolcrank.ids import Address

_MAX_READ_RECORDS = 500
_MAX_WAIT_S = 30.0


class FaultMode(Enum):
    """The kind of fault that the service shows."""

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


class Faults(BaseModel):
    """The fault in force.

    Attributes:
        rate: Share of the appends that take effect but get no answer in the mode `lose-answers`.
        delay_ms: Delay before each request to a stream is handled in the mode `slow`.
        seed: Seed of the choice of the lost answers.
    """

    model_config = ConfigDict(extra="ignore")

    mode: FaultMode = FaultMode.OK
    rate: float = Field(default=0.3, ge=0, le=1)
    delay_ms: float = Field(default=500.0, ge=0)
    seed: int = 1


class _Stream:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[float, Any]] = []
        self.waiters: list[_Waiter] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def expire(self, before: float) -> None:
        while self.records and self.records[0][0] < before:
            self.records.pop(0)
            self.first += 1


class _Waiter:
    def __init__(self, start: int, max_records: int, reply: Reply) -> None:
        self.start = start
        self.max_records = max_records
        self.reply: Reply | None = reply


class LogStandin:
    """Log service that holds its streams in memory."""

    def __init__(self, runtime: Runtime, listen: Address, retention_s: float) -> None:
        self._timers = runtime.timers
        self._retention_s = retention_s
        self._streams: dict[str, _Stream] = {}
        self._faults = Faults()
        self._random = random.Random(1)
        self._append_count = 0
        self._record_count = 0
        self.web = runtime.serve(listen, self.answer)
        self._timers.every(1.0, self._expire)

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one request, or lose its answer if the fault in force says so."""
        parts = [unquote(part) for part in req.path.strip("/").split("/")]
        if parts == ["faults"]:
            self._set_faults(req, reply)
        elif parts == ["stats"]:
            reply(json_reply(200, self._stats()))
        elif self._faults.mode is FaultMode.DOWN:
            reply(json_reply(503, {"error": "down"}))
        elif len(parts) == 3 and parts[0] == "streams" and parts[2] == "records":
            self._delay_if_slow(lambda: self._serve_stream(parts[1], req, reply))
        else:
            reply(json_reply(404, {"error": "no such path"}))

    def _delay_if_slow(self, action: Any) -> None:
        if self._faults.mode is FaultMode.SLOW:
            self._timers.after(self._faults.delay_ms / 1000, action)
        else:
            action()

    def _serve_stream(self, name: str, req: HttpRequest, reply: Reply) -> None:
        stream = self._streams.setdefault(name, _Stream())
        if req.method == "POST":
            self._append(stream, req, reply)
        else:
            self._read(stream, req, reply)

    def _append(self, stream: _Stream, req: HttpRequest, reply: Reply) -> None:
        try:
            records = json.loads(req.body)["records"]
        except (ValueError, KeyError, TypeError):
            reply(json_reply(400, {"error": "records expected"}))
            return
        first = stream.end
        stream.records += [(time.time(), record) for record in records]
        self._append_count += 1
        self._record_count += len(records)
        self._wake_waiters(stream)
        loses_answers = self._faults.mode is FaultMode.LOSE_ANSWERS
        if loses_answers and self._random.random() < self._faults.rate:
            return
        reply(json_reply(200, {"first": first, "next": stream.end}))

    def _read(self, stream: _Stream, req: HttpRequest, reply: Reply) -> None:
        try:
            last = int(req.query.get("last", "0"))
            start = int(req.query.get("from", str(max(stream.first, stream.end - last))))
            max_records = min(int(req.query.get("max", str(_MAX_READ_RECORDS))), _MAX_READ_RECORDS)
            wait_s = min(float(req.query.get("wait_s", "0")), _MAX_WAIT_S)
        except ValueError:
            reply(json_reply(400, {"error": "numbers expected"}))
            return
        if start < stream.end or wait_s <= 0:
            reply(self._page(stream, start, max_records))
            return
        waiter = _Waiter(start, max_records, reply)
        stream.waiters.append(waiter)
        self._timers.after(wait_s, lambda: self._serve_waiter(stream, waiter))

    def _serve_waiter(self, stream: _Stream, waiter: _Waiter) -> None:
        if waiter.reply is None:
            return
        reply, waiter.reply = waiter.reply, None
        if waiter in stream.waiters:
            stream.waiters.remove(waiter)
        if self._faults.mode is FaultMode.DOWN:
            reply(json_reply(503, {"error": "down"}))
        else:
            reply(self._page(stream, waiter.start, waiter.max_records))

    def _wake_waiters(self, stream: _Stream) -> None:
        for waiter in list(stream.waiters):
            self._serve_waiter(stream, waiter)

    def _page(self, stream: _Stream, start: int, max_records: int) -> HttpReply:
        start = max(start, stream.first)
        page = stream.records[start - stream.first : start - stream.first + max_records]
        records = [
            {"offset": start + index, "record": record} for index, (_, record) in enumerate(page)
        ]
        body = {
            "records": records,
            "first": stream.first,
            "next": stream.end,
            "retention_s": self._retention_s,
        }
        return json_reply(200, body)

    def _set_faults(self, req: HttpRequest, reply: Reply) -> None:
        try:
            self._faults = Faults.model_validate_json(req.body)
        except ValidationError as exc:
            reply(json_reply(400, {"error": str(exc)}))
            return
        self._random = random.Random(self._faults.seed)
        if self._faults.mode is FaultMode.DOWN:
            for stream in self._streams.values():
                self._wake_waiters(stream)
        reply(json_reply(200, {"mode": self._faults.mode.value}))

    def _stats(self) -> dict[str, Any]:
        ends = {name: stream.end for name, stream in self._streams.items()}
        return {"appends": self._append_count, "records": self._record_count, "streams": ends}

    def _expire(self) -> None:
        before = time.time() - self._retention_s
        for stream in self._streams.values():
            stream.expire(before)


def run(listen: Address, retention_s: float) -> None:
    """Run the stand-in until the process is stopped."""
    runtime = Runtime()
    log = LogStandin(runtime, listen, retention_s)
    print_ready(role="log", listen=f"{log.web.host}:{log.web.port}")
    runtime.run_here()

"""Stand in for a backend server instance: a worker and, with a service, a runner.

Its batch tasks slow its runner by a stated table, which the system under test never sees.
"""

import random
import time
import tomllib
from collections import deque
from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from spoolcrank._runtime import Runtime, print_ready
from spoolcrank._standin_worker import WorkerModel
from spoolcrank._web import HttpReply, HttpRequest, Reply, json_reply
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId, ServiceName, unique
from spoolcrank.resources import Resources
from spoolcrank.worker import BY_PATH, Refused

_ADVANCE_S = 0.02
_JITTER = 0.2
_SLOT_PROCESSORS = 1.0
_SLOT_MEMORY_MB = 256.0


class BackendSettings(NamedTuple):
    """What one stand-in is started with."""

    instance_id: InstanceId
    availability_zone: AvailabilityZone
    listen: Address
    capacity: Resources
    service: ServiceName = ServiceName("")
    slots: int = 8
    service_time_ms: float = 20.0
    slowdowns: dict[str, float] = {}
    speed: float = 1.0
    report_lag_s: float = 1.0
    fail_all: bool = False
    seed: int = 1


class BackendFaults(BaseModel):
    """Faults to order: `silent` answers nothing but the journal, `slow` stretches the runner."""

    model_config = ConfigDict(extra="ignore")

    silent: bool = False
    runner_errors: bool = False
    stretch: float = Field(default=1.0, ge=0.01, le=1000)
    fail_all: bool = False


class _RunnerRequest(NamedTuple):
    request_id: str
    key: str
    body: bytes
    reply: Reply


class _Runner:
    """Answer a service's requests, a bounded number at a time."""

    def __init__(self, backend: "BackendStandin", settings: BackendSettings) -> None:
        self._backend = backend
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._queue: deque[_RunnerRequest] = deque()
        self.busy = 0
        self.peak = 0
        self.journal: list[dict[str, Any]] = []

    def take(self, req: _RunnerRequest) -> None:
        self._queue.append(req)
        self.peak = max(self.peak, self.busy + len(self._queue))
        self._begin()

    def _begin(self) -> None:
        while self._queue and self.busy < self._settings.slots:
            req = self._queue.popleft()
            self.busy += 1
            self._backend.runner_uses(self.busy)
            entry = {
                "request_id": req.request_id,
                "key": req.key,
                "start": time.time(),
                "end": None,
                "answered": False,
            }
            self.journal.append(entry)
            self._backend.after(self._service_s(), lambda r=req, e=entry: self._finish(r, e))

    def _service_s(self) -> float:
        jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        return self._settings.service_time_ms / 1000 * jitter * self._backend.stretch()

    def _finish(self, req: _RunnerRequest, entry: dict[str, Any]) -> None:
        self.busy -= 1
        self._backend.runner_uses(self.busy)
        entry["end"] = time.time()
        entry["answered"] = True
        body = {
            "instance": self._settings.instance_id,
            "request_id": req.request_id,
            "body": req.body.decode("utf-8", "replace"),
        }
        req.reply(json_reply(200, body, {"Spoolcrank-Request-Id": req.request_id}))
        self._begin()


class BackendStandin:
    """One backend server instance."""

    def __init__(self, runtime: Runtime, settings: BackendSettings) -> None:
        self._settings = settings
        self._faults = BackendFaults(fail_all=settings.fail_all)
        self.after = runtime.timers.after
        self.worker = WorkerModel(
            incarnation=Incarnation(unique(settings.instance_id)),
            capacity=settings.capacity,
            speed=settings.speed,
            report_lag_s=settings.report_lag_s,
            fail_all=settings.fail_all,
        )
        self.runner_uses(0)
        self._runner = _Runner(self, settings)
        self.web = runtime.serve(settings.listen, self.answer)
        runtime.timers.every(_ADVANCE_S, lambda: self.worker.advance(time.time()))

    def runner_uses(self, busy: int) -> None:
        """Let the worker know what the runner takes: processors by use, memory for all slots."""
        settings = self._settings
        if settings.service:
            self.worker.service_uses = Resources(
                busy * _SLOT_PROCESSORS, settings.slots * _SLOT_MEMORY_MB, 0
            )

    def stretch(self) -> float:
        """Return the factor on the runner's service time at this moment."""
        slowdown = self.worker.slowdown(lambda name: self._settings.slowdowns.get(name, 0.0))
        return slowdown * self._faults.stretch / self._settings.speed

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one request."""
        if req.path == "/journal":
            reply(json_reply(200, self._journal()))
        elif req.path == "/faults":
            self._set_faults(req, reply)
        elif self._faults.silent:
            return
        elif req.path in BY_PATH:
            reply(self._obey(req))
        elif req.path == "/health":
            reply(json_reply(200, {"instance": self._settings.instance_id}))
        elif self._settings.service:
            self._run_request(req, reply)
        else:
            reply(json_reply(404, {"error": "no such path"}))

    def _obey(self, req: HttpRequest) -> HttpReply:
        try:
            cmd = BY_PATH[req.path].validate_json(req.body)
        except ValidationError as exc:
            return json_reply(400, {"error": str(exc)})
        answer = self.worker.obey(cmd, time.time())
        status = 409 if isinstance(answer, Refused) else 200
        return json_reply(status, answer.model_dump(mode="json"))

    def _run_request(self, req: HttpRequest, reply: Reply) -> None:
        if self._faults.runner_errors:
            reply(json_reply(500, {"error": "runner failed"}))
            return
        self._runner.take(
            _RunnerRequest(
                request_id=req.headers.get("spoolcrank-request-id", ""),
                key=req.headers.get("idempotency-key", ""),
                body=req.body,
                reply=reply,
            )
        )

    def _set_faults(self, req: HttpRequest, reply: Reply) -> None:
        try:
            self._faults = BackendFaults.model_validate_json(req.body)
        except ValidationError as exc:
            reply(json_reply(400, {"error": str(exc)}))
            return
        self.worker.fail_all = self._faults.fail_all
        reply(json_reply(200, self._faults.model_dump()))

    def _journal(self) -> dict[str, Any]:
        now = time.time()
        self.worker.advance(now)
        return {
            "instance": self._settings.instance_id,
            "availability_zone": self._settings.availability_zone,
            "requests": self._runner.journal,
            "runner_peak": self._runner.peak,
            "slots": self._settings.slots if self._settings.service else 0,
            "runs": [run._asdict() for run in self.worker.journal(now)],
            "overcommits": [item._asdict() for item in self.worker.overcommits],
            "overuse_s": round(self.worker.overuse_s, 3),
            "owner": self.worker.owner,
            "epoch": self.worker.epoch,
        }


def read_slowdowns(path: str, service: ServiceName) -> dict[str, float]:
    """Return task class -> added slowdown of `service` from an interference file.

    The file has `[[slowdown]]` tables with `service`, `task_class` and `factor`.
    """
    with open(path, "rb") as file:
        table = tomllib.load(file)
    return {
        str(row["task_class"]): float(row["factor"])
        for row in table.get("slowdown", [])
        if row.get("service", service) == service
    }


def run(settings: BackendSettings) -> None:
    """Run the stand-in as a process."""
    runtime = Runtime()
    backend = BackendStandin(runtime, settings)
    listen = f"{backend.web.host}:{backend.web.port}"
    print_ready(role="backend", instance=settings.instance_id, listen=listen)
    runtime.run_here()

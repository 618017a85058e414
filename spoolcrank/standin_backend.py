"""Simulate a backend server instance: a worker and, with a service, a runner.

Its batch tasks slow down its runner according to a table that the system under test cannot see.
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
from spoolcrank.worker import ADAPTERS_BY_PATH, Refused

_ADVANCE_INTERVAL_S = 0.02
_SERVICE_TIME_JITTER = 0.2
_SLOT_PROCESSORS = 1.0
_SLOT_MEMORY_MB = 256.0


class BackendSettings(NamedTuple):
    """The settings that one stand-in is started with."""

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
    """Faults that a test can inject.

    Attributes:
        silent: Leave all requests unanswered, except those for the journal and the faults.
        runner_errors: Answer all requests to the service with status 500.
        stretch: Factor on the service time of the runner.
        fail_all: Let every attempt fail soon after its start.
    """

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
    """Process the requests of a service, as many at a time as there are slots."""

    def __init__(self, backend: "BackendStandin", settings: BackendSettings) -> None:
        self._backend = backend
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._queue: deque[_RunnerRequest] = deque()
        self.busy = 0
        self.peak = 0
        self.journal: list[dict[str, Any]] = []

    def enqueue(self, req: _RunnerRequest) -> None:
        self._queue.append(req)
        self.peak = max(self.peak, self.busy + len(self._queue))
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._queue and self.busy < self._settings.slots:
            req = self._queue.popleft()
            self.busy += 1
            self._backend.set_busy_slots(self.busy)
            entry = {
                "request_id": req.request_id,
                "key": req.key,
                "start": time.time(),
                "end": None,
                "answered": False,
            }
            self.journal.append(entry)
            self._backend.after(self._service_time_s(), lambda r=req, e=entry: self._finish(r, e))

    def _service_time_s(self) -> float:
        jitter = self._random.uniform(1 - _SERVICE_TIME_JITTER, 1 + _SERVICE_TIME_JITTER)
        return self._settings.service_time_ms / 1000 * jitter * self._backend.stretch()

    def _finish(self, req: _RunnerRequest, entry: dict[str, Any]) -> None:
        self.busy -= 1
        self._backend.set_busy_slots(self.busy)
        entry["end"] = time.time()
        entry["answered"] = True
        body = {
            "instance": self._settings.instance_id,
            "request_id": req.request_id,
            "body": req.body.decode("utf-8", "replace"),
        }
        req.reply(json_reply(200, body, {"Spoolcrank-Request-Id": req.request_id}))
        self._fill_slots()


class BackendStandin:
    """A simulated backend server instance."""

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
        self.set_busy_slots(0)
        self._runner = _Runner(self, settings)
        self.web = runtime.serve(settings.listen, self.answer)
        runtime.timers.every(_ADVANCE_INTERVAL_S, lambda: self.worker.advance(time.time()))

    def set_busy_slots(self, busy: int) -> None:
        """Set the resources that the runner uses, as the worker accounts for them.

        The runner uses processors for its busy slots and memory for all its slots.
        """
        settings = self._settings
        if settings.service:
            self.worker.service_usage = Resources(
                busy * _SLOT_PROCESSORS, settings.slots * _SLOT_MEMORY_MB, 0
            )

    def stretch(self) -> float:
        """Return the current factor on the service time of the runner."""
        slowdown = self.worker.slowdown(lambda name: self._settings.slowdowns.get(name, 0.0))
        return slowdown * self._faults.stretch / self._settings.speed

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one request, or leave it unanswered while the instance is silent."""
        if req.path == "/journal":
            reply(json_reply(200, self._journal()))
        elif req.path == "/faults":
            self._set_faults(req, reply)
        elif self._faults.silent:
            return
        elif req.path in ADAPTERS_BY_PATH:
            reply(self._execute_command(req))
        elif req.path == "/health":
            reply(json_reply(200, {"instance": self._settings.instance_id}))
        elif self._settings.service:
            self._run_request(req, reply)
        else:
            reply(json_reply(404, {"error": "no such path"}))

    def _execute_command(self, req: HttpRequest) -> HttpReply:
        try:
            cmd = ADAPTERS_BY_PATH[req.path].validate_json(req.body)
        except ValidationError as exc:
            return json_reply(400, {"error": str(exc)})
        answer = self.worker.execute(cmd, time.time())
        status = 409 if isinstance(answer, Refused) else 200
        return json_reply(status, answer.model_dump(mode="json"))

    def _run_request(self, req: HttpRequest, reply: Reply) -> None:
        if self._faults.runner_errors:
            reply(json_reply(500, {"error": "runner failed"}))
            return
        self._runner.enqueue(
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
    """Return the slowdown that each task class adds to a service, from an interference file.

    The file is TOML and has `[[slowdown]]` tables with `service`, `task_class` and `factor`. A
    table without `service` applies to every service.
    """
    with open(path, "rb") as file:
        table = tomllib.load(file)
    return {
        str(row["task_class"]): float(row["factor"])
        for row in table.get("slowdown", [])
        if row.get("service", service) == service
    }


def run(settings: BackendSettings) -> None:
    """Run the stand-in until the process is stopped."""
    runtime = Runtime()
    backend = BackendStandin(runtime, settings)
    listen = f"{backend.web.host}:{backend.web.port}"
    print_ready(role="backend", instance=settings.instance_id, listen=listen)
    runtime.run_here()

"""Clients with persistent connections, and their record of the answers that they received."""

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from tests.soak.fleet import HOST, PREFIX, Fleet

PAUSE_S = 0.12
CALL_TIMEOUT_S = 3.0
MIN_CUT_DELAY_S = 0.2
"""Time after sending a whole request from which a closed connection counts as a cut, in seconds."""


class SubmitOutcome(Enum):
    """What a client knows of one attempt to submit a job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


class CutRequest(NamedTuple):
    """A request that was sent completely and whose connection ended without an answer."""

    instance: str
    sent_at: float
    cut_at: float


@dataclass
class SubmittedJob:
    """What the client knows of one job."""

    spec: str
    outcomes: list[SubmitOutcome] = field(default_factory=list)
    cancelled_at: float | None = None
    cancel_attempted: bool = False

    @property
    def accepted(self) -> bool:
        return SubmitOutcome.ACCEPTED in self.outcomes

    @property
    def certainly_refused(self) -> bool:
        return bool(self.outcomes) and all(
            outcome is SubmitOutcome.REFUSED for outcome in self.outcomes
        )


class Connection:
    """A persistent connection to one instance; the next call after a failure opens a new one."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self._address = address
        self._conn: http.client.HTTPConnection | None = None
        self.cuts: list[CutRequest] = []

    def call(self, method: str, job: str, body: str = "") -> int | None:
        """Return the status, 0 if the request was not sent completely, None if no answer came."""
        sent_at = 0.0
        try:
            if self._conn is None:
                self._conn = http.client.HTTPConnection(self._address, timeout=CALL_TIMEOUT_S)
                self._conn.connect()
            self._conn.request(method, PREFIX + job, body or None, {"Host": HOST})
            sent_at = time.monotonic()
            answer = self._conn.getresponse()
            answer.read()
        except TimeoutError:
            self.close()
            return None if sent_at else 0
        except (OSError, http.client.HTTPException):
            now = time.monotonic()
            if sent_at and now - sent_at > MIN_CUT_DELAY_S:
                self.cuts.append(CutRequest(self.name, sent_at, now))
            self.close()
            return None if sent_at else 0
        if answer.will_close:
            self.close()
        return int(answer.status)

    def close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None


class Callers:
    """Client threads, one per instance, that submit, query and cancel jobs until `stop()`."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.jobs: dict[str, SubmittedJob] = {}
        self.connections: list[Connection] = []
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run_client, args=(conn, seed * 100 + number), daemon=True)
            for number, conn in enumerate(self._connect(fleet))
        ]

    def _connect(self, fleet: Fleet) -> list[Connection]:
        self.connections = [
            Connection(instance.name, instance.front) for instance in fleet.instances
        ]
        return self.connections

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(CALL_TIMEOUT_S + 2)

    def _run_client(self, conn: Connection, seed: int) -> None:
        chance = random.Random(seed)
        own_jobs: list[str] = []
        while not self._stop.wait(PAUSE_S * chance.uniform(0.5, 1.5)):
            draw = chance.random()
            if draw < 0.45 or not own_jobs:
                job = f"{chance.getrandbits(64):016x}"
                own_jobs.append(job)
                self.submit(conn, job, chance.randint(1, 3))
            elif draw < 0.55:
                self.submit(conn, own_jobs[-1], 0)
            elif draw < 0.62:
                self._cancel(conn, chance.choice(own_jobs))
            else:
                conn.call("GET", chance.choice(own_jobs))

    def submit(self, conn: Connection, job: str, width: int, kind: str = "work") -> None:
        """Submit a job; a job that was submitted before is sent again unchanged."""
        with self._lock:
            submitted = self.jobs.setdefault(job, SubmittedJob(""))
        if not submitted.spec:
            submitted.spec = f"{kind}-{width}-{job}"
        status = conn.call("POST", job, _body(submitted.spec))
        outcome_of_status = {
            0: SubmitOutcome.NOT_SENT,
            200: SubmitOutcome.ACCEPTED,
            429: SubmitOutcome.REFUSED,
            503: SubmitOutcome.REFUSED,
        }
        submitted.outcomes.append(
            SubmitOutcome.UNKNOWN
            if status is None
            else outcome_of_status.get(status, SubmitOutcome.UNKNOWN)
        )

    def _cancel(self, conn: Connection, job: str) -> None:
        submitted = self.jobs[job]
        submitted.cancel_attempted = True
        if conn.call("DELETE", job) == 200 and submitted.cancelled_at is None:
            submitted.cancelled_at = time.monotonic()


def _body(spec: str) -> str:
    kind, width, _ = spec.split("-")
    first = {"count": int(width), "cpu": 1000, "memMb": 100, "estimateMs": 800}
    if kind == "lasting":
        steps = [{**first, "longRunning": True}]
    elif kind == "crashing":
        steps = [first]
    else:
        steps = [first, {**first, "count": 1, "afterRev": [0]}]
    return json.dumps({"spec": spec, "steps": steps})

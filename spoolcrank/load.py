"""Generate load: send requests and jobs at a fixed rate and check every answer."""

import json
import queue
import random
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from spoolcrank._runtime import address_of_url, split_address
from spoolcrank.ids import unique

_SENDER_THREADS = 96
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_HTTP_TIMEOUT_S = 30.0
HIGH_URGENCY = 9
NORMAL_URGENCY = 3


class LoadPlan(NamedTuple):
    """The load to generate.

    Attributes:
        rate: Requests per second, over all entry instances.
        keyed_share: Share of requests with an idempotency key, which are marked not repeatable.
        urgent_share: Share of requests of the highest urgency.
        job_rate: Jobs per second.
        job: The job to submit, as the body of `POST /jobs`.
        retry: Whether to resend a refused request whose answer says that it did not run.
    """

    entries: list[str]
    service: str
    rate: float
    duration_s: float
    deadline_ms: float = 2000.0
    keyed_share: float = 0.0
    urgent_share: float = 0.2
    job_rate: float = 0.0
    job: dict[str, Any] = {}
    retry: bool = False
    seed: int = 1


class RequestResult(NamedTuple):
    """The result of one request as its caller recorded it.

    Attributes:
        outcome: `ok`, the error kind of a refusal, or the kind of the transport error.
        told: What the answer says about the request: `ran`, `not-run` or `unknown`.
        whole: Whether the answer is complete and belongs to this request; for a refusal, whether it
            has a request id.
        at: Time at which the request was due to be sent, Unix seconds; `latency_s` is measured
            from then, so that it includes the wait for a sender.
    """

    nonce: str
    key: str
    request_id: str
    outcome: str
    told: str
    whole: bool
    urgent: bool
    at: float
    latency_s: float


class LoadReport:
    """The results of all requests and job submissions of one load."""

    def __init__(self) -> None:
        self.request_results: list[RequestResult] = []
        self.jobs: list[str] = []
        self.jobs_refused = 0

    @property
    def answered(self) -> list[RequestResult]:
        """Return the results of the requests that the service answered."""
        return [result for result in self.request_results if result.outcome == "ok"]

    @property
    def broken(self) -> list[RequestResult]:
        """Return the results whose answer was incomplete or belonged to another request."""
        return [result for result in self.request_results if not result.whole]

    def percentiles(self, urgent: bool | None = None) -> dict[str, float]:
        """Return the latency percentiles of the answered requests, in milliseconds.

        `urgent` selects the urgent or the other requests; None selects all.
        """
        histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        for result in self.answered:
            if urgent is None or result.urgent == urgent:
                histogram.record_value(max(1, int(result.latency_s * 1e6)))
        return {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in _PERCENTILES}

    def outcomes(self) -> dict[str, int]:
        """Return the number of requests with each outcome."""
        return dict(Counter(result.outcome for result in self.request_results))

    def summary(self) -> dict[str, Any]:
        """Return the report as plain JSON values."""
        return {
            "requests": len(self.request_results),
            "answered": len(self.answered),
            "broken": len(self.broken),
            "outcomes": self.outcomes(),
            "latency_ms": self.percentiles(),
            "urgent_latency_ms": self.percentiles(urgent=True),
            "jobs": len(self.jobs),
            "jobs_refused": self.jobs_refused,
        }


class _Sender:
    """One thread that sends requests over its own persistent connections."""

    def __init__(self, plan: LoadPlan, report: LoadReport, lock: threading.Lock) -> None:
        self._plan = plan
        self._report = report
        self._lock = lock
        self._conns: dict[str, HTTPConnection] = {}

    def run(self, work: "queue.Queue[_ScheduledRequest | None]") -> None:
        while (request := work.get()) is not None:
            result = self._send(request)
            while self._plan.retry and result.told == "not-run" and self._may_retry(request):
                time.sleep(0.05)
                result = self._send(request)
            with self._lock:
                self._report.request_results.append(result)

    def _may_retry(self, request: "_ScheduledRequest") -> bool:
        return time.time() - request.at < self._plan.deadline_ms / 1000

    def _send(self, request: "_ScheduledRequest") -> RequestResult:
        headers = {
            "Spoolcrank-Deadline-Ms": str(self._plan.deadline_ms),
            "Spoolcrank-Urgency": str(HIGH_URGENCY if request.urgent else NORMAL_URGENCY),
            "Spoolcrank-Repeatable": "no" if request.key else "yes",
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        outcome, run_status, request_id, whole = "no-connection", "unknown", "", True
        # The instance may have closed a reused connection: then try again over a new one.
        for _ in range(2):
            conn, is_new = self._connection(request.entry)
            try:
                conn.request("POST", f"/services/{self._plan.service}/", request.nonce, headers)
                res = conn.getresponse()
                body = res.read()
                request_id = res.headers.get("Spoolcrank-Request-Id", "")
                outcome, run_status, whole = _classify_answer(
                    res.status, res.headers, body, request, request_id
                )
                break
            except (OSError, HTTPException) as exc:
                conn.close()
                self._conns.pop(request.entry, None)
                outcome = type(exc).__name__
                if is_new or not isinstance(exc, ConnectionError | HTTPException):
                    break
        latency_s = time.time() - request.at
        return RequestResult(
            request.nonce,
            request.key,
            request_id,
            outcome,
            run_status,
            whole,
            request.urgent,
            request.at,
            latency_s,
        )

    def _connection(self, entry: str) -> tuple[HTTPConnection, bool]:
        conn = self._conns.get(entry)
        if conn is not None:
            return conn, False
        host, port = split_address(address_of_url(entry))
        conn = HTTPConnection(host, port, timeout=_HTTP_TIMEOUT_S)
        self._conns[entry] = conn
        return conn, True


def _classify_answer(
    status: int, headers: Any, body: bytes, request: "_ScheduledRequest", request_id: str
) -> tuple[str, str, bool]:
    """Return the outcome, what the answer says about the request, and whether it is whole."""
    kind = headers.get("Spoolcrank-Error")
    if kind:
        return kind, headers.get("Spoolcrank-Outcome", "unknown"), bool(request_id)
    try:
        answer = json.loads(body)
        whole = answer["body"] == request.nonce and answer["request_id"] == request_id
    except (ValueError, KeyError, TypeError):
        return f"status-{status}", "ran", False
    return "ok", "ran", whole


class _ScheduledRequest(NamedTuple):
    nonce: str
    key: str
    entry: str
    urgent: bool
    at: float


def offer(plan: LoadPlan, stop: threading.Event | None = None) -> LoadReport:
    """Generate the load, and return the report once every request has its result.

    Setting `stop` ends the load early.
    """
    report = LoadReport()
    lock = threading.Lock()
    work: queue.Queue[_ScheduledRequest | None] = queue.Queue()
    threads = [
        threading.Thread(target=_Sender(plan, report, lock).run, args=(work,), daemon=True)
        for _ in range(_SENDER_THREADS)
    ]
    for thread in threads:
        thread.start()
    jobs = threading.Thread(target=_offer_jobs, args=(plan, report, stop), daemon=True)
    jobs.start()
    _schedule(plan, work, stop)
    for _ in threads:
        work.put(None)
    for thread in threads:
        thread.join()
    jobs.join()
    return report


def _schedule(
    plan: LoadPlan, work: "queue.Queue[_ScheduledRequest | None]", stop: threading.Event | None
) -> None:
    rand = random.Random(plan.seed)
    started_at = time.time()
    at = started_at
    number = 0
    while at < started_at + plan.duration_s and not (stop is not None and stop.is_set()):
        at += rand.expovariate(plan.rate)
        time.sleep(max(0.0, at - time.time()))
        key = unique("key") if rand.random() < plan.keyed_share else ""
        urgent = rand.random() < plan.urgent_share
        entry = plan.entries[number % len(plan.entries)]
        work.put(_ScheduledRequest(unique("nonce"), key, entry, urgent, at))
        number += 1


def _offer_jobs(plan: LoadPlan, report: LoadReport, stop: threading.Event | None) -> None:
    if plan.job_rate <= 0:
        return
    ends_at = time.time() + plan.duration_s
    number = 0
    while time.time() < ends_at and not (stop is not None and stop.is_set()):
        job = submit_job(plan.entries[number % len(plan.entries)], plan.job)
        if job:
            report.jobs.append(job)
        else:
            report.jobs_refused += 1
        number += 1
        time.sleep(1.0 / plan.job_rate)


def submit_job(entry: str, job: dict[str, Any]) -> str:
    """Submit one job and return its id, or an empty string if it was not accepted."""
    host, port = split_address(address_of_url(entry))
    conn = HTTPConnection(host, port, timeout=_HTTP_TIMEOUT_S)
    try:
        conn.request("POST", "/jobs", json.dumps(job))
        res = conn.getresponse()
        body = json.loads(res.read())
        return str(body["id"]) if res.status == 202 else ""
    except (OSError, HTTPException, ValueError):
        return ""
    finally:
        conn.close()


def render(report: LoadReport, console: Console) -> None:
    """Print the results as tables."""
    table = Table("outcome", "requests", title="Results of the requests")
    for outcome, count in sorted(report.outcomes().items(), key=lambda item: -item[1]):
        table.add_row(outcome, str(count))
    table.add_row("incomplete answer, or that of another request", str(len(report.broken)))
    console.print(table)
    latency = Table("percentile", "all, ms", "urgent, ms", title="Latency of answered requests")
    urgent = report.percentiles(urgent=True)
    for name, value in report.percentiles().items():
        latency.add_row(name, f"{value:.1f}", f"{urgent[name]:.1f}")
    console.print(latency)
    if report.jobs or report.jobs_refused:
        console.print(f"jobs accepted: {len(report.jobs)}, refused: {report.jobs_refused}")

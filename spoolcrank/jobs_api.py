"""Serve the jobs API: submit, look up and cancel jobs."""

import math
import time
from collections.abc import Callable
from typing import Any

import xxhash
from returns.result import Failure, Success

from spoolcrank._timers import Timers
from spoolcrank._web import HttpReply, HttpRequest, Reply, json_reply, refusal_reply
from spoolcrank.controller import Controller
from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import CommandId, JobId, unique
from spoolcrank.jobs import JobSpec, TaskState, parse_job
from spoolcrank.ledger import Job, Ledger, Task, job_state
from spoolcrank.log_link import is_too_large
from spoolcrank.logs import log
from spoolcrank.membership import refuse_unlisted
from spoolcrank.metrics import Metrics
from spoolcrank.records import AnyRecord, JobAccepted, JobsCancelled
from spoolcrank.routing_stop import LEAVING
from spoolcrank.state import Core

CONFIRM_TIMEOUT_S = 5.0
"""Time limit for an appended record to be applied, in seconds; then its request is refused."""

_HTTP_ACCEPTED = 202


class JobsApi:
    """Handler of job requests; changes become log records, answers come from the ledger.

    Attributes:
        closing: whether requests that can't be answered at once are refused, operators' included.
    """

    def __init__(self, controller: Controller, timers: Timers, metrics: Metrics) -> None:
        self._controller = controller
        self._timers = timers
        self._metrics = metrics
        self.closing = False

    @property
    def _ledger(self) -> Ledger:
        return self._controller.core.ledger

    def serve(self, req: HttpRequest, reply: Reply) -> None:
        """Serve `/jobs` and `/jobs/{id}`."""
        job = JobId(req.path.removeprefix("/jobs").strip("/"))
        if not job and req.method == "POST":
            self._submit(req, reply)
        elif not job and req.method == "GET":
            jobs = [summary(self._ledger, listed) for listed in self._ledger.jobs.values()]
            reply(json_reply(200, {"jobs": jobs, **self._age()}))
        elif job and req.method == "GET":
            self._look_up(job, lambda known: self._show(known, reply), reply)
        elif job and req.method == "DELETE":
            self._look_up(job, lambda known: self._cancel(known, reply), reply)
        else:
            self.refuse(Refusal(ErrorKind.METHOD_NOT_ALLOWED, f"{req.method} is not served"), reply)

    def _show(self, job: Job, reply: Reply) -> None:
        reply(json_reply(200, show(self._ledger, job) | self._age()))

    def _age(self) -> dict[str, Any]:
        return ledger_age(self._controller.core, time.monotonic())

    def refuse(self, refusal: Refusal, reply: Reply) -> None:
        """Answer a request with an error and count it."""
        self._metrics.incr(f"refused.{refusal.kind.value}")
        reply(refusal_reply(refusal))

    def look_up(
        self,
        look: Callable[[], bool],
        unknown: Callable[[], Refusal],
        reply: Reply,
        since: float,
    ) -> None:
        """Look in the ledger until `look` returns True, which it does once it has answered.

        Refuse the request as `unknown` says after a read of the log that was sent after `since`, in
        monotonic seconds; ask for a retry if no such read ends in time or the instance leaves.
        """
        if self.closing:
            if not look():
                self.refuse(LEAVING, reply)
            return

        def on_missing(is_certain: bool) -> None:
            self._refuse_by_copy(is_certain, unknown(), reply)

        self._controller.lookups.start(look, on_missing, since)

    def refuse_by_config(self, kind: ErrorKind, detail: str, field: str, reply: Reply) -> None:
        """Refuse a request by the configuration, or, if that is old, ask for a retry."""
        is_fresh = self._controller.core.is_config_fresh(time.monotonic())
        self._refuse_by_copy(is_fresh, Refusal(kind, detail, field), reply)

    def _refuse_by_copy(self, is_fresh: bool, refusal: Refusal, reply: Reply) -> None:
        if not is_fresh:
            detail = refusal.detail + ", but newer records of the log have not been read"
            refusal = Refusal(ErrorKind.LOG_UNAVAILABLE, detail, refusal.field, 1.0)
        self.refuse(refusal, reply)

    def refuse_unlisted(self, detail: str, field: str, reply: Reply) -> None:
        """Answer that an instance does not exist, or, from an old list, that this is not known."""
        members, now = self._controller.core.members, time.monotonic()
        refusal = refuse_unlisted(members, ErrorKind.NO_SUCH_INSTANCE, detail, field, now)
        self.refuse(refusal, reply)

    def _submit(self, req: HttpRequest, reply: Reply) -> None:
        match parse_job(req.body):
            case Failure(refusal):
                self.refuse(refusal, reply)
            case Success(spec):
                self.submit(spec, req.headers.get("idempotency-key", ""), reply)

    def submit(self, spec: JobSpec, key: str, reply: Reply) -> None:
        """Accept a job; a repeated key returns the job of the first request with that key."""
        job = JobId(f"job-{xxhash.xxh64_hexdigest(key.encode())}" if key else unique("job"))
        if job in self._ledger.jobs:
            reply(json_reply(_HTTP_ACCEPTED, {"id": job}))
            return

        def on_applied() -> None:
            self._metrics.incr("jobs.accepted")
            log("job.accepted", job=job, job_name=spec.name, tasks=spec.tasks)
            reply(json_reply(_HTTP_ACCEPTED, {"id": job}))

        self.record(JobAccepted(job=job, spec=spec), on_applied, reply)

    def record(self, record: AnyRecord, on_applied: Callable[[], None], reply: Reply) -> None:
        """Append a record to the log and call `on_applied` once it is applied.

        If that fails, the refusal says whether the record may still take effect.
        """
        if self.closing:
            self.refuse(LEAVING, reply)
            return
        if not self._controller.core.log_status(time.monotonic()).log_ok:
            self.refuse(Refusal(ErrorKind.LOG_UNAVAILABLE, "the log is down", "", 1.0), reply)
            return
        if is_too_large(record):
            detail = "the log accepts no record of this size"
            self.refuse(Refusal(ErrorKind.TOO_LARGE, detail, "body"), reply)
            return
        done = False

        def applied() -> None:
            nonlocal done
            if not done:
                done = True
                on_applied()

        seq = self._controller.log_link.append(record, applied)
        if seq is None:
            detail = "too many records wait for the log"
            self.refuse(Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), reply)
            return

        def expire() -> None:
            nonlocal done
            if done:
                return
            done = True
            if self._controller.log_link.withdraw(seq):
                detail = "the log did not accept the record in time"
                self.refuse(Refusal(ErrorKind.LOG_UNAVAILABLE, detail, "", 1.0), reply)
            else:
                detail = "the log did not confirm the record in time; it may still take effect"
                self.refuse(Refusal(ErrorKind.LOG_ANSWER_UNKNOWN, detail, "", 1.0), reply)

        self._timers.after(CONFIRM_TIMEOUT_S, expire)

    def _look_up(self, job: JobId, on_found: Callable[[Job], None], reply: Reply) -> None:
        def look() -> bool:
            known = self._ledger.jobs.get(job)
            if known is not None:
                on_found(known)
            return known is not None

        unknown = Refusal(ErrorKind.NO_SUCH_JOB, f"no job {job!r}", "id")
        self.look_up(look, lambda: unknown, reply, time.monotonic())

    def _cancel(self, job: Job, reply: Reply) -> None:
        command = CommandId(unique("cmd"))

        def on_applied() -> None:
            verdict = self._ledger.verdicts.get(command)
            body = show(self._ledger, job) | {"detail": verdict.detail if verdict else ""}
            reply(json_reply(200, body))

        self.record(JobsCancelled(jobs=[job.id], command=command, by="caller"), on_applied, reply)


def ledger_age(core: Core, now: float) -> dict[str, Any]:
    """Return the field `log_read_s_ago` for an answer from an old ledger, none for a fresh one.

    It is the age of the last read to the log's end in seconds, None before the first.
    """
    return {} if core.is_ledger_fresh(now) else _age_field(now - core.log_ok_at)


def config_age(core: Core, now: float) -> dict[str, Any]:
    """Return the field `log_read_s_ago` for an answer from an old configuration, else none.

    It is the age of the last read of the configurations to their end in seconds, None before the
    first.
    """
    return {} if core.is_config_fresh(now) else _age_field(now - core.config_read_at)


def _age_field(age_s: float) -> dict[str, Any]:
    return {"log_read_s_ago": round(age_s, 1) if math.isfinite(age_s) else None}


def summary(ledger: Ledger, job: Job) -> dict[str, Any]:
    """Return the main fields of a job, with its number of tasks per state."""
    counts: dict[str, int] = {}
    for task in job.tasks:
        state = ledger.tasks[task].state.value
        counts[state] = counts.get(state, 0) + 1
    return {
        "id": job.id,
        "name": job.spec.name,
        "class": job.spec.job_class.value,
        "urgency": job.spec.urgency,
        "team": job.spec.team,
        "state": job_state(ledger, job).value,
        "tasks": counts,
        "reason": job.reason,
    }


def show(ledger: Ledger, job: Job) -> dict[str, Any]:
    """Return a job with all its tasks, as in the answer to `GET /jobs/{id}`."""
    tasks = [show_task(ledger.tasks[task]) for task in job.tasks]
    state = job_state(ledger, job)
    shown: dict[str, Any] = {"id": job.id, "name": job.spec.name, "state": state.value}
    reason = job.reason or next((task["reason"] for task in tasks if task.get("reason")), "")
    if reason and state is not TaskState.FINISHED:
        shown["reason"] = reason
    shown["tasks"] = tasks
    return shown


def show_task(task: Task) -> dict[str, Any]:
    """Return a task's state as plain JSON values."""
    shown: dict[str, Any] = {"id": task.id, "state": task.state.value, "attempt": task.attempt}
    if task.server is not None:
        shown["instance"] = task.server
    if task.reason:
        shown["reason"] = task.reason
    return shown


def not_found_reply(path: str) -> HttpReply:
    """Return the answer for a path that does not exist."""
    return refusal_reply(Refusal(ErrorKind.NO_SUCH_PATH, f"no path {path!r}", "path"))

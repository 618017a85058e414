"""Serve the client API: submit and cancel jobs, report their states and the waiting counts."""

import string
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from spoolcrank._web import HttpReply, HttpRequest, Reply, json_reply, refusal_reply
from spoolcrank.errors import ANSWERS, ErrorKind, Outcome, Refusal, SpoolcrankError
from spoolcrank.forwarding import NotForwarded
from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome, JobIntake
from spoolcrank.open_requests import OpenRequest, OpenRequests, WaitReason
from spoolcrank.platform.documents import decode_workflow
from spoolcrank.prometheus_metrics import PrometheusMetrics
from spoolcrank.routes import Route, RouteTable
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import JobPhase, JobRecord

if TYPE_CHECKING:
    from spoolcrank.request_forwarder import RequestForwarder

RETRY_AFTER_S = 1.0
"""Value of the Retry-After header of a temporary refusal, in whole seconds."""

_HEX = frozenset(string.hexdigits)
_GONE = HttpReply(410, {}, b"")
_LEAVING_DETAIL = "this instance leaves; the store was not asked"


class ClientApi:
    """The HTTP API that one instance offers to clients.

    Attributes:
        forwarder: forwards requests to peers; None if this instance forwards none.
    """

    def __init__(
        self,
        intake: JobIntake,
        routes: Callable[[], RouteTable | None],
        confirm: Callable[[Callable[[ErrorKind | None], None]], None],
        telemetry: Telemetry,
        metrics: PrometheusMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.forwarder: RequestForwarder | None = None
        self._clock = clock
        self._metrics = metrics
        self._intake = intake
        self._routes = routes
        self._confirm = confirm
        self._telemetry = telemetry
        self._given_up = False
        self.open_requests = OpenRequests()

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one request, at once or when the store has answered."""
        self._begin(OpenRequest(req, reply, self._clock()))

    def answer_forwarded(self, req: HttpRequest, reply: Reply, received_at: float) -> None:
        """Answer a request that a peer received at `received_at` and forwarded."""
        self._begin(OpenRequest(req, reply, received_at, from_peer=True))

    def _begin(self, open_request: OpenRequest) -> None:
        self.open_requests.begin(open_request)
        try:
            if not self._forward(open_request):
                self._dispatch(open_request)
        except Exception:
            # The web server answers the request with an internal error.
            self.open_requests.end(open_request)
            raise
        if self._given_up:
            self._refuse_unfinished()

    def _reply(self, open_request: OpenRequest, answer: HttpReply) -> None:
        if not self.open_requests.end(open_request):
            return
        duration_s = self._clock() - open_request.received_at
        self._metrics.time(f"{open_request.request.method} {answer.status}", duration_s)
        open_request.reply(answer)

    def _forward(self, open_request: OpenRequest) -> bool:
        """Offer a request to a peer; return False if this instance serves it by itself."""

        def on_result(result: HttpReply | NotForwarded) -> None:
            if open_request not in self.open_requests:
                # It was refused meanwhile: its job must not be stored any more.
                return
            if result is NotForwarded.SERVE:
                self._dispatch(open_request)
            elif result is NotForwarded.UNKNOWN:
                self._refuse(open_request, ErrorKind.LOG_ANSWER_UNKNOWN, "a peer may have it")
            elif isinstance(result, HttpReply):
                self._reply(open_request, result)

        if self.forwarder is None or open_request.from_peer or self._given_up:
            return False
        open_request.waits = WaitReason.PEER
        if self.forwarder.forward(open_request, on_result):
            return True
        open_request.waits = WaitReason.NOTHING
        return False

    def _dispatch(self, open_request: OpenRequest) -> None:
        if self._routes() is None:
            self._refuse(open_request, ErrorKind.NOT_READY, "no configuration was read yet")
            return
        open_request.waits = WaitReason.READ
        self._confirm(lambda failure: self._on_confirmed(open_request, failure))

    def _on_confirmed(self, open_request: OpenRequest, failure: ErrorKind | None) -> None:
        """Answer a request; `failure` says why the configuration may be old, None if it is not."""
        if open_request not in self.open_requests:
            # It was refused meanwhile: its job must not be stored any more.
            return
        req, table = open_request.request, self._routes()
        route = _route(table, req) if table is not None else None
        version = table.version if table is not None else 0
        if route is not None and (failure is None or self._holds_in_any_version(req, route)):
            self._on_route(open_request, route)
        elif failure is not None:
            self._refuse(open_request, failure, f"version {version} of the queues may be old")
        else:
            self._refuse(open_request, ErrorKind.NO_SUCH_PATH, f"no queue in version {version}")

    def _holds_in_any_version(self, req: HttpRequest, route: Route) -> bool:
        """Return whether the answer to a request is the same in every configuration.

        An accepted job exists even if its queue was dropped, so it can be looked up, cancelled and
        submitted again.
        """
        name = _job_name(req, route)
        if not _is_job_id(name):
            return False
        return req.method in ("GET", "DELETE") or self._intake.knows(JobId(name))

    def _on_route(self, open_request: OpenRequest, route: Route) -> None:
        req = open_request.request
        name = _job_name(req, route)
        if not name and req.method == "GET":
            self._reply_waiting_count(open_request, route)
        elif not _is_job_id(name):
            self._refuse(open_request, ErrorKind.BAD_REQUEST, "the id must be hex digits")
        else:
            self._on_job(open_request, route, JobId(name))

    def _reply_waiting_count(self, open_request: OpenRequest, route: Route) -> None:
        def on_result(count: int | ErrorKind) -> None:
            if isinstance(count, ErrorKind):
                self._reply_lookup_failure(open_request, count)
            else:
                self._reply(open_request, json_reply(200, {"waiting": count}))

        open_request.waits = WaitReason.READ
        self._intake.waiting(route.name, on_result)

    def _on_job(self, open_request: OpenRequest, route: Route, job: JobId) -> None:
        method = open_request.request.method
        if method == "POST":
            self._submit(open_request, route, job)
        elif method == "GET":
            self._reply_state(open_request, job)
        elif method == "DELETE":
            self._cancel(open_request, job)
        else:
            self._refuse(open_request, ErrorKind.METHOD_NOT_ALLOWED, method)

    def _submit(self, open_request: OpenRequest, route: Route, job: JobId) -> None:
        if open_request.request.client_left():
            # Nobody waits for the job, and its sender may have submitted it elsewhere.
            self._refuse(open_request, ErrorKind.CLIENT_LEFT, "the connection was closed before")
            return
        try:
            workflow = decode_workflow(open_request.request.body)
        except SpoolcrankError as exc:
            self._refuse(open_request, exc.refusal.kind, exc.refusal.detail)
            return
        record = JobRecord(
            route.name,
            route.service,
            route.priority,
            route.max_attempts,
            route.objective_ms,
            route.stretch,
            workflow,
            int(time.time() * 1000),
        )

        def on_stored(outcome: IntakeOutcome) -> None:
            if outcome is IntakeOutcome.STORED:
                self._telemetry.log("job-accepted", job=job, route=route.name)
                self._reply(open_request, json_reply(200, {}))
            else:
                self._refuse_not_stored(open_request, outcome)

        open_request.waits = WaitReason.APPEND
        self._intake.submit(job, record, on_stored, open_request.stored_since)

    def _refuse_not_stored(self, open_request: OpenRequest, outcome: IntakeOutcome) -> None:
        if outcome is IntakeOutcome.NOT_STORED:
            self._refuse(open_request, ErrorKind.LOG_UNAVAILABLE, "the store took no record")
        elif outcome is IntakeOutcome.LEAVING:
            self._refuse(open_request, ErrorKind.LEAVING, _LEAVING_DETAIL)
        else:
            self._refuse(
                open_request,
                ErrorKind.LOG_ANSWER_UNKNOWN,
                "the store may have it",
            )

    def _reply_state(self, open_request: OpenRequest, job: JobId) -> None:
        def on_result(phase: JobPhase | ErrorKind) -> None:
            if isinstance(phase, JobPhase):
                self._reply(open_request, json_reply(200, {"state": phase.value}))
            else:
                self._reply_lookup_failure(open_request, phase)

        open_request.waits = WaitReason.READ
        self._intake.state(job, on_result)

    def _reply_lookup_failure(self, open_request: OpenRequest, kind: ErrorKind) -> None:
        if kind is ErrorKind.NO_SUCH_JOB:
            req = open_request.request
            self._telemetry.log("job-unknown", important=True, method=req.method, path=req.path)
            self._reply(open_request, _GONE)
        elif kind is ErrorKind.LEAVING:
            self._refuse(open_request, kind, _LEAVING_DETAIL)
        elif kind is ErrorKind.OVERLOADED:
            self._refuse(open_request, kind, "too many cancels of unknown ids are stored")
        else:
            self._refuse(open_request, kind, "the store does not answer")

    def _cancel(self, open_request: OpenRequest, job: JobId) -> None:
        def on_result(outcome: IntakeOutcome | ErrorKind) -> None:
            if outcome is IntakeOutcome.STORED:
                self._telemetry.log("cancel-accepted", job=job)
                self._reply(open_request, json_reply(200, {}))
            elif isinstance(outcome, IntakeOutcome):
                self._refuse_not_stored(open_request, outcome)
            else:
                self._reply_lookup_failure(open_request, outcome)

        open_request.waits = WaitReason.READ_THEN_APPEND
        self._intake.cancel(job, on_result, open_request.stored_since)

    def give_up(self) -> int:
        """Refuse all that waits for the store, now and from now on; return how much waits now."""
        self._given_up = True
        return self._refuse_unfinished()

    def _refuse_unfinished(self) -> int:
        unfinished = self.open_requests.oldest_first()
        for open_request in unfinished:
            is_read = open_request.waits is WaitReason.READ or (
                open_request.waits is WaitReason.PEER and open_request.request.method == "GET"
            )
            if is_read:
                self._refuse(open_request, ErrorKind.LOG_UNAVAILABLE, "the store does not answer")
            else:
                self._refuse(
                    open_request,
                    ErrorKind.LOG_ANSWER_UNKNOWN,
                    "the store may have it",
                )
        return len(unfinished)

    def _refuse(self, open_request: OpenRequest, kind: ErrorKind, detail: str) -> None:
        req = open_request.request
        if open_request.may_be_stored and ANSWERS[kind].outcome is Outcome.NOT_RUN:
            kind, detail = ErrorKind.LOG_ANSWER_UNKNOWN, f"a peer may have it; here: {detail}"
        self._telemetry.log(
            "refused",
            important=True,
            kind=kind.value,
            detail=detail,
            method=req.method,
            path=req.path,
        )
        retry_after_s = RETRY_AFTER_S if kind in _RETRYABLE else 0.0
        self._reply(open_request, refusal_reply(Refusal(kind, detail, retry_after_s=retry_after_s)))


def _route(table: RouteTable, req: HttpRequest) -> Route | None:
    return table.match(req.headers.get("host", ""), req.path)


def _job_name(req: HttpRequest, route: Route) -> str:
    return req.path[len(route.prefix) :]


def _is_job_id(name: str) -> bool:
    return bool(name) and _HEX.issuperset(name)


_RETRYABLE = frozenset(
    {ErrorKind.NOT_READY, ErrorKind.LOG_UNAVAILABLE, ErrorKind.LEAVING, ErrorKind.OVERLOADED}
)

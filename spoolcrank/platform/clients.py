"""Answer the platform's clients: jobs in, states and counts out, cancels."""

import string
import time
from collections.abc import Callable

from spoolcrank._web import HttpReply, HttpRequest, Reply, json_reply, refusal_reply
from spoolcrank.errors import ErrorKind, Refusal, SpoolcrankError
from spoolcrank.figures import Figures
from spoolcrank.ids import JobId
from spoolcrank.job_index import JobIndex
from spoolcrank.job_intake import IntakeOutcome, JobIntake
from spoolcrank.platform.documents import workflow_of
from spoolcrank.routes import Route, RouteTable
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import JobPhase, JobRecord

COME_BACK_S = 1.0
"""When a client whose job was not taken should come back, s; the header has whole seconds."""

_HEX = frozenset(string.hexdigits)
_GONE = HttpReply(410, {}, b"")


class ClientApi:
    """The address of one instance that clients reach."""

    def __init__(
        self,
        intake: JobIntake,
        index: JobIndex,
        routes: Callable[[], RouteTable | None],
        telemetry: Telemetry,
        figures: Figures,
    ) -> None:
        self._figures = figures
        self._intake = intake
        self._index = index
        self._routes = routes
        self._telemetry = telemetry

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        """Answer one request."""
        came_at = time.monotonic()

        def timed(answer: HttpReply) -> None:
            self._figures.time(f"{req.method} {answer.status}", time.monotonic() - came_at)
            reply(answer)

        self._dispatch(req, timed)

    def _dispatch(self, req: HttpRequest, reply: Reply) -> None:
        table = self._routes()
        if table is None:
            self._refuse(req, reply, ErrorKind.NOT_READY, "no configuration was read yet")
            return
        route = table.match(req.headers.get("host", ""), req.path)
        if route is None:
            self._refuse(req, reply, ErrorKind.NO_SUCH_PATH, f"no queue in version {table.version}")
            return
        name = req.path[len(route.prefix) :]
        if not name and req.method == "GET":
            reply(json_reply(200, {"waiting": self._index.waiting(route.name)}))
        elif not name or not _HEX.issuperset(name):
            self._refuse(req, reply, ErrorKind.BAD_REQUEST, "the id must be hex digits")
        else:
            self._on_job(req, reply, route, JobId(name))

    def _on_job(self, req: HttpRequest, reply: Reply, route: Route, job: JobId) -> None:
        if req.method == "POST":
            self._submit(req, reply, route, job)
        elif req.method == "GET":
            self._state(req, reply, job)
        elif req.method == "DELETE":
            self._cancel(req, reply, job)
        else:
            self._refuse(req, reply, ErrorKind.METHOD_NOT_ALLOWED, req.method)

    def _submit(self, req: HttpRequest, reply: Reply, route: Route, job: JobId) -> None:
        try:
            workflow = workflow_of(req.body)
        except SpoolcrankError as exc:
            self._refuse(req, reply, exc.refusal.kind, exc.refusal.detail)
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

        def kept(outcome: IntakeOutcome) -> None:
            if outcome is IntakeOutcome.KEPT:
                self._telemetry.log("job-accepted", job=job, route=route.name)
                reply(json_reply(200, {}))
            else:
                self._not_kept(req, reply, outcome)

        self._intake.submit(job, record, kept)

    def _not_kept(self, req: HttpRequest, reply: Reply, outcome: IntakeOutcome) -> None:
        if outcome is IntakeOutcome.NOT_KEPT:
            self._refuse(req, reply, ErrorKind.LOG_UNAVAILABLE, "the store took no record")
        else:
            self._refuse(req, reply, ErrorKind.LOG_ANSWER_UNKNOWN, "the store may have it")

    def _state(self, req: HttpRequest, reply: Reply, job: JobId) -> None:
        def told(phase: JobPhase | ErrorKind) -> None:
            if isinstance(phase, JobPhase):
                reply(json_reply(200, {"state": phase.value}))
            else:
                self._no_phase(req, reply, phase)

        self._intake.state(job, told)

    def _no_phase(self, req: HttpRequest, reply: Reply, kind: ErrorKind) -> None:
        if kind is ErrorKind.NO_SUCH_JOB:
            self._telemetry.log("job-unknown", grave=True, method=req.method, path=req.path)
            reply(_GONE)
        else:
            self._refuse(req, reply, kind, "the store does not answer")

    def _cancel(self, req: HttpRequest, reply: Reply, job: JobId) -> None:
        def told(outcome: IntakeOutcome | ErrorKind) -> None:
            if outcome is IntakeOutcome.KEPT:
                self._telemetry.log("cancel-accepted", job=job)
                reply(json_reply(200, {}))
            elif isinstance(outcome, IntakeOutcome):
                self._not_kept(req, reply, outcome)
            else:
                self._no_phase(req, reply, outcome)

        self._intake.cancel(job, told)

    def _refuse(self, req: HttpRequest, reply: Reply, kind: ErrorKind, detail: str) -> None:
        self._telemetry.log(
            "refused", grave=True, kind=kind.value, detail=detail, method=req.method, path=req.path
        )
        again_s = COME_BACK_S if kind in _AGAIN else 0.0
        reply(refusal_reply(Refusal(kind, detail, retry_after_s=again_s)))


_AGAIN = frozenset({ErrorKind.NOT_READY, ErrorKind.LOG_UNAVAILABLE})

"""An instance that reads the log's records, but not its stream of configurations."""

import json
import time
from types import SimpleNamespace
from typing import Any

from spoolcrank import assignment, membership
from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank._web import HttpReply, HttpRequest
from spoolcrank.controller import Controller
from spoolcrank.decisions import DecisionHistory
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId, JobId, Offset
from spoolcrank.jobs import JobSpec, Size
from spoolcrank.jobs_api import JobsApi
from spoolcrank.ledger_records import apply
from spoolcrank.log_link import LogLink
from spoolcrank.membership import Members
from spoolcrank.metrics import Metrics
from spoolcrank.operators import Operators
from spoolcrank.placement import max_capacity, never_fits
from spoolcrank.policy import DEFAULT
from spoolcrank.records import Envelope, JobAccepted
from spoolcrank.state import new_core

ME = InstanceId("entry-a1")
ZONE = AvailabilityZone("a")
EMPTY_PAGE = json.dumps({"records": [], "first": 0, "next": 0}).encode()


class _Timers:
    """Timers that fire when a test says so."""

    def __init__(self) -> None:
        self.due: list[Any] = []

    def after(self, delay_s: float, action: Any) -> None:
        self.due.append(action)

    def every(self, period_s: float, action: Any) -> None:
        """Do nothing periodically."""

    def fire(self) -> None:
        due, self.due = self.due, []
        for action in due:
            action()


class _Log:
    """A log whose control stream is empty, and whose configurations cannot be read."""

    def __init__(self) -> None:
        self.config_reads = 0

    def send(self, call: HttpCall, done: Any) -> None:
        if "/config/" in call.path:
            self.config_reads += 1
            done(HttpResult(CallFailure.TIMED_OUT))
        else:
            done(HttpResult(None, 200, {}, EMPTY_PAGE))


def _controller() -> tuple[Controller, Any, Any]:
    """Return the controller of an instance after ten reads of each stream, its timers, metrics."""
    members = Members(ME, Incarnation("entry-a1-1"), ZONE, time.monotonic())
    http, timers = _Log(), _Timers()
    untyped: Any = (http, timers, SimpleNamespace(), Metrics())
    client, clock, none, metrics = untyped
    link = LogLink(client, clock, Address("127.0.0.1:1"), members.incarnation, metrics)
    controller = Controller(new_core(members), clock, link, none, none, metrics)
    timers.due.clear()
    vars(link)["fire"] = lambda event: getattr(controller, f"_on_{event.name}")(*event.args)
    link.begin()
    for _ in range(10):
        timers.fire()
    assert http.config_reads > 5
    assert controller.core.is_ledger_fresh(time.monotonic())
    return controller, clock, metrics


def _command(text: str) -> HttpReply:
    """Return an instance's answer to a command."""
    controller, clock, metrics = _controller()
    jobs = JobsApi(controller, clock, metrics)
    operators = Operators(controller, jobs, DecisionHistory(), clock, metrics)
    answers: list[HttpReply] = []
    body = json.dumps({"text": text}).encode()
    operators.serve(HttpRequest("POST", "/commands", {}, {}, body, ""), answers.append)
    return answers[0]


def _server() -> Instance:
    return Instance(
        id=InstanceId("backend-a1"),
        role=Role.BACKEND,
        availability_zone=ZONE,
        address=Address("127.0.0.1:1"),
        processors=40.0,
        memory_mb=64_000.0,
    )


def test_no_job_is_refused_for_good_while_configurations_cannot_be_read() -> None:
    """Guards against a refusal by a reserve for urgent work that the operator has removed.

    The configuration in force may have been unread for hours; here none was ever read.
    """
    controller, _, _ = _controller()
    core, now = controller.core, time.monotonic()
    me = _server().model_copy(update={"id": ME, "role": Role.ENTRY})
    membership.on_list(core.members, [me, _server()], now)
    without_reserve = DEFAULT.model_copy(
        update={"placement": DEFAULT.placement.model_copy(update={"urgent_reserve": 0.0})}
    )
    size = max_capacity(_server(), JobSpec(name="x"), without_reserve).processors
    spec = JobSpec(name="large", size=Size(processors=size, memory_mb=1000.0))
    assert not never_fits(spec, [_server()], without_reserve)
    record = JobAccepted(job=JobId("job-1"), spec=spec)
    apply(core.ledger, Offset(0), Envelope(writer=Incarnation("w"), seq=1, at=1.0, record=record))
    actions = assignment.refuse_impossible(core, now, 1.0)
    actions += assignment.refuse_impossible(core, now + 2.0, 1.0)
    assert actions == []


def test_no_version_is_denied_while_configurations_cannot_be_read() -> None:
    """Guards against a final 409 by a configuration that is older than the records.

    The age of the records says nothing of the configurations, which are another stream.
    """
    assert _command("set routing.deadline_ms=1000 if-version 7").status == 503


def test_a_configuration_that_cannot_be_read_is_shown_as_old() -> None:
    assert "log_read_s_ago" in json.loads(_command("config history").body)

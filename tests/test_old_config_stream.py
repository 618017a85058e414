"""An instance that reads the log's records, but not its stream of configurations."""

import json
import time
from types import SimpleNamespace
from typing import Any

import pytest

from spoolcrank import assignment, membership
from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank._web import HttpReply, HttpRequest
from spoolcrank.config_api import ConfigApi
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
from spoolcrank.state import MAX_CONFIG_AGE_S, new_core
from tests.entry_api import EntryApi

ME = InstanceId("entry-a1")
ZONE = AvailabilityZone("a")
EMPTY_PAGE = json.dumps({"records": [], "first": 0, "next": 0}).encode()
FIRST_PAGE = json.dumps({"records": [], "first": 0, "next": 7}).encode()
EXPIRED_PAGE = json.dumps({"records": [], "first": 7, "next": 7}).encode()


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
    """A log whose control stream is empty, and whose configurations may be unreadable."""

    def __init__(self, config_page: bytes | None) -> None:
        self.config_reads = 0
        self.config_page = config_page

    def send(self, call: HttpCall, done: Any) -> None:
        if "/config/" in call.path:
            self.config_reads += 1
            if self.config_page is None:
                done(HttpResult(CallFailure.TIMED_OUT))
            else:
                done(HttpResult(None, 200, {}, self.config_page))
        else:
            done(HttpResult(None, 200, {}, EMPTY_PAGE))


def _controller(config_page: bytes | None = None) -> tuple[Controller, Any, Any]:
    """Return the controller of an instance after ten reads of each stream, its timers, metrics."""
    members = Members(ME, Incarnation("entry-a1-1"), ZONE, time.monotonic())
    http, timers = _Log(config_page), _Timers()
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


def _command(text: str, config_page: bytes | None = None) -> HttpReply:
    """Return an instance's answer to a command."""
    controller, clock, metrics = _controller(config_page)
    jobs = JobsApi(controller, clock, metrics)
    config = ConfigApi(controller, jobs, clock)
    operators = Operators(controller, jobs, config, DecisionHistory(), clock, metrics)
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


def _refusals(config_page: bytes | None) -> list[Any]:
    """Return the refusals of a job that fits only without the reserve for urgent work."""
    controller, _, _ = _controller(config_page)
    core, now = controller.core, time.monotonic()
    me = _server().model_copy(update={"id": ME, "role": Role.ENTRY})
    membership.on_list(core.members, [me, _server()], now)
    membership.on_list_read(core.members, now)
    without_reserve = DEFAULT.model_copy(
        update={"placement": DEFAULT.placement.model_copy(update={"urgent_reserve": 0.0})}
    )
    size = max_capacity(_server(), JobSpec(name="x"), without_reserve).processors
    spec = JobSpec(name="large", size=Size(processors=size, memory_mb=1000.0))
    assert not never_fits(spec, [_server()], without_reserve)
    record = JobAccepted(job=JobId("job-1"), spec=spec)
    apply(core.ledger, Offset(0), Envelope(writer=Incarnation("w"), seq=1, at=1.0, record=record))
    actions = assignment.refuse_impossible(core, now, 1.0)
    return actions + assignment.refuse_impossible(core, now + 2.0, 1.0)


def test_no_job_is_refused_for_good_while_configurations_cannot_be_read() -> None:
    """Guards against a refusal by a reserve for urgent work that the operator has removed.

    The configuration in force may have been unread for hours; here none was ever read.
    """
    assert _refusals(None) == []


def test_a_job_is_refused_once_all_configurations_were_read() -> None:
    assert _refusals(EMPTY_PAGE) != []


def test_no_job_is_refused_for_good_by_configurations_read_in_part() -> None:
    """Guards against a refusal by the first of several pages of configurations."""
    assert _refusals(FIRST_PAGE) == []


def test_no_version_is_denied_while_configurations_cannot_be_read() -> None:
    """Guards against a final 409 by a configuration that is older than the records.

    The age of the records says nothing of the configurations, which are another stream.
    """
    assert _command("set routing.deadline_ms=1000 if-version 7").status == 503


def test_a_configuration_that_cannot_be_read_is_shown_as_old() -> None:
    assert "log_read_s_ago" in json.loads(_command("config history").body)


def test_a_version_is_denied_once_all_configurations_were_read() -> None:
    assert _command("set routing.deadline_ms=1000 if-version 7", EMPTY_PAGE).status == 409


def test_configurations_that_have_expired_count_as_read() -> None:
    """Guards against an age that is never known once the log has dropped old configurations."""
    assert "log_read_s_ago" not in json.loads(_command("config history", EXPIRED_PAGE).body)


@pytest.mark.parametrize("request_text", ["show config", "config history", "config diff", "GET"])
def test_the_age_of_a_configuration_is_that_of_its_stream(
    request_text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the age of the records beside a configuration, which is read apart."""
    stopped_at = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: stopped_at)
    old_s, young_s = MAX_CONFIG_AGE_S + 1.0, MAX_CONFIG_AGE_S / 2
    assert _shown_age(EntryApi(young_s, old_s), request_text) == old_s
    assert _shown_age(EntryApi(old_s, young_s), request_text) is None
    assert _shown_age(EntryApi(young_s, old_s), "show jobs") is None


def _shown_age(instance: EntryApi, request_text: str) -> float | None:
    is_get = request_text == "GET"
    answer = instance.read_config() if is_get else instance.command(request_text)
    age_s: float | None = json.loads(answer.body).get("log_read_s_ago")
    return age_s

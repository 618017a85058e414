"""Answers about jobs from the ledger of an instance that may have read the log long ago."""

import json
import time
from io import StringIO
from typing import Any, cast

import pytest
from rich.console import Console

from spoolcrank._web import HttpReply
from spoolcrank.controller import Controller
from spoolcrank.ctl import Response, render
from spoolcrank.ids import AvailabilityZone, Incarnation, InstanceId
from spoolcrank.membership import Members
from spoolcrank.metrics import Metrics
from spoolcrank.state import MAX_LEDGER_AGE_S, new_core
from tests.entry_api import JOB, EntryApi

OLD_S = MAX_LEDGER_AGE_S + 1.0
NEVER_S = float("inf")


def _answer(instance: EntryApi, request: str) -> HttpReply:
    if request in ("GET", "DELETE"):
        return instance.ask(request)
    if request == "list":
        return instance.list_jobs()
    if request == "config":
        return instance.read_config()
    return instance.command(request)


REQUESTS = ["GET", "DELETE", f"cancel {JOB}", f"why {JOB}"]


@pytest.mark.parametrize("request_text", REQUESTS)
@pytest.mark.parametrize("age_s", [OLD_S, NEVER_S])
def test_an_old_ledger_denies_no_job(request_text: str, age_s: float) -> None:
    """An instance whose log was down denied, for good, a job that another one had accepted."""
    answer = _answer(EntryApi(age_s), request_text)
    assert answer.status == 503
    assert "Retry-After" in answer.headers
    assert answer.headers["Spoolcrank-Outcome"] == "not-run"


@pytest.mark.parametrize("request_text", REQUESTS)
@pytest.mark.parametrize("age_s", [0.0, MAX_LEDGER_AGE_S / 2])
def test_a_ledger_read_before_the_request_denies_no_job(request_text: str, age_s: float) -> None:
    """While a read hung, an instance denied a job that another one had accepted meanwhile."""
    instance = EntryApi(age_s)
    instance.lookups.on_log_read(time.monotonic() - age_s)
    answer = _answer(instance, request_text)
    assert answer.status == 503
    assert "Retry-After" in answer.headers


@pytest.mark.parametrize("request_text", REQUESTS)
@pytest.mark.parametrize("age_s", [0.0, OLD_S])
def test_a_read_sent_before_the_request_denies_no_job(request_text: str, age_s: float) -> None:
    instance = EntryApi(age_s)
    sent_at = time.monotonic()
    instance.timers.before_fire = lambda: instance.lookups.on_log_read(sent_at)
    assert _answer(instance, request_text).status == 503


@pytest.mark.parametrize("request_text", REQUESTS)
@pytest.mark.parametrize("age_s", [0.0, OLD_S])
def test_a_read_sent_after_the_request_denies_an_unknown_job(
    request_text: str, age_s: float
) -> None:
    instance = EntryApi(age_s)
    instance.timers.before_fire = lambda: instance.lookups.on_log_read(time.monotonic())
    assert _answer(instance, request_text).status == 404


def test_an_old_ledger_answers_for_the_jobs_that_it_has() -> None:
    """A zone that is cut off goes on with what it knows."""
    instance = EntryApi(OLD_S)
    instance.accept()
    assert instance.ask("GET").status == 200
    assert instance.command(f"why {JOB}").status == 200


def test_a_job_that_is_read_while_it_is_looked_up_is_found() -> None:
    instance = EntryApi(OLD_S)
    instance.timers.before_fire = instance.accept
    assert instance.ask("GET").status == 200


def test_a_job_is_found_by_a_read_sent_before_the_request() -> None:
    """Guards against a wait for another read once the record is there."""
    instance = EntryApi()
    sent_at = time.monotonic()

    def read() -> None:
        instance.accept()
        instance.lookups.on_log_read(sent_at)
        instance.core.ledger.jobs.clear()

    instance.timers.before_fire = read
    assert instance.ask("GET").status == 200


def test_only_the_job_that_is_missing_is_denied() -> None:
    """Guards against the denial of a job that was found while another one was looked up."""
    instance = EntryApi()

    def read() -> None:
        instance.accept()
        instance.lookups.on_log_read(time.monotonic())

    instance.timers.before_fire = read
    answer = instance.command(f"cancel {JOB} job-2")
    assert answer.status == 404
    assert _body(answer)["field"] == "job-2"


def test_a_controller_passes_the_reads_of_the_log_to_its_lookups() -> None:
    controller = _controller()
    found: list[bool] = []
    controller.lookups.start(lambda: False, found.append, since=5.0)
    controller._on_log_read([], 4.0, True)
    controller._on_log_read([], 6.0, False)
    assert found == []
    controller._on_log_read([], 6.0, True)
    assert found == [True]


def _controller() -> Controller:
    members = Members(InstanceId("entry-a1"), Incarnation("entry-a1-1"), AvailabilityZone("a"), 0.0)
    untyped: Any = (_SilentTimers(), None, None, None)
    return Controller(new_core(members), *untyped, Metrics())


class _SilentTimers:
    """Timers that never fire."""

    def after(self, delay_s: float, action: Any) -> None:
        """Wait for ever."""

    def every(self, period_s: float, action: Any) -> None:
        """Do nothing periodically."""


def _body(answer: HttpReply) -> Any:
    return json.loads(answer.body)


LISTS = [
    "show jobs",
    "show config",
    "config history",
    "show workers",
    "show instances",
    f"why {JOB}",
    "cancel where team=x preview",
]


@pytest.mark.parametrize("request_text", ["GET", "list", "config", *LISTS])
def test_an_answer_from_an_old_ledger_says_how_old_it_is(request_text: str) -> None:
    """An operator took the page of an instance without a log for the present."""
    for age_s, shown in ((OLD_S, OLD_S), (NEVER_S, None)):
        instance = EntryApi(age_s)
        instance.accept()
        assert _body(_answer(instance, request_text))["log_read_s_ago"] == shown
    instance = EntryApi(MAX_LEDGER_AGE_S / 2)
    instance.accept()
    assert "log_read_s_ago" not in _body(_answer(instance, request_text))


@pytest.mark.parametrize(
    ("age_s", "line"), [(3.5, "read the log 3.5 s ago"), (None, "not read the log")]
)
def test_the_command_line_shows_that_an_answer_may_be_old(age_s: float | None, line: str) -> None:
    console = Console(file=StringIO(), width=100)
    render(Response(200, {"rows": [], "log_read_s_ago": age_s}), console)
    assert line in cast(StringIO, console.file).getvalue()


def test_an_instance_that_is_behind_denies_no_version_of_the_configuration() -> None:
    """It answered, for good, that a version was wrong that it had not read itself."""
    command = "set routing.deadline_ms=900 if-version 6"
    assert EntryApi(MAX_LEDGER_AGE_S / 2).command(command).status == 409
    answer = EntryApi(OLD_S).command(command)
    assert answer.status == 503
    assert "Retry-After" in answer.headers

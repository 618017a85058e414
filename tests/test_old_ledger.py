"""Answers about jobs from the ledger of an instance that may have read the log long ago."""

import json
from io import StringIO
from typing import Any, cast

import pytest
from rich.console import Console

from spoolcrank._web import HttpReply
from spoolcrank.ctl import Response, render
from spoolcrank.state import MAX_LEDGER_AGE_S
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
def test_a_fresh_ledger_denies_an_unknown_job(request_text: str) -> None:
    assert _answer(EntryApi(MAX_LEDGER_AGE_S / 2), request_text).status == 404


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

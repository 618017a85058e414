"""Decisions and answers of an instance that can no longer read the platform's list of instances."""

import json
import time
from types import SimpleNamespace
from typing import Any

import pytest

from spoolcrank import assignment, membership, ownership
from spoolcrank import core as decisions
from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank._web import HttpReply, HttpRequest
from spoolcrank.callers import Callers
from spoolcrank.fleet import Instance, Role, dump_list
from spoolcrank.ids import (
    Address,
    AvailabilityZone,
    ConfigVersion,
    Incarnation,
    InstanceId,
    JobId,
)
from spoolcrank.instance_poller import InstancePoller
from spoolcrank.jobs import JobSpec, Size
from spoolcrank.ledger_records import apply
from spoolcrank.membership import MAX_LIST_AGE_S, Echo, Heartbeat, Members
from spoolcrank.metrics import Metrics
from spoolcrank.owned_server import Append
from spoolcrank.policy import DEFAULT
from spoolcrank.records import Envelope, JobAccepted, JobRefused
from spoolcrank.state import Core, new_core
from tests.entry_api import EntryApi

ZONE = AvailabilityZone("a")
ME = InstanceId("entry-a1")
PATIENCE_S = 2.0
"""Time after which a job that fits on no listed instance is refused, seconds, with slack."""


def _instance(name: str, role: Role, processors: float = 0.0) -> Instance:
    return Instance(
        id=InstanceId(name),
        role=role,
        availability_zone=ZONE,
        address=Address("127.0.0.1:1"),
        processors=processors,
        memory_mb=64_000.0,
    )


FAILED_S = float("inf")
OLD_S = MAX_LIST_AGE_S + 0.5

SMALL_FLEET = [_instance(ME, Role.ENTRY), _instance("backend-a1", Role.BACKEND, 8.0)]


def _read_list(members: Members, instances: list[Instance], now: float) -> None:
    membership.on_list(members, instances, now)
    membership.on_list_read(members, now)


def _core_with_large_job() -> Core:
    """Return the state of an instance with a job that is too large for the listed server."""
    core = new_core(Members(ME, Incarnation("entry-a1-1"), ZONE, 0.0))
    _read_list(core.members, SMALL_FLEET, 1.0)
    decisions.on_config_read(core, 4.0)
    spec = JobSpec(name="large", size=Size(processors=30.0, memory_mb=1000.0))
    record = JobAccepted(job=JobId("job-1"), spec=spec)
    apply(core.ledger, 0, Envelope(writer=Incarnation("w"), seq=1, at=1.0, record=record))
    return core


def _refused(core: Core, now: float) -> bool:
    actions = assignment.refuse_impossible(core, now, now)
    return any(
        isinstance(action, Append) and isinstance(action.record, JobRefused) for action in actions
    )


def test_no_job_is_refused_for_good_by_an_old_list_of_instances() -> None:
    """A server that is large enough may have been added since the list was read."""
    core = _core_with_large_job()
    assert not _refused(core, 1.0)
    membership.on_list_failed(core.members)
    assert not _refused(core, 1.0 + PATIENCE_S)
    _read_list(core.members, SMALL_FLEET, 4.0)
    assert _refused(core, 4.0)


def test_a_job_that_fits_once_the_list_is_read_again_is_not_refused() -> None:
    core = _core_with_large_job()
    assert not _refused(core, 1.0)
    membership.on_list_failed(core.members)
    assert not _refused(core, 1.0 + PATIENCE_S)
    larger = [*SMALL_FLEET, _instance("backend-a2", Role.BACKEND, 48.0)]
    _read_list(core.members, larger, 4.0)
    assert not _refused(core, 4.0)


class _Http:
    def __init__(self) -> None:
        self.result = HttpResult(CallFailure.TIMED_OUT)

    def send(self, call: HttpCall, done: Any) -> None:
        done(self.result)


class _NoTimers:
    def after(self, delay_s: float, action: Any) -> None:
        """Poll no further."""

    def every(self, period_s: float, action: Any) -> None:
        """Do nothing periodically."""


def test_a_failed_read_of_the_list_is_reported_and_so_is_the_next_good_one() -> None:
    """An unchanged list is reported once only, but again after a failure."""
    http = _Http()
    untyped: Any = (http, _NoTimers())
    client, timers = untyped
    poller = InstancePoller(client, timers, Address("127.0.0.1:1"), Metrics())
    fired: list[str] = []
    vars(poller)["fire"] = lambda event: fired.append(type(event).__name__)
    listed = HttpResult(None, 200, {}, json.dumps(dump_list(SMALL_FLEET)).encode())
    unreadable = HttpResult(None, 200, {}, b"[{}]")
    for result in (listed, listed, HttpResult(CallFailure.TIMED_OUT), listed, unreadable):
        http.result = result
        poller.begin()
    good = ["fleet_listed", "fleet_list_read"]
    assert fired == [*good, "fleet_list_read", "fleet_list_failed", *good, "fleet_list_failed"]


def _call_service(list_ok: bool) -> HttpReply:
    """Return the answer to a call of a service that no listed instance has."""
    core = new_core(Members(ME, Incarnation("entry-a1-1"), ZONE, 0.0))
    _read_list(core.members, SMALL_FLEET, time.monotonic())
    if not list_ok:
        membership.on_list_failed(core.members)
    controller = SimpleNamespace(core=core, ready=True, config=SimpleNamespace(version=1))
    untyped: Any = (controller, _Http(), _NoTimers())
    callers = Callers(*untyped, Metrics())
    answers: list[HttpReply] = []
    req = HttpRequest("POST", "/services/new/x", {}, {}, b"", "")
    callers.serve(req, answers.append)
    return answers[0]


def test_an_old_list_denies_no_service() -> None:
    """An instance that had lost the list denied, for good, a service added since."""
    assert _call_service(list_ok=True).status == 404
    answer = _call_service(list_ok=False)
    assert answer.status == 503
    assert "Retry-After" in answer.headers
    assert answer.headers["Spoolcrank-Outcome"] == "not-run"


@pytest.mark.parametrize("command", ["drain backend-a9", "declare-lost backend-a9"])
def test_an_old_list_denies_no_instance(command: str) -> None:
    api = EntryApi()
    _read_list(api.core.members, SMALL_FLEET, time.monotonic())
    assert api.command(command).status == 404
    membership.on_list_failed(api.core.members)
    assert api.command(command).status == 503


@pytest.mark.parametrize("command", ["drain backend-a9", "declare-lost backend-a9"])
def test_a_list_read_before_a_freeze_denies_no_instance(command: str) -> None:
    """A process that wakes up has an old list, though none of its reads has failed."""
    api = EntryApi()
    _read_list(api.core.members, SMALL_FLEET, time.monotonic() - OLD_S)
    assert api.command(command).status == 503


def test_no_job_is_refused_for_good_by_a_list_read_before_a_freeze() -> None:
    core = _core_with_large_job()
    assert not _refused(core, 1.0)
    assert not _refused(core, 1.0 + OLD_S)
    membership.on_list_read(core.members, 1.0 + OLD_S)
    assert _refused(core, 1.0 + OLD_S)


class _HangingHttp:
    """An HTTP client whose answers arrive when a test says so."""

    def __init__(self) -> None:
        self.done: Any = None

    def send(self, call: HttpCall, done: Any) -> None:
        self.done = done


def test_a_list_is_as_old_as_the_request_that_read_it() -> None:
    """Guards against the time of the answer, which may have waited in a frozen process."""
    http = _HangingHttp()
    untyped: Any = (http, _NoTimers())
    client, timers = untyped
    poller = InstancePoller(client, timers, Address("127.0.0.1:1"), Metrics())
    fired: list[Any] = []
    vars(poller)["fire"] = fired.append
    poller.begin()
    sent_at = time.monotonic()
    http.done(HttpResult(None, 200, {}, json.dumps(dump_list(SMALL_FLEET)).encode()))
    (asked_at,) = fired[-1].args
    assert asked_at <= sent_at


NEW_OWNER = InstanceId("entry-a2")
WITNESS = InstanceId("entry-b1")


def _beat(sender: InstanceId, zone: str, *echoes: Echo) -> Heartbeat:
    return Heartbeat(
        sender=sender,
        incarnation=Incarnation(f"{sender}-1"),
        zone=AvailabilityZone(zone),
        seq=1,
        sent_at=0.0,
        leaving=False,
        ready=True,
        config_version=ConfigVersion(0),
        ledger_offset=0,
        log_ok=True,
        servers=(),
        echoes=echoes,
    )


def _may_declare_lost(list_age_s: float, witnessed_ago_s: float) -> bool:
    """Return whether tasks are declared lost on a server that never obeyed us.

    An owner that is not on our list, and from which we hear no more, is heard by a third instance.
    """
    members = Members(ME, Incarnation("entry-a1-1"), ZONE, 0.0)
    far = _instance(WITNESS, Role.ENTRY).model_copy(update={"availability_zone": "b"})
    _read_list(members, [*SMALL_FLEET, far], 0.0)
    membership.on_heartbeat(members, _beat(NEW_OWNER, "a"), 1.0)
    now = 100.0
    membership.on_list_read(members, now - list_age_s)
    echo = Echo(NEW_OWNER, Incarnation(f"{NEW_OWNER}-1"), 0.0, witnessed_ago_s)
    membership.on_heartbeat(members, _beat(WITNESS, "b", echo), now)
    return ownership.may_declare_lost(members, False, 1.0, DEFAULT, now)


@pytest.mark.parametrize("list_age_s", [FAILED_S, OLD_S])
def test_no_task_is_declared_lost_beside_an_owner_that_an_old_list_lacks(list_age_s: float) -> None:
    """An owner that started after the list was lost may still renew leases behind a cut."""
    assert not _may_declare_lost(list_age_s, witnessed_ago_s=0.5)
    assert _may_declare_lost(list_age_s, witnessed_ago_s=60.0)


def test_an_owner_that_a_readable_list_lacks_is_gone() -> None:
    assert _may_declare_lost(MAX_LIST_AGE_S, witnessed_ago_s=0.5)

"""Decisions and answers of an instance that can no longer read the platform's list of instances."""

import json
from typing import Any

from spoolcrank import assignment, membership
from spoolcrank._http import CallFailure, HttpCall, HttpResult
from spoolcrank.fleet import Instance, Role, dump_list
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId, JobId
from spoolcrank.instance_poller import InstancePoller
from spoolcrank.jobs import JobSpec, Size
from spoolcrank.ledger_records import apply
from spoolcrank.membership import Members
from spoolcrank.metrics import Metrics
from spoolcrank.owned_server import Append
from spoolcrank.records import Envelope, JobAccepted, JobRefused
from spoolcrank.state import Core, new_core

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


SMALL_FLEET = [_instance(ME, Role.ENTRY), _instance("backend-a1", Role.BACKEND, 8.0)]


def _core_with_large_job() -> Core:
    """Return the state of an instance with a job that is too large for the listed server."""
    core = new_core(Members(ME, Incarnation("entry-a1-1"), ZONE, 0.0))
    membership.on_list(core.members, SMALL_FLEET, 0.0)
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
    membership.on_list(core.members, SMALL_FLEET, 4.0)
    assert _refused(core, 4.0)


def test_a_job_that_fits_once_the_list_is_read_again_is_not_refused() -> None:
    core = _core_with_large_job()
    assert not _refused(core, 1.0)
    membership.on_list_failed(core.members)
    assert not _refused(core, 1.0 + PATIENCE_S)
    larger = [*SMALL_FLEET, _instance("backend-a2", Role.BACKEND, 48.0)]
    membership.on_list(core.members, larger, 4.0)
    assert not _refused(core, 4.0)


class _Http:
    def __init__(self) -> None:
        self.result = HttpResult(CallFailure.TIMED_OUT)

    def send(self, call: HttpCall, done: Any) -> None:
        done(self.result)


class _NoTimers:
    def after(self, delay_s: float, action: Any) -> None:
        """Poll no further."""


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
    assert fired == ["fleet_listed", "fleet_list_failed", "fleet_listed", "fleet_list_failed"]

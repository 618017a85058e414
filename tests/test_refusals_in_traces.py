"""Refusals for good in replays, which depend on reads that traces of format 1 do not hold."""

import json
from typing import Any

import pytest

from spoolcrank import trace
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId, JobId, Offset
from spoolcrank.jobs import JobSpec, Size
from spoolcrank.records import Entry, Envelope, JobAccepted
from spoolcrank.replay import replay

HEADER = {"me": "entry-a1", "incarnation": "entry-a1-1", "zone": "a", "started_at": 0.0}
SMALL_FLEET = [
    Instance(
        id=InstanceId(name),
        role=role,
        availability_zone=AvailabilityZone("a"),
        address=Address("127.0.0.1:1"),
        processors=8.0,
        memory_mb=64_000.0,
    )
    for name, role in (("entry-a1", Role.ENTRY), ("backend-a1", Role.BACKEND))
]


def _too_large() -> dict[str, Any]:
    spec = JobSpec(name="large", size=Size(processors=30.0, memory_mb=1000.0))
    record = JobAccepted(job=JobId("job-1"), spec=spec)
    envelope = Envelope(writer=Incarnation("w"), seq=1, at=10.0, record=record)
    return trace.entry_input(Entry(Offset(0), envelope))


def _tick() -> dict[str, Any]:
    return {"kind": "tick", "wall": 12.0, "waiting": {}, "rates": {}, "busy": {}}


def _replayed(header: dict[str, Any], *reads: dict[str, Any]) -> list[str]:
    """Return the decisions about a job too large for the fleet, with reads before the last."""
    inputs = [
        (10.0, trace.list_input(SMALL_FLEET)),
        (10.0, _too_large()),
        (10.0, {"kind": "read", "asked_at": 10.0}),
        *((10.0 + 0.1 * count, _tick()) for count in range(1, 19)),
        *((11.9, read) for read in reads),
        (11.9, {"kind": "read", "asked_at": 11.9}),
        (12.0, _tick()),
    ]
    lines = [json.dumps({"t": now, "in": traced, "out": []}) for now, traced in inputs]
    differences = replay([json.dumps(header), *lines]).differences
    return [decision for difference in differences for decision in difference.replayed]


REFUSAL = "append refuse job-1"


def test_a_refusal_in_a_trace_of_format_1_replays() -> None:
    """Guards against traces of earlier versions that replay to other decisions."""
    assert REFUSAL in _replayed(HEADER)


@pytest.mark.parametrize("missing", [None, "config-read", "list-read"])
def test_a_refusal_depends_on_the_reads_in_a_trace(missing: str | None) -> None:
    header = {**HEADER, "format": trace.FORMAT}
    kinds = [kind for kind in ("config-read", "list-read") if kind != missing]
    reads = [{"kind": kind, "asked_at": 11.0} for kind in kinds]
    assert (REFUSAL in _replayed(header, *reads)) is (missing is None)

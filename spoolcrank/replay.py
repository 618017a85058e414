"""Replay a recorded trace and check that the core makes the decisions in the trace."""

import base64
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from spoolcrank import _wire, membership, ownership_transfer, policy
from spoolcrank import core as decisions
from spoolcrank.fleet import Instance
from spoolcrank.ids import (
    AvailabilityZone,
    ConfigVersion,
    Incarnation,
    InstanceId,
    Offset,
    ServiceName,
)
from spoolcrank.ledger import load
from spoolcrank.membership import Heartbeat, Members
from spoolcrank.records import Entry, parse_envelope
from spoolcrank.state import Core, CoreAction, new_core
from spoolcrank.trace import FORMAT, describe_action
from spoolcrank.worker import Refused, Report


class Difference(NamedTuple):
    """A line of a trace for which the replay made other decisions than the trace records."""

    line: int
    recorded: list[str]
    replayed: list[str]


class ReplayResult(NamedTuple):
    """The number of inputs and decisions of a replay, and the differences from the trace."""

    input_count: int
    decision_count: int
    differences: list[Difference]


def replay(lines: Iterable[str]) -> ReplayResult:
    """Replay the lines of a trace.

    Raises ValueError or KeyError if a line cannot be read.
    """
    core: Core | None = None
    input_count = decision_count = 0
    differences = []
    for number, text in enumerate(lines, 1):
        line = json.loads(text)
        if core is None:
            core = _new_core(line)
            continue
        out = [describe_action(action) for action in _apply_input(core, line["t"], line["in"])]
        input_count += 1
        decision_count += len(out)
        if out != line["out"]:
            differences.append(Difference(number, line["out"], out))
    return ReplayResult(input_count, decision_count, differences)


MORE_THAN_ALL_SLOTS = 1 << 20
"""Number of busy slots that exceeds the slot count of every runner."""


def _new_core(header: dict[str, Any]) -> Core:
    members = Members(
        InstanceId(header["me"]),
        Incarnation(header["incarnation"]),
        AvailabilityZone(header["zone"]),
        header["started_at"],
    )
    core = new_core(members)
    if header.get("format", 1) < FORMAT:
        core.config_read_at = core.members.list_read_at = float("inf")
    return core


def _apply_input(core: Core, now: float, trace_input: dict[str, Any]) -> list[CoreAction]:
    match trace_input["kind"]:
        case "tick":
            return _tick(core, now, trace_input)
        case "entry":
            envelope = parse_envelope(trace_input["envelope"])
            return decisions.on_entry(core, Entry(Offset(trace_input["offset"]), envelope), now)
        case "report":
            report = Report.model_validate(trace_input["report"])
            server = InstanceId(trace_input["server"])
            return decisions.on_report(core, server, report, trace_input["sent_at"], now)
        case "ledger":
            return decisions.replace_ledger(core, load(trace_input["ledger"]), now)
        case "refused":
            refused = Refused.model_validate(trace_input["refused"])
            return decisions.on_refused(core, InstanceId(trace_input["server"]), refused, now)
        case "handover":
            server = InstanceId(trace_input["server"])
            return ownership_transfer.on_handover(
                core, server, trace_input["epoch"], trace_input["busy"], now
            )
    _apply_observation(core, now, trace_input)
    return []


def _tick(core: Core, now: float, trace_input: dict[str, Any]) -> list[CoreAction]:
    rates = trace_input["rates"]
    core.service_rate = lambda service: float(rates.get(service, 0.0))
    # Older traces have no `busy` field. When they were recorded, the core reserved all slots of
    # each runner.
    busy = trace_input.get("busy")
    core.busy_slots = lambda server: (
        int(busy.get(server, 0)) if busy is not None else MORE_THAN_ALL_SLOTS
    )
    for server, owned in core.owned.items():
        owned.waiting = int(trace_input["waiting"].get(server, 0))
    return decisions.tick(core, now, trace_input["wall"])


def _apply_observation(core: Core, now: float, trace_input: dict[str, Any]) -> None:
    match trace_input["kind"]:
        case "list":
            listed = [Instance.model_validate(instance) for instance in trace_input["instances"]]
            membership.on_list(core.members, listed, now)
        case "list-read":
            membership.on_list_read(core.members, trace_input["asked_at"])
        case "list-failed":
            membership.on_list_failed(core.members)
        case "beat":
            frame = _wire.FrameReader().feed(base64.b64decode(trace_input["frame"]))[0]
            if isinstance(frame.message, Heartbeat):
                decisions.on_heartbeat(core, frame.message, now)
        case "read":
            decisions.on_log_read(core, trace_input["asked_at"])
        case "config-read":
            decisions.on_config_read(core, trace_input["asked_at"])
        case "log-failed":
            decisions.on_log_failed(core, now)
        case "silent":
            decisions.on_silence(core, InstanceId(trace_input["server"]), now)
        case "latency":
            core.interference_model.on_latency(
                InstanceId(trace_input["server"]), trace_input["latency_s"], now
            )
        case "config":
            core.policy = policy.parse(trace_input["toml"]).value_or(core.policy)
            core.config_version = ConfigVersion(trace_input["version"])
        case other:
            raise ValueError(f"unknown kind of trace input: {other!r}")


def tick_input(core: Core, wall: float) -> dict[str, Any]:
    """Return the input for a tick; `wall` is the time of day in seconds."""
    waiting = {server: owned.waiting for server, owned in core.owned.items()}
    rates = service_rates(core)
    busy = {server: core.busy_slots(server) for server in core.owned}
    return {"kind": "tick", "wall": wall, "waiting": waiting, "rates": rates, "busy": busy}


def service_rates(core: Core) -> dict[str, float]:
    """Return the request rate of every service of a listed instance, by service name.

    A trace stores them with each tick, because any decision of the core may depend on them.
    """
    services = {instance.service for instance in core.members.listed.values() if instance.service}
    return {str(name): core.service_rate(ServiceName(name)) for name in sorted(services)}

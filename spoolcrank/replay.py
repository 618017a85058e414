"""Feed a recorded trace to the decisions and check that they decide as stated."""

import base64
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from spoolcrank import _wire, membership, policy, tenure
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
from spoolcrank.trace import words
from spoolcrank.worker import Refused, Report


class Difference(NamedTuple):
    """A line of a trace at which the decisions were not as stated."""

    line: int
    stated: list[str]
    decided: list[str]


class Replayed(NamedTuple):
    """What a replay came to."""

    inputs: int
    decided: int
    differences: list[Difference]


def replay(lines: Iterable[str]) -> Replayed:
    """Replay a trace; raises ValueError or KeyError where it cannot be read."""
    core: Core | None = None
    inputs = decided = 0
    differences = []
    for number, text in enumerate(lines, 1):
        line = json.loads(text)
        if core is None:
            core = _begin(line)
            continue
        out = [words(action) for action in _feed(core, line["t"], line["in"])]
        inputs += 1
        decided += len(out)
        if out != line["out"]:
            differences.append(Difference(number, line["out"], out))
    return Replayed(inputs, decided, differences)


ALL_SLOTS = 1 << 20
"""Above the slots of any runner."""


def _begin(header: dict[str, Any]) -> Core:
    members = Members(
        InstanceId(header["me"]),
        Incarnation(header["incarnation"]),
        AvailabilityZone(header["zone"]),
        header["started_at"],
    )
    return new_core(members)


def _feed(core: Core, now: float, told: dict[str, Any]) -> list[CoreAction]:
    match told["kind"]:
        case "tick":
            return _tick(core, now, told)
        case "entry":
            envelope = parse_envelope(told["envelope"])
            return decisions.on_entry(core, Entry(Offset(told["offset"]), envelope), now)
        case "report":
            report = Report.model_validate(told["report"])
            server = InstanceId(told["server"])
            return decisions.on_report(core, server, report, told["sent_at"], now)
        case "ledger":
            return decisions.replace_ledger(core, load(told["ledger"]), now)
        case "refused":
            refused = Refused.model_validate(told["refused"])
            return decisions.on_refused(core, InstanceId(told["server"]), refused, now)
        case "handover":
            server = InstanceId(told["server"])
            return tenure.on_handover(core, server, told["epoch"], told["busy"], now)
    _learn(core, now, told)
    return []


def _tick(core: Core, now: float, told: dict[str, Any]) -> list[CoreAction]:
    rates = told["rates"]
    core.service_rate = lambda service: float(rates.get(service, 0.0))
    # Older traces say nothing of it: all slots of each runner were set aside then.
    busy = told.get("busy")
    core.busy_slots = lambda server: int(busy.get(server, 0)) if busy is not None else ALL_SLOTS
    for server, owned in core.owned.items():
        owned.waiting = int(told["waiting"].get(server, 0))
    return decisions.tick(core, now, told["wall"])


def _learn(core: Core, now: float, told: dict[str, Any]) -> None:
    match told["kind"]:
        case "list":
            listed = [Instance.model_validate(one) for one in told["instances"]]
            membership.on_list(core.members, listed, now)
        case "beat":
            frame = _wire.FrameReader().feed(base64.b64decode(told["frame"]))[0]
            if isinstance(frame.message, Heartbeat):
                decisions.on_heartbeat(core, frame.message, now)
        case "read":
            decisions.on_log_read(core, told["asked_at"])
        case "log-failed":
            decisions.on_log_failed(core, now)
        case "silent":
            decisions.on_silence(core, InstanceId(told["server"]), now)
        case "latency":
            core.learnt.on_latency(InstanceId(told["server"]), told["latency_s"], now)
        case "config":
            core.policy = policy.parse(told["toml"]).value_or(core.policy)
            core.config_version = ConfigVersion(told["version"])
        case other:
            raise ValueError(f"unknown input {other!r}")


def rates_of(core: Core) -> dict[str, float]:
    """Return the request rates that a tick may use, by service."""
    services = {one.service for one in core.members.listed.values() if one.service}
    return {str(name): core.service_rate(ServiceName(name)) for name in sorted(services)}

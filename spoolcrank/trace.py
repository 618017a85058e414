"""Record the inputs and the decisions of the core of a live instance for a later replay.

A trace consists of JSON lines. The first line identifies the instance. Each further line holds the
monotonic time `t`, the input `in` with its `kind`, and short descriptions of the decisions `out`.
"""

import base64
import json
from collections.abc import Iterable
from typing import Any

from spoolcrank import _wire
from spoolcrank.fleet import Instance, dump_list
from spoolcrank.ids import InstanceId
from spoolcrank.ledger import Ledger
from spoolcrank.ledger import dump as dump_ledger
from spoolcrank.membership import Heartbeat, Members
from spoolcrank.owned_server import Append, Send
from spoolcrank.records import Entry, dump
from spoolcrank.state import CoreAction, Handover, LogEvent
from spoolcrank.worker import Refused, Report

FORMAT = 2
"""Format of the traces written; one of format 1, which its header does not name, has no reads of
configurations, and none of a list that has not changed."""

_SUBJECT_FIELDS = ("task", "job", "server", "key", "target")
"""Fields of a record that name its subject, in order of preference."""


def describe_action(action: CoreAction) -> str:
    """Return a short description of a decision, which is the same in every replay."""
    match action:
        case Append(record):
            fields = record.model_dump()
            subject = next((str(fields[name]) for name in _SUBJECT_FIELDS if name in fields), "")
            return f"append {record.kind} {subject}".rstrip()
        case Send(server, command):
            task = getattr(command, "task", "")
            return f"{type(command).__name__.lower()} {server} {task}".rstrip()
        case Handover():
            return f"handover {action.server} {action.to}"
        case LogEvent(name, fields):
            return " ".join([f"note {name}", *(f"{k}={fields[k]}" for k in sorted(fields))])


class Recorder:
    """Writer of a trace file, which it opens and overwrites at once."""

    def __init__(self, path: str, members: Members) -> None:
        self._file = open(path, "w", encoding="utf-8", buffering=1)  # noqa: SIM115
        self._write(
            {
                "format": FORMAT,
                "me": members.me,
                "incarnation": members.incarnation,
                "zone": members.zone,
                "started_at": members.started_at,
            }
        )

    def _write(self, line: dict[str, Any]) -> None:
        self._file.write(json.dumps(line) + "\n")

    def record_input(
        self, now: float, trace_input: dict[str, Any], actions: Iterable[CoreAction] = ()
    ) -> None:
        """Write one input and the decisions that the core made on it."""
        self._write(
            {"t": now, "in": trace_input, "out": [describe_action(action) for action in actions]}
        )


def list_input(instances: list[Instance]) -> dict[str, Any]:
    """Return the input for the platform's instance list."""
    return {"kind": "list", "instances": dump_list(instances)}


def entry_input(entry: Entry) -> dict[str, Any]:
    """Return the input for a record read from the log."""
    return {"kind": "entry", "offset": entry.offset, "envelope": dump(entry.envelope)}


def ledger_input(ledger: Ledger) -> dict[str, Any]:
    """Return the input for a ledger received from a peer or read from a snapshot."""
    return {"kind": "ledger", "ledger": dump_ledger(ledger)}


def heartbeat_input(heartbeat: Heartbeat) -> dict[str, Any]:
    """Return the input for a peer's heartbeat, which holds the encoded thrift frame."""
    frame = _wire.encode(heartbeat.sender, heartbeat)
    return {"kind": "beat", "frame": base64.b64encode(frame).decode()}


def report_input(server: InstanceId, report: Report, sent_at: float) -> dict[str, Any]:
    """Return the input for a worker's report."""
    body = report.model_dump(mode="json")
    return {"kind": "report", "server": server, "report": body, "sent_at": sent_at}


def refusal_input(server: InstanceId, refused: Refused) -> dict[str, Any]:
    """Return the input for a worker's refusal of a command."""
    return {"kind": "refused", "server": server, "refused": refused.model_dump(mode="json")}

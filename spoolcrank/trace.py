"""Record what the core of a live instance was told and what it decided, for replay.

A trace is JSON lines. The first names the instance; each other line has the monotonic time
`t`, the input `in` with its `kind`, and the decisions `out` in short words.
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
from spoolcrank.state import CoreAction, Handover, Note
from spoolcrank.worker import Refused, Report

_NAMED_BY = ("task", "job", "server", "key", "target")


def words(action: CoreAction) -> str:
    """Return a decision in a few words that stay the same between runs."""
    match action:
        case Append(record):
            fields = record.model_dump()
            about = next((str(fields[name]) for name in _NAMED_BY if name in fields), "")
            return f"append {record.kind} {about}".rstrip()
        case Send(server, command):
            task = getattr(command, "task", "")
            return f"{type(command).__name__.lower()} {server} {task}".rstrip()
        case Handover():
            return f"handover {action.server} {action.to}"
        case Note(name, fields):
            return " ".join([f"note {name}", *(f"{k}={fields[k]}" for k in sorted(fields))])


class Recorder:
    """Write a trace to a file."""

    def __init__(self, path: str, members: Members) -> None:
        self._file = open(path, "w", encoding="utf-8", buffering=1)  # noqa: SIM115
        self._write(
            {
                "me": members.me,
                "incarnation": members.incarnation,
                "zone": members.zone,
                "started_at": members.started_at,
            }
        )

    def _write(self, line: dict[str, Any]) -> None:
        self._file.write(json.dumps(line) + "\n")

    def note(self, now: float, told: dict[str, Any], actions: Iterable[CoreAction] = ()) -> None:
        """Write one input and what was decided on it."""
        self._write({"t": now, "in": told, "out": [words(action) for action in actions]})


def told_list(instances: list[Instance]) -> dict[str, Any]:
    """Return the input for the platform's list."""
    return {"kind": "list", "instances": dump_list(instances)}


def told_entry(entry: Entry) -> dict[str, Any]:
    """Return the input for a record read from the log."""
    return {"kind": "entry", "offset": entry.offset, "envelope": dump(entry.envelope)}


def told_ledger(ledger: Ledger) -> dict[str, Any]:
    """Return the input for a ledger taken from a peer or a snapshot."""
    return {"kind": "ledger", "ledger": dump_ledger(ledger)}


def told_beat(beat: Heartbeat) -> dict[str, Any]:
    """Return the input for a peer's heartbeat, as its thrift frame."""
    frame = _wire.encode(beat.sender, beat)
    return {"kind": "beat", "frame": base64.b64encode(frame).decode()}


def told_report(server: InstanceId, report: Report, sent_at: float) -> dict[str, Any]:
    """Return the input for a worker's report."""
    body = report.model_dump(mode="json")
    return {"kind": "report", "server": server, "report": body, "sent_at": sent_at}


def told_refused(server: InstanceId, refused: Refused) -> dict[str, Any]:
    """Return the input for a worker's no."""
    return {"kind": "refused", "server": server, "refused": refused.model_dump(mode="json")}

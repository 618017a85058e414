"""List the modules that the build compiles, and those of the daemon that stay plain Python.

Every module that the daemon of `spoolcrank serve` imports at its start is on one of the two lists.
Those that only forwarding imports, where it is on, stay plain.
"""

import hashlib
from collections.abc import Mapping
from enum import Enum
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

COMPILED_FOLDER = Path("target/native")
"""Folder of the compiled modules below the root of the repository."""

DIGEST_FILE = "DIGEST"
"""File beside the compiled modules with the digest of the sources they were compiled from."""

BUILD_REQUIREMENTS = Path("requirements-build.txt")
"""Pinned packages that compile, in a file below the root of the repository."""


class PlainReason(Enum):
    """Why a module is not compiled.

    Attributes:
        EVENT_LOOP: components of circuits, sockets or HTTP; the libraries inspect their classes.
        STORED_STRUCT: msgspec reads the annotations of a struct when the class is made, and mypyc
            erases the arguments of generic types in them: nested structs would stay dicts.
        START: imported before it is known whether the compiled modules can be used.
        SELDOM: runs for seconds at a planned stop only.
        PORT: a protocol that is implemented elsewhere; there is nothing to run.
    """

    EVENT_LOOP = "event loop"
    STORED_STRUCT = "stored struct"
    START = "start"
    SELDOM = "seldom"
    PORT = "port"


PLAIN: Mapping[str, PlainReason] = {
    "_dialer": PlainReason.EVENT_LOOP,
    "_http": PlainReason.EVENT_LOOP,
    "_runtime": PlainReason.EVENT_LOOP,
    "_timers": PlainReason.EVENT_LOOP,
    "_web": PlainReason.EVENT_LOOP,
    "_web_sockets": PlainReason.EVENT_LOOP,
    "compiled_import": PlainReason.START,
    "compiled_modules": PlainReason.START,
    "errors": PlainReason.START,
    "instance_stop": PlainReason.SELDOM,
    "leadership": PlainReason.STORED_STRUCT,
    "learned_state": PlainReason.STORED_STRUCT,
    "mechanisms": PlainReason.START,
    "peer_directory": PlainReason.STORED_STRUCT,
    "platform.clients": PlainReason.EVENT_LOOP,
    "platform.daemon": PlainReason.EVENT_LOOP,
    "platform.documents": PlainReason.STORED_STRUCT,
    "platform.runners": PlainReason.STORED_STRUCT,
    "platform.settings": PlainReason.STORED_STRUCT,
    "platform.store": PlainReason.STORED_STRUCT,
    "prometheus_metrics": PlainReason.EVENT_LOOP,
    "runner_port": PlainReason.PORT,
    "serve_args": PlainReason.START,
    "store_port": PlainReason.PORT,
    "telemetry": PlainReason.EVENT_LOOP,
    "workflow": PlainReason.STORED_STRUCT,
}
"""Modules of the daemon that are not compiled, below the package, with the reason."""

COMPILED: tuple[str, ...] = (
    "_web_incoming",
    "abandoned_runs",
    "abnormal_ends",
    "backlog",
    "batching",
    "binding",
    "claiming",
    "common_cause",
    "contention",
    "crash_evidence",
    "crash_history",
    "crash_verdict",
    "debounce",
    "decoding",
    "demand_forecast",
    "dispatcher",
    "earlier_incarnations",
    "exchanges",
    "filler_claims",
    "filler_pace",
    "forwarding",
    "gang_restarts",
    "gangs",
    "giving_way",
    "held_fillers",
    "hold_log",
    "hold_watch",
    "hold_words",
    "idle_capacity",
    "idle_polls",
    "ids",
    "isolation",
    "job_index",
    "job_intake",
    "job_state",
    "keyed_log",
    "late_starts",
    "leader_gauges",
    "leader_records",
    "leader_writer",
    "leadership_monitor",
    "list_probe",
    "log_event_groups",
    "log_events",
    "log_follower",
    "objective",
    "open_requests",
    "openings",
    "order_answers",
    "order_sender",
    "orders",
    "pacing",
    "packing",
    "peers_setting",
    "pending_writes",
    "periodic_work",
    "placing",
    "placing_pass",
    "planned_stop",
    "poll_budget",
    "polling",
    "preassignment",
    "ranking",
    "read_window",
    "regrouping",
    "reservation",
    "routes",
    "run_control",
    "run_ends",
    "run_timeouts",
    "runner_directory",
    "runner_hold",
    "runner_ids",
    "runner_listing",
    "runner_loss",
    "runner_pools",
    "runner_state",
    "runs",
    "scheduler",
    "short_task_room",
    "shortages",
    "start_window",
    "stated_runners",
    "step_times",
    "store_health",
    "takeover",
    "task_hold",
    "unknown_runs",
    "unreached_runners",
    "waiting_needs",
    "web_group",
    "zone_silence",
)
"""Modules that are compiled, below the package."""


def source_digest(root: Path) -> str:
    """Return the digest of all that the compiled modules depend on.

    This is every source of the package, as constants of plain modules may be compiled in, the
    pinned build tools and the interpreter's ABI.
    """
    digest = hashlib.sha256(EXTENSION_SUFFIXES[0].encode())
    for path in (root / BUILD_REQUIREMENTS, *sorted((root / "spoolcrank").rglob("*.py"))):
        content = path.read_bytes() if path.exists() else b""
        digest.update(f"\n{path.relative_to(root)} {len(content)}\n".encode())
        digest.update(content)
    return digest.hexdigest()


def stored_digest(folder: Path) -> str:
    """Return the digest stored beside compiled modules; empty if there is no readable one."""
    try:
        return (folder / DIGEST_FILE).read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""

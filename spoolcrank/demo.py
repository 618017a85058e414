"""Run the whole system in one process over loopback sockets and check its invariants."""

import json
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

from spoolcrank import invariants, load
from spoolcrank._runtime import Runtime
from spoolcrank.entry import Entry
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import Address, AvailabilityZone, InstanceId, Rack, ServiceName
from spoolcrank.resources import Resources
from spoolcrank.settings import check_entry
from spoolcrank.standin_backend import BackendSettings, BackendStandin
from spoolcrank.standin_instances import InstancesStandin
from spoolcrank.standin_log import LogStandin

ZONES = ("a", "b", "c")
SERVICE = "quotes"
_ANY_PORT = Address("127.0.0.1:0")
_ENTRIES_PER_ZONE = 2
_BACKENDS_PER_ZONE = 2
_REQUESTS_PER_S = 30.0
_READY_TIMEOUT_S = 30.0
_FINISH_TIMEOUT_S = 60.0
_HTTP_TIMEOUT_S = 10.0
_SLOWDOWNS = {"noisy": 0.15, "settlement": 0.01}

JOBS: list[dict[str, Any]] = [
    {
        "name": "settlement",
        "tasks": 12,
        "size": {"processors": 2, "memory_mb": 2000},
        "team": "accounts",
        "payload": {"run_s": 3},
    },
    {
        "name": "noisy",
        "tasks": 6,
        "size": {"processors": 4, "memory_mb": 8000},
        "team": "underwriting",
        "payload": {"run_s": 4},
    },
    {
        "name": "premium-notice",
        "tasks": 3,
        "size": {"processors": 1, "memory_mb": 500},
        "repeatable": False,
        "payload": {"run_s": 1},
    },
    {
        "name": "model",
        "tasks": 2,
        "size": {"processors": 1, "memory_mb": 500, "accelerators": 1},
        "payload": {"run_s": 2},
    },
    {"name": "audit-watcher", "class": "watcher", "urgency": 8, "payload": {"run_s": 2}},
    {"name": "far-too-large", "size": {"processors": 500, "memory_mb": 1000}},
]


class _Fleet(NamedTuple):
    entries: list[str]
    backends: list[str]
    stop: Callable[[], None]


def _start() -> _Fleet:
    stops: list[Callable[[], None]] = []
    listed: list[Instance] = []
    log_runtime = Runtime()
    log = LogStandin(log_runtime, _ANY_PORT, 3600.0)
    stops.append(log_runtime.run_in_thread())
    backends = []
    for zone in ZONES:
        for number in range(1, _BACKENDS_PER_ZONE + 1):
            instance, stop = _start_backend(zone, number)
            listed.append(instance)
            backends.append(str(instance.address))
            stops.append(stop)
    list_runtime = Runtime()
    standin = InstancesStandin(list_runtime, _ANY_PORT, listed, 0.0)
    stops.append(list_runtime.run_in_thread())
    entries = []
    for zone in ZONES:
        for number in range(1, _ENTRIES_PER_ZONE + 1):
            runtime = Runtime()
            settings = check_entry(
                instance_id=f"entry-{zone}{number}",
                availability_zone=zone,
                listen=_ANY_PORT,
                peer_listen=_ANY_PORT,
                log=f"{log.web.host}:{log.web.port}",
                instances=f"{standin.web.host}:{standin.web.port}",
            )
            entry = Entry(runtime, settings)
            stops.insert(0, runtime.run_in_thread())
            address = Address(f"{entry.web.host}:{entry.web.port}")
            entries.append(str(address))
            instance = Instance(
                id=settings.instance_id,
                role=Role.ENTRY,
                availability_zone=settings.availability_zone,
                address=address,
                peer_address=entry.peers.listen,
            )
            _put(f"{standin.web.host}:{standin.web.port}", instance)

    def stop_all() -> None:
        for stop in stops:
            stop()

    return _Fleet(entries, backends, stop_all)


def _start_backend(zone: str, number: int) -> tuple[Instance, Callable[[], None]]:
    runtime = Runtime()
    settings = BackendSettings(
        instance_id=InstanceId(f"backend-{zone}{number}"),
        availability_zone=AvailabilityZone(zone),
        listen=_ANY_PORT,
        capacity=Resources(16, 32_000, 1 if number == 1 else 0),
        service=ServiceName(SERVICE),
        slots=4,
        service_time_ms=20.0,
        slowdowns=_SLOWDOWNS,
        speed=1.0 if number == 1 else 0.8,
    )
    backend = BackendStandin(runtime, settings)
    instance = Instance(
        id=settings.instance_id,
        role=Role.BACKEND,
        availability_zone=settings.availability_zone,
        rack=Rack(f"{zone}-r{number}"),
        address=Address(f"{backend.web.host}:{backend.web.port}"),
        processors=settings.capacity.processors,
        memory_mb=settings.capacity.memory_mb,
        accelerators=settings.capacity.accelerators,
        service=settings.service,
        slots=settings.slots,
        kind="new" if number == 1 else "old",
    )
    return instance, runtime.run_in_thread()


def _http(method: str, address: str, path: str, body: Any = None) -> tuple[int, Any]:
    host, _, port = address.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=_HTTP_TIMEOUT_S)
    try:
        conn.request(method, path, json.dumps(body) if body is not None else None)
        res = conn.getresponse()
        return res.status, json.loads(res.read() or b"{}")
    finally:
        conn.close()


def _put(address: str, instance: Instance) -> None:
    _http("PUT", address, f"/instances/{instance.id}", instance.model_dump(mode="json"))


def _wait(condition: Callable[[], bool], timeout_s: float) -> bool:
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        try:
            if condition():
                return True
        except (OSError, HTTPException, ValueError):
            pass
        time.sleep(0.1)
    return False


def _job(entry: str, job: str) -> dict[str, Any]:
    state: dict[str, Any] = _http("GET", entry, f"/jobs/{job}")[1]
    return state


def _is_ready(entry: str) -> bool:
    return _http("GET", entry, "/health/ready")[0] == 200


def run(seconds: float, console: Console) -> int:
    """Run the demo and return 0 if every invariant that it can check held, otherwise 1."""
    console.print("starting a log, an instance list, 6 backend servers and 6 entry instances")
    fleet = _start()
    try:
        return _run(fleet, seconds, console)
    finally:
        fleet.stop()


def _run(fleet: _Fleet, seconds: float, console: Console) -> int:
    if not _wait(lambda: all(_is_ready(entry) for entry in fleet.entries), _READY_TIMEOUT_S):
        console.print("the entry instances did not become ready", style="red")
        return 1
    _wait(lambda: all(_journal(backend)["owner"] for backend in fleet.backends), _READY_TIMEOUT_S)
    console.print(f"sending {_REQUESTS_PER_S:g} requests/s to {SERVICE} and {len(JOBS)} jobs")
    jobs = {
        job["name"]: load.submit_job(fleet.entries[number % len(fleet.entries)], job)
        for number, job in enumerate(JOBS)
    }
    reports: list[load.LoadReport] = []
    plan = load.LoadPlan(fleet.entries, SERVICE, _REQUESTS_PER_S, seconds, keyed_share=0.1)
    load_thread = threading.Thread(target=lambda: reports.append(load.offer(plan)))
    load_thread.start()
    _show_progress(fleet, jobs, load_thread, console)
    expected_states = {job["name"]: _expected_state(job) for job in JOBS}
    finished = _wait(
        lambda: all(
            _job(fleet.entries[-1], jobs[name])["state"] == state
            for name, state in expected_states.items()
        ),
        _FINISH_TIMEOUT_S,
    )
    breaches = invariants.check(
        [_journal(backend) for backend in fleet.backends],
        reports[0].request_results,
        [jobs["premium-notice"]],
    )
    _show_jobs(fleet, jobs, console)
    load.render(reports[0], console)
    _show_counters(fleet, console)
    if not finished:
        breaches.append(
            invariants.Breach("jobs finish", "a job did not reach its expected state in time")
        )
    if len(reports[0].answered) < 0.95 * len(reports[0].request_results):
        breaches.append(
            invariants.Breach(
                "services answer", "services answered fewer than 95 % of the requests"
            )
        )
    for breach in breaches:
        console.print(f"violated: {breach.invariant}: {breach.detail}", style="red")
    if not breaches:
        console.print("every invariant that this demo can check held", style="green")
    return 1 if breaches else 0


def _expected_state(job: dict[str, Any]) -> str:
    if job["name"] == "far-too-large":
        return "refused"
    return "running" if job.get("class") == "watcher" else "finished"


def _journal(backend: str) -> dict[str, Any]:
    journal: dict[str, Any] = _http("GET", backend, "/journal")[1]
    return journal


def _show_progress(
    fleet: _Fleet, jobs: dict[str, str], load_thread: threading.Thread, console: Console
) -> None:
    while load_thread.is_alive():
        load_thread.join(2.0)
        states = [_job(fleet.entries[0], job)["state"] for job in jobs.values()]
        request_count = sum(len(_journal(backend)["requests"]) for backend in fleet.backends)
        finished_count = sum(state == "finished" for state in states)
        console.print(
            f"  {request_count} runner requests, {finished_count} of {len(jobs)} jobs finished"
        )


def _show_jobs(fleet: _Fleet, jobs: dict[str, str], console: Console) -> None:
    journals = [_journal(backend) for backend in fleet.backends]
    table = Table("job", "state", "tasks", "starts", "evictions", "why", title="Jobs")
    for name, job in jobs.items():
        job_state = _job(fleet.entries[1], job)
        runs = [
            run
            for journal in journals
            for run in journal["runs"]
            if run["task"].startswith(f"{job}.")
        ]
        eviction_count = sum(run["how"] == "evicted" for run in runs)
        table.add_row(
            name,
            job_state["state"],
            str(len(job_state["tasks"])),
            str(len(runs)),
            str(eviction_count),
            job_state.get("reason", ""),
        )
    console.print(table)


def _show_counters(fleet: _Fleet, console: Console) -> None:
    totals: dict[str, int] = {}
    for entry in fleet.entries:
        for name, count in _http("GET", entry, "/metrics")[1]["counters"].items():
            if name.startswith(("refused.", "retry.", "route.")):
                totals[name] = totals.get(name, 0) + count
    table = Table("counter", "all entry instances", title="Refusals and retries by reason")
    for name, count in sorted(totals.items()):
        table.add_row(name, str(count))
    console.print(table)


if __name__ == "__main__":
    run(12.0, Console())

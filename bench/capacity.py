"""Measure what entry instances cost at three fleet sizes and project it to the planned size.

The results go to `bench/capacity.json`, which docs/CAPACITY.md quotes.
"""

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

from bench.processes import Fleet, call, plan_backends, wait_for
from spoolcrank import _wire, core, ledger_records, load, membership, servers
from spoolcrank import ledger as ledgers
from spoolcrank.fleet import Instance, Role
from spoolcrank.ids import (
    Address,
    AvailabilityZone,
    ConfigVersion,
    Epoch,
    Incarnation,
    InstanceId,
    JobId,
    Offset,
    ServiceName,
    TaskId,
)
from spoolcrank.jobs import JobClass, JobSpec, Size
from spoolcrank.membership import Echo, Heartbeat, Members, ServerStatus
from spoolcrank.records import Claimed, Entry, Envelope, JobAccepted, Placed, dump
from spoolcrank.resources import Resources
from spoolcrank.state import Core, new_core
from spoolcrank.worker import Report, RunningTask

RESULTS = Path(__file__).with_name("capacity.json")
SIZES = (24, 96, 384)
ENTRIES = 9
TASKS_PER_SERVER = 9
# The size of the fleet that is planned for two years ahead.
PLANNED_SERVERS, PLANNED_ZONES, PLANNED_STARTS, PLANNED_TASKS = 660, 8, 70.0, 5800
PLANNED_ENTRIES_PER_ZONE = 9


class ProjectedCost(NamedTuple):
    """A cost measured at each fleet size, and projected to the size planned for two years ahead."""

    name: str
    unit: str
    at: dict[int, float]
    projected: float


def _mean_us(action: Callable[[], Any], min_duration_s: float = 0.2) -> float:
    """Repeat an action for at least `min_duration_s` and return its mean time in microseconds."""
    count, started_at = 0, time.perf_counter()
    while time.perf_counter() - started_at < min_duration_s:
        action()
        count += 1
    return (time.perf_counter() - started_at) / count * 1e6


def _instances(size: int) -> list[Instance]:
    entries = [
        Instance(
            id=InstanceId(f"entry-{number}"),
            role=Role.ENTRY,
            availability_zone=AvailabilityZone("a"),
            address=Address("x:1"),
        )
        for number in range(ENTRIES)
    ]
    backends = [
        Instance(
            id=InstanceId(f"backend-{number}"),
            role=Role.BACKEND,
            availability_zone=AvailabilityZone("a"),
            address=Address("x:1"),
            processors=32,
            memory_mb=125_000,
            service=ServiceName("quotes"),
            slots=8,
        )
        for number in range(size)
    ]
    return entries + backends


def _owner_core(size: int) -> Core:
    """Return the core of one of nine owners, with its share of `size` busy backend servers."""
    me = InstanceId("entry-0")
    members = Members(me, Incarnation("entry-0-1"), AvailabilityZone("a"), 0.0)
    owner_core = new_core(members)
    membership.on_list(members, _instances(size), 0.0)
    offset = 0

    def append(record: Any) -> None:
        nonlocal offset
        env = Envelope(writer=Incarnation("w"), seq=offset + 1, at=10.0, record=record)
        core.on_entry(owner_core, Entry(Offset(offset), env), 10.0)
        offset += 1

    for number in range(size):
        owner = number % ENTRIES
        claim = Claimed(
            server=InstanceId(f"backend-{number}"),
            owner=InstanceId(f"entry-{owner}"),
            incarnation=Incarnation(f"entry-{owner}-1"),
            epoch=Epoch(1024),
        )
        append(claim)
        spec = JobSpec(name="job", tasks=TASKS_PER_SERVER, size=Size(processors=1.0))
        append(JobAccepted(job=JobId(f"job-{number}"), spec=spec))
        for task in range(TASKS_PER_SERVER):
            append(
                Placed(
                    task=TaskId(f"job-{number}.{task}"),
                    attempt=1,
                    server=claim.server,
                    server_incarnation=Incarnation("s"),
                    epoch=Epoch(1024),
                    size=spec.size,
                )
            )
    for number in range(1, ENTRIES):
        core.on_heartbeat(owner_core, _heartbeat(number, size), 10.0)
    owner_core.members.witness_at = owner_core.log_ok_at = 10.0
    owner_core.acting = True
    owner_core.ticked_at = 10.0
    for owned in owner_core.owned.values():
        report = _report(owned)
        servers.on_report(
            owned,
            report,
            10.0,
            owner_core.ledger,
            owner_core.log_status(10.0),
            owner_core.policy,
            10.0,
        )
        owned.next_poll_at = 1e9
    return owner_core


def _report(owned: servers.OwnedServer) -> Report:
    number = owned.server.partition("-")[2]
    running = [
        RunningTask(
            task=TaskId(f"job-{number}.{task}"),
            attempt=1,
            size=Size(processors=1.0),
            task_class="job",  # type: ignore[arg-type]
            job_class=JobClass.BATCH,
        )
        for task in range(TASKS_PER_SERVER)
    ]
    return Report(
        incarnation=Incarnation("s"),
        owner=owned.me,
        epoch=owned.epoch,
        clock=0.0,
        running=running,
    )


def _heartbeat(number: int, size: int) -> Heartbeat:
    statuses = tuple(
        ServerStatus(
            InstanceId(f"backend-{server}"), Epoch(1024), 8, Resources(8, 1000, 0), True, 0.02
        )
        for server in range(number, size, ENTRIES)
    )
    echoes_received = tuple(
        Echo(InstanceId(f"entry-{entry}"), Incarnation(f"entry-{entry}-1"), 9.9, 0.1)
        for entry in range(ENTRIES)
    )
    return Heartbeat(
        sender=InstanceId(f"entry-{number}"),
        incarnation=Incarnation(f"entry-{number}-1"),
        zone=AvailabilityZone("a"),
        seq=int(time.monotonic() * 1e6),
        sent_at=9.9,
        leaving=False,
        ready=True,
        config_version=ConfigVersion(0),
        ledger_offset=0,
        log_ok=True,
        servers=statuses,
        echoes=echoes_received,
    )


def _linear_estimate(at: dict[int, float], x: float) -> float:
    """Return the value at `x` of the line through the values of the smallest and largest size."""
    smallest, largest = min(at), max(at)
    slope = (at[largest] - at[smallest]) / (largest - smallest)
    return at[smallest] + slope * (x - smallest)


def measure_owner() -> list[ProjectedCost]:
    """Time the work of one owner that owns a ninth of the backend servers."""
    tick_us, decode_us, heartbeat_bytes, snapshot_kb, apply_us = {}, {}, {}, {}, {}
    for size in SIZES:
        owner_core = _owner_core(size)

        def tick_without_work(owner_core: Core = owner_core) -> None:
            owner_core.ticked_at = 10.0
            core.tick(owner_core, 10.0, 10.0)

        tick_us[size] = _mean_us(tick_without_work)
        frame = _wire.encode(InstanceId("entry-1"), _heartbeat(1, size))
        heartbeat_bytes[size] = float(len(frame))
        decode_us[size] = _mean_us(lambda frame=frame: _wire.decode(frame[4:]))
        snapshot_text = ledgers.dump(owner_core.ledger)
        snapshot_kb[size] = len(snapshot_text) / 1024
        apply_us[size] = _mean_us(lambda owner_core=owner_core: _apply_claim(owner_core))
    per_zone = PLANNED_SERVERS / PLANNED_ZONES
    return [
        ProjectedCost(
            "one tick of an owner (a ninth of a zone's servers)",
            "us",
            tick_us,
            _linear_estimate(tick_us, per_zone),
        ),
        ProjectedCost(
            "reading one heartbeat", "us", decode_us, _linear_estimate(decode_us, per_zone)
        ),
        ProjectedCost(
            "bytes of one heartbeat",
            "bytes",
            heartbeat_bytes,
            _linear_estimate(heartbeat_bytes, per_zone),
        ),
        ProjectedCost(
            "applying one record", "us", apply_us, _linear_estimate(apply_us, PLANNED_SERVERS)
        ),
        ProjectedCost(
            "snapshot of the ledger",
            "kB",
            snapshot_kb,
            _linear_estimate(snapshot_kb, PLANNED_SERVERS),
        ),
    ]


def _apply_claim(owner_core: Core) -> None:
    offset = owner_core.ledger.offset
    record = Claimed(
        server=InstanceId("none"),
        owner=InstanceId("entry-1"),
        incarnation=Incarnation("x"),
        epoch=Epoch(1024 * (offset + 1)),
    )
    env = Envelope(writer=Incarnation("w2"), seq=offset + 1, at=10.0, record=record)
    ledger_records.apply(owner_core.ledger, offset, env)


def record_bytes() -> float:
    """Return the size in bytes of a Placed record as it is appended to the log."""
    record = Placed(
        task=TaskId("job-0123456789ab.12"),
        attempt=1,
        server=InstanceId("backend-a12"),
        server_incarnation=Incarnation("backend-a12-0123456789ab"),
        epoch=Epoch(1024),
        size=Size(),
    )
    env = Envelope(writer=Incarnation("entry-a1-0123456789ab"), seq=1, at=1e9, record=record)
    return float(len(json.dumps(dump(env))))


class ProcessCost(NamedTuple):
    """A cost measured on real entry processes."""

    name: str
    unit: str
    value: float


def measure_processes() -> list[ProcessCost]:
    """Measure entry processes: idle cost, cost per request and the delays of starts and changes."""
    with Fleet(2, plan_backends(2, "quotes")) as fleet:
        fleet.wait_ready()
        urls = [process.url for process in fleet.entries.values()]
        idle_share = _cpu_share(fleet, 5.0, lambda: time.sleep(5.0))
        before = {name: _peer_bytes(fleet, name) for name in fleet.entries}
        time.sleep(4.0)
        bytes_sent = sum(_peer_bytes(fleet, name) - before[name] for name in fleet.entries)
        plan = load.LoadPlan(urls, "quotes", 120.0, 8.0)
        started_at = time.monotonic()
        request_cpu_s = _total_cpu_s(fleet)
        report = load.offer(plan)
        request_cpu_s = _total_cpu_s(fleet) - request_cpu_s
        elapsed = time.monotonic() - started_at
        per_request = (
            (request_cpu_s - idle_share * len(urls) * elapsed) / len(report.answered) * 1000
        )
        urgent_starts_s = sorted(_urgent_start(fleet) for _ in range(11))
        config_changes_s = sorted(_config_change(fleet, number) for number in range(5))
        memory = max(process.memory_mb() for process in fleet.entries.values())
        return [
            ProcessCost("idle entry, share of a core", "%", round(idle_share * 100, 2)),
            ProcessCost(
                "idle entry, bytes to peers a second", "B/s", round(bytes_sent / 4.0 / len(urls))
            ),
            ProcessCost("CPU of all entries for one request", "ms", round(per_request, 3)),
            ProcessCost("memory of an entry", "MB", round(memory, 1)),
            ProcessCost("urgent start, median of 11", "s", round(urgent_starts_s[5], 3)),
            ProcessCost("urgent start, worst of 11", "s", round(urgent_starts_s[-1], 3)),
            ProcessCost(
                "configuration in force everywhere, worst of 5", "s", round(config_changes_s[-1], 3)
            ),
        ]


def _total_cpu_s(fleet: Fleet) -> float:
    return sum(process.cpu_s() for process in fleet.entries.values())


def _cpu_share(fleet: Fleet, seconds: float, action: Callable[[], None]) -> float:
    before = _total_cpu_s(fleet)
    action()
    return (_total_cpu_s(fleet) - before) / len(fleet.entries) / seconds


def _peer_bytes(fleet: Fleet, name: str) -> int:
    return int(fleet.metrics(name)["counters"].get("peer.bytes", 0))


def _urgent_start(fleet: Fleet) -> float:
    started_at = time.monotonic()
    job = fleet.submit("entry-a1", name="urgent", urgency=9, payload={"run_s": 0.1})
    wait_for(lambda: _started(fleet, job), 10, "urgent start")
    return time.monotonic() - started_at


def _started(fleet: Fleet, job: str) -> bool:
    return any(
        run["task"].startswith(f"{job}.")
        for name in fleet.backends
        for run in fleet.journal(name)["runs"]
    )


def _config_change(fleet: Fleet, number: int) -> float:
    started_at = time.monotonic()
    toml = f"[routing]\ndeadline_ms = {1500 + number}.0\n"
    call("POST", f"{fleet.entries['entry-a1'].url}/config", toml.encode())
    urls = [process.url for process in fleet.entries.values()]
    wait_for(lambda: all(call("GET", f"{url}/config").json()["toml"] == toml for url in urls), 14)
    return time.monotonic() - started_at


def main() -> None:
    """Run every measurement, print the tables and write `RESULTS`."""
    projected_costs = measure_owner()
    process_costs = measure_processes()
    console = Console()
    table = Table("figure", "unit", *(str(size) for size in SIZES), "at 660 servers")
    for cost in projected_costs:
        values = [f"{cost.at[size]:.1f}" for size in SIZES]
        table.add_row(cost.name, cost.unit, *values, f"{cost.projected:.1f}")
    console.print(table)
    process_table = Table("figure", "unit", "value")
    for item in process_costs:
        process_table.add_row(item.name, item.unit, str(item.value))
    console.print(process_table)
    console.print(f"one Placed record on the log: {record_bytes():.0f} bytes")
    body = {
        "sizes": SIZES,
        "slopes": [cost._asdict() for cost in projected_costs],
        "processes": [process_cost._asdict() for process_cost in process_costs],
        "record_bytes": record_bytes(),
    }
    RESULTS.write_text(json.dumps(body, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()

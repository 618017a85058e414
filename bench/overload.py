"""Measure goodput when the load is 1.5 times the capacity of the runners."""

from typing import Any

from rich.console import Console

from bench.processes import Fleet, plan_backends
from bench.results import result_entry
from spoolcrank import load

SERVICE = "quotes"
SLOTS = 4
SERVICE_TIME_MS = 120.0
SERVERS_PER_ZONE = 2
DURATION_S = 10.0
DEADLINE_MS = 1500.0
LOAD_FACTOR = 1.5


def capacity() -> float:
    """Return the requests per second that all slots together can answer."""
    return 3 * SERVERS_PER_ZONE * SLOTS / (SERVICE_TIME_MS / 1000)


def run(factor: float, seed: int) -> load.LoadReport:
    """Start a fleet, warm it up and offer it `factor` times its capacity."""
    extra = ("--service-time-ms", str(SERVICE_TIME_MS), "--seed", str(seed))
    plans = [
        plan._replace(slots=SLOTS, extra=extra) for plan in plan_backends(SERVERS_PER_ZONE, SERVICE)
    ]
    with Fleet(2, plans) as fleet:
        fleet.wait_ready()
        urls = [process.url for process in fleet.entries.values()]
        load.offer(load.LoadPlan(urls, SERVICE, 20.0, 2.0, seed=seed))
        return load.offer(
            load.LoadPlan(urls, SERVICE, factor * capacity(), DURATION_S, DEADLINE_MS, seed=seed)
        )


def measure(count: int, console: Console) -> list[dict[str, Any]]:
    """Return the goodput against the capacity, and the p99 of urgent and of refused requests."""
    goodput: list[float] = []
    urgent_p99: list[float] = []
    refused_p99: list[float] = []
    for seed in range(1, count + 1):
        report = run(LOAD_FACTOR, seed)
        goodput.append(round(len(report.answered) / DURATION_S, 2))
        urgent_p99.append(report.percentiles(urgent=True)["p99"])
        refusal_latencies = sorted(
            request.latency_s for request in report.request_results if request.outcome != "ok"
        )
        refused_p99.append(
            round(refusal_latencies[int(0.99 * len(refusal_latencies))] * 1000, 1)
            if refusal_latencies
            else 0.0
        )
        console.print(f"overload {seed}/{count}: {report.summary()}", highlight=False)
    capacities = [round(capacity(), 2)] * count
    return [
        result_entry(
            "overload: goodput beside the slots' capacity",
            "requests/s",
            "higher",
            capacities,
            goodput,
        ),
        result_entry(
            "overload: p99 of urgent requests beside their deadline",
            "ms",
            "lower",
            [DEADLINE_MS] * count,
            urgent_p99,
        ),
        result_entry(
            "overload: p99 until a refusal beside the deadline",
            "ms",
            "lower",
            [DEADLINE_MS] * count,
            refused_p99,
        ),
    ]

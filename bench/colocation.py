"""Measure services and batch work on the same servers, under a policy and its baselines."""

import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

from bench.processes import BackendPlan, Fleet, call, plan_backends
from spoolcrank import load

EXAMPLES = Path(__file__).parent.parent / "examples"
SERVICE = "quotes"
WINDOW_S = 20.0
REQUESTS_PER_S = 90.0
PEAK_REQUESTS_PER_S = 180.0
REPORT_LAG_S = "5"
SPEEDS = ("1.0", "0.8")

BASELINE = """
[interference]
enabled = false
[placement]
strategy = "first-fit"
learn_sizes = false
urgent_reserve = 0.0
[routing]
retry_share = 1.0
hedge_after = 0.0
slow_ratio = 100.0
steer_ratio = 100.0
"""

EVICT_ALWAYS = """
[interference]
ladder = false
sheltered_share = 0.0
tail_share = 0.0
evictions_per_minute = 1000.0
"""


class JobArrival(NamedTuple):
    """A job and the time at which it is submitted, in seconds from the start of the window."""

    at_s: float
    job: dict[str, Any]


class Measured(NamedTuple):
    """The results of one run.

    Attributes:
        work_s: batch work done by runs that did not fail, in seconds at full speed.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    answered_share: float
    work_s: float
    evictions: int
    breaches: int


class Plan(NamedTuple):
    """The configuration, load and seed of one variant.

    `table` is the file of `EXAMPLES` with the interference that the backend servers simulate.
    """

    name: str
    toml: str
    rate: float = REQUESTS_PER_S
    seed: int = 1
    table: str = "interference.toml"


def job_arrivals(seed: int) -> list[JobArrival]:
    """Return the batch jobs; their declared sizes are up to four times too large or too small."""
    shift = (seed % 3) * 0.5
    calm = _job("calm", 48, 2.0, 4000, 0.5, 1000, 5.0)
    chatty = _job("chatty", 12, 1.0, 1000, 2.0, 3000, 6.0)
    noisy = _job("noisy", 8, 1.0, 1000, 2.0, 4000, 6.0)
    return [
        JobArrival(0.0, calm),
        JobArrival(2.0 + shift, noisy),
        JobArrival(3.0 + shift, chatty),
        JobArrival(9.0 + shift, noisy),
        JobArrival(11.0 + shift, chatty),
    ]


def _job(
    name: str,
    tasks: int,
    processors: float,
    memory_mb: float,
    true_processors: float,
    true_memory_mb: float,
    run_s: float,
) -> dict[str, Any]:
    return {
        "name": name,
        "tasks": tasks,
        "size": {"processors": processors, "memory_mb": memory_mb},
        "payload": {
            "run_s": run_s,
            "task_class": name,
            "uses": {"processors": true_processors, "memory_mb": true_memory_mb},
        },
    }


def backends(table: str, seed: int) -> list[BackendPlan]:
    """Plan six backend servers of two speeds, one of which fails every run that it starts."""
    plans = []
    for number, plan in enumerate(plan_backends(2, SERVICE)):
        extra = ["--interference", str(EXAMPLES / table), "--report-lag-s", REPORT_LAG_S]
        extra += ["--speed", SPEEDS[number % 2], "--seed", str(seed + number)]
        if plan.id == "backend-c2":
            extra.append("--fail-all")
        plans.append(plan._replace(processors=16, memory_mb=64_000, slots=4, extra=tuple(extra)))
    return plans


def run(plan: Plan) -> Measured:
    """Run one variant on a fleet of its own."""
    with Fleet(2, backends(plan.table, plan.seed)) as fleet:
        fleet.wait_ready()
        entry_url = fleet.entries["entry-a1"].url
        answer = call("POST", f"{entry_url}/config?id=bench", plan.toml.encode())
        if answer.status != 200:
            raise RuntimeError(f"configuration refused: {answer.body!r}")
        report = _offer(fleet, plan)
        return _measure(fleet, report)


def _offer(fleet: Fleet, plan: Plan) -> load.LoadReport:
    urls = [process.url for process in fleet.entries.values()]
    reports: list[load.LoadReport] = []

    def offer(rate: float, duration_s: float, seed: int) -> None:
        if rate > 0:
            load_plan = load.LoadPlan(urls, SERVICE, rate, duration_s, 1000.0, seed=seed)
            reports.append(load.offer(load_plan))

    def submit_jobs() -> None:
        began = time.monotonic()
        for number, arrival in enumerate(job_arrivals(plan.seed)):
            time.sleep(max(0.0, began + arrival.at_s - time.monotonic()))
            load.submit_job(urls[number % len(urls)], arrival.job)

    offer(plan.rate, 2.0, plan.seed + 7)
    threads = [
        threading.Thread(target=offer, args=(plan.rate, WINDOW_S, plan.seed)),
        threading.Thread(target=submit_jobs),
    ]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    time.sleep(WINDOW_S * 0.4)
    offer(plan.rate * (PEAK_REQUESTS_PER_S / REQUESTS_PER_S - 1.0), WINDOW_S * 0.3, plan.seed + 3)
    for thread in threads:
        thread.join()
    time.sleep(max(0.0, began + WINDOW_S - time.monotonic()))
    merged_report = load.LoadReport()
    merged_report.request_results = [
        request for report in reports[1:] for request in report.request_results
    ]
    return merged_report


def _measure(fleet: Fleet, report: load.LoadReport) -> Measured:
    journals = [fleet.journal(name) for name in fleet.backends]
    runs = [run for journal in journals for run in journal["runs"]]
    percentiles = (
        report.percentiles() if report.request_results else {"p50": 0.0, "p99": 0.0, "p99.9": 0.0}
    )
    overcommits = sum(len(journal["overcommits"]) for journal in journals)
    return Measured(
        p50_ms=percentiles["p50"],
        p99_ms=percentiles["p99"],
        p999_ms=percentiles["p99.9"],
        answered_share=len(report.answered) / max(1, len(report.request_results)),
        work_s=sum(run["work_done_s"] for run in runs if run["how"] != "failed"),
        evictions=sum(run["how"] == "evicted" for run in runs),
        breaches=overcommits + len(report.broken),
    )

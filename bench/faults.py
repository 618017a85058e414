"""Measure takeover time, refusals and appends when an owner is killed, with the log up or down."""

import json
import statistics
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

from rich.console import Console

from bench.processes import Fleet, call, plan_backends, wait_for
from spoolcrank import load

RESULTS = Path(__file__).with_name("faults.json")
SERVICE = "quotes"
REQUESTS_PER_S = 60.0
ROUNDS = 3
SETTLE_S = 5.0


class Takeover(NamedTuple):
    """The results of killing one owner.

    Attributes:
        seconds: seconds from the kill until the server's journal names another owner.
        refused_share: share of the requests to the other entry instances not answered with success.
        appends_per_s: appends of the whole fleet to the log, over the whole round.
    """

    seconds: float
    refused_share: float
    appends_per_s: float


def run(log_down: bool) -> Takeover:
    """Kill the owner of a server while the fleet handles requests and jobs."""
    with Fleet(2, plan_backends(2, SERVICE)) as fleet:
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        server = "backend-a1"
        owner = _owner(fleet, server)
        others = [fleet.entries[name].url for name in fleet.entries if name != owner]
        appends_before = int(call("GET", f"{fleet.log.url}/stats").json()["appends"])
        started_at = time.monotonic()
        job = {"name": "steady", "tasks": 2, "payload": {"run_s": 1.0}}
        plan = load.LoadPlan(others, SERVICE, REQUESTS_PER_S, 10.0, job_rate=3.0, job=job)
        reports: list[load.LoadReport] = []
        load_thread = threading.Thread(target=lambda: reports.append(load.offer(plan)))
        load_thread.start()
        time.sleep(2.0)
        if log_down:
            fleet.log_fault("down")
            time.sleep(2.0)
        killed_at = time.monotonic()
        fleet.entries[owner].kill()
        wait_for(lambda: _owner(fleet, server) != owner, 20, "no takeover")
        seconds = time.monotonic() - killed_at
        load_thread.join()
        elapsed = time.monotonic() - started_at
        fleet.log_fault("ok")
        append_count = int(call("GET", f"{fleet.log.url}/stats").json()["appends"]) - appends_before
        request_results = reports[0].request_results
        refused = sum(request.outcome != "ok" for request in request_results)
        return Takeover(
            round(seconds, 2),
            round(refused / len(request_results), 4),
            round(append_count / elapsed, 1),
        )


def _owner(fleet: Fleet, server: str) -> str:
    return str(fleet.journal(server)["owner"]).rsplit("-", 1)[0]


def main() -> None:
    """Run every round, print the results and write `RESULTS`."""
    console = Console()
    results: list[dict[str, Any]] = []
    for log_down in (False, True):
        rounds = [run(log_down) for _ in range(ROUNDS)]
        seconds = statistics.median(takeover.seconds for takeover in rounds)
        body = {"log_down": log_down, "median_takeover_s": seconds, "rounds": rounds}
        console.print(body, highlight=False)
        results.append({**body, "rounds": [takeover._asdict() for takeover in rounds]})
    RESULTS.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()

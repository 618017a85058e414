"""Run a small fleet of real processes under load and check the invariants at the end."""

import signal
import threading
from typing import Any

from bench.processes import BackendPlan, Fleet, Process, call, plan_backends, wait_for
from bench.proxy import Proxy
from spoolcrank import invariants, load
from spoolcrank.load import LoadPlan, LoadReport

SERVICE = "quotes"
RATE = 25.0
ENDED = {"finished", "failed", "unknown", "cancelled", "refused"}

__all__ = ["BackendPlan", "Scenario", "call", "plan_backends", "signal", "wait_for"]


class Scenario:
    """A fleet under load, optionally behind a fault proxy, and the jobs submitted to it."""

    def __init__(
        self,
        backends: list[BackendPlan] | None = None,
        entries_per_zone: int = 2,
        proxied: bool = False,
        **options: Any,
    ) -> None:
        self.proxy = Proxy()
        self.fleet = Fleet(
            entries_per_zone,
            backends if backends is not None else plan_backends(1, SERVICE),
            via=self.proxy.via if proxied else None,
            **options,
        ).wait_ready()
        self.once_only: list[str] = []
        self.jobs: list[str] = []
        self.ended_journals: list[Any] = []
        self.report = LoadReport()
        self._stop = threading.Event()
        self._thread: threading.Thread | None = None

    def __enter__(self) -> "Scenario":
        return self

    def __exit__(self, *args: object) -> None:
        self._stop.set()
        self.fleet.close()

    def entry(self, name: str) -> Process:
        return self.fleet.entries[name]

    def start_load(
        self, entries: list[str] | None = None, keyed_share: float = 0.2, rate: float = RATE
    ) -> None:
        """Send requests to the named entry instances, by default to all, until `stop_load`."""
        names = entries or list(self.fleet.entries)
        urls = [self.fleet.entries[name].url for name in names]
        plan = LoadPlan(urls, SERVICE, rate, 600.0, keyed_share=keyed_share)

        def run() -> None:
            self.report = load.offer(plan, self._stop)

        self._thread = threading.Thread(target=run, daemon=True)
        self._thread.start()

    def submit(self, at: str, **job: Any) -> str:
        job_id = self.fleet.submit(at, **job)
        self.jobs.append(job_id)
        if job.get("repeatable") is False:
            self.once_only.append(job_id)
        return job_id

    def submit_mixed_jobs(self, at: str, run_s: float = 3.0, tasks: int = 12) -> None:
        """Submit one repeatable and one once-only job that together fill the backend servers."""
        size = {"processors": 3, "memory_mb": 2000}
        payload = {"run_s": run_s}
        self.submit(at, name="renewal", tasks=tasks, size=size, payload=payload)
        self.submit(at, name="notice", tasks=3, size=size, repeatable=False, payload=payload)

    def states(self, at: str) -> list[str]:
        return [str(self.fleet.job(at, job)["state"]) for job in self.jobs]

    def wait_running(self, at: str, min_running: int = 1) -> None:
        def running() -> int:
            tasks = [task for job in self.jobs for task in self.fleet.job(at, job)["tasks"]]
            return sum(task["state"] == "running" for task in tasks)

        wait_for(lambda: running() >= min_running, 30, "tasks did not start")

    def wait_ended(self, at: str, timeout_s: float = 60.0) -> None:
        try:
            wait_for(lambda: set(self.states(at)) <= ENDED, timeout_s, "jobs have not ended")
        except TimeoutError as exc:
            raise TimeoutError(f"{exc}:\n{self._describe_open_tasks(at)}") from exc

    def _describe_open_tasks(self, at: str) -> str:
        """Describe the tasks that have not ended, with explanations and the newest log records."""
        records = self._records()
        lines = [
            f"claims: {[item for item in records if item['record']['record']['kind'] == 'claim']}"
        ]
        for job in self.jobs:
            tasks = [
                entry for entry in self.fleet.job(at, job)["tasks"] if entry["state"] not in ENDED
            ]
            for task in tasks:
                lines += [str(task), *self._explanations(task["id"])]
                lines += [str(item) for item in records if task["id"] in str(item)][-4:]
        return "\n".join(lines)

    def _explanations(self, task: str) -> list[str]:
        """Return the answer of each entry instance to the command `why` for a task."""
        explanations = []
        for name, process in self.fleet.entries.items():
            body = {"text": f"why {task}", "id": f"{name}-{task}"}
            try:
                explanations.append(
                    f"  {name}: {call('POST', f'{process.url}/commands', body).body!r}"
                )
            except OSError as exc:
                explanations.append(f"  {name}: {exc!r}")
        return explanations

    def stop_load(self) -> LoadReport:
        """Stop sending requests and return the answers that the callers received."""
        self._stop.set()
        if self._thread is not None:
            self._thread.join(60)
        return self.report

    def breaches(self) -> list[invariants.Breach]:
        """Stop the load and return every violated invariant."""
        report = self.stop_load()
        journals = [self.fleet.journal(name) for name in self.fleet.backends]
        violations = invariants.check(
            [*journals, *self.ended_journals], report.request_results, self.once_only
        )
        if violations:
            self._print_records(violations, journals)
        return violations

    def _print_records(self, violations: list[invariants.Breach], journals: list[Any]) -> None:
        """Print all log records and journal entries of the task of the first violation."""
        task = violations[0].detail.replace(":", " ").split()[0]
        for item in self._records():
            kind = item["record"]["record"]["kind"]
            if kind == "claim" or task in str(item):
                print(item["offset"], item["record"])
        for journal in journals:
            print([run for run in journal["runs"] if run["task"] == task])

    def _records(self) -> list[Any]:
        """Return all control records of the log."""
        url = f"{self.fleet.log.url}/streams/spoolcrank/records?max=500&from="
        offset, records = 0, []
        while page := call("GET", f"{url}{offset}").json()["records"]:
            records += page
            offset = page[-1]["offset"] + 1
        return records

    def owner_of(self, server: str) -> str:
        """Return the entry instance whose commands a backend server accepts."""
        return str(self.fleet.journal(server)["owner"]).rsplit("-", 1)[0]

    def wait_new_owner(self, server: str, other_than: str, timeout_s: float = 30.0) -> str:
        wait_for(lambda: self.owner_of(server) != other_than, timeout_s, f"{server} kept its owner")
        return self.owner_of(server)

"""Run a small fleet of real processes under load and check its promises at the end."""

import signal
import threading
from typing import Any

from bench.processes import BackendPlan, Fleet, Process, call, plan_backends, wait_for
from bench.proxy import Proxy
from spoolcrank import load, promises
from spoolcrank.load import LoadPlan, LoadReport

SERVICE = "quotes"
RATE = 25.0
ENDED = {"finished", "failed", "unknown", "cancelled", "refused"}

__all__ = ["BackendPlan", "Scenario", "call", "plan_backends", "signal", "wait_for"]


class Scenario:
    """A fleet behind a fault proxy, with requests and jobs on their way."""

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
        self.dead_journals: list[Any] = []
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

    def offer(
        self, entries: list[str] | None = None, keyed_share: float = 0.2, rate: float = RATE
    ) -> None:
        """Start to offer requests to the named entry instances until `settle`."""
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

    def submit_mix(self, at: str, run_s: float = 3.0, tasks: int = 12) -> None:
        """Submit repeatable and once-only work that fills the fleet's servers."""
        size = {"processors": 3, "memory_mb": 2000}
        payload = {"run_s": run_s}
        self.submit(at, name="renewal", tasks=tasks, size=size, payload=payload)
        self.submit(at, name="notice", tasks=3, size=size, repeatable=False, payload=payload)

    def states(self, at: str) -> list[str]:
        return [str(self.fleet.job(at, job)["state"]) for job in self.jobs]

    def wait_running(self, at: str, least: int = 1) -> None:
        def running() -> int:
            tasks = [task for job in self.jobs for task in self.fleet.job(at, job)["tasks"]]
            return sum(task["state"] == "running" for task in tasks)

        wait_for(lambda: running() >= least, 30, "tasks did not start")

    def wait_ended(self, at: str, timeout_s: float = 60.0) -> None:
        try:
            wait_for(lambda: set(self.states(at)) <= ENDED, timeout_s, "jobs have not ended")
        except TimeoutError as exc:
            raise TimeoutError(f"{exc}:\n{self._tell_open(at)}") from exc

    def _tell_open(self, at: str) -> str:
        """Return what instances say of tasks that have not ended, and the log's records of them."""
        records = self._records()
        lines = [
            f"claims: {[one for one in records if one['record']['record']['kind'] == 'claim']}"
        ]
        for job in self.jobs:
            tasks = [one for one in self.fleet.job(at, job)["tasks"] if one["state"] not in ENDED]
            for task in tasks:
                lines += [str(task), *self._views(task["id"])]
                lines += [str(one) for one in records if task["id"] in str(one)][-4:]
        return "\n".join(lines)

    def _views(self, task: str) -> list[str]:
        """Return how each instance explains where a task stands."""
        views = []
        for name, process in self.fleet.entries.items():
            body = {"text": f"why {task}", "id": f"{name}-{task}"}
            try:
                views.append(f"  {name}: {call('POST', f'{process.url}/commands', body).body!r}")
            except OSError as exc:
                views.append(f"  {name}: {exc!r}")
        return views

    def stop_load(self) -> LoadReport:
        self._stop.set()
        if self._thread is not None:
            self._thread.join(60)
        return self.report

    def breaches(self) -> list[promises.Breach]:
        """End the load and return every broken promise."""
        report = self.stop_load()
        journals = [self.fleet.journal(name) for name in self.fleet.backends]
        found = promises.check([*journals, *self.dead_journals], report.seen, self.once_only)
        if found:
            self._show_records(found, journals)
        return found

    def _show_records(self, found: list[promises.Breach], journals: list[Any]) -> None:
        """Print what the log and the journals hold of the first task that broke a promise."""
        task = found[0].detail.replace(":", " ").split()[0]
        for item in self._records():
            kind = item["record"]["record"]["kind"]
            if kind == "claim" or task in str(item):
                print(item["offset"], item["record"])
        for journal in journals:
            print([run for run in journal["runs"] if run["task"] == task])

    def _records(self) -> list[Any]:
        """Return all that the log holds of control records."""
        url = f"{self.fleet.log.url}/streams/spoolcrank/records?max=500&from="
        offset, records = 0, []
        while page := call("GET", f"{url}{offset}").json()["records"]:
            records += page
            offset = page[-1]["offset"] + 1
        return records

    def owner_of(self, server: str) -> str:
        """Return the entry instance that a server obeys."""
        return str(self.fleet.journal(server)["owner"]).rsplit("-", 1)[0]

    def wait_owner(self, server: str, other_than: str, timeout_s: float = 30.0) -> str:
        wait_for(lambda: self.owner_of(server) != other_than, timeout_s, f"{server} kept its owner")
        return self.owner_of(server)

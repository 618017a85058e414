"""A process that simulates one incarnation of a runner and writes its runs to a journal file.

`python -m tests.soak.runner ID BORN PORT JOURNAL MILLICORES WORK_S` prints its address. A later
incarnation may have the ID and the PORT of an earlier one; BORN, the start in Unix milliseconds,
distinguishes them. The journal remains when the process is killed. Each of its lines is `[time,
kind, task, run, detail]`; the time is that of the host's monotonic clock, which all processes
share.
"""

import json
import os
import random
import sys
import threading
import time
from http.server import ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from tests.soak.web import RequestHandler, announce

TICK_S = 0.02
STOP_DURATION_S = 0.3
MAX_LEASE_MS = 10_000
CRASH_DELAY_S = (0.02, 0.4)
"""Shortest and longest time from the start of a crashing task to its runner's exit, in seconds."""


class Task:
    def __init__(self, run: int, lasting: bool) -> None:
        self.run = run
        self.lasting = lasting
        self.worked_s = 0.0
        self.stop_at: float | None = None


class Runner:
    def __init__(self, name: str, born: int, journal: str, millicores: int, work_s: float) -> None:
        self.id = name
        self.born = born
        self.journal = open(journal, "a", buffering=1)  # noqa: SIM115 -- open until the process ends
        self.millicores = millicores
        self.work_s = work_s
        self.changed = threading.Condition()
        self.began_at = time.monotonic()
        self.fence = 0
        self.until_ms = 0.0
        self.lease_lapsed_at = 0.0
        self.tasks: dict[str, Task] = {}
        self.ended: list[list[Any]] = []
        self.highest_run: dict[str, int] = {}
        self.ends = 0
        self.ended_at: dict[int, float] = {}

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self.began_at) * 1000.0)

    def write(self, kind: str, task: str, run: int, what: Any, at: float | None = None) -> None:
        written_at = time.monotonic() if at is None else at
        self.journal.write(json.dumps([written_at, kind, task, run, what]) + "\n")

    def tick(self) -> None:
        last = time.monotonic()
        while True:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self.changed:
                self._advance(now, min(now - last, 2 * TICK_S))
            last = now

    def _advance(self, now: float, passed_s: float) -> None:
        lapsed = self.clock_ms > self.until_ms
        if lapsed:
            self.lease_lapsed_at = now
        for name, task in list(self.tasks.items()):
            if lapsed:
                # A frozen runner did nothing after its lease lapsed: record that time as the end.
                self._end(name, "lapsed", self.began_at + self.until_ms / 1000.0)
            elif task.stop_at is not None and now >= task.stop_at:
                self._end(name, "stopped", now)
            elif not task.lasting:
                task.worked_s += passed_s
                if task.worked_s >= self.work_s:
                    self._end(name, "done", now)

    def _end(self, name: str, how: str, at: float) -> None:
        task = self.tasks.pop(name)
        self.ends += 1
        self.highest_run[name] = max(task.run, self.highest_run.get(name, 0))
        self.ended.append([self.ends, name, task.run, how, ""])
        self.ended_at[self.ends] = at
        self.write("end", name, task.run, how, at)
        self.changed.notify_all()

    def answer(self, method: str, target: str, raw: bytes) -> tuple[int, Any]:
        url = urlsplit(target)
        intended_runner = dict(parse_qsl(url.query)).get("meant", self.id)
        if intended_runner != self.id:
            return 421, {}
        body = json.loads(raw)
        with self.changed:
            if body.get("fence", 0) < self.fence:
                return 409, {"reason": "fence", "clockMs": self.clock_ms}
            self.fence = body.get("fence", 0)
            self._extend(body.get("deadlineMs"))
            if url.path == "/api/run-start":
                return self._start(body)
            if url.path == "/api/run-stop":
                return self._stop(body)
            if url.path == "/api/hold":
                return self._poll(body)
            return 200, {"clockMs": self.clock_ms}

    def _extend(self, until_ms: float | None) -> None:
        if until_ms is None:
            return
        until_ms = min(until_ms, self.clock_ms + MAX_LEASE_MS)
        if until_ms > self.until_ms:
            self.until_ms = until_ms
            self.write("lease", "", 0, self.began_at + until_ms / 1000.0)

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, run = body["task"], body["run"]
        current_task = self.tasks.get(name)
        reason = ""
        if self.clock_ms > body["deadlineMs"]:
            reason = "late"
        elif current_task is not None and current_task.run == run:
            return 200, {"clockMs": self.clock_ms}
        elif current_task is not None or run <= self.highest_run.get(name, 0):
            reason = "old"
        elif (len(self.tasks) + 1) * 1000 > self.millicores:
            reason = "room"
        if reason:
            return 409, {"reason": reason, "clockMs": self.clock_ms}
        self.tasks[name] = Task(run, body["spec"].startswith("lasting"))
        self.write("start", name, run, body["spec"])
        if body["spec"].startswith("crashing"):
            threading.Timer(random.uniform(*CRASH_DELAY_S), os._exit, [1]).start()
        return 200, {"clockMs": self.clock_ms}

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, run = body["task"], body["run"]
        self.highest_run[name] = max(run, self.highest_run.get(name, 0))
        current_task = self.tasks.get(name)
        if current_task is not None and current_task.run == run and current_task.stop_at is None:
            current_task.stop_at = time.monotonic() + STOP_DURATION_S
        return 200, {"clockMs": self.clock_ms}

    def _poll(self, body: dict[str, Any]) -> tuple[int, Any]:
        for number, name, run, how, _ in self.ended:
            # If the lease lapsed between an end and its acknowledgement, a new start is permitted.
            lapsed = self.lease_lapsed_at > self.ended_at[number]
            if number <= body["lastSeen"] and how == "done" and not lapsed:
                self.write("noted", name, run, how)
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        until = time.monotonic() + body.get("waitMs", 0) / 1000.0
        while not self.ended and time.monotonic() < until:
            self.changed.wait(max(0.0, until - time.monotonic()))
        running = [
            [
                name,
                task.run,
                "",
                100 if task.lasting else int(99 * task.worked_s / self.work_s),
                900,
            ]
            for name, task in self.tasks.items()
        ]
        lists = {"running": running, "ended": self.ended}
        return 200, {"clockMs": self.clock_ms, "born": self.born} | lists

    def _percent(self, task: Task) -> int:
        return 100 if task.lasting else int(99 * task.worked_s / self.work_s)


def main() -> None:
    name, born, port, journal, millicores, work_s = sys.argv[1:]
    runner = Runner(name, int(born), journal, int(millicores), float(work_s))
    server = ThreadingHTTPServer(
        ("127.0.0.1", int(port)), RequestHandler.with_function(runner.answer)
    )
    server.daemon_threads = True
    threading.Thread(target=runner.tick, daemon=True).start()
    announce(server)
    server.serve_forever()


if __name__ == "__main__":
    main()

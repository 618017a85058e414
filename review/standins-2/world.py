"""Stand-ins of the platform for the cases of the second review, in one asyncio process.

The store (keyed logs), the runners with their entries and tasks, and clients. Daemons are separate
processes, started with the command of `deploy/system.toml`. The standard library is enough. All
addresses are loopback addresses. Times are those of the monotonic clock.
"""

import asyncio
import base64
import contextlib
import json
import math
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "queue.example"
SERVICE = "claimdesk"
HEARTBEAT_S = 1.5
TICK_S = 0.025
START_S = 0.3
"""Time from the start of a lasting task until it is at work."""
STOP_S = 0.3
"""Time that a stop takes; `stop_ms` allows 0.9 s."""
REPORT_S = 0.5
PACE_S = 0.1
HOLD_MAX_MS = 10_000
NOTICE_S = 4.5
SERVING_USE = 0.48
"""Share of its `cpu` that a task with a target uses, the `load` of the site."""

Reply = tuple[int, bytes] | None
Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Reply]]


class Record:
    """The record of one play: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self._file = path.open("w")

    def write(self, what: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self.began_at:8.3f} {what}\n")
        self._file.flush()


class Server:
    """A small HTTP/1.1 server on one address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self, ip: str, port: int = 0) -> None:
        """Listen on an address; port 0 chooses a free one."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    def close(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                reply = await self._handler(
                    method, url.path, dict(parse_qsl(url.query)), headers, body
                )
                if reply is None:
                    return
                status, content = reply
                start = f"HTTP/1.1 {status} x\r\nContent-Length: {len(content)}\r\n\r\n"
                writer.write(start.encode() + content)
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def _json(status: int, value: Any) -> Reply:
    return status, json.dumps(value).encode()


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epoch = -1
        self.firsts: dict[int, int] = {}
        self.changed = asyncio.Event()

    def append(self, key: str, value: bytes) -> int:
        frame = bytes([len(key)]) + key.encode() + value
        self.records.append(frame)
        if value:
            self.newest[key] = (len(self.records) - 1, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1


class Store:
    """The platform's store: keyed logs of one partition, each answer after 4 ms."""

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = {}
        self.server = Server(self._answer)

    def topic(self, name: str) -> _Topic:
        """Return a topic, made at its first use."""
        return self.topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record of the operator or of a runner; None drops the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.topic(f"keyed.{topic}").append(key, raw)

    async def _answer(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: bytes
    ) -> Reply:
        await asyncio.sleep(0.004)
        topic = self.topic(query["topic"])
        if path == "/api/log-append":
            return self._append(topic, query, body)
        if path == "/api/log-read":
            return await self._read(topic, query)
        if path == "/api/log-newest":
            return self._newest(topic, query)
        return 404, b""

    def _append(self, topic: _Topic, query: dict[str, str], body: bytes) -> Reply:
        end = len(topic.records)
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["callSeq"])
            if epoch < topic.epoch:
                return _json(409, {"reason": "fenced"})
            if epoch == topic.epoch:
                if sequence in topic.firsts:
                    return _json(200, {"offset": topic.firsts[sequence], "end": end})
                if sequence != max(topic.firsts) + 1:
                    return _json(409, {"reason": "seq", "callSeq": max(topic.firsts) + 1})
        if "at" in query and int(query["at"]) != end:
            return _json(412, {"end": end})
        if "producer" in query:
            if epoch > topic.epoch:
                topic.epoch, topic.firsts = epoch, {}
            topic.firsts[sequence] = end
            for old in sorted(topic.firsts)[:-5]:
                del topic.firsts[old]
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            frame = body[at + 4 : at + 4 + length]
            at += 4 + length
            topic.append(frame[1 : 1 + frame[0]].decode(), frame[1 + frame[0] :])
        return _json(200, {"offset": end, "end": len(topic.records)})

    async def _read(self, topic: _Topic, query: dict[str, str]) -> Reply:
        begin, most = int(query["fromRev"]), int(query.get("max_kb", "1024")) * 1024
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        while len(topic.records) <= begin:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), left_s)
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for frame in topic.records[begin:]:
            size += 4 + len(frame)
            if size > most:
                break
            parts.append(struct.pack(">I", len(frame)) + frame)
        return 200, b"".join(parts)

    def _newest(self, topic: _Topic, query: dict[str, str]) -> Reply:
        keys = sorted(key for key in topic.newest if key > query.get("afterRev", ""))
        items = [
            {
                "key": key,
                "offset": topic.newest[key][0],
                "value": base64.b64encode(topic.newest[key][1]).decode(),
            }
            for key in keys[:500]
        ]
        return _json(200, {"items": items, "more": len(keys) > 500, "end": len(topic.records)})


class Task:
    """One run of a task on a runner."""

    def __init__(self, run: int, work: dict[str, Any], now: float) -> None:
        self.run = run
        self.work = work
        self.began_at = now
        self.worked_s = 0.0
        self.pace = 1.0
        self.next_pace: tuple[float, float] | None = None
        self.stop_at: float | None = None
        self.measurement = 0

    @property
    def lasts(self) -> bool:
        """Return whether the task keeps running until it is stopped."""
        return bool(self.work.get("lasts"))

    def percent(self, now: float) -> int:
        """Return the progress; a lasting task is at work at 100."""
        if self.lasts:
            return 100 if now - self.began_at >= START_S else 50
        return min(99, int(100 * self.worked_s / float(self.work["work_s"])))


class Runner:
    """One machine, with the lives of the runner on it. A crash loses all that runs there."""

    def __init__(self, world: "World", number: int, zone: str, labels: list[str], cpu: int) -> None:
        self.world = world
        self.number = number
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.memory_mb = cpu * 4
        self.up = False
        self.lives = 0
        self.id = ""
        self.server = Server(self._answer)

    async def boot(self) -> None:
        """Start a new life: a new id, nothing runs, no fencing token was seen."""
        port = int(self.server.address.rpartition(":")[2] or "0")
        self.lives += 1
        self.id = f"i-{self.number:02d}{self.lives:02d}{self.world.chance.randrange(1 << 24):06x}"
        self.born_at = time.monotonic()
        self.fence = 0
        self.until_ms = 0.0
        self.tasks: dict[str, Task] = {}
        self.ended: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self.ends = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.reported_at = 0.0
        self.server = Server(self._answer)
        await self.server.listen("127.0.0.1", port)
        self.up = True
        self.world.record.write(f"runner {self.number} up as {self.id}")
        self._life = asyncio.create_task(self._report_life(self.id))

    async def _report_life(self, life: str) -> None:
        while self.up and self.id == life:
            self.sequence += 1
            self.world.store.put(
                "servers",
                life,
                {
                    "service": SERVICE,
                    "address": self.server.address,
                    "zone": self.zone,
                    "version": "1",
                    "slots": 8,
                    "state": "ready",
                    "coldMs": 0,
                    "callSeq": self.sequence,
                    "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
                    "labels": self.labels,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, down_s: float) -> None:
        """Crash, and be back with a new id after a while; the entry goes after three reports."""
        self.world.record.write(f"runner {self.number} ({self.id}) crashes, with {len(self.tasks)}")
        for name in list(self.tasks):
            self.world.on_end(self, name, self.tasks.pop(name), "crashed")
        self.up = False
        self.server.close()
        life = self.id

        async def go_on() -> None:
            await asyncio.sleep(down_s)
            await self.boot()
            await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - down_s))
            self.world.store.put("servers", life, None)

        self._return = asyncio.create_task(go_on())

    @property
    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return int((time.monotonic() - self.born_at) * 1000.0)

    def _used(self, what: str) -> int:
        return sum(
            int(task.work.get(what, 0))
            for task in self.tasks.values()
            if what != "cpu" or not task.work.get("fills")
        )

    def advance(self, now: float, passed_s: float) -> None:
        """Let the tasks work for a while, and end what is done, stopped or lapsed."""
        if not self.up:
            return
        lapsed = self.clock_ms > self.until_ms
        shares = self.filler_shares()
        for name, task in list(self.tasks.items()):
            if task.next_pace is not None and now >= task.next_pace[0]:
                task.pace, task.next_pace = task.next_pace[1], None
            if lapsed:
                self._end(name, "lapsed")
            elif task.stop_at is not None:
                if now >= task.stop_at:
                    self._end(name, "stopped")
            elif not task.lasts:
                share = shares[name][1] if task.work.get("fills") else 1.0
                task.worked_s += passed_s * share
                if task.worked_s >= float(task.work["work_s"]):
                    self._end(name, "done")
        if now - self.reported_at >= REPORT_S:
            self.reported_at = now
            self._measure(now)

    def filler_shares(self) -> dict[str, tuple[float, float]]:
        """Return for each filler its use of the runner (0 to 1), and its speed (0 to 1)."""
        serving = sum(
            task.work["cpu"] * (SERVING_USE if task.work.get("target_ms") else 1.0)
            for task in self.tasks.values()
            if not task.work.get("fills")
        )
        wanted = {
            name: task.work["cpu"] * task.pace
            for name, task in self.tasks.items()
            if task.work.get("fills")
        }
        left = max(0.0, self.cpu - serving)
        scale = min(1.0, left / max(1.0, sum(wanted.values())))
        return {
            name: (use * scale / self.cpu, self.tasks[name].pace * scale)
            for name, use in wanted.items()
        }

    def _measure(self, now: float) -> None:
        shares = self.filler_shares()
        for name, task in self.tasks.items():
            target = task.work.get("target_ms")
            if not target:
                used = shares[name][0] * self.cpu if name in shares else task.work["cpu"]
                task.measurement = int(used)
                continue
            level = math.log(0.3) + self.world.load(name, now)
            for other, (share, _) in shares.items():
                pair = (task.work["image"], self.tasks[other].work["image"])
                level += self.world.presses.get(pair, 0.0) * share
            task.measurement = max(1, int(target * math.exp(level)))

    def _end(self, name: str, how: str) -> None:
        task = self.tasks.pop(name)
        self.ends += 1
        self.highest[name] = max(task.run, self.highest.get(name, 0))
        self.ended.append([self.ends, name, task.run, how, ""])
        self.world.on_end(self, name, task, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], raw: bytes
    ) -> Reply:
        if headers.get("spoolcrank-expect-instance", self.id) != self.id:
            return 421, b""
        body = json.loads(raw)
        fence = body.get("fence", 0)
        if fence < self.fence:
            return _json(409, {"reason": "fence", "clockMs": self.clock_ms})
        self.fence = fence
        if "deadlineMs" in body:
            until_ms = min(float(body["deadlineMs"]), self.clock_ms + HOLD_MAX_MS)
            self.until_ms = max(self.until_ms, until_ms)
        if path == "/api/run-start":
            return self._start(body)
        if path == "/api/run-stop":
            return self._stop(body)
        if path == "/api/pace":
            return self._pace(body)
        if path == "/api/hold":
            return await self._hold(body)
        return 404, b""

    def _has_room(self, work: dict[str, Any]) -> bool:
        if self._used("memMb") + work["memMb"] > self.memory_mb:
            return False
        return bool(work.get("fills") or self._used("cpu") + work["cpu"] <= self.cpu)

    def _start(self, body: dict[str, Any]) -> Reply:
        name, run = body["task"], body["run"]
        work = self.world.work_of(name)
        present = self.tasks.get(name)
        reason = ""
        if present is not None and present.run == run:
            return _json(200, {"clockMs": self.clock_ms})
        if self.clock_ms > body["deadlineMs"]:
            reason = "late"
        elif present is not None or run <= self.highest.get(name, 0):
            reason = "old"
        elif not self._has_room(work):
            reason = "room"
        if reason:
            self.world.record.write(f"runner {self.number} rejects {name} run {run}: {reason}")
            return _json(409, {"reason": reason, "clockMs": self.clock_ms})
        self.tasks[name] = Task(run, work, time.monotonic())
        self.world.on_start(self, name, run)
        return _json(200, {"clockMs": self.clock_ms})

    def _stop(self, body: dict[str, Any]) -> Reply:
        name, run = body["task"], body["run"]
        self.highest[name] = max(run, self.highest.get(name, 0))
        task = self.tasks.get(name)
        if task is not None and task.run == run and task.stop_at is None:
            task.stop_at = time.monotonic() + STOP_S
            self.world.record.write(f"runner {self.number} is to stop {name} run {run}")
        return _json(200, {"clockMs": self.clock_ms})

    def _pace(self, body: dict[str, Any]) -> Reply:
        task = self.tasks.get(body["task"])
        if task is not None and task.run == body["run"]:
            task.next_pace = (time.monotonic() + PACE_S, body["percent"] / 100.0)
        return _json(200, {"clockMs": self.clock_ms})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        life = self.id
        self.ended = [row for row in self.ended if row[0] > body.get("lastSeen", 0)]
        until = time.monotonic() + body.get("waitMs", 0) / 1000.0
        while not self.ended and self.up and self.id == life:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
        now = time.monotonic()
        running = [
            [name, task.run, "", task.percent(now), task.measurement]
            for name, task in self.tasks.items()
        ]
        return _json(200, {"clockMs": self.clock_ms, "running": running, "ended": self.ended[:500]})


class Daemon:
    """One daemon of the system, a process of its own at an address of its own."""

    def __init__(self, world: "World", number: int, zone: str) -> None:
        self.world = world
        self.name = f"front-{zone}-{number}"
        pid = os.getpid()
        ip = f"127.{1 + pid // 250 % 250}.{pid % 250}.{1 + number}"
        self.front, ready, inside = (f"{ip}:{port}" for port in _free_ports(ip, 3))
        port = int(inside.rpartition(":")[2])
        settings = {
            "node": self.name,
            "role": "scheduler",
            "machineClass": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": zone,
            "region": "bengal",
            "zones": dict.fromkeys(world.zones, "bengal"),
            "listen": {"front": self.front, "ready": ready},
            "internalPorts": [port, port],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": {"graceS": 6, "holdMaxMs": HOLD_MAX_MS, "stop_ms": 900, "cancel_ms": 3000},
            "orders": "invoke",
            "platform": {"address": world.store.server.address, "form": "log", "parts": 24},
        }
        self._settings = world.folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))
        self._log = world.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = ["-m", "spoolcrank", "serve", "--metrics-port", "9464"]
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        paths = {"PYTHONPATH": "target/deps", "SPOOLCRANK_NODE_FILE": str(self._settings)}
        with self._log.open("ab") as stream:
            self.process = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
                env=keep | paths,
            )

    def kill(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of its log that hold a word."""
        return [line for line in self._log.read_text().splitlines() if word in line]


def _free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((ip, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]


async def call(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send one request to a daemon as a client; status 0 stands for no answer in 3 s."""
    raw = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
        f"Spoolcrank-Deadline-Ms: 3000\r\nContent-Length: {len(raw)}\r\n\r\n"
    )

    async def exchange() -> tuple[int, Any]:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode() + raw)
            answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(answer.split(" ", 2)[1])
            length = 0
            for line in answer.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    length = int(value)
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), 3.0)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


class World:
    """The platform, the system's daemons and the clients of one play."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.chance = random.Random(seed)
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.zones = ("kolkata-hall", "durgapur-hall", "siliguri-hall")
        self.store = Store()
        self.runners: list[Runner] = []
        self.daemons: list[Daemon] = []
        self.jobs: dict[str, list[dict[str, Any]]] = {}
        self.presses: dict[tuple[str, str], float] = {}
        self.ends: dict[str, dict[str, int]] = {}
        self.on_end: Callable[[Runner, str, Task, str], None] = self.note_end
        self.on_start: Callable[[Runner, str, int], None] = self.note_start
        self._loads: dict[str, tuple[float, float]] = {}

    def load(self, task: str, now: float) -> float:
        """Return the load of a task's step beside its usual one: a slow wave, alike for all."""
        step = task.rpartition(".")[0]
        phase, swing = self._loads.setdefault(
            step, (self.chance.uniform(0, 20.0), self.chance.uniform(0.1, 0.25))
        )
        return swing * math.sin(2 * math.pi * (now + phase) / 20.0)

    def work_of(self, task: str) -> dict[str, Any]:
        """Return what a task does, as its client sent it."""
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    def note_start(self, runner: Runner, task: str, run: int) -> None:
        """Write the start of a run."""
        self.record.write(f"runner {runner.number} starts {task} run {run}")

    def note_end(self, runner: Runner, name: str, task: Task, how: str) -> None:
        """Count an end and write it."""
        counts = self.ends.setdefault(name.split(".")[0], {})
        counts[how] = counts.get(how, 0) + 1
        self.record.write(f"runner {runner.number} ends {name} run {task.run}: {how}")

    async def begin(
        self, runners: int, daemons: int, labels: Callable[[int], list[str]], cpu: int = 32_000
    ) -> None:
        """Start the store, the runners and the daemons, and wait until a daemon is ready."""
        await self.store.server.listen("127.0.0.1")
        route = {
            "name": "q",
            "host": HOST,
            "pathPrefix": "/q/",
            "service": SERVICE,
            "sloMs": 2500,
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 2.0,
        }
        self.store.put(
            "op",
            "config",
            {
                "version": 3,
                "routes": [route],
                "services": [{"name": SERVICE, "rejectsOverload": True}],
                "limits": {},
            },
        )
        for number in range(runners):
            zone = self.zones[number * len(self.zones) // runners]
            self.runners.append(Runner(self, number, zone, labels(number), cpu))
            await self.runners[-1].boot()
        for number in range(daemons):
            self.daemons.append(Daemon(self, number, self.zones[number % len(self.zones)]))
            self.daemons[-1].start()
        self._ticks = asyncio.create_task(self._tick())

    async def _tick(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for runner in self.runners:
                runner.advance(now, now - last)
            last = now

    async def submit(
        self, name: str, steps: list[dict[str, Any]], works: list[dict[str, Any]]
    ) -> bool:
        """Hand a job in until it is accepted, at the daemons in turn; return whether it was."""
        self.jobs[name] = works
        for attempt in range(40):
            daemon = self.daemons[(attempt + len(self.jobs)) % len(self.daemons)]
            status, _ = await call(
                daemon.front, "POST", f"/q/{name}", {"spec": "work", "steps": steps}
            )
            self.record.write(f"POST {name} at {daemon.name}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def cancel(self, name: str) -> bool:
        """Cancel a job, at the daemons in turn until one answers; return whether one did."""
        for daemon in self.daemons:
            status, _ = await call(daemon.front, "DELETE", f"/q/{name}")
            self.record.write(f"DELETE {name} at {daemon.name}: {status}")
            if status in (200, 410):
                return True
        return False

    async def state(self, name: str) -> str:
        """Ask for the state of a job, at the daemons in turn until one answers."""
        for daemon in self.daemons:
            status, answer = await call(daemon.front, "GET", f"/q/{name}")
            shown = answer["state"] if status == 200 and answer else str(status)
            self.record.write(f"GET {name} at {daemon.name}: {status} {shown}")
            if status in (200, 410):
                return shown
        return ""

    def log_lines(self, word: str) -> list[str]:
        """Return the lines with a word in the logs of all daemons."""
        return [line for daemon in self.daemons for line in daemon.log_lines(word)]

    def end(self) -> None:
        """End all processes that this play started."""
        for daemon in self.daemons:
            daemon.kill()
        self._temporary.cleanup()

"""Stand-ins for the cases of the third review: store, runners, clients and the platform's starts.

Everything runs in one process on loopback, with the standard library alone. The store and the
runners follow PROTOCOL.md; where that page is silent they behave as sound ones. The daemons are
the project's own program, started as separate processes with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import math
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stop_ms": 900,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far_x": 1.5,
    "save_s": 0.5,
    "restore_ms": 250,
    "notice_ms": 4500,
    "move_s": 1.5,
    "upkeep_s": 2,
    "requireFence": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
}
SILENT = object()
RECORD_BYTES, CALL_BYTES = 262144, 2097152


# HTTP


async def read_message(reader):
    """Read one HTTP message; return its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return lines[0], headers, body


class HttpServer:
    """An HTTP/1.1 server; `handle` returns (status, body) or SILENT for no answer at all."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        """Start it."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """End as a process that is killed: the port is closed and all channels are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is SILENT:
                    await asyncio.sleep(3600)
                status, payload = answer
                if isinstance(payload, (dict, list)):
                    payload = json.dumps(payload).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=b"", headers=None, timeout_s=3.0):
    """Send one request over a channel of its own; return (status, body), or (0, why)."""
    ip, _, port = address.rpartition(":")

    async def talk():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [
                f"{name}: {value}" for name, value in {"Host": address, **(headers or {})}.items()
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(talk(), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return 0, repr(exc).encode()


# Store


class Partition:
    """One partition of a topic."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []
        self.newest = {}
        self.producers = {}

    @property
    def end(self):
        """Return the end offset."""
        return len(self.records)

    def add(self, raw):
        """Append one record, and note the newest of its key."""
        offset = self.end
        self.records.append(raw)
        if self.keyed:
            key = raw[1 : 1 + raw[0]].decode()
            value = raw[1 + raw[0] :]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)


class Store:
    """The platform's log; `delay_s` is the time of an answer, `gate` may hold or refuse a call."""

    def __init__(self, world, ip):
        self.world = world
        self.topics = {}
        self.delay_s = 0.004
        self.gate = None
        self.changed = asyncio.Event()
        self.server = HttpServer(ip, 0, self.handle)

    @property
    def address(self):
        """Return the address of the store."""
        return f"{self.server.ip}:{self.server.port}"

    def topic(self, name):
        """Return a topic, made at its first use."""
        return self.topics.setdefault(name, Partition(name.startswith("keyed.")))

    def put(self, topic, key, value):
        """Write the record of a key, as the operator or a runner does; None drops it."""
        raw = json.dumps(value).encode() if value is not None else b""
        self.topic(topic).add(bytes([len(key)]) + key.encode() + raw)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        """Answer one call, unless the gate does."""
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        name = parts.path.rpartition("/")[2]
        if self.gate is not None:
            answer = await self.gate(name, query, body)
            if answer is not None:
                return answer
        await asyncio.sleep(self.delay_s)
        return await self.do(name, query, body)

    async def do(self, name, query, body):
        """Carry one call out and return its answer."""
        part = self.topic(query.get("topic", ""))
        if name == "log-append":
            return self._append(part, query, body)
        if name == "log-read":
            return await self._read(part, query)
        if name == "log-newest":
            return self._newest(part, query)
        return 400, {}

    def _append(self, part, query, body):
        records, at = [], 0
        while at + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        if len(body) > CALL_BYTES or any(len(raw) > RECORD_BYTES for raw in records):
            self.world.note("too-large", largest=max(len(raw) for raw in records), call=len(body))
            return 400, {"error": "too large"}
        state = None
        if "producer" in query:
            state = part.producers.setdefault(
                query["producer"], {"epoch": -1, "seq": 0, "answers": {}}
            )
            epoch, seq = int(query["epoch"]), int(query["callSeq"])
            if epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch == state["epoch"] and seq in state["answers"]:
                return 200, state["answers"][seq]
            if epoch == state["epoch"] and seq != state["seq"] + 1:
                return 409, {"reason": "seq", "callSeq": state["seq"] + 1}
        if "at" in query and int(query["at"]) != part.end:
            return 412, {"end": part.end}
        answer = {"offset": part.end, "end": part.end + len(records)}
        for raw in records:
            part.add(raw)
        if state is not None:
            if epoch > state["epoch"]:
                state["answers"] = {}
            state["epoch"], state["seq"] = epoch, seq
            state["answers"][seq] = answer
            for old in sorted(state["answers"])[:-5]:
                del state["answers"][old]
        self._wake()
        return 200, answer

    async def _read(self, part, query):
        start, wait_s = int(query.get("fromRev", 0)), int(query.get("waitMs", 0)) / 1000.0
        deadline = time.monotonic() + wait_s
        while part.end <= start and time.monotonic() < deadline:
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), deadline - time.monotonic())
            except TimeoutError:
                break
        out, size, limit = [], 0, int(query.get("max_kb", 1024)) * 1024
        for raw in part.records[start:]:
            if out and size + len(raw) > limit:
                break
            out.append(struct.pack(">I", len(raw)) + raw)
            size += len(raw)
        return 200, struct.pack(">QQ", part.end, 0) + b"".join(out)

    def _newest(self, part, query):
        keys = sorted(key for key in part.newest if key > query.get("afterRev", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(part.newest[key][0]).decode(),
                "offset": part.newest[key][1],
            }
            for key in keys[:500]
        ]
        return 200, {"items": items, "more": len(keys) > 500, "end": part.end}


# Runners


class Run:
    """One run of a task on a runner."""

    def __init__(self, number, step, saved, now):
        self.number, self.step = number, step
        self.done_ms = float(int(saved[:8], 16)) if saved else 0.0
        self.saved, self.saved_ms = saved, int(self.done_ms)
        self.percent = 100
        self.since = now
        self.ready_at = now + (0.25 if saved else 0.0)
        self.stop_at = None


class Runner:
    """One life of a runner."""

    def __init__(
        self, world, name, ip, service, zone, cpu, mem, labels, guards=True, port=0, gpu=0
    ):
        self.world, self.id, self.ip = world, name, ip
        self.service, self.zone, self.labels, self.guards = service, zone, labels, guards
        self.room = {"cpu": cpu, "memMb": mem, "gpu": gpu}
        self.runs, self.ended, self.blocked = {}, [], {}
        self.count, self.fence, self.lease_until = 0, 0, 0.0
        self.born = time.monotonic() - 100.0
        self.seq = 0
        self.up = False
        self.draining = False
        self.gate = None
        self.changed = asyncio.Event()
        self.server = HttpServer(ip, port, self.handle)

    def clock(self):
        """Return the runner's clock, milliseconds."""
        return (time.monotonic() - self.born) * 1000.0

    async def start(self):
        """Start it."""
        await self.server.start()
        self.up = True
        self.beat()

    def beat(self):
        """Write the runner's entry."""
        self.seq += 1
        self.world.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": f"{self.ip}:{self.server.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "coldMs": 0,
                "capacity": self.room,
                "labels": self.labels,
                "callSeq": self.seq,
            },
        )

    def crash(self):
        """Die without a word; what runs here is gone."""
        self.up = False
        self.server.stop()
        self.world.note("crash", runner=self.id, running=sorted(self.runs))
        for task, run in self.runs.items():
            self.world.note("died", runner=self.id, task=task, run=run.number)
        self.runs = {}

    def use(self):
        """Return what the runs here take of the room."""
        spent = {"cpu": 0, "memMb": 0, "gpu": 0}
        for run in self.runs.values():
            for name in spent:
                if name != "cpu" or not run.step.get("fills"):
                    spent[name] += run.step.get(name, 0)
        return spent

    async def handle(self, method, target, headers, body):
        """Answer one call, unless the gate does."""
        if self.gate is not None:
            answer = await self.gate(self, target, body)
            if answer is not None:
                return answer
        return await self.do(method, target, headers, body)

    async def do(self, method, target, headers, body):
        """Carry one call out and return its answer."""
        if target == "/healthz":
            return 200, {}
        if headers.get("spoolcrank-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        name = target.rpartition("/")[2]
        fence = order.get("fence", 0)
        if fence < self.fence:
            return 409, {"reason": "fence", "clockMs": int(self.clock())}
        self.fence = fence
        if name == "run-start":
            return self._start(order)
        if name == "run-stop":
            return self._stop(order)
        if name == "hold":
            return await self._hold(order)
        if name == "pace":
            run = self.runs.get(order["task"])
            if run is None or run.number != order["run"]:
                return 409, {"reason": "old", "clockMs": int(self.clock())}
            run.percent = order["percent"]
            return 200, {"clockMs": int(self.clock())}
        return 404, {}

    def _extend(self, order):
        if "deadlineMs" in order:
            until = min(order["deadlineMs"], self.clock() + self.world.bounds["holdMaxMs"])
            self.lease_until = max(self.lease_until, until)

    def _start(self, order):
        task, number = order["task"], order["run"]
        clock = self.clock()
        answer = {"clockMs": int(clock)}
        present = self.runs.get(task)
        if present is not None and present.number == number and present.stop_at is None:
            self._extend(order)
            return 200, answer
        if order.get("deadlineMs", 0) <= clock:
            return 409, answer | {"reason": "late"}
        if number <= self.blocked.get(task, 0) or present is not None:
            self._extend(order)
            return 409, answer | {"reason": "old"}
        job, _, step_no, _ = task.rsplit(".", 3)
        step = self.world.step_of(job, int(step_no))
        if step is None:
            self.world.note("unasked", runner=self.id, task=task)
            return 400, {}
        use = self.use()
        over = any(
            use[name] + step.get(name, 0) > self.room[name]
            for name in use
            if not (name == "cpu" and step.get("fills"))
        )
        if over:
            self.world.note("over", runner=self.id, task=task, run=number, guarded=self.guards)
            if self.guards:
                self._extend(order)
                return 409, answer | {"reason": "room"}
        self._extend(order)
        self.runs[task] = Run(number, step, order.get("checkpointed", ""), time.monotonic())
        self.world.note(
            "start",
            runner=self.id,
            task=task,
            run=number,
            fence=order["fence"],
            saved=order.get("checkpointed", ""),
        )
        return 200, answer

    def _stop(self, order):
        task, number = order["task"], order["run"]
        run = self.runs.get(task)
        self.blocked[task] = max(self.blocked.get(task, 0), number)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + 0.2
        self.world.note("stop", runner=self.id, task=task, run=number, there=run is not None)
        return 200, {"clockMs": int(self.clock())}

    async def _hold(self, order):
        self._extend(order)
        seen = order.get("lastSeen", 0)
        forgotten = [row for row in self.ended if row[0] <= seen]
        for row in forgotten:
            self.world.note("seen", runner=self.id, task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        deadline = time.monotonic() + min(order.get("waitMs", 0), 2000) / 1000.0
        while not self.ended and time.monotonic() < deadline:
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), deadline - time.monotonic())
            except TimeoutError:
                break
        running = [
            [task, run.number, run.saved, self._percent(task, run), self._figure(run)]
            for task, run in self.runs.items()
        ]
        return 200, {"clockMs": int(self.clock()), "running": running, "ended": self.ended[:500]}

    def _percent(self, task, run):
        if run.step.get("longRunning"):
            return 100 if time.monotonic() - run.since > 0.3 else 0
        return min(99, int(run.done_ms * 100 / max(1, self.world.work_ms(task, run))))

    def _figure(self, run):
        return (
            self.world.tail_ms(run, self)
            if run.step.get("target_ms")
            else run.step.get("cpu", 0) * run.percent // 100
        )

    def end(self, task, how):
        """End a run and list it."""
        run = self.runs.pop(task)
        self.count += 1
        self.blocked[task] = max(self.blocked.get(task, 0), run.number)
        saved = run.saved if how != "done" else ""
        self.ended.append([self.count, task, run.number, how, saved])
        self.world.note("end", runner=self.id, task=task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def tick(self, now, dt):
        """Let the work here go on."""
        if not self.up:
            return
        if self.runs and self.clock() > self.lease_until:
            for task in list(self.runs):
                self.end(task, "lapsed")
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            if run.stop_at is not None:
                if now >= run.stop_at:
                    self.end(task, "stopped")
                continue
            if now < run.ready_at:
                continue
            if run.step.get("gang") and not self.world.gang_whole(task, run.number):
                if now - run.since > self.world.bounds[
                    "gang_ms"
                ] / 1000.0 and not self.world.was_whole(task, run.number):
                    self.end(task, "alone")
                elif self.world.was_whole(task, run.number):
                    self.end(task, "broken")
                continue
            run.done_ms += dt * 1000.0 * run.percent / 100.0
            if run.step.get("savesProgress"):
                whole = int(run.done_ms // 500) * 500
                if whole > run.saved_ms:
                    run.saved_ms = whole
                    run.saved = f"{whole:08x}{task[:8]}" + self.world.checkpoint_rest(task, whole)
            fails = self.world.fails(task, run)
            if fails is not None and run.done_ms >= fails:
                self.end(task, "failed")
            elif not run.step.get("longRunning") and run.done_ms >= self.world.work_ms(task, run):
                if run.step.get("gang"):
                    self.world.gang_done(task, run.number)
                else:
                    self.end(task, "done")


# Daemons


class Daemon:
    """One of the project's daemons, and its settings."""

    def __init__(self, world, number, zone, zones, cores):
        self.world, self.node, self.zone, self.zones, self.cores = (
            world,
            f"front-{zone}-{number}",
            zone,
            zones,
            cores,
        )
        self.ip = f"127.{world.net}.1.{number}"
        self.front, self.ready = f"{self.ip}:8161", f"{self.ip}:8167"
        self.store_address = world.store.address
        self.process = None
        self.first = True

    def settings(self):
        """Return the settings of the process."""
        return {
            "node": self.node,
            "role": "scheduler",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": dict.fromkeys(self.zones, "r"),
            "listen": {"front": self.front, "ready": self.ready},
            "internalPorts": [7720, 7735],
            "seeds": [],
            "bootstrap": self.first,
            "lossCounted": False,
            "limits": {
                "cpuShare": self.cores,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
            ],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": self.world.bounds,
            "orders": "invoke",
            "advice": "127.0.0.1:9",
            "platform": {
                "address": self.store_address,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 24,
                "append_ms": 1.0,
                "part_mb_per_s": 20.0,
                "read_mb_per_s": 80.0,
                "record_bytes": RECORD_BYTES,
                "call_bytes": CALL_BYTES,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
            "cloud": {"address": "127.0.0.1:9", "ratePerS": 60.0, "duties": [], "dutyPerS": 60.0},
        }

    def start(self):
        """Start it."""
        path = Path(self.world.folder) / f"{self.node}.json"
        path.write_text(json.dumps(self.settings()))
        self.first = False
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "PYTHONPATH": "target/deps",
            "SPOOLCRANK_NODE_FILE": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(Path(self.world.folder) / f"{self.node}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "spoolcrank", "serve", "--metrics-port", "9464"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self):
        """Return what the process has written."""
        return (Path(self.world.folder) / f"{self.node}.log").read_text(errors="replace")


# The whole


class World:
    """All stand-ins, daemons and the journal of what was seen."""

    def __init__(self, bounds=None):
        self.bounds = BOUNDS | (bounds or {})
        self.net = random.SystemRandom().randint(20, 250)
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.began = time.monotonic()
        self.journal = []
        self.jobs = {}
        self.work = {}
        self.failing = {}
        self.tails = {}
        self.harm = {}
        self.uneven = {}
        self.checkpoint_length = {}
        self.whole = set()
        self.runners, self.daemons = [], []
        self.store = Store(self, f"127.{self.net}.0.1")
        self.tasks = []

    def now(self):
        """Return the time since the begin, seconds."""
        return time.monotonic() - self.began

    def note(self, what, **fields):
        """Add an entry to the journal."""
        self.journal.append((round(self.now(), 3), what, fields))

    def step_of(self, job, number):
        """Return a step as it was handed in; None if nobody did."""
        flow = self.jobs.get(job)
        return flow["steps"][number] if flow is not None and number < len(flow["steps"]) else None

    def work_ms(self, task, run):
        """Return how long a task works, milliseconds."""
        job, _, step, _ = task.rsplit(".", 3)
        work_ms = self.work.get((job, int(step)), run.step.get("estimateMs", 500))
        uneven = self.uneven.get(job, 0.0)
        return work_ms * (1.0 + random.Random(task).uniform(-uneven, uneven)) if uneven else work_ms

    def tail_ms(self, run, runner):
        """Return a serving task's tail: its own, times what fillers beside it do to its image."""
        image = run.step.get("image", "")
        harm = (
            sum(
                self.harm.get((image, other.step.get("image", "")), 0.0)
                * other.step.get("cpu", 0)
                * other.percent
                / 100.0
                for other in runner.runs.values()
                if other.step.get("fills") and other.stop_at is None
            )
            / runner.room["cpu"]
        )
        return max(1, round(self.tails.get(image, 1) * math.exp(harm)))

    def checkpoint_rest(self, task, whole):
        """Return what a checkpoint holds behind its first 16 signs; a case may set its length."""
        length = self.checkpoint_length.get(task.split(".")[0], 16) - 16
        return (
            random.Random(f"{task} {whole}").randbytes(length // 2 + 1).hex()[:length]
            if length > 0
            else ""
        )

    def fails(self, task, run):
        """Return after which work a task fails; None if it does not."""
        return self.failing.get(task)

    def _members(self, task, number):
        stem = task.rsplit(".", 1)[0]
        return [
            (runner, key, run)
            for runner in self.runners
            if runner.up
            for key, run in runner.runs.items()
            if key.rsplit(".", 1)[0] == stem and run.number == number and run.stop_at is None
        ]

    def gang_whole(self, task, number):
        """Return whether all members of a run of a gang are there."""
        job, _, step, _ = task.rsplit(".", 3)
        members = {key for _, key, _ in self._members(task, number)}
        if len(members) == self.step_of(job, int(step))["count"]:
            self.whole.add((task.rsplit(".", 1)[0], number))
            return True
        return False

    def was_whole(self, task, number):
        """Return whether they have all been there."""
        return (task.rsplit(".", 1)[0], number) in self.whole

    def gang_done(self, task, number):
        """End all members of a gang as done."""
        for runner, key, _ in self._members(task, number):
            runner.end(key, "done")

    async def begin(self, daemons=3, zones=("za", "zb", "zc"), cores=1.0):
        """Start the store and make the daemons, which are started later."""
        await self.store.server.start()
        self.tasks.append(asyncio.create_task(self._ticks()))
        self.tasks.append(asyncio.create_task(self._beats()))
        for number in range(1, daemons + 1):
            self.daemons.append(
                Daemon(self, number, zones[(number - 1) % len(zones)], zones, cores)
            )

    async def add_runner(
        self,
        name,
        service="svc",
        zone="za",
        cpu=8000,
        mem=32000,
        labels=("a", "r1"),
        guards=True,
        port=0,
        ip=None,
        gpu=0,
    ):
        """Start a runner."""
        number = len(self.runners) + 1
        ip = ip or f"127.{self.net}.{2 + number // 200}.{1 + number % 200}"
        runner = Runner(self, name, ip, service, zone, cpu, mem, list(labels), guards, port, gpu)
        self.runners.append(runner)
        await runner.start()
        return runner

    def remove_entry(self, runner):
        """Drop the entry of a runner."""
        self.store.put("keyed.servers", runner.id, None)

    async def _ticks(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for runner in list(self.runners):
                runner.tick(now, now - last)
            last = now

    async def _beats(self):
        while True:
            await asyncio.sleep(1.5)
            for runner in list(self.runners):
                if runner.up:
                    runner.beat()

    def config(self, version, routes, services=("svc",)):
        """Write the operator's config."""
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {
                        "name": name,
                        "healthPath": "/healthz",
                        "maxConnections": 64,
                        "protocol": "h1",
                        "tls": False,
                        "rejectsOverload": True,
                        "spare": False,
                    }
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def ready(self, timeout_s=20.0):
        """Wait until all daemons call themselves ready; return whether they did."""
        deadline = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while (await call(daemon.ready, "GET", "/api/readyz", timeout_s=1.0))[0] != 200:
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def submit(self, daemon, job, flow, route, attempts=4, timeout_s=3.0):
        """Hand a submission in as a consumer does: again after no answer or a refusal."""
        self.jobs[job] = flow
        for attempt in range(attempts):
            target = self.daemons[(daemon + attempt) % len(self.daemons)]
            status, body = await call(
                target.front,
                "POST",
                route["pathPrefix"] + job,
                json.dumps(flow).encode(),
                {
                    "Host": route["host"],
                    "Content-Type": "application/json",
                    "Spoolcrank-Deadline-Ms": "3000",
                },
                timeout_s,
            )
            self.note(
                "post",
                job=job,
                daemon=target.node,
                status=status,
                body=body[:200].decode(errors="replace"),
            )
            if status in (200, 201, 202, 400, 404):
                return status
            await asyncio.sleep(0.3)
        return status

    async def ask(self, daemon, job, route, method="GET", timeout_s=3.0):
        """Ask for a state or a count, or cancel; return the status and the state."""
        target = self.daemons[daemon]
        status, body = await call(
            target.front,
            method,
            route["pathPrefix"] + job,
            b"",
            {"Host": route["host"], "Spoolcrank-Deadline-Ms": "3000"},
            timeout_s,
        )
        state = ""
        if status == 200 and method == "GET":
            state = json.loads(body).get("state", json.loads(body).get("waiting", ""))
        self.note(method.lower(), job=job, daemon=target.node, status=status, state=state)
        return status, state

    def leader(self):
        """Return the number of the daemon that the newest claim in the store names, or None."""
        claim = self.store.topic("keyed.jobs").newest.get("leader")
        if claim is None:
            return None
        name = json.loads(claim[0])[1]
        return next((n for n, daemon in enumerate(self.daemons) if daemon.node == name), None)

    def finish(self, folder, keep_logs=False):
        """End all that was started, and write the record."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
        for runner in self.runners:
            runner.server.stop()
        self.store.server.stop()
        with open(Path(folder) / "record.txt", "w") as record:
            for at, what, fields in self.journal:
                record.write(f"{at:9.3f} {what} {json.dumps(fields)}\n")
        if keep_logs:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service="svc", **more):
    """Return a queue for the config."""
    return {
        "name": name,
        "host": "q.example",
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 3000,
        "sloMs": 1000,
        "priority": 0,
        "service": service,
        "maxAttempts": 3,
        "stretch": 2.0,
    } | more


def main(case, folder, limit_s=110.0):
    """Run a case; its function returns the list of breaks, or None if it couldn't run."""

    async def run():
        world = World()
        try:
            return await asyncio.wait_for(case(world), limit_s)
        except Exception as exc:
            world.note("could-not-run", why=repr(exc))
            print("could not run:", repr(exc))
            return None
        finally:
            keep = "KEEP_LOGS" in os.environ
            world.finish(folder, keep)

    breaks = asyncio.run(run())
    if breaks is None:
        sys.exit(2)
    for line in breaks:
        print("BROKEN:", line)
    print("broken" if breaks else "held")
    sys.exit(1 if breaks else 0)

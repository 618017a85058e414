"""Stand-ins of the platform's store, of runners and of consumers, on loopback addresses.

They do what SYSTEM.md, PROTOCOL.md and DEPLOY.md say of a sound store, runner and consumer, and
nothing more. One process holds the store and all runners; the daemons are separate processes that
run the command of the deploy file. A runner can be made dark: it then reads and answers nothing,
on open channels and on new ones, and does no work.
"""

import asyncio
import base64
import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STORE_ANSWER_S = 0.004
STOP_S = 0.2


class Record:
    """Writes record.txt: one JSON line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = Path(path).open("w")  # noqa: SIM115
        self.began = time.monotonic()

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self.began

    def write(self, what, **fields):
        """Write one line."""
        self.file.write(json.dumps({"t": round(self.now(), 3), "what": what, **fields}) + "\n")
        self.file.flush()


async def read_request(reader):
    """Return method, target, headers and body, or None at the end of the channel."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def render(status, body):
    """Return an answer as it is sent."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP server that handles the requests of one channel in turn."""

    async def listen(self, ip, port=0):
        """Listen on a free or a given port."""
        self.channels = set()
        self.tcp = await asyncio.start_server(self.serve, ip, port)
        self.address = "{}:{}".format(*self.tcp.sockets[0].getsockname()[:2])

    def close(self):
        """End as a killed process does: the port and all channels reset."""
        self.tcp.close()
        for writer in list(self.channels):
            writer.transport.abort()

    async def gate(self):
        """Wait while the server is dark."""

    async def serve(self, reader, writer):
        """Answer the requests of one channel."""
        self.channels.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.gate()
                status, body = await self.handle(*request)
                await self.gate()
                writer.write(render(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()


class Topic:
    """One topic with its only partition."""

    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # producer -> [epoch, {sequence: answer}]
        self.grown = asyncio.Condition()


class Store(Server):
    """The platform's metadata store, form `log`.

    `late` may be set to a function of the records of a writing call. If it gives seconds, the call
    gets no answer and is done that much later, as a channel that says nothing more.
    """

    def __init__(self):
        self.topics = defaultdict(Topic)
        self.late = None
        self.writes = 0
        self.lost_writes = 0

    async def add(self, name, key, value):
        """Write a record as the operator or a runner does."""
        await self.append(self.topics["keyed." + name], [(key, value)])

    async def append(self, topic, records):
        """Add records to a topic; return the first offset and the end."""
        first = len(topic.records)
        for key, value in records:
            topic.records.append((key, value))
            if value:
                topic.newest[key] = (len(topic.records) - 1, value)
            else:
                topic.newest.pop(key, None)
        async with topic.grown:
            topic.grown.notify_all()
        return {"offset": first, "end": len(topic.records)}

    async def handle(self, method, target, headers, body):
        """Return status and body for one request."""
        await asyncio.sleep(STORE_ANSWER_S)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topics[query.get("topic", "")]
        if url.path == "/api/log-append":
            return await self.handle_append(topic, query, body)
        if url.path == "/api/log-read":
            return await self.handle_read(topic, query)
        if url.path == "/api/log-newest":
            return self.handle_newest(topic, query)
        return 404, b""

    async def handle_append(self, topic, query, body):
        """Answer log-append."""
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            frame = body[position + 4 : position + 4 + length]
            position += 4 + length
            if length > 262144:
                return 400, b""
            records.append((frame[1 : 1 + frame[0]].decode(), frame[1 + frame[0] :]))
        self.writes += 1
        late_s = self.late(records) if self.late is not None else None
        if late_s is not None:
            self.lost_writes += 1
            await asyncio.sleep(late_s)
            await self.do_append(topic, query, body, records)
            # The channel that has lost an answer says nothing more.
            await asyncio.Event().wait()
        return await self.do_append(topic, query, body, records)

    async def do_append(self, topic, query, body, records):
        """Carry out a writing call."""
        if len(body) > 2097152:
            return 400, b""
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["callSeq"])
            seen = topic.producers.setdefault(query["producer"], [-1, {}])
            if epoch < seen[0]:
                return 409, {"reason": "fenced"}
            if epoch == seen[0]:
                if sequence in seen[1]:
                    return 200, seen[1][sequence]
                wanted = max(seen[1]) + 1
                if sequence != wanted:
                    return 409, {"reason": "seq", "callSeq": wanted}
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end": len(topic.records)}
        answer = await self.append(topic, records)
        if "producer" in query:
            if epoch > seen[0]:
                seen[0], seen[1] = epoch, {}
            seen[1][sequence] = answer
            for old in sorted(seen[1])[:-5]:
                del seen[1][old]
        return 200, answer

    async def handle_read(self, topic, query):
        """Answer log-read."""
        offset = int(query["fromRev"])
        wait_s = int(query.get("waitMs", 0)) / 1000.0
        if wait_s and offset >= len(topic.records):
            try:
                async with asyncio.timeout(wait_s):
                    async with topic.grown:
                        await topic.grown.wait_for(lambda: len(topic.records) > offset)
            except TimeoutError:
                pass
        answer, size = [], 0
        for key, value in topic.records[offset:]:
            frame = bytes([len(key)]) + key.encode() + value
            size += len(frame) + 4
            if size > int(query.get("max_kb", 1024)) * 1024:
                break
            answer.append(struct.pack(">I", len(frame)) + frame)
        return 200, struct.pack(">QQ", len(topic.records), 0) + b"".join(answer)

    def handle_newest(self, topic, query):
        """Answer log-newest."""
        after = query.get("afterRev", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = topic.newest[key]
            size += len(value)
            if len(items) == 500 or (items and size > 1 << 20):
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        more = len(items) < len(keys)
        return 200, {"items": items, "more": more, "end": len(topic.records)}


class Gangs:
    """The runs of gangs: their members work together, and end together."""

    def __init__(self, world):
        self.world = world
        self.members = defaultdict(dict)  # (step, run) -> {task: runner}
        self.began = {}  # (step, run) -> when all were there

    def key(self, task, run):
        """Return what the members of one run share."""
        return task.rpartition(".")[0], run

    def arrive(self, runner, task, run, count):
        """Add a member that has started."""
        key = self.key(task, run)
        self.members[key][task] = runner
        if len(self.members[key]) == count:
            self.began[key] = time.monotonic()

    def worked_s(self, task, run):
        """Return how long all members have worked; None before all are there."""
        began = self.began.get(self.key(task, run))
        return None if began is None else time.monotonic() - began

    async def leave(self, task, run, how):
        """Take out a member that has ended; the others end too."""
        key = self.key(task, run)
        others = self.members.pop(key, {})
        others.pop(task, None)
        for other, runner in others.items():
            await runner.end(other, run, "done" if how == "done" else "broken")


class Runner(Server):
    """One life of a runner. A task works for the seconds that its spec gives, `work=SECONDS`."""

    def __init__(self, world, name, zone, cpu):
        self.world, self.name, self.zone, self.cpu = world, name, zone, cpu
        self.fence = 0
        self.deadline = 0.0
        self.running = {}  # task -> [run, began, work_s, cpu]
        self.ended = []  # [n, task, run, how, saved]
        self.ends = 0
        self.highest = {}  # task -> highest run stopped or ended here
        self.dark = False
        self.began = time.monotonic()
        self.changed = asyncio.Condition()
        self.heartbeats = 0
        self.over = False

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.began) * 1000) + 400000

    async def gate(self):
        """Wait while the runner is dark."""
        while self.dark:
            await asyncio.sleep(0.05)

    def entry(self):
        """Return the entry in the store."""
        self.heartbeats += 1
        return json.dumps(
            {
                "service": self.world.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 128000, "gpu": 0},
                "labels": ["a", "r1"],
                "clockMs": self.clock_ms(),
                "callSeq": self.heartbeats,
            }
        ).encode()

    async def live(self):
        """Work, end what is done, and keep the lease and the entry in the store."""
        entry_at = 0.0
        while not self.over:
            now = time.monotonic()
            if not self.dark:
                if now >= entry_at:
                    entry_at = now + 1.5
                    await self.world.store.add("servers", self.name, self.entry())
                for task, (run, began, work_s, _) in list(self.running.items()):
                    if not self.world.step_of(task).get("gang"):
                        if now - began >= work_s:
                            await self.end(task, run, "done")
                        continue
                    worked_s = self.world.gangs.worked_s(task, run)
                    if worked_s is not None and worked_s >= work_s:
                        await self.end(task, run, "done")
                    elif worked_s is None and now - began >= self.world.gang_s:
                        await self.end(task, run, "alone")
                if self.running and self.clock_ms() > self.deadline:
                    for task, (run, *_) in list(self.running.items()):
                        await self.end(task, run, "lapsed")
            await asyncio.sleep(0.02)

    async def end(self, task, run, how):
        """End a run and list its end."""
        if task not in self.running or self.running[task][0] != run:
            return
        del self.running[task]
        self.ends += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append([self.ends, task, run, how, ""])
        self.world.failed_ends += how == "failed"
        self.world.record.write("ended", runner=self.name, task=task, run=run, how=how)
        if self.world.step_of(task).get("gang"):
            await self.world.gangs.leave(task, run, how)
        async with self.changed:
            self.changed.notify_all()

    async def stop_soon(self, task, run):
        """End a stopped run."""
        await asyncio.sleep(STOP_S)
        await self.end(task, run, "stopped")

    async def handle(self, method, target, headers, body):
        """Return status and body for one request."""
        if headers.get("spoolcrank-expect-instance") != self.name:
            return 421, b""
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = order.get("fence", 0)
        if target == "/api/run-start":
            return self.start(order)
        if target == "/api/run-stop":
            task, run = order["task"], order["run"]
            self.highest[task] = max(run, self.highest.get(task, 0))
            if task in self.running and self.running[task][0] == run:
                self.world.keep(self.stop_soon(task, run))
            return 200, {"clockMs": self.clock_ms()}
        if target == "/api/hold":
            return await self.hold(order)
        if target == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, b""

    def grant(self, deadline):
        """Extend the lease."""
        longest = self.clock_ms() + self.world.hold_max_ms
        self.deadline = max(self.deadline, min(deadline, longest))

    def start(self, order):
        """Answer run-start."""
        task, run = order["task"], order["run"]
        present = self.running.get(task)
        if present is not None and present[0] == run:
            return 200, {"clockMs": self.clock_ms()}
        if order["deadlineMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        self.grant(order["deadlineMs"])
        if run <= self.highest.get(task, 0) or present is not None:
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        step = self.world.step_of(task)
        room = 0 if step.get("fills") else step["cpu"]
        if sum(each[3] for each in self.running.values()) + room > self.cpu:
            return 409, {"clockMs": self.clock_ms(), "reason": "room"}
        work_s = float(order["spec"].partition("work=")[2])
        self.running[task] = [run, time.monotonic(), work_s, room]
        self.world.begun.setdefault(task.split(".")[0], self.world.record.now())
        self.world.starts.append((self.world.record.now(), task))
        self.world.record.write("began", runner=self.name, task=task, run=run)
        if step.get("gang"):
            self.world.gangs.arrive(self, task, run, step["count"])
        return 200, {"clockMs": self.clock_ms()}

    def percent(self, task, run, age_s, work_s):
        """Return the progress of a run."""
        if self.world.step_of(task).get("longRunning"):
            return 100
        if self.world.step_of(task).get("gang"):
            age_s = self.world.gangs.worked_s(task, run) or 0.0
        return min(99, int(100 * age_s / work_s))

    def figure(self, task):
        """Return the tail of the answers' times of a task that serves, the cpu of any other."""
        step = self.world.step_of(task)
        return min(8, step["target_ms"]) if step.get("target_ms") else step["cpu"]

    async def hold(self, order):
        """Answer hold."""
        self.ended = [row for row in self.ended if row[0] > order["lastSeen"]]
        if "deadlineMs" in order:
            self.grant(order["deadlineMs"])
        if order.get("waitMs") and not self.ended:
            try:
                async with asyncio.timeout(order["waitMs"] / 1000.0):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [task, run, "", self.percent(task, run, now - began, work_s), self.figure(task)]
            for task, (run, began, work_s, _) in self.running.items()
        ]
        return 200, {"clockMs": self.clock_ms(), "running": running, "ended": self.ended[:500]}


class World:
    """A small deployment: a store, runners, and daemons as separate processes."""

    HOST, PREFIX, ROUTE = "nony24.example", "/lohu930/", "r-3hwrr6x"
    ZONES = ("kolkata-hall", "durgapur-hall", "siliguri-hall")

    def __init__(self, folder, hold_max_ms=10000):
        self.folder = Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.service = "huvo11a"
        self.hold_max_ms = hold_max_ms
        self.store = Store()
        self.runners = []
        self.gangs = Gangs(self)
        self.gang_s = 3.0
        self.lives = 0
        self.failed_ends = 0
        self.daemons = {}  # name -> process
        self.fronts = {}  # name -> front address
        self.readies = {}
        self.steps = {}  # id -> steps
        self.begun = {}  # id -> time of the first start
        self.starts = []  # time and task of each start
        self.tasks = set()

    def step_of(self, task):
        """Return the step of a task."""
        name, _, step, _ = task.split(".")
        return self.steps[name][int(step)]

    async def start(self, temporary, runners=6, cpu=32000, daemons=3):
        """Start the store, the runners and the daemons."""
        await self.store.listen("127.0.0.1")
        for number in range(runners):
            self.runners.append(await self.boot(self.ZONES[number % 3], cpu))
        await self.configure(1)
        base = 2 + os.getpid() % 200
        for number in range(daemons):
            ip = f"127.{base}.{os.getpid() // 200 % 250 + 1}.{number + 2}"
            self.start_daemon(temporary, number, ip)
        await self.until_ready()

    def keep(self, coroutine):
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)

    async def boot(self, zone, cpu, port=0):
        """Start a life of a runner, with an id of its own."""
        self.lives += 1
        runner = Runner(self, f"i-{0x7F3A91C0 + self.lives:08x}", zone, cpu)
        await runner.listen("127.0.0.1", port)
        self.keep(runner.live())
        return runner

    async def crash(self, number, for_s):
        """Let a runner crash; after a time a new life is at its address."""
        runner = self.runners[number]
        self.record.write("crash", runner=runner.name, running=sorted(runner.running))
        runner.over = True
        runner.close()
        gangs = [
            (task, run[0]) for task, run in runner.running.items() if self.step_of(task).get("gang")
        ]
        runner.running.clear()
        for task, run in gangs:
            await self.gangs.leave(task, run, "crashed")
        await asyncio.sleep(for_s)
        port = int(runner.address.rpartition(":")[2])
        self.runners[number] = await self.boot(runner.zone, runner.cpu, port)
        await self.store.add("servers", runner.name, b"")

    async def lose(self, runner):
        """Let a runner crash for good, without a word; its entry goes after three heartbeats."""
        runner.dark = True
        runner.running.clear()
        self.record.write("lost for good", runner=runner.name)
        await asyncio.sleep(4.5)
        await self.store.add("servers", runner.name, b"")

    async def configure(self, version):
        """Write the config as the operator does."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": self.ROUTE,
                    "host": self.HOST,
                    "pathPrefix": self.PREFIX,
                    "kind": "unsafe",
                    "timeoutMs": 3000,
                    "sloMs": 250,
                    "priority": 0,
                    "service": self.service,
                    "maxAttempts": 4,
                    "stretch": 1.5,
                }
            ],
            "services": [{"name": self.service, "rejectsOverload": True, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        }
        await self.store.add("op", "config", json.dumps(config).encode())

    def settings(self, number, ip):
        """Return the settings of a daemon."""
        return {
            "node": f"front-{self.ZONES[number % 3]}-{number + 1}",
            "role": "scheduler",
            "machineClass": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": self.ZONES[number % 3],
            "region": "bengal",
            "zones": dict.fromkeys(self.ZONES, "bengal"),
            "listen": {"front": ip + ":8161", "ready": ip + ":8167"},
            "internalPorts": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "contactMs": 3000,
                "ackMs": 4000,
                "drainMs": 2000,
                "graceS": 6,
                "configApplyMs": 2000,
                "holdMaxMs": self.hold_max_ms,
                "stop_ms": 900,
                "gang_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "leaseMs": 3000,
            },
            "orders": "invoke",
            "platform": {
                "address": self.store.address,
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 24,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }

    def start_daemon(self, temporary, number, ip):
        """Start a daemon as the deploy file says."""
        settings = self.settings(number, ip)
        name = settings["node"]
        path = Path(temporary) / (name + ".json")
        path.write_text(json.dumps(settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SPOOLCRANK_NODE_FILE": str(path),
        }
        log = (Path(temporary) / (name + ".log")).open("a")
        # The command of the deploy file.
        self.daemons[name] = subprocess.Popen(
            ["python3", "-m", "spoolcrank", "serve", "--metrics-port", "9464"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.fronts[name] = settings["listen"]["front"]
        self.readies[name] = settings["listen"]["ready"]

    async def until_ready(self, limit_s=20.0):
        """Wait until all daemons say that they are ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answers = [
                await self.call(address, "GET", "/api/readyz") for address in self.readies.values()
            ]
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the daemons are not ready")

    async def call(self, address, method, path, body=b"", timeout_s=3.0):
        """Send one request over a new channel; return status and body, or (None, why)."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    head = [
                        f"{method} {path} HTTP/1.1",
                        f"Host: {self.HOST}",
                        "Content-Type: application/json",
                        f"Content-Length: {len(body)}",
                    ]
                    writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
                    line = await reader.readline()
                    if not line:
                        return None, "closed"
                    length = 0
                    while (header := await reader.readline()) not in (b"\r\n", b""):
                        key, _, value = header.decode().partition(":")
                        if key.lower() == "content-length":
                            length = int(value)
                    return int(line.split()[1]), await reader.readexactly(length)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            return None, type(exc).__name__

    def leader(self):
        """Return the name of the daemon whose claim to lead is the newest in the store."""
        _, claim = self.store.topics["keyed.jobs"].newest["leader"]
        return json.loads(claim)[1]

    async def submit(self, front, name, steps, work_s, wait_s=3.0):
        """Hand in a submission; return the status, None if the consumer left without one."""
        self.steps[name] = steps
        body = json.dumps({"spec": f"work={work_s}", "steps": steps}).encode()
        status, _ = await self.call(front, "POST", self.PREFIX + name, body, wait_s)
        self.record.write("submitted", id=name, status=status)
        return status

    async def state(self, front, name):
        """Ask for the state of a submission."""
        status, body = await self.call(front, "GET", self.PREFIX + name)
        state = json.loads(body)["state"] if status == 200 else status
        self.record.write("state", id=name, state=state)
        return state

    async def waiting(self, daemon):
        """Return the queue's count of waiting submissions as a daemon gives it."""
        status, body = await self.call(self.fronts[daemon], "GET", self.PREFIX)
        return json.loads(body)["waiting"] if status == 200 else None

    def end(self):
        """End all processes that were started."""
        for process in self.daemons.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.daemons.values():
            process.wait()


def run_case(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    `play` gets the world and a temporary folder, and returns what broke the rule, empty if nothing
    did.
    """

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            world = World(folder)
            try:
                broken = await play(world, temporary)
            except Exception as exc:
                print("could not run:", repr(exc))
                broken = None
            finally:
                world.end()
                if os.environ.get("KEEP_LOGS"):
                    logs = sorted(Path(temporary).glob("*.log"))
                    text = "".join(log.read_text() for log in logs)
                    Path(os.environ["KEEP_LOGS"]).write_text(text)
            world.record.write("result", broken=broken)
        if broken is None:
            leave(2)
        print("broken:" if broken else "held", broken)
        leave(1 if broken else 0)

    def leave(code):
        sys.stdout.flush()
        # The stand-ins' open channels need no orderly end.
        os._exit(code)

    asyncio.run(main())

"""Clients that go on sending over every connection until a stopping process is gone.

They close no connection by themselves, and record the times and the outcome of each request of
which they sent every byte.
"""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from tests.leaving_callers import JOB, Outcome, render
from tests.soak.fleet import HOST, PREFIX
from tests.soak.stop_connection import ANSWER_TIMEOUT_S, Answer, Connection
from tests.soak.stop_queues import Queues

CONNECT_RETRY_S = 0.05
SMALL_RECEIVE_BUFFER = 2048
MAX_SPEC_BYTES = (1 << 20) - 200
"""Size of the largest payload whose job still fits into the largest body that is taken."""

SENDS_UNTIL_S = 6.2
"""Time after the signal until which clients begin new requests, in seconds."""


class Question(NamedTuple):
    """One request: its bytes, the queue that it names, and its job if it submits or cancels one."""

    raw: bytes
    queue: str
    job: str = ""

    @property
    def line(self) -> str:
        """Return the request line."""
        return self.raw.split(b"\r\n", 1)[0].decode()


class SentRequest(NamedTuple):
    """One request that was sent completely, and its outcome.

    Attributes:
        way: how it was sent.
        opened_at: when its connection was opened; this and the other times are of the monotonic
            clock, in seconds.
        first_at, last_at: when sending its first and its last byte began and ended.
        ended_at: when its answer or the end of its connection was seen.
        status: HTTP status of the answer, or 0.
        error: value of Spoolcrank-Error.
    """

    way: str
    question: Question
    opened_at: float
    first_at: float
    last_at: float
    ended_at: float
    outcome: Outcome
    status: int = 0
    error: str = ""


class StopCallers:
    """The client threads of one stop of one instance.

    Args:
        signal_at: when the signal is to be sent, in seconds of the monotonic clock.
        pipelines: whether some send a request before the one before it is answered.
    """

    def __init__(
        self, address: str, queues: Queues, signal_at: float, seed: int, pipelines: bool = True
    ) -> None:
        self._pipelines = pipelines
        self.address = address
        self.sent: list[SentRequest] = []
        self.signal_at = signal_at
        self._queues = queues
        self._chance = random.Random(seed)
        self._gone = threading.Event()
        self._threads: list[threading.Thread] = []
        self._submitted: list[Question] = []
        self._connections: list[Connection] = []

    def start(self, connections: int = 40) -> None:
        """Start all clients; `connections` of them send their first request after the signal."""
        for _ in range(connections):
            self._start(self._idle)
        for _ in range(40):
            self._start(self._parts)
        for _ in range(15):
            if self._pipelines:
                self._start(self._pair)
        for _ in range(8):
            self._start(self._slow_reader)
        for _ in range(2):
            self._start(self._large)
            if self._pipelines:
                self._start(self._many_behind_one_another)
        for _ in range(4):
            self._start(self._reused)
            self._start(self._new)

    def process_is_gone(self) -> None:
        """Tell the clients that no connection can be opened any more."""
        self._gone.set()

    def end(self) -> list[SentRequest]:
        """Wait until every connection has ended, and return all requests."""
        self._gone.set()
        for thread in self._threads:
            thread.join(ANSWER_TIMEOUT_S + 5.0)
        for conn in self._connections:
            conn.close()
        return self.sent

    def _start(self, work: Callable[[random.Random], None]) -> None:
        chance = random.Random(self._chance.getrandbits(32))
        thread = threading.Thread(target=work, args=(chance,), daemon=True)
        self._threads.append(thread)
        thread.start()

    # What is asked

    def _question(self, chance: random.Random, size: int = 0) -> Question:
        queue = "q" if chance.random() < 0.5 else self._queues.any_name(chance)
        prefix = PREFIX if queue == "q" else f"/{queue}/"
        job = f"{chance.getrandbits(64):016x}"
        draw = chance.random()
        if size or draw < 0.35:
            body = JOB.replace(b'"x"', b'"' + b"x" * size + b'"') if size else JOB
            return Question(render("POST", HOST, prefix + job, body), queue, job)
        if draw < 0.55:
            return Question(render("GET", HOST, prefix), queue)
        if draw < 0.7 and self._submitted:
            known = chance.choice(self._submitted)
            prefix = PREFIX if known.queue == "q" else f"/{known.queue}/"
            queue, job = known.queue, known.job
        method = "DELETE" if chance.random() < 0.5 else "GET"
        return Question(render(method, HOST, prefix + job), queue, job)

    # How it is asked

    def _connect(self, receive_buffer: int = 0) -> Connection | None:
        while not self._gone.is_set():
            try:
                conn = Connection(self.address, receive_buffer)
            except OSError:
                time.sleep(CONNECT_RETRY_S)
                continue
            # A connection that nothing refers to would be closed by the interpreter.
            self._connections.append(conn)
            return conn
        return None

    def _wait_until(self, since_signal_s: float) -> None:
        time.sleep(max(0.0, self.signal_at + since_signal_s - time.monotonic()))

    def _record(
        self, conn: Connection, way: str, question: Question, first_at: float, last_at: float
    ) -> Answer | None:
        """Read the answer to a request and record its outcome; return None without an answer."""
        result = conn.read()
        now = time.monotonic()
        answer = result if isinstance(result, Answer) else None
        outcome = result if isinstance(result, Outcome) else Outcome.ANSWERED
        status, error = (answer.status, answer.error) if answer else (0, "")
        if answer is None:
            # The other side has ended the connection.
            conn.close()
        self.sent.append(
            SentRequest(
                way, question, conn.opened_at, first_at, last_at, now, outcome, status, error
            )
        )
        if status == 200 and question.raw.startswith(b"POST"):
            self._submitted.append(question)
        return answer

    def _ask(self, conn: Connection, way: str, question: Question) -> Answer | None:
        first_at = time.monotonic()
        if not conn.send(question.raw):
            return None
        return self._record(conn, way, question, first_at, time.monotonic())

    def _idle(self, chance: random.Random) -> None:
        """Open a connection before the signal, and send over it after the signal."""
        conn = self._connect()
        self._wait_until(chance.uniform(0.0, 6.0))
        way = "idle"
        while conn is not None:
            answer = self._ask(conn, way, self._question(chance))
            if answer is None:
                return
            way = "after-close" if answer.closes else way
            time.sleep(chance.choice([0.0, chance.uniform(0.0, 0.3)]))

    def _parts(self, chance: random.Random) -> None:
        """Send the head of a request, or a part of it, and the rest later."""
        conn = self._connect()
        begin, end = chance.choice([(-0.5, 5.0), (-0.5, 2.7), (2.0, 2.7)])
        self._wait_until(chance.uniform(begin, end))
        question = self._question(chance)
        cut = chance.choice([question.raw.index(b"\r\n\r\n") + 4, len(question.raw) // 2])
        cut = min(cut, len(question.raw) - 1)
        first_at = time.monotonic()
        if conn is None or not conn.send(question.raw[:cut]):
            return
        if chance.random() < 0.5:
            time.sleep(chance.uniform(0.1, 3.0))
        else:
            # Until near the time at which a stopping process reads no more.
            self._wait_until(chance.choice([chance.uniform(2.8, 5.0), chance.uniform(4.3, 4.8)]))
        if conn.send(question.raw[cut:]):
            self._record(conn, "parts", question, first_at, time.monotonic())

    def _pair(self, chance: random.Random) -> None:
        """Send a second request at once, or a few milliseconds behind the first."""
        conn = self._connect()
        self._wait_until(chance.uniform(-0.5, 5.5))
        pair = [self._question(chance), self._question(chance)]
        at = time.monotonic()
        if conn is None:
            return
        way = chance.choice(["together", "pair"])
        if way == "together":
            sent = pair if conn.send(pair[0].raw + pair[1].raw) else []
        else:
            sent = [pair[0]] if conn.send(pair[0].raw) else []
            time.sleep(chance.uniform(0.0, 0.006))
            sent += [pair[1]] if sent and conn.send(pair[1].raw) else []
        last_at = time.monotonic()
        for question in sent:
            self._record(conn, way, question, at, last_at)

    def _many_behind_one_another(self, chance: random.Random) -> None:
        """Send thirty requests in one go, and read their answers late."""
        conn = self._connect(SMALL_RECEIVE_BUFFER)
        self._wait_until(chance.uniform(-0.5, 4.8))
        questions = [self._question(chance) for _ in range(30)]
        at = time.monotonic()
        if conn is None or not conn.send(b"".join(question.raw for question in questions)):
            return
        last_at = time.monotonic()
        time.sleep(chance.uniform(0.0, 1.0))
        for question in questions:
            self._record(conn, "behind", question, at, last_at)

    def _slow_reader(self, chance: random.Random) -> None:
        """Read the answer late, through a small buffer."""
        conn = self._connect(SMALL_RECEIVE_BUFFER)
        self._wait_until(chance.uniform(-0.5, 5.0))
        question = self._question(chance)
        at = time.monotonic()
        if conn is None or not conn.send(question.raw):
            return
        last_at = time.monotonic()
        time.sleep(chance.uniform(0.2, 2.0))
        self._record(conn, "slow", question, at, last_at)

    def _large(self, chance: random.Random) -> None:
        conn = self._connect()
        self._wait_until(chance.uniform(-0.5, 5.0))
        size = chance.choice([chance.randrange(1, MAX_SPEC_BYTES), MAX_SPEC_BYTES])
        if conn is not None:
            self._ask(conn, "large", self._question(chance, size))

    def _may_send(self) -> bool:
        late = time.monotonic() > self.signal_at + SENDS_UNTIL_S
        return not late and not self._gone.is_set()

    def _reused(self, chance: random.Random) -> None:
        """Ask again and again over one connection, and over a new one when it has ended."""
        conn: Connection | None = None
        while self._may_send():
            conn = conn or self._connect()
            answer = self._ask(conn, "reused", self._question(chance)) if conn is not None else None
            if conn is not None and answer is not None and answer.closes:
                conn.read_to_end()
            if answer is None or answer.closes:
                conn = None
            time.sleep(chance.uniform(0.02, 0.2))

    def _new(self, chance: random.Random) -> None:
        """Ask over a new connection each time."""
        while self._may_send():
            conn = self._connect()
            answer = self._ask(conn, "new", self._question(chance)) if conn is not None else None
            if conn is not None and answer is not None and answer.closes:
                conn.read_to_end()
            time.sleep(chance.uniform(0.02, 0.15))

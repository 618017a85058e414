"""Which life of a runner answers, and what may be told to whoever is at its address by now."""

import json
import socket
import threading
from typing import Any

import pytest

from spoolcrank._runtime import Runtime
from spoolcrank.ids import Address
from spoolcrank.orders import Poll, Target
from spoolcrank.platform.documents import runner_of
from spoolcrank.platform.runners import PlatformRunners
from spoolcrank.reading import Unreadable
from spoolcrank.runner_ids import RunnerName, runner_id
from spoolcrank.runner_port import Polled
from spoolcrank.workflow import RunnerId

WAIT_S = 30.0
NAME = RunnerName("i-1")
FIRST, SECOND = runner_id(NAME, 1000), runner_id(NAME, 2000)


class RunnerServer:
    """A runner that keeps what polls said, and can start again at its address."""

    def __init__(self) -> None:
        self.born: int | None = 1000
        self.bodies: list[dict[str, Any]] = []
        self.silent = False
        self._conns: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(f"127.0.0.1:{self._listener.getsockname()[1]}")
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            while raw := conn.recv(4096):
                self.bodies.append(json.loads(raw.partition(b"\r\n\r\n")[2]))
                if self.silent:
                    self.silent = False
                    continue
                lists = {"clockMs": 5, "running": [], "ended": []}
                born = {} if self.born is None else {"born": self.born}
                body = json.dumps(lists | born).encode()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except OSError:
            return

    def start_again(self, born: int) -> None:
        self.born = born
        for conn in self._conns:
            conn.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self._listener.close()


class Leader:
    """Polls one runner from a loop of its own."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._runtime = Runtime()
        self._runners = PlatformRunners(self._runtime.http)
        self._stop = self._runtime.run_in_thread()

    def poll(self, runner: RunnerId, wait_ms: int = 0) -> Polled:
        told: list[Polled] = []
        answered = threading.Event()

        def done(got: Polled) -> None:
            told.append(got)
            answered.set()

        poll = Poll(Target(runner, self._address, 4), 57, 486000, wait_ms)
        self._runtime.post(lambda: self._runners.poll(poll, done))
        assert answered.wait(WAIT_S)
        return told[0]

    def close(self) -> None:
        self._stop()


@pytest.fixture
def runner() -> Any:
    server = RunnerServer()
    yield server
    server.close()


@pytest.fixture
def leader(runner: RunnerServer) -> Any:
    client = Leader(runner.address)
    yield client
    client.close()


WHOLE = {"fence": 4, "lastSeen": 57, "deadlineMs": 486000}
TO_OTHERS = {"fence": 4, "lastSeen": 0}


# Guards against a poll that lets a new incarnation forget ends that nobody has read.
def test_a_number_of_an_end_goes_only_to_the_life_that_listed_it(
    runner: RunnerServer, leader: Leader
) -> None:
    answered = [leader.poll(FIRST), leader.poll(FIRST)]
    runner.start_again(born=2000)
    answered += [leader.poll(FIRST)]
    while answered[-1].report is None:
        # The connection was not known to be closed yet.
        answered[-1] = leader.poll(FIRST)
    answered += [leader.poll(FIRST), leader.poll(SECOND)]
    told_by = [got.report.runner for got in answered if got.report is not None]
    assert runner.bodies == [TO_OTHERS, WHOLE, TO_OTHERS, TO_OTHERS, WHOLE]
    assert told_by == [FIRST, FIRST, SECOND, SECOND, SECOND]


# Guards against the same where a poll is sent again because its connection says nothing.
def test_a_poll_that_is_sent_again_over_a_new_connection_names_no_end(
    runner: RunnerServer, leader: Leader
) -> None:
    leader.poll(FIRST)
    runner.silent = True
    got = leader.poll(FIRST, wait_ms=100)
    assert got.report is not None
    assert runner.bodies == [TO_OTHERS, WHOLE | {"waitMs": 100}, TO_OTHERS]


@pytest.mark.parametrize("asked", [RunnerId("i-1"), FIRST])
def test_a_runner_that_tells_no_birth_is_known_by_its_id_alone(
    runner: RunnerServer, leader: Leader, asked: RunnerId
) -> None:
    runner.born = None
    got = [leader.poll(asked), leader.poll(asked)]
    assert got[1].report is not None
    assert got[1].report.runner == RunnerId("i-1")
    assert runner.bodies == [TO_OTHERS, WHOLE]


ENTRY = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}


def test_an_entry_names_the_life_that_wrote_it() -> None:
    assert runner_of("i-1", json.dumps(ENTRY | {"born": 1000}).encode()).id == FIRST
    assert runner_of("i-1", json.dumps(ENTRY).encode()).id == RunnerId("i-1")
    with pytest.raises(Unreadable):
        runner_of(FIRST, json.dumps(ENTRY).encode())

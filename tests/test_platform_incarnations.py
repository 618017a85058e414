"""Polls across a runner's restart: which incarnation answers, and what each may be sent.

The tests guard against ends that get lost. A poll acknowledges ends by their number, and the runner
then forgets them. If the runner has restarted at its address, such a poll makes the new incarnation
forget ends that no leader has read.
"""

import json
import socket
import threading
from typing import Any

import pytest

from spoolcrank._runtime import Runtime
from spoolcrank.decoding import Unreadable
from spoolcrank.ids import Address
from spoolcrank.orders import Poll, Target
from spoolcrank.platform.documents import decode_runner_entry
from spoolcrank.platform.runners import PlatformRunners
from spoolcrank.runner_ids import RunnerName, runner_id
from spoolcrank.runner_port import PollResult
from spoolcrank.workflow import RunnerId

WAIT_S = 30.0
NAME = RunnerName("i-1")
FIRST, SECOND = runner_id(NAME, 1000), runner_id(NAME, 2000)


class RunnerServer:
    """A runner that records the bodies of polls and can restart at its address."""

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

    def restart(self, born: int) -> None:
        self.born = born
        for conn in self._conns:
            conn.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self._listener.close()


class Leader:
    """A client that polls one runner from its own event loop."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._runtime = Runtime()
        self._runners = PlatformRunners(self._runtime.http)
        self._stop = self._runtime.run_in_thread()

    def poll(self, runner: RunnerId, wait_ms: int = 0) -> PollResult:
        results: list[PollResult] = []
        answered = threading.Event()

        def done(result: PollResult) -> None:
            results.append(result)
            answered.set()

        poll = Poll(Target(runner, self._address, 4), 57, 486000, wait_ms)
        self._runtime.post(lambda: self._runners.poll(poll, done))
        assert answered.wait(WAIT_S)
        return results[0]

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


FULL_POLL = {"fence": 4, "lastSeen": 57, "deadlineMs": 486000}
POLL_FOR_UNKNOWN_INCARNATION = {"fence": 4, "lastSeen": 0}


# Guards against a poll that makes a new incarnation forget ends that no leader has read.
def test_an_end_is_acknowledged_only_to_the_incarnation_that_listed_it(
    runner: RunnerServer, leader: Leader
) -> None:
    answered = [leader.poll(FIRST), leader.poll(FIRST)]
    runner.restart(born=2000)
    answered += [leader.poll(FIRST)]
    while answered[-1].report is None:
        # The client had not yet noticed that the connection was closed.
        answered[-1] = leader.poll(FIRST)
    answered += [leader.poll(FIRST), leader.poll(SECOND)]
    reporting_runners = [result.report.runner for result in answered if result.report is not None]
    assert runner.bodies == [
        POLL_FOR_UNKNOWN_INCARNATION,
        FULL_POLL,
        POLL_FOR_UNKNOWN_INCARNATION,
        POLL_FOR_UNKNOWN_INCARNATION,
        FULL_POLL,
    ]
    assert reporting_runners == [FIRST, FIRST, SECOND, SECOND, SECOND]


# Guards against the same failure when a poll is repeated because its connection is silent.
def test_a_poll_repeated_over_a_new_connection_acknowledges_no_end(
    runner: RunnerServer, leader: Leader
) -> None:
    leader.poll(FIRST)
    runner.silent = True
    result = leader.poll(FIRST, wait_ms=100)
    assert result.report is not None
    assert runner.bodies == [
        POLL_FOR_UNKNOWN_INCARNATION,
        FULL_POLL | {"waitMs": 100},
        POLL_FOR_UNKNOWN_INCARNATION,
    ]


@pytest.mark.parametrize("polled_id", [RunnerId("i-1"), FIRST])
def test_a_runner_without_a_start_time_is_identified_by_its_id_alone(
    runner: RunnerServer, leader: Leader, polled_id: RunnerId
) -> None:
    runner.born = None
    results = [leader.poll(polled_id), leader.poll(polled_id)]
    assert results[1].report is not None
    assert results[1].report.runner == RunnerId("i-1")
    assert runner.bodies == [POLL_FOR_UNKNOWN_INCARNATION, FULL_POLL]


ENTRY = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}


def test_an_entry_identifies_the_incarnation_that_wrote_it() -> None:
    assert decode_runner_entry("i-1", json.dumps(ENTRY | {"born": 1000}).encode()).id == FIRST
    assert decode_runner_entry("i-1", json.dumps(ENTRY).encode()).id == RunnerId("i-1")
    with pytest.raises(Unreadable):
        decode_runner_entry(FIRST, json.dumps(ENTRY).encode())

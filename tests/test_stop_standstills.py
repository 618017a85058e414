"""Stops in one process whose loop stands still over the ends of states, beside open connections.

The test guards against requests that were read and get no answer, and against ends of connections
that say so of requests which were not read.
"""

import os
import random
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

import spoolcrank.entry as entry_module
from spoolcrank._web import HttpReply, HttpRequest, Reply
from spoolcrank.entry import DrainTimes
from spoolcrank.instance_stop import InstanceStop
from spoolcrank.open_requests import OpenRequests
from spoolcrank.planned_stop import StopTimes
from tests.leaving_callers import Outcome
from tests.soak.stop_connection import Connection
from tests.test_entry_stop import entry_without_a_fleet
from tests.test_stop_answers import Lines, NoIntake
from tests.test_web_stop import ServerInThread, request

FURTHER_SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "0"))
TIMES = StopTimes(0.2, 0.25, 0.5, 0.55, 0.7)
"""Ends of the states of a stop that lasts a ninth of the usual one."""

CLIENTS = 40


class Asked(NamedTuple):
    """What one client sent, and what became of each of its requests."""

    sent: str
    outcomes: list[Outcome]


class Store:
    """Answers some requests at once and holds the others back until the stop gives them up."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._waiting: list[Reply] = []
        self._given_up = False

    def answer(self, req: HttpRequest, reply: Reply) -> None:
        if self._given_up or self._chance.random() < 0.7:
            reply(HttpReply(200, {}, b"now"))
        else:
            self._waiting.append(reply)

    def give_up(self) -> int:
        self._given_up = True
        waiting, self._waiting = self._waiting, []
        for reply in waiting:
            reply(HttpReply(503, {}, b"later"))
        return len(waiting)


def outcomes(conn: Connection, count: int) -> list[Outcome]:
    """Return what became of the requests of one client, in the order in which they were sent."""
    results = [conn.read() for _ in range(count)]
    return [item if isinstance(item, Outcome) else Outcome.ANSWERED for item in results]


def ask(conn: Connection, chance: random.Random, begun_at: float, results: list[Asked]) -> None:
    """Send some requests at once, or one in two parts, at a time around the ends of the states."""
    count = chance.choice([1, 1, 1, 2, 12])
    raw = request("/x") * count
    cut = chance.randrange(1, len(raw)) if count == 1 and chance.random() < 0.3 else len(raw)
    at = chance.uniform(0.0, 0.75)
    time.sleep(max(0.0, begun_at + at - time.monotonic()))
    was_sent = conn.send(raw[:cut])
    if was_sent and cut < len(raw):
        time.sleep(chance.uniform(0.0, 0.4))
        was_sent = conn.send(raw[cut:])
    if was_sent:
        results.append(Asked(f"{count} at {at:.3f}, cut {cut}", outcomes(conn, count)))


def stand_still(served: ServerInThread, chance: random.Random) -> None:
    """Let the loop stand two or three times, most often over the end of a state."""
    for _ in range(chance.choice([2, 3])):
        begin = chance.choice([0.15, 0.45, 0.5, 0.65, chance.uniform(0.0, 0.8)])
        length = chance.choice([0.1, 0.3, chance.uniform(0.0, 0.6)])
        served._runtime.timers.after(begin, lambda length=length: time.sleep(length))


def stop(served: ServerInThread, give_up: Callable[[], int], ended: threading.Event) -> None:
    untyped: Any = (NoIntake(), Lines())
    intake, telemetry = untyped

    def finish() -> None:
        # As the process does: the loop runs for 20 ms more, then every connection is closed.
        served._runtime.timers.after(0.02, served.web.server.close)
        ended.set()

    InstanceStop(
        TIMES,
        served.web,
        intake,
        OpenRequests(),
        give_up,
        lambda: False,
        finish,
        served._runtime.timers,
        telemetry,
        time.monotonic,
    ).begin()


class EntryInThread(ServerInThread):
    """The entry instance's daemon without a fleet, and its stop, in a ninth of the usual times."""

    def __init__(self, store: Store) -> None:
        self.requests = []
        self._runtime, entry = entry_without_a_fleet()
        entry.callers.give_up = store.give_up  # type: ignore[method-assign,assignment]
        self.web = entry.web
        self._stop = self._runtime.run_in_thread()
        self._clients = []


def play(
    seed: int, served: ServerInThread, store: Store, begin_stop: Callable[[], None]
) -> list[Asked]:
    """Stop a server whose loop stands still at times, and return what its clients saw."""
    results = list[Asked]()
    served.do(lambda: setattr(served.web, "_answer", store.answer))
    conns = [Connection(f"127.0.0.1:{served.web.port}") for _ in range(CLIENTS)]
    served.wait(lambda: served.web.connections == CLIENTS)
    begun_at = time.monotonic() + 0.05
    threads = [
        threading.Thread(target=ask, args=(conn, random.Random(f"{seed} {n}"), begun_at, results))
        for n, conn in enumerate(conns)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, begun_at - time.monotonic()))
    served.post(lambda: stand_still(served, random.Random(seed)))
    served.post(begin_stop)
    for thread in threads:
        thread.join(20.0)
    for conn in conns:
        conn.close()
    return results


def check(results: list[Asked]) -> None:
    assert [asked for asked in results if Outcome.DROPPED in asked.outcomes] == []
    assert any(Outcome.ANSWERED in asked.outcomes for asked in results)


# Guards against a request that is read and not answered, or not read and not reset.
@pytest.mark.parametrize("seed", range(12 + FURTHER_SEEDS))
def test_every_request_is_answered_or_its_connection_reset(seed: int) -> None:
    served, ended, store = ServerInThread(), threading.Event(), Store(random.Random(seed))
    results = play(seed, served, store, lambda: stop(served, store.give_up, ended))
    has_ended = ended.wait(20.0)
    served.close()
    assert has_ended
    check(results)


# Guards against the same at the other interface.
@pytest.mark.parametrize("seed", range(6 + FURTHER_SEEDS))
def test_every_request_to_an_entry_instance_is_answered_or_its_connection_reset(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(entry_module, "DRAIN_TIMES", DrainTimes(0.05, 0.3, 0.5))
    store = Store(random.Random(seed))
    served = EntryInThread(store)
    results = play(seed, served, store, served._runtime.begin_stop)
    has_ended = served._runtime._ended.wait(20.0)
    served.close()
    assert has_ended
    check(results)

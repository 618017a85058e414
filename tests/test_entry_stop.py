"""A planned stop of an entry instance whose only runner has stopped answering.

The tests guard against requests that the instance reads and never answers: it ended 20 s after its
listener, whatever was unanswered then, and took jobs and commands until its end.
"""

import signal
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

import spoolcrank.entry as entry_module
from bench.processes import BackendPlan, Fleet
from spoolcrank._runtime import Runtime
from spoolcrank._web import HttpReply, Reply
from spoolcrank.entry import DRAIN_TIMES, DrainTimes, Entry
from spoolcrank.jobs_api import CONFIRM_TIMEOUT_S
from spoolcrank.settings import check_entry
from tests.leaving_callers import Connection, Outcome, SentRequest, render

END_TIMEOUT_S = 40.0
DEADLINE_MS = 60_000
"""Deadline of the requests to the runner, in milliseconds: later than the end of the process."""

IN_THE_DRAIN_S = 4.0
"""Time after the signal at which the listener has closed and nothing else has ended, in seconds."""

JOB = b'{"name": "late"}'
COMMAND = b'{"text": "drain backend-a1"}'


class Stop(NamedTuple):
    """What callers saw of one stop.

    Attributes:
        answers: answers by the name of the request, with status and outcome header.
        repeated: every request of the client that sends one after the other without a pause.
        exit_code: of the process.
        took_s: time from the signal to the end of the process, in seconds.
    """

    answers: dict[str, bytes]
    repeated: list[SentRequest]
    exit_code: int
    took_s: float


def ask(address: str, raw: bytes) -> Callable[[], bytes]:
    """Send a request over a connection of its own; return a function that waits for the answer."""
    conn = Connection(address)
    conn._sock.settimeout(END_TIMEOUT_S)
    conn.send(raw)
    received: list[bytes] = []

    def read() -> None:
        try:
            while block := conn._sock.recv(65536):
                received.append(block)
        except OSError:
            return

    thread = threading.Thread(target=read, daemon=True)
    thread.start()

    def answer() -> bytes:
        thread.join(END_TIMEOUT_S)
        return b"".join(received)

    return answer


def finish_later(address: str, raw: bytes, at: float) -> Callable[[], bytes]:
    """Send all but the end of a request now, and its end at a time of the monotonic clock."""
    conn = Connection(address)
    conn._sock.settimeout(END_TIMEOUT_S)
    conn.send(raw[:-1])

    def answer() -> bytes:
        time.sleep(max(0.0, at - time.monotonic()))
        conn.send(raw[-1:])
        received = b""
        try:
            while block := conn._sock.recv(65536):
                received += block
        except OSError:
            return received
        return received

    return answer


def service_request(path: str, key: str = "") -> bytes:
    head = f"POST /services/quotes/{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
    head += f"Idempotency-Key: {key}\r\n" if key else ""
    headers = f"Spoolcrank-Deadline-Ms: {DEADLINE_MS}\r\nSpoolcrank-Repeatable: no\r\n\r\n"
    return (head + headers).encode()


def send_on_and_on(address: str, sent: list[SentRequest]) -> threading.Thread:
    """Send requests over one connection, each with the begin of the next behind it."""
    conn = Connection(address)
    raw = render("GET", "a", "/jobs/none")

    def work() -> None:
        begun = 0
        while conn.send(raw[begun:] + raw[:9]):
            begun = 9
            sent.append(conn.read(raw, time.monotonic()))
            if sent[-1].outcome is not Outcome.ANSWERED or sent[-1].closes:
                return

    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


@pytest.fixture(scope="module")
def stop() -> Iterator[Stop]:
    plan = BackendPlan("backend-a1", "a", service="quotes", slots=1)
    with Fleet(1, [plan], zones=("a",)).wait_ready() as fleet:
        entry = fleet.entries["entry-a1"]
        fleet.backends["backend-a1"].signal(signal.SIGSTOP)
        running = ask(entry.listen, service_request("running", "key-1"))
        time.sleep(0.5)
        repeat = ask(entry.listen, service_request("running", "key-1"))
        queued = ask(entry.listen, service_request("queued"))
        time.sleep(0.2)
        fleet.log.signal(signal.SIGSTOP)
        keyed = ask(entry.listen, service_request("keyed", "key-2"))
        time.sleep(0.2)
        begun_at = time.monotonic()
        entry.signal(signal.SIGTERM)
        time.sleep(1.0)
        late_at = begun_at + IN_THE_DRAIN_S
        late = {
            "job": finish_later(entry.listen, render("POST", "a", "/jobs", JOB), late_at),
            "command": finish_later(
                entry.listen, render("POST", "a", "/commands", COMMAND), late_at
            ),
            "config": finish_later(entry.listen, render("POST", "a", "/config", b" "), late_at),
            "unknown": finish_later(entry.listen, render("DELETE", "a", "/jobs/none"), late_at),
        }
        repeated: list[SentRequest] = []
        sender = send_on_and_on(entry.listen, repeated)
        answers = {name: answer() for name, answer in late.items()}
        exit_code = entry.popen.wait(END_TIMEOUT_S)
        took_s = time.monotonic() - begun_at
        sender.join(END_TIMEOUT_S)
        answers |= {"running": running(), "queued": queued()}
        answers |= {"repeat": repeat(), "keyed": keyed()}
        yield Stop(answers, repeated, exit_code, took_s)


def outcome_of(answer: bytes) -> tuple[bytes, bool, bool]:
    """Return the error of an answer, whether it says not run, and whether it says to retry."""
    headers = dict(line.partition(b": ")[::2] for line in answer.split(b"\r\n"))
    not_run = headers.get(b"Spoolcrank-Outcome") == b"not-run"
    return headers.get(b"Spoolcrank-Error", answer[:20]), not_run, b"Retry-After" in headers


def test_a_request_that_its_runner_may_have_run_is_answered_as_unknown(stop: Stop) -> None:
    assert outcome_of(stop.answers["running"]) == (b"runner-silent", False, False)


def test_a_request_that_still_waits_for_a_slot_is_answered_as_not_run(stop: Stop) -> None:
    assert outcome_of(stop.answers["queued"]) == (b"leaving", True, True)


def test_a_request_whose_key_is_not_stored_is_answered_as_not_run(stop: Stop) -> None:
    assert outcome_of(stop.answers["keyed"]) == (b"leaving", True, True)


def test_a_repeat_that_waits_for_the_first_request_is_answered_as_unknown(stop: Stop) -> None:
    assert outcome_of(stop.answers["repeat"]) == (b"key-in-progress", False, False)


@pytest.mark.parametrize("name", ["job", "command", "config", "unknown"])
def test_what_would_wait_for_the_log_is_refused_once_intake_has_ended(
    stop: Stop, name: str
) -> None:
    assert outcome_of(stop.answers[name]) == (b"leaving", True, True)


def test_a_client_that_sends_on_and_on_gets_an_answer_to_each_request_read(stop: Stop) -> None:
    assert len(stop.repeated) > 1
    dropped = [item for item in stop.repeated if item.outcome is Outcome.DROPPED]
    assert dropped == []


def test_the_process_ends_though_clients_and_a_runner_hold_it_up(stop: Stop) -> None:
    assert stop.exit_code == 0
    assert stop.took_s < 2.0 + DRAIN_TIMES.end_s + 2.0


def test_what_waits_for_the_log_is_answered_long_before_the_answers_end() -> None:
    assert DRAIN_TIMES.answers_end_s > CONFIRM_TIMEOUT_S


def entry_without_a_fleet() -> tuple[Runtime, Entry]:
    runtime = Runtime()
    settings = check_entry(
        instance_id="entry-a1",
        availability_zone="a",
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        log="http://127.0.0.1:9",
        instances="http://127.0.0.1:9",
        linger_s=0.1,
    )
    return runtime, Entry(runtime, settings)


def test_a_stop_goes_on_though_its_first_step_fails() -> None:
    """The exception ended the stop: the process stayed, not ready, until it was killed."""
    runtime, entry = entry_without_a_fleet()

    def fail() -> None:
        raise OSError("no handover")

    entry.controller.hand_over_all = fail  # type: ignore[method-assign]
    runtime.run_in_thread()
    runtime.post(runtime.begin_stop)
    ended = runtime._ended.wait(10.0)
    runtime.stop()
    assert ended


# Guards against a process that ends right after a standstill, before it gives up what it has read.
def test_what_waits_is_answered_though_the_loop_stood_past_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    runtime, entry = entry_without_a_fleet()
    waiting: list[Reply] = []

    def give_up() -> None:
        for reply in waiting:
            reply(HttpReply(503, {}, b"given up"))
        waiting.clear()

    def stand_still() -> None:
        assert len(waiting) == 1
        runtime.begin_stop()
        runtime.timers.after(0.15, lambda: time.sleep(0.4))

    monkeypatch.setattr(entry_module, "DRAIN_TIMES", DrainTimes(0.02, 0.2, 0.3))
    entry.web._answer = lambda req, reply: waiting.append(reply)
    entry.callers.give_up = give_up  # type: ignore[method-assign]
    runtime.run_in_thread()
    answer = ask(f"127.0.0.1:{entry.web.port}", render("GET", "a", "/services/x/"))
    read_by = time.monotonic() + END_TIMEOUT_S
    while not waiting and time.monotonic() < read_by:
        time.sleep(0.01)
    runtime.post(stand_still)
    assert answer().endswith(b"given up")
    assert runtime._ended.wait(10.0)

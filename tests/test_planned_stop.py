"""A planned stop answers every request that the instance has read, whatever the store does.

The tests guard against requests that a stopping instance reads and never answers. This happens if
intake does not end before the process: the listener stays open and open connections are read during
all of the stop, the process ends at a fixed time with requests unanswered, and requests that arrive
within the 20 ms after an idle stop are discarded. The tests use real processes and fail if intake
has no end of its own.
"""

import base64
import json
import time
import urllib.request
from collections import Counter
from pathlib import Path
from typing import Any
from urllib.parse import quote

import pytest

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import LEADER_KEY, job_key
from spoolcrank.leadership import decode_claim
from tests.leaving_callers import JOB, Callers, Connection, Outcome, SentRequest, render
from tests.soak.fleet import HOST, PREFIX, Fleet

READY_TIMEOUT_S = 40.0
END_TIMEOUT_S = 40.0
"""Longest time that a stop may take, in seconds.

It is generous because tests run under load: the interpreter alone took half a second to end.
"""

JOB_KEYS = job_key(JobId(""))
STORE_FAULTS = {
    "quick": {},
    "slow": {"slow_s": 0.6},
    "answers lost with their connection": {"lose": 1.0},
    "answers of appends held back": {"hold_s": 3.0},
}


def wait_until_leading(fleet: Fleet) -> None:
    """Wait until the only instance answers and leads."""
    until = time.monotonic() + READY_TIMEOUT_S
    log = fleet.folder / "entry-0.log"
    while time.monotonic() < until:
        if '"took-over"' in log.read_text():
            return
        time.sleep(0.05)
    log_tails = {path.name: path.read_text()[-2000:] for path in fleet.folder.glob("*.log")}
    raise TimeoutError(f"the instance did not become leader: {log_tails}")


def log_lines(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    text = (fleet.folder / "entry-0.log").read_text()
    entries = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in entries if line.get("message_type") == name]


def stop_under_traffic(fleet: Fleet, faults: dict[str, Any]) -> list[SentRequest]:
    """Stop the instance while requests arrive on open and on new connections; wait for its end."""
    instance = fleet.instances[0]
    wait_until_leading(fleet)
    fleet.faults(**faults)
    callers = Callers(instance.front, HOST, PREFIX)
    now = time.monotonic()
    for number in range(55):
        parts = 3 if number % 5 == 0 else 1
        callers.connect_and_send_later(callers.job, now + 1.0 + number * 0.11, parts)
    for _ in range(3):
        callers.send_repeatedly(callers.job, 0.03, reuse_connection=True)
        callers.send_repeatedly(callers.job, 0.03, reuse_connection=False)
    callers.send_repeatedly(lambda: callers.other("GET"), 0.03, reuse_connection=False)
    callers.send_repeatedly(lambda: callers.other("DELETE"), 0.03, reuse_connection=False)
    time.sleep(1.0)
    instance.stop()
    assert instance.program.popen.wait(END_TIMEOUT_S) == 0
    return callers.end()


def newest_records(fleet: Fleet) -> dict[str, bytes]:
    """Return the newest value of each key of the scheduler's log."""
    url = f"http://{fleet.store_address}/api/log-newest?topic=keyed.jobs&part=0"
    values: dict[str, bytes] = {}
    after = ""
    while True:
        with urllib.request.urlopen(f"{url}&afterRev={after}", timeout=30) as answer:
            page = json.load(answer)
        values |= {item["key"]: base64.b64decode(item["value"]) for item in page["items"]}
        if not page["more"]:
            return values
        after = quote(page["items"][-1]["key"], safe="")


def stored_jobs(fleet: Fleet) -> set[str]:
    """Return the paths of the jobs whose records are in the log."""
    keys = [key for key in newest_records(fleet) if key.startswith(JOB_KEYS)]
    return {PREFIX + key.removeprefix(JOB_KEYS) for key in keys}


def submitted_paths(sent: list[SentRequest], status: int) -> set[str]:
    """Return the paths of the jobs whose submission was answered with the given status."""
    posts = [
        request for request in sent if request.text.startswith("POST") and request.status == status
    ]
    return {request.text.split()[1] for request in posts}


@pytest.mark.parametrize("store", STORE_FAULTS)
def test_a_stopping_instance_answers_every_request_it_read(store: str, tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        sent = stop_under_traffic(fleet, dict(STORE_FAULTS[store]))
        fleet.faults()
        stored = stored_jobs(fleet)
    finally:
        fleet.close()
    dropped = [request for request in sent if request.outcome is Outcome.DROPPED]
    assert dropped == [], f"{len(dropped)} of {len(sent)} requests dropped"
    assert Counter(request.outcome for request in sent)[Outcome.ANSWERED] > 20
    assert log_lines(fleet, "given-up") == []
    assert [line["unanswered"] for line in log_lines(fleet, "stop")] == [0]
    assert submitted_paths(sent, 200) <= stored
    assert not submitted_paths(sent, 503) & stored
    assert submitted_paths(sent, 503), "no request arrived after the end of intake"


def test_a_stopping_leader_resigns_even_under_constant_traffic(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        stop_under_traffic(fleet, {})
        claim = decode_claim(newest_records(fleet)[LEADER_KEY])
    finally:
        fleet.close()
    (stop_began,) = log_lines(fleet, "stopping")
    (intake_ended,) = log_lines(fleet, "intake-ended")
    assert stop_began["leads"]
    assert not intake_ended["leads"]
    assert (claim.instance, claim.resigned) == ("entry-0", True)


def test_a_client_that_never_sends_the_rest_holds_no_instance_up(tmp_path: Path) -> None:
    """Its connection is closed before the stop ends, after the instance has resigned.

    The test guards against a stop that waits for the rest of an incomplete request.
    """
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        wait_until_leading(fleet)
        instance = fleet.instances[0]
        incomplete, idle = Connection(instance.front), Connection(instance.front)
        assert incomplete.send(render("POST", HOST, f"{PREFIX}ab", JOB)[:-5])
        instance.stop()
        assert instance.program.popen.wait(END_TIMEOUT_S) == 0
        incomplete.close()
        idle.close()
    finally:
        fleet.close()
    (stop,) = log_lines(fleet, "stop")
    assert (stop["connections"], stop["unanswered"], stop["leads"]) == (0, 0, False)
    assert log_lines(fleet, "answers-ended")[0]["half_sent"] == 1

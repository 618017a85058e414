"""A planned stop answers every request that it read, whatever the store does meanwhile.

Seen: stopping instances took requests until shortly before they ended; one of those was cut
without an answer. How it came about: the listener stayed open and open connections were read for
all of the stop; at a fixed time the process ended, whatever was unanswered, and what came within
the 20 ms after a quiet end was thrown away too. Cause: intake had no end of its own before the
forced one. Proof: the tests with real processes below, which fail without that end.
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
from tests.leaving_callers import JOB, Callers, Connection, Got, Sent, render
from tests.soak.fleet import HOST, PREFIX, Fleet

READY_WITHIN_S = 40.0
ENDS_WITHIN_S = 40.0
"""Generous beside load: the interpreter alone took half a second to end."""

JOB_KEYS = job_key(JobId(""))
STORES = {
    "quick": {},
    "slow": {"slow_s": 0.6},
    "answers lost with their connection": {"lose": 1.0},
    "answers of appends held back": {"hold_s": 3.0},
}


def wait_until_leading(fleet: Fleet) -> None:
    """Wait until the only instance answers and leads."""
    until = time.monotonic() + READY_WITHIN_S
    log = fleet.folder / "entry-0.log"
    while time.monotonic() < until:
        if '"took-over"' in log.read_text():
            return
        time.sleep(0.05)
    told = {one.name: one.read_text()[-2000:] for one in fleet.folder.glob("*.log")}
    raise TimeoutError(f"the instance does not lead: {told}")


def lines(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    text = (fleet.folder / "entry-0.log").read_text()
    every = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in every if line.get("message_type") == name]


def play_stop(fleet: Fleet, faults: dict[str, Any]) -> list[Sent]:
    """Stop the instance while requests come on open connections and on new ones, until it ends."""
    instance = fleet.instances[0]
    wait_until_leading(fleet)
    fleet.faults(**faults)
    callers = Callers(instance.front, HOST, PREFIX)
    now = time.monotonic()
    for number in range(55):
        parts = 3 if number % 5 == 0 else 1
        callers.standing(callers.job, now + 1.0 + number * 0.11, parts)
    for _ in range(3):
        callers.steadily(callers.job, 0.03, keep=True)
        callers.steadily(callers.job, 0.03, keep=False)
    callers.steadily(lambda: callers.other("GET"), 0.03, keep=False)
    callers.steadily(lambda: callers.other("DELETE"), 0.03, keep=False)
    time.sleep(1.0)
    instance.stop()
    assert instance.program.popen.wait(ENDS_WITHIN_S) == 0
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


def kept_jobs(fleet: Fleet) -> set[str]:
    """Return the paths of the jobs whose records are on the log."""
    keys = [key for key in newest_records(fleet) if key.startswith(JOB_KEYS)]
    return {PREFIX + key.removeprefix(JOB_KEYS) for key in keys}


def answered(sent: list[Sent], status: int) -> set[str]:
    """Return the paths of the jobs that were handed in and got a status."""
    posts = [one for one in sent if one.text.startswith("POST") and one.status == status]
    return {one.text.split()[1] for one in posts}


@pytest.mark.parametrize("store", STORES)
def test_a_stop_answers_whatever_it_read(store: str, tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        sent = play_stop(fleet, dict(STORES[store]))
        fleet.faults()
        kept = kept_jobs(fleet)
    finally:
        fleet.close()
    dropped = [one for one in sent if one.got is Got.DROPPED]
    assert dropped == [], f"{len(dropped)} of {len(sent)} sent"
    assert Counter(one.got for one in sent)[Got.ANSWERED] > 20
    assert lines(fleet, "given-up") == []
    assert [line["unanswered"] for line in lines(fleet, "stop")] == [0]
    assert answered(sent, 200) <= kept
    assert not answered(sent, 503) & kept
    assert answered(sent, 503), "none came after the end of intake"


def test_a_leader_gives_the_leadership_up_however_many_clients_keep_it_busy(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        play_stop(fleet, {})
        claim = decode_claim(newest_records(fleet)[LEADER_KEY])
    finally:
        fleet.close()
    (begun,) = lines(fleet, "stopping")
    (ended,) = lines(fleet, "intake-ended")
    assert begun["leads"]
    assert not ended["leads"]
    assert (claim.instance, claim.resigned) == ("entry-0", True)


def test_a_client_that_never_sends_the_rest_holds_no_instance_up(tmp_path: Path) -> None:
    """Its connection is closed before the end, and the leadership is waited for meanwhile."""
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        wait_until_leading(fleet)
        instance = fleet.instances[0]
        half, idle = Connection(instance.front), Connection(instance.front)
        assert half.send(render("POST", HOST, f"{PREFIX}ab", JOB)[:-5])
        instance.stop()
        assert instance.program.popen.wait(ENDS_WITHIN_S) == 0
        half.close()
        idle.close()
    finally:
        fleet.close()
    (stop,) = lines(fleet, "stop")
    assert (stop["connections"], stop["unanswered"], stop["leads"]) == (0, 0, False)
    assert lines(fleet, "answers-ended")[0]["half_sent"] == 1

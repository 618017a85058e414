"""A planned stop answers every request that it read, whatever the store does meanwhile.

Seen: stopping instances took requests until shortly before they ended; one of those was cut
without an answer. How it came about: the listener stayed open and open connections were read for
all of the stop; at a fixed time the process ended, whatever was unanswered, and what came within
the 20 ms after a quiet end was thrown away too. Cause: intake had no end of its own before the
forced one. Proof: the tests with real processes below, which fail without that end.
"""

import json
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from tests.leaving_callers import Callers, Got, Sent
from tests.soak.fleet import GRACE_S, HOST, PREFIX, Fleet

READY_WITHIN_S = 40.0
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
    raise TimeoutError("the instance does not lead")


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
    assert instance.program.popen.wait(GRACE_S) == 0
    return callers.end()


@pytest.mark.parametrize("store", STORES)
def test_a_stop_answers_whatever_it_read(store: str, tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, instances=1, runners=0)
    try:
        sent = play_stop(fleet, dict(STORES[store]))
    finally:
        fleet.close()
    dropped = [one for one in sent if one.got is Got.DROPPED]
    assert dropped == [], f"{len(dropped)} of {len(sent)} sent"
    assert Counter(one.got for one in sent)[Got.ANSWERED] > 20
    assert lines(fleet, "given-up") == []
    assert [line["unanswered"] for line in lines(fleet, "stop")] == [0]

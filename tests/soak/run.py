"""Play one seed: traffic all the while, faults in series and overlapping, then what was promised.

`python -m tests.soak.run FIRST LAST [--seconds S] [--instances N] [--runners N]` plays seeds by
hand and prints a line for each; `--mutation NAME` takes a mechanism out, which has to be found.
"""

import argparse
import http.client
import json
import random
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from tests.soak import checks, faults
from tests.soak.callers import Callers, Connection
from tests.soak.fleet import HOST, PREFIX, Fleet
from tests.soak.mutant import MUTATIONS

SECONDS = 25.0
SETTLE_S = 45.0
LASTING = "aaaaaaaaaaaaaaaa"
LASTING_TASKS = 3
CRASHING = "bbbbbbbbbbbbbbbb"
MOST_STARTS = 2
"""Of a task after the third runner crashed under it; stated by the users."""
WARM_S = 60.0
CALM_MARGIN_S = 3.0


class Played(NamedTuple):
    """What one seed came to."""

    seed: int
    faults: list[str]
    jobs: int
    runs: int
    broken: list[str]


def play(
    seed: int,
    seconds: float = SECONDS,
    instances: int = 3,
    runners: int = 5,
    mutation: str = "",
) -> Played:
    """Play one seed and check it; every process is ended whatever happens."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), instances, runners, mutation, keeps_ids=seed % 2 == 1)
        try:
            return _play(fleet, seed, seconds)
        finally:
            fleet.close()


def _play(fleet: Fleet, seed: int, seconds: float) -> Played:
    chance = random.Random(seed)
    callers = Callers(fleet, seed)
    first = Connection("first", fleet.instances[0].front)
    _warm(fleet, first)
    callers.submit(first, LASTING, LASTING_TASKS, "lasting")
    callers.submit(first, CRASHING, 1, "crashing")
    callers.start()
    begun = time.monotonic()
    inflicted: list[str] = []
    held: list[tuple[str, faults.Undo]] = []
    calm: list[tuple[float, float]] = []
    calm_from = begun
    planned: list[tuple[float, float]] = []
    while time.monotonic() - begun < seconds:
        time.sleep(chance.uniform(0.2, 2.0))
        if len(held) < 3 and chance.random() < 0.7:
            inflict = chance.choice(faults.ALL)
            if not held:
                calm.append((calm_from, time.monotonic()))
            at = time.monotonic()
            held.append((inflict.__name__, inflict(fleet, chance)))
            inflicted.append(f"{at - begun:.1f} {inflict.__name__}")
            if inflict is faults.stop_instance and len(held) == 1:
                planned.append((at, at + 1.0))
        if held and chance.random() < 0.5:
            held.pop(chance.randrange(len(held)))[1]()
            calm_from = time.monotonic() + CALM_MARGIN_S
    for _, undo in held:
        undo()
    fleet.proxy.heal()
    inflicted.append(_lose_power(fleet, chance))
    callers.stop()
    broken = fleet.overran + _settle(fleet, callers)
    until = time.monotonic()
    spans = checks.spans_of(fleet.lives, until)
    broken += checks.twice(spans) + checks.after_done(fleet.lives, spans)
    broken += checks.unasked(spans, callers.jobs, calm) + checks.out_of_order(spans)
    broken += _cuts(callers, planned) + _crashing(fleet, callers, spans)
    runs = sum(len(one) for one in spans.values())
    return Played(seed, inflicted, len(callers.jobs), runs, broken)


def _lose_power(fleet: Fleet, chance: random.Random) -> str:
    """Kill all instances at once beside traffic, and start them again; returns what was done."""
    time.sleep(chance.uniform(0.0, 1.0))
    fleet.lose_power()
    away_s = chance.uniform(0.5, 5.0)
    time.sleep(away_s)
    for one in fleet.instances:
        one.restart()
    return f"all away for {away_s:.1f} s"


def _cuts(callers: Callers, planned: list[tuple[float, float]]) -> list[str]:
    """Return requests that were cut while nothing but a planned stop was under way."""
    cuts = [cut for conn in callers.connections for cut in conn.cuts]
    return [
        f"LOST {cut}"
        for cut in cuts
        if any(begin <= cut.sent_at and cut.cut_at <= end for begin, end in planned)
    ]


def _settle(fleet: Fleet, callers: Callers) -> list[str]:
    """Wait until all accepted work has ended and what lasts is at work; returns what is not."""
    owed = {job: one for job, one in callers.jobs.items() if one.accepted and job != LASTING}
    until = time.monotonic() + SETTLE_S
    left = dict(owed)
    while left and time.monotonic() < until:
        for job in list(left):
            # A cancel without an answer may have been taken.
            wanted = ("completed", "cancelled") if owed[job].cancel_tried else ("completed",)
            if _state(fleet, job) in (("failed",) if job == CRASHING else wanted):
                del left[job]
        time.sleep(0.2)
    broken = [f"LOST {job}: {_state(fleet, job)} {one}" for job, one in left.items()]
    while time.monotonic() < until + 6.0 and _lasting(fleet) < LASTING_TASKS:
        time.sleep(0.2)
    if callers.jobs[LASTING].accepted and _lasting(fleet) != LASTING_TASKS:
        broken.append(f"LOST {LASTING}: {_lasting(fleet)} of {LASTING_TASKS} tasks run")
    return broken


def _crashing(fleet: Fleet, callers: Callers, spans: Mapping[str, list[checks.Span]]) -> list[str]:
    """Return what is wrong with the task that brings each runner down that starts it."""
    if not callers.jobs[CRASHING].accepted:
        return []
    by_itself = {life.name for life in fleet.lives if life.by_itself}
    held = spans.get(f"{CRASHING}.0.0.0", [])
    crashes = sorted(one.end for one in held if one.runner in by_itself)
    after = [one for one in held if len(crashes) >= 3 and one.begin > crashes[2]]
    if len(after) <= MOST_STARTS:
        return []
    return [f"BUDGET {len(after)} starts after the third crash: {held}"]


def _lasting(fleet: Fleet) -> int:
    spans = checks.spans_of(fleet.lives, time.monotonic())
    return sum(
        held[-1].how == "running" for task, held in spans.items() if task.startswith(LASTING)
    )


def _state(fleet: Fleet, job: str) -> str:
    for one in fleet.instances:
        conn = http.client.HTTPConnection(one.front, timeout=2.0)
        try:
            conn.request("GET", PREFIX + job, headers={"Host": HOST})
            answer = conn.getresponse()
            body = answer.read()
            if answer.status == 200:
                return str(json.loads(body)["state"])
            if answer.status == 410:
                return "gone"
        except (OSError, http.client.HTTPException):
            continue
        finally:
            conn.close()
    return "no answer"


def _warm(fleet: Fleet, conn: Connection) -> None:
    """Wait until the first instance answers; raises TimeoutError with what it wrote last."""
    until = time.monotonic() + WARM_S
    while conn.call("GET", "") != 200:
        if time.monotonic() > until:
            wrote = fleet.instances[0].program.out.read_text()[-2000:]
            raise TimeoutError(
                f"{fleet.instances[0].name} did not answer within {WARM_S} s: {wrote}"
            )
        time.sleep(0.1)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--runners", type=int, default=5)
    parser.add_argument("--mutation", default="", choices=["", *sorted(MUTATIONS)])
    args = parser.parse_args()
    for seed in range(args.first, args.last + 1):
        got = play(seed, args.seconds, args.instances, args.runners, args.mutation)
        verdict = "held" if not got.broken else f"BROKEN {got.broken}"
        sys.stdout.write(f"{seed}: {got.jobs} jobs, {got.runs} runs, {got.faults}: {verdict}\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()

"""Run seeds of planned stops: clients that go on sending until the process is gone, and faults.

`python -m tests.soak.stops FIRST LAST [--seconds S] [--instances N] [--runners N]` runs a range of
seeds and prints a line for each round, and one for each violation. `--kind`, `--store` and
`--freeze BEGIN END` fix what the seed would draw, `--no-pipelines` leaves out clients that send
before the answer, and `--mutation NAME` removes a mechanism, which the checks must detect.
"""

import argparse
import http.client
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bench.proxy import Fault, Rule
from tests.soak import stop_checks
from tests.soak.fleet import HOST, PREFIX, STOP_GRACE_S, Fleet, Instance
from tests.soak.mutant import MUTATIONS
from tests.soak.processor_time import ProcessorTime, pin
from tests.soak.stop_callers import StopCallers
from tests.soak.stop_checks import Stop
from tests.soak.stop_queues import Queues
from tests.soak.stop_scenarios import (
    Scenario,
    Span,
    StopKind,
    StopScript,
    StoreKind,
    draw_scenario,
    draw_script,
)

DEFAULT_DURATION_S = 20.0
WARM_UP_TIMEOUT_S = 60.0
BEFORE_SIGNAL_S = 0.7
"""Time from the start of the clients until the signal, in seconds."""

KILL_MARGIN_S = 2.0
POLL_INTERVAL_S = 0.004
SLOW_S = 0.6
LOST_SHARE = 0.8
BUSY = ["-c", "while True: pass"]


class SeedResult(NamedTuple):
    """The result of one seed."""

    seed: int
    rounds: list[str]
    outcomes: Counter[str]
    excused: int
    violations: list[str]


class _Play:
    """The processes of one seed and what is known of them."""

    def __init__(
        self, fleet: Fleet, chance: random.Random, pipelines: bool, freeze: Span | None
    ) -> None:
        self.pipelines = pipelines
        self.freeze = freeze
        self.fleet = fleet
        self.chance = chance
        self.queues = Queues(fleet)
        self.stops: list[Stop] = []
        self.log_begins = {instance.name: 0 for instance in fleet.instances}
        self.clock_offset_s = time.time() - time.monotonic()


def run_seed(
    seed: int,
    seconds: float = DEFAULT_DURATION_S,
    instances: int = 3,
    runners: int = 2,
    mutation: str = "",
    kind: str = "",
    store: str = "",
    pipelines: bool = True,
    freeze: Span | None = None,
) -> SeedResult:
    """Run one seed and check the invariants; all processes are ended even after an error."""
    chance = random.Random(seed)
    rounds: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), instances, runners, mutation)
        try:
            _wait_until_ready(fleet)
            play = _Play(fleet, chance, pipelines, freeze)
            began_at = time.monotonic()
            while time.monotonic() - began_at < seconds:
                scenario = draw_scenario(chance)
                if kind:
                    scenario = scenario._replace(kind=StopKind(kind))
                if store:
                    scenario = scenario._replace(store=StoreKind(store))
                _run_round(play, scenario)
                rounds.append(scenario.text())
                _wait_until_ready(fleet)
            violations = stop_checks.all_violations(fleet, play.queues, play.stops)
        finally:
            fleet.close()
    outcomes = Counter(
        " ".join(filter(None, [sent.outcome.value, str(sent.status or ""), sent.error]))
        for stop in play.stops
        for sent in stop.sent
    )
    excused = stop_checks.count_excused(play.stops)
    return SeedResult(seed, rounds, outcomes, excused, violations)


def _run_round(play: _Play, scenario: Scenario) -> None:
    """Stop one process, or one after the other, and start them again."""
    fleet, chance = play.fleet, play.chance
    targets = list(fleet.instances)
    chance.shuffle(targets)
    if scenario.kind is not StopKind.SERIES:
        targets = targets[:1]
    ended = threading.Event()
    others = [
        threading.Thread(target=_change_queues, args=(play, scenario, chance.random(), ended)),
        threading.Thread(target=_disturb_store, args=(play, scenario, targets[0].name, ended)),
    ]
    neighbours = _start_neighbours(scenario, targets[0])
    if scenario.crashes_runner:
        others.append(threading.Thread(target=_crash_runner, args=(fleet, chance.random())))
    delay_s = 0.0
    stops = []
    for target in targets:
        script, seed = draw_script(scenario, chance), chance.getrandbits(32)
        if play.freeze is not None:
            script = script._replace(freezes=[play.freeze])
        args = (play, scenario, target, script, delay_s, seed)
        stops.append(threading.Thread(target=_stop, args=args))
        delay_s += chance.uniform(0.2, 1.5)
    for thread in [*others, *stops]:
        thread.start()
    for thread in stops:
        thread.join()
    ended.set()
    for thread in others:
        thread.join()
    for neighbour in neighbours:
        neighbour.kill()
        neighbour.wait()
    fleet.faults()
    fleet.proxy.heal()
    # A process that has read none stays unready while the newest cannot be read.
    play.queues.publish()


# What goes on beside a stop


def _change_queues(play: _Play, scenario: Scenario, seed: float, ended: threading.Event) -> None:
    chance = random.Random(seed)
    while not ended.wait(scenario.change_interval_s * chance.uniform(0.1, 1.9)):
        play.queues.change(chance)


def _disturb_store(play: _Play, scenario: Scenario, name: str, ended: threading.Event) -> None:
    """Set the store's fault for its span; a silent store and one that is away are proxy faults."""
    fleet = play.fleet
    if ended.wait(BEFORE_SIGNAL_S + scenario.store_span.begin):
        return
    if scenario.store is StoreKind.SLOW:
        fleet.faults(slow_s=SLOW_S)
    elif scenario.store is StoreKind.LOSING:
        fleet.faults(lose=LOST_SHARE)
    elif scenario.store is StoreKind.SILENT:
        fleet.set_link_fault("*", "store", Rule(Fault.BLACKHOLE))
    elif scenario.store is StoreKind.AWAY:
        fleet.set_link_fault(name, "store", Rule(Fault.CUT))
    ended.wait(scenario.store_span.end - scenario.store_span.begin)
    fleet.faults()
    fleet.proxy.heal()


def _crash_runner(fleet: Fleet, seed: float) -> None:
    chance = random.Random(seed)
    time.sleep(chance.uniform(0.0, 4.0))
    incarnation = chance.choice(fleet.alive())
    fleet.crash(incarnation)
    time.sleep(0.5)
    fleet.add_runner(incarnation.place)


def _start_neighbours(scenario: Scenario, target: Instance) -> list[subprocess.Popen[bytes]]:
    """Start busy processes on the same processor as the first instance that stops."""
    neighbours = [subprocess.Popen([sys.executable, *BUSY]) for _ in range(scenario.neighbours)]
    if neighbours:
        pin([target.program.popen.pid, *(neighbour.pid for neighbour in neighbours)])
    return neighbours


# One stop


def _stop(
    play: _Play,
    scenario: Scenario,
    target: Instance,
    script: StopScript,
    delay_s: float,
    seed: int,
) -> None:
    """Stop one process while clients send, wait for its end and start it again."""
    time.sleep(delay_s)
    chance = random.Random(seed)
    before_signal_s = BEFORE_SIGNAL_S
    if scenario.kind is StopKind.EARLY:
        target.kill()
        _restart(play, target)
        before_signal_s = chance.uniform(0.05, 1.5)
    processor = ProcessorTime(target.program.popen.pid)
    signal_at, seed = time.monotonic() + before_signal_s, chance.getrandbits(32)
    callers = StopCallers(target.front, play.queues, signal_at, seed, play.pipelines)
    callers.start(scenario.connections)
    time.sleep(max(0.0, callers.signal_at - time.monotonic() - 0.45))
    signal_at, told = _follow_script(target, script, callers.signal_at)
    ended_at = _wait_for_end(target, signal_at, processor)
    if ended_at is None:
        target.kill()
    code = target.program.popen.returncode
    sent = callers.end()
    processor.end()
    log = stop_checks.read_log(target.program.out, play.log_begins[target.name])
    is_early = scenario.kind is StopKind.EARLY
    play.stops.append(
        Stop(
            target.name,
            signal_at,
            ended_at,
            code,
            is_early,
            told,
            sent,
            log,
            play.clock_offset_s,
            processor,
        )
    )
    _restart(play, target)


def _restart(play: _Play, target: Instance) -> None:
    play.log_begins[target.name] = target.program.out.stat().st_size
    target.restart()


def _follow_script(
    target: Instance, script: StopScript, planned_at: float
) -> tuple[float, list[str]]:
    """Send the signals; return when SIGTERM was sent, and each signal with its time after it."""
    program = target.program
    steps: list[tuple[float, str, Callable[[], None]]] = []
    steps += [(at, "SIGTERM", target.stop) for at in script.terms]
    steps += [(at, "SIGHUP", lambda: program.signal(signal.SIGHUP)) for at in script.reloads]
    for span in script.freezes:
        steps.append((span.begin, "SIGSTOP", lambda: program.signal(signal.SIGSTOP)))
        steps.append((span.end, "SIGCONT", lambda: program.signal(signal.SIGCONT)))
    signal_at = planned_at
    told = []
    for at, name, act in sorted(steps, key=lambda step: step[0]):
        time.sleep(max(0.0, planned_at + at - time.monotonic()))
        now = time.monotonic()
        act()
        if name == "SIGTERM" and not any(step.startswith("SIGTERM") for step in told):
            signal_at = now
        told.append(f"{name} {now - planned_at:.3f}")
    return signal_at, told


def _wait_for_end(target: Instance, signal_at: float, processor: ProcessorTime) -> float | None:
    """Return when the process has ended; None if it had to be killed."""
    while True:
        now = time.monotonic()
        if target.program.popen.poll() is not None:
            return now
        if now > signal_at + STOP_GRACE_S + KILL_MARGIN_S + processor.stood_s(signal_at, now):
            return None
        time.sleep(POLL_INTERVAL_S)


def _wait_until_ready(fleet: Fleet) -> None:
    """Wait until every instance answers; raise TimeoutError with the end of its output."""
    until = time.monotonic() + WARM_UP_TIMEOUT_S
    for instance in fleet.instances:
        while not _answers(instance):
            if time.monotonic() > until:
                output = instance.program.out.read_text()[-2000:]
                raise TimeoutError(f"{instance.name} did not answer: {output}")
            time.sleep(0.05)


def _answers(instance: Instance) -> bool:
    conn = http.client.HTTPConnection(instance.front, timeout=2.0)
    try:
        conn.request("GET", PREFIX, headers={"Host": HOST})
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--runners", type=int, default=2)
    parser.add_argument("--mutation", default="", choices=["", *sorted(MUTATIONS)])
    parser.add_argument("--kind", default="", choices=["", *(kind.value for kind in StopKind)])
    parser.add_argument("--store", default="", choices=["", *(kind.value for kind in StoreKind)])
    parser.add_argument("--no-pipelines", action="store_true")
    parser.add_argument("--freeze", type=float, nargs=2)
    args = parser.parse_args()
    for seed in range(args.first, args.last + 1):
        result = run_seed(
            seed,
            args.seconds,
            args.instances,
            args.runners,
            args.mutation,
            args.kind,
            args.store,
            not args.no_pipelines,
            Span(*args.freeze) if args.freeze else None,
        )
        sys.stdout.write("".join(f"{seed}: {line}\n" for line in result.rounds))
        sys.stdout.write("".join(f"{seed}: {line}\n" for line in result.violations))
        verdict = f"BROKEN {len(result.violations)}" if result.violations else "held"
        sys.stdout.write(f"{seed}: {dict(result.outcomes)}, {result.excused} excused: {verdict}\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()

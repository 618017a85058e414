"""Tests of a power loss of all instances at once, in simulated time, at the worst known moments.

What was accepted is in the store, and the runners keep running. Therefore every accepted job ends,
every accepted cancel takes effect, lasting tasks run again, and nothing runs twice. To run more
seeds: `SPOOLCRANK_POWER_SEEDS=60 pytest tests/test_power_loss.py`; the id of a test contains its
seed.
"""

import os
import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from spoolcrank import run_control
from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, JobPhase, Step
from tests.fleet_runners import MAX_LEASE_MS
from tests.fleet_world import Instance, World, small_world

SEEDS = int(os.environ.get("SPOOLCRANK_POWER_SEEDS", "8"))
MUTANT_SEEDS = 40
LOSSES = 3
WORK_S = 0.8
MAX_CANCEL_DELAY_S = 0.3
"""Maximum time after the acceptance of a cancel at which a task of its job starts, in seconds:
the time for the leader's read and for an order in flight, without faults."""
LATE_APPEND_S = 10.0
"""Time in which a job without an answer may still be stored and run, in seconds; an append
without an answer may be carried out 6 s later."""
MAX_RECOVERY_S = 12.0
"""Maximum time from the return of the first instance until everything runs again, in seconds."""

LASTING = Step(count=4, millicores=1000, memory_mb=100, lasting=True)
STEPS = (
    Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600),
    Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,)),
)


@dataclass
class JobRequest:
    """One job and its cancel, as seen by its client."""

    outcomes: list[IntakeOutcome]
    cancel_outcomes: list[object] = field(default_factory=list)
    cancel_sent: bool = False
    cancelled_at: float | None = None


class Clients:
    def __init__(self, world: World, chance: random.Random) -> None:
        self.world = world
        self.chance = chance
        self.jobs: dict[str, JobRequest] = {}

    def _instance(self) -> Instance:
        return self.world.instances[self.chance.choice(sorted(self.world.instances))]

    def submit(self) -> JobRequest:
        job = f"{len(self.jobs):04x}"
        request = self.jobs[job] = JobRequest(self._instance().submit(job, *STEPS, max_attempts=9))
        return request

    def cancel(self) -> JobRequest:
        open_jobs = [job for job, request in self.jobs.items() if not request.cancel_sent]
        job = self.chance.choice(open_jobs)
        request = self.jobs[job]
        request.cancel_sent = True

        def on_outcome(outcome: object) -> None:
            request.cancel_outcomes.append(outcome)
            if outcome is IntakeOutcome.STORED:
                request.cancelled_at = self.world.now

        self._instance().intake.cancel(JobId(job), on_outcome)
        return request

    def busy(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            (self.cancel if self.chance.random() < 0.2 and len(self.jobs) > 3 else self.submit)()
            self.world.run(self.chance.uniform(0.02, 0.3))


def _run_to_power_loss(clients: Clients, chance: random.Random) -> None:
    """Run the simulation up to the moment of the power loss."""
    world = clients.world
    kind = chance.choice(["sent", "stored", "cancel sent", "cancel stored", "ended", "any"])
    if kind == "any":
        world.run(chance.uniform(0.0, 2.0))
        return
    if kind == "ended":
        clients.submit()
        before = sum(runner.ends for runner in world.runners.values())
        while sum(runner.ends for runner in world.runners.values()) == before:
            world.run(0.001)
        world.run(chance.uniform(0.0, 0.02))
        return
    request = clients.cancel() if kind.startswith("cancel") else clients.submit()
    outcomes = request.cancel_outcomes if kind.startswith("cancel") else request.outcomes
    if kind.endswith("stored"):
        while not outcomes:
            world.run(0.0005)
    else:
        world.run(chance.uniform(0.005, 0.4))


def _inject_faults(world: World, chance: random.Random) -> None:
    """Lose answers of the store and delay calls and orders, or inject no faults."""
    bad = chance.random() < 0.4
    world.store.lost_append_answer_share, world.store.late_append_share = (
        (0.3, 0.2) if bad else (0.0, 0.0)
    )
    world.late_order_share = 0.2 if chance.random() < 0.3 else 0.0


def _lose_power(world: World, chance: random.Random) -> None:
    """Kill all instances and start them again, together or one by one; end other faults."""
    names = sorted(world.instances)
    for instance in list(world.instances.values()):
        instance.kill()
    world.store.lost_append_answer_share = world.store.late_append_share = (
        world.late_order_share
    ) = 0.0
    together = chance.random() < 0.5
    first = chance.uniform(0.5, 10.0)
    for name in names:
        delay_s = first if together else chance.uniform(0.5, 10.0)
        world.at(delay_s, lambda name=name: world.add_instance(name) and None)  # type: ignore[misc]
    world.run_until(lambda: bool(world.instances), 11.0)


def _violations(world: World, clients: Clients) -> list[str]:
    """Return what contradicts the answers that the clients received."""
    index = next(iter(world.instances.values())).index
    violations = []
    for job, request in clients.jobs.items():
        phase = index.phase(JobId(job))
        if IntakeOutcome.STORED in request.outcomes and phase not in FINAL:
            violations.append(f"{job} was accepted and is {phase}")
        if IntakeOutcome.STORED in request.outcomes and not request.cancel_sent:
            if phase is not JobPhase.COMPLETED:
                violations.append(f"{job} was accepted, not cancelled, and is {phase}")
        if request.cancelled_at is not None and phase not in (
            JobPhase.CANCELLED,
            JobPhase.COMPLETED,
        ):
            violations.append(f"{job} was cancelled and is {phase}")
    running = [key for runner in world.runners.values() for key in runner.tasks]
    violations += [f"{key} still runs" for key in running if key.job != "aaaa"]
    running_lasting = sum(key.job == "aaaa" for key in running)
    if running_lasting != LASTING.count:
        violations.append(f"{running_lasting} of {LASTING.count} lasting tasks run")
    return violations


def _started_after_cancel(world: World, clients: Clients) -> list[str]:
    return [
        f"{key} started {at - request.cancelled_at:.2f} s after its cancel"
        for key, starts in world.starts.items()
        for request in [clients.jobs.get(key.job)]
        if request is not None and request.cancelled_at is not None
        for at in starts
        if at > request.cancelled_at + MAX_CANCEL_DELAY_S
    ]


def play(seed: int, trouble: bool, max_lease_ms: int = MAX_LEASE_MS) -> list[str]:
    """Simulate one seed; return all violations."""
    chance = random.Random(seed)
    world = small_world(instances=3, runners=4, seed=seed, max_lease_ms=max_lease_ms)
    for runner in world.runners.values():
        runner.work_s = WORK_S
    world.lasting_jobs = {"aaaa"}
    outcomes = world.instances["entry-0"].submit("aaaa", LASTING)
    world.run_until(lambda: bool(outcomes))
    clients = Clients(world, chance)
    for _ in range(LOSSES):
        clients.busy(chance.uniform(0.3, 3.0))
        if trouble:
            _inject_faults(world, chance)
        _run_to_power_loss(clients, chance)
        _lose_power(world, chance)
        if chance.random() < 0.3:
            # A second power loss, before or just after a leader is elected.
            world.run(chance.uniform(0.0, 1.5))
            _lose_power(world, chance)
    took_s = 0.0
    while _violations(world, clients) and took_s < MAX_RECOVERY_S:
        world.run(0.1)
        took_s += 0.1
    # A job without an answer may still be stored, and run, up to LATE_APPEND_S later.
    world.run(LATE_APPEND_S if trouble else 3.0)
    # With other faults, a start that is carried out late is not checked; everything else is.
    late_starts = [] if trouble else _started_after_cancel(world, clients)
    return world.violations + _violations(world, clients) + late_starts


@pytest.mark.parametrize("trouble", [False, True], ids=["alone", "beside trouble"])
@pytest.mark.parametrize("max_lease_ms", [MAX_LEASE_MS, 6_000])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_accepted_jobs_and_cancels_survive_a_power_loss_of_all_instances(
    seed: int, max_lease_ms: int, trouble: bool
) -> None:
    assert play(seed, trouble, max_lease_ms) == []


_add_job = Scheduler.add_job
_handle_end = run_control._handle_end


def _without_cancels(self: Scheduler, *args: Any) -> None:
    job, record, order, progress, _, now, time_of_day_ms = args
    _add_job(self, job, record, order, progress, False, now, time_of_day_ms)


def _without_progress(self: Scheduler, *args: Any) -> None:
    job, record, order, _, cancelled, now, time_of_day_ms = args
    _add_job(self, job, record, order, None, cancelled, now, time_of_day_ms)


def _acknowledge_before_storing(state: Any, runner: Any, row: Any, now: float) -> None:
    _handle_end(state, runner, row, now)
    runner.seen = runner.last_handled_end


@pytest.mark.parametrize(
    ("owner", "name", "change", "trouble"),
    [
        (Scheduler, "add_job", _without_cancels, False),
        (Scheduler, "add_job", _without_progress, False),
        (run_control, "_handle_end", _acknowledge_before_storing, True),
    ],
    ids=["cancels are not taken over", "progress is not taken over", "ends are forgotten first"],
)
def test_a_disabled_mechanism_is_detected(
    owner: Any, name: str, change: Any, trouble: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, change)
    assert any(play(seed, trouble) for seed in range(MUTANT_SEEDS))

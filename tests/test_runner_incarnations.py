"""Tests of runners that restart under the same id and know nothing of their earlier runs."""

import os
from collections.abc import Callable

import pytest

from spoolcrank import run_control, unknown_runs
from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.job_state import NO_RUNNER
from spoolcrank.orders import Start, Target
from spoolcrank.runner_ids import FENCES_PER_TERM, FenceRanks
from spoolcrank.workflow import JobPhase, RunnerId, Step, TaskKey
from tests import fleet_runners
from tests.fleet_runners import MAX_LEASE_MS
from tests.fleet_world import Instance, World, small_world

LATE_SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "3"))
RUNNERS = 8
INSTANCES = 4
JOBS = 80
EVERY_S = 0.5
JOBS_PER_RESTART = 6
"""Number of submitted jobs between two restarts of a runner."""

JOBS_PER_LEADER_KILL = 16
SETTLE_S = 30.0
ATTEMPTS = 3
STEP = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
ALONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)
FAILS_AFTER_S = 0.3
MAX_STARTS = ATTEMPTS + 1
"""Maximum number of starts of a task that always fails; a start that was refused or was lost
with its runner counts too."""


class Play:
    """Simulation of jobs that are submitted while runners restart, with optional faults."""

    def __init__(self, seed: int, max_lease_ms: int = MAX_LEASE_MS) -> None:
        self.world = small_world(INSTANCES, RUNNERS, seed, max_lease_ms)
        self.world.keeps_id_share = 1.0
        self.kills = False
        self.all_at: tuple[int, ...] = ()
        self.outcomes: dict[str, list[IntakeOutcome]] = {}
        self.failing = [f"fail{number}" for number in range(JOBS // 10)]
        self.world.failing = dict.fromkeys(self.failing, FAILS_AFTER_S)
        self.world.attempts = dict.fromkeys(self.failing, ATTEMPTS)

    def run(self) -> None:
        for number in range(JOBS):
            self._submit(number)
            self.world.run(EVERY_S)
            if number in self.all_at:
                self._restart(RUNNERS)
            elif number % JOBS_PER_RESTART == JOBS_PER_RESTART - 1:
                self._restart(1)
            if self.kills and number % JOBS_PER_LEADER_KILL == JOBS_PER_LEADER_KILL - 1:
                self._replace_leader(number)
        self.world.run(SETTLE_S)

    def _submit(self, number: int) -> None:
        if number % 10 == 0:
            self._instance().submit(self.failing[number // 10], ALONE, max_attempts=ATTEMPTS)
        job = f"{number:04x}"
        self.outcomes[job] = self._instance().submit(job, STEP, max_attempts=9)

    def _instance(self) -> Instance:
        return self.world.instances[self.world.random.choice(sorted(self.world.instances))]

    def _restart(self, runners: int) -> None:
        alive = [runner for runner in self.world.runners.values() if runner.alive]
        for runner in self.world.random.sample(alive, min(runners, len(alive))):
            self.world.crash(runner)

    def _replace_leader(self, number: int) -> None:
        leader = self.world.leader()
        if leader is not None:
            leader.kill()
            self.world.add_instance(f"entry-{number + INSTANCES}")

    def unfinished(self) -> list[str]:
        """Return the accepted jobs that are not completed."""
        accepted = [
            job
            for job, job_outcomes in self.outcomes.items()
            if IntakeOutcome.STORED in job_outcomes
        ]
        index = self._instance().index
        return [job for job in accepted if index.phase(JobId(job)) is not JobPhase.COMPLETED]

    def max_starts(self) -> int:
        """Return the highest number of starts among the tasks that always fail."""
        keys = [TaskKey(JobId(job), 0, 0, 0) for job in self.failing]
        return max(len(self.world.timely_starts[key]) for key in keys)

    def check(self) -> None:
        assert self.world.violations == []
        assert self.unfinished() == []
        if not self.world.late_order_share:
            # A run that was lost before it was known to have begun does not count as an attempt.
            assert self.max_starts() <= MAX_STARTS


# Guards against ends that a new incarnation forgets before they are read, so that done work runs
# again.
@pytest.mark.parametrize("seed", range(3))
def test_runners_restarted_under_their_ids_run_nothing_twice(seed: int) -> None:
    play = Play(seed)
    play.run()
    play.check()


# Guards against a leader that takes runs of an earlier incarnation for runs of the present one.
@pytest.mark.parametrize("max_lease_ms", [MAX_LEASE_MS, 6_000])
@pytest.mark.parametrize("seed", range(3))
def test_runners_restarted_under_their_ids_while_leaders_are_killed_run_nothing_twice(
    seed: int, max_lease_ms: int
) -> None:
    play = Play(seed, max_lease_ms)
    play.kills = True
    play.run()
    play.check()


def _with_late_orders(seed: int, kills: bool) -> Play:
    play = Play(seed)
    play.kills = kills
    play.all_at = (20, 50)
    play.world.late_order_share, play.world.lost_answer_share = 0.05, 0.05
    play.run()
    return play


# Guards against orders to an earlier incarnation that the present one carries out late.
@pytest.mark.parametrize("kills", [False, True], ids=["", "leaders-killed"])
@pytest.mark.parametrize("seed", range(LATE_SEEDS))
def test_late_orders_to_an_earlier_incarnation_run_nothing_twice(seed: int, kills: bool) -> None:
    _with_late_orders(seed, kills).check()


# Control for these simulations: with new ids the same faults break nothing.
def test_runners_back_under_new_ids_run_nothing_twice() -> None:
    play = Play(1)
    play.world.keeps_id_share = 0.0
    play.all_at = (20, 50)
    play.run()
    play.check()


def _back_at_once(seed: int, trusts_connections: bool = False) -> World:
    """Simulate many short tasks on runners that restart before their absence is noticed."""
    world = small_world(instances=2, runners=2, seed=seed)
    world.keeps_id_share = 1.0
    world.trusts_connections = trusts_connections
    for runner in world.runners.values():
        runner.work_s = 0.1
    for number in range(60):
        world.instances["entry-0"].submit(f"{number:04x}", STEP)
        world.run(0.1)
        if number % 10 == 9:
            world.crash(world.random.choice(list(world.runners.values())), restart_delay_s=0.02)
    world.run(SETTLE_S)
    return world


# Guards against a poll that reaches a new incarnation with the number of the last end of the
# earlier one.
@pytest.mark.parametrize("seed", range(3))
def test_a_runner_that_restarts_at_once_forgets_no_unread_end(seed: int) -> None:
    assert _back_at_once(seed).violations == []


def test_an_end_number_sent_to_a_new_incarnation_is_detected() -> None:
    assert any(_back_at_once(seed, trusts_connections=True).violations for seed in range(3))


def _same_rank(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FenceRanks, "register", lambda self, runner: 0)


def _no_take_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(run_control, "take_over_runs", lambda state, runner, report, now: None)


def _runs_not_taken_over(monkeypatch: pytest.MonkeyPatch) -> None:
    # Either keeps the tasks of such runs from starting elsewhere.
    _no_take_over(monkeypatch)
    monkeypatch.setattr(unknown_runs, "unknown_run_at", lambda state, key, now: NO_RUNNER)


def _start_times_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_runners, "runner_id", lambda name, born: RunnerId(name))


@pytest.mark.parametrize(
    "take_out",
    [_same_rank, _runs_not_taken_over, _start_times_unread],
    ids=lambda change: change.__name__,
)
def test_disabled_incarnation_checks_are_detected(
    take_out: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    take_out(monkeypatch)
    plays = [_with_late_orders(seed, kills=False) for seed in range(3)]
    assert any(play.world.violations for play in plays)


# Guards against work that is stopped and done again because earlier records contain no start times.
def test_runs_stored_without_the_start_time_of_their_runner_continue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with monkeypatch.context() as earlier:
        _start_times_unread(earlier)
        world = small_world(instances=2, runners=3)
        for runner in world.runners.values():
            runner.work_s = 6.0
        world.instances["entry-0"].submit("a1", STEP)
        world.run(1.0)
        assert sum(len(runner.tasks) for runner in world.runners.values()) == STEP.count
        leader = world.leader()
        assert leader is not None
        leader.kill()
    world.run(12.0)
    index = next(iter(world.instances.values())).index
    assert index.phase(JobId("a1")) is JobPhase.COMPLETED
    assert {len(starts) for starts in world.starts.values()} == {1}
    assert world.violations == []


def _starts_of_a_run_that_reached_the_next_incarnation() -> int:
    """Return how often a task starts whose first start only the next incarnation carries out."""
    world = small_world(instances=1, runners=1)
    world.keeps_id_share = 1.0
    (runner,) = world.runners.values()
    world.polls_only.add(runner.name)
    world.late_orders_outlive_restart = False
    leader = world.instances["entry-0"]
    leader.submit("a1", ALONE)
    world.run(0.1)
    world.unreachable.add((leader.name, runner.name))
    world.crash(runner, restart_delay_s=1.0)
    world.run_until(lambda: world.runners[runner.id] is not runner)
    restarted = world.runners[runner.id]
    restarted.work_s = 3.0
    key = TaskKey(JobId("a1"), 0, 0, 0)
    target = Target(runner.incarnation_id, runner.name, FENCES_PER_TERM)
    order = Start(target, key, 1, "payload", "", 20_000)
    world.carry_out_late(restarted, lambda current: current.start(order))
    world.polls_only.clear()
    world.unreachable.clear()
    world.run_until(lambda: leader.index.phase(JobId("a1")) is JobPhase.COMPLETED)
    assert world.violations == []
    return len(world.starts[key])


def test_a_run_that_reached_the_next_incarnation_goes_on_there() -> None:
    assert _starts_of_a_run_that_reached_the_next_incarnation() == 1


def test_a_run_that_is_not_taken_over_starts_again(monkeypatch: pytest.MonkeyPatch) -> None:
    _no_take_over(monkeypatch)
    assert _starts_of_a_run_that_reached_the_next_incarnation() > 1

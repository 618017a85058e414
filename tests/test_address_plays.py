"""Losses of leaders and runners in any order with entries, answers, silence and other writers.

Whatever the order, an address that a leader stored frees a run only if its runner ended. To play
more seeds: `SPOOLCRANK_ADDRESS_SEEDS=300 pytest tests/test_address_plays.py`.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

import pytest

from spoolcrank import dispatcher, order_sender, run_control
from spoolcrank.ids import Address, JobId, ServiceName
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.orders import OrderResult
from spoolcrank.runner_addresses import RunnerAddresses
from spoolcrank.runner_loss import lose_runner
from spoolcrank.runner_state import RunnerEntry
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import JobPhase, RunnerId, Step
from tests.fleet_runners import Runner
from tests.test_runner_addresses import (
    SEEDS,
    false_entry,
    fleet,
    forget_start_times,
    kill_instances,
)

MUTANT_SEEDS = 40


class OldVersion(RunnerAddresses):
    """An earlier version, which neither reads nor writes nor deletes addresses."""

    def restore(self, record: KeyedRecord) -> None:
        return

    def take_records(self, runners: Any, preassigned: Any) -> list[KeyedRecord]:
        return []


_begin_term = dispatcher.begin_term


def _begin_term_by_version(leadership: Any, *args: Any) -> Scheduler:
    state = _begin_term(leadership, *args)
    if leadership.instance.startswith("old"):
        state.addresses = OldVersion()
    return state


class Play:
    """Losses of instances and runners, in any order with what a leader may read or hear.

    In every second seed, some instances are of an earlier version.
    """

    def __init__(self, seed: int) -> None:
        self.mixed = seed % 2 == 1
        self.keeps_ids = True
        self.world = fleet(seed, runners=8, instances=3)
        self.chance = random.Random(seed)
        self.outcomes: dict[str, list[IntakeOutcome]] = {}
        self.instances = 3

    def run(self) -> None:
        for _ in range(5):
            self._submit()
            self.world.run(self.chance.uniform(0.3, 2.0))
            self._change_runners()
            self._lose_leaders()
            self.world.run(self.chance.uniform(0.0, 1.5))
            self._change_runners()
            if self.chance.random() < 0.4:
                self._lose_leaders()
            self.world.run(self.chance.uniform(1.0, 9.0))
        self.world.unreachable.clear()
        self.world.lost_answer_share = 0.0
        for runner in list(self.world.runners.values()):
            self._return_entry(runner)
        self.world.run(40.0)

    def _submit(self) -> None:
        for runner in self.world.runners.values():
            runner.work_s = self.chance.choice([0.5, 3.0, 9.0])
        for _ in range(3):
            job = f"{len(self.outcomes):04x}"
            instance = self.chance.choice(sorted(self.world.instances))
            step = Step(count=6, millicores=1000, memory_mb=100, estimate_ms=600)
            self.outcomes[job] = self.world.instances[instance].submit(job, step, max_attempts=20)

    def _lose_leaders(self) -> None:
        world, chance = self.world, self.chance
        kind = chance.choice(["all", "leader", "handover"])
        leader = world.leader()
        if kind == "handover":
            self._add_instance(processors=8.0 * self.instances)
            return
        if kind == "leader" and leader is not None:
            leader.kill()
        if kind == "all":
            kill_instances(world)
            world.run(chance.uniform(0.2, 3.0))
        while len(world.instances) < 3:
            self._add_instance()

    def _add_instance(self, processors: float = 1.0) -> None:
        self.instances += 1
        version = "old" if self.mixed and self.chance.random() < 0.25 else "entry"
        self.world.add_instance(f"{version}-{self.instances}", processors)

    def _change_runners(self) -> None:
        world, chance = self.world, self.chance
        world.lost_answer_share = chance.choice([0.0, 0.0, 0.1])
        alive = [runner for runner in world.runners.values() if runner.alive]
        together = chance.random() < 0.3
        for runner in alive:
            change = "power" if together else chance.choice(["power", "store", "leader", "", ""])
            if change == "power":
                world.keeps_id_share = chance.choice([0.0, 0.0, 0.5 * self.keeps_ids])
                world.crash(runner, chance.uniform(0.1, 6.0))
            elif change == "store":
                self._lose_entry(runner, chance.choice(alive))
            elif change == "leader":
                self._cut_off(runner)

    def _lose_entry(self, runner: Runner, other: Runner) -> None:
        """Let a live runner's entry lapse, or let other writers change it or add another one."""
        entries = self.world.store.entries
        # An earlier version takes a false entry for that of a runner which it has not reached yet.
        kind = self.chance.choice(["lapsed", "second", "lapsed" if self.mixed else "false"])
        entries.put(runner.id, false_entry(runner, other.name) if kind == "false" else b"")
        if kind == "second":
            entries.put(f"i-other-{runner.id}", false_entry(other, runner.name))
        self.world.at(self.chance.uniform(0.5, 12.0), lambda: self._return_entry(runner))

    def _return_entry(self, runner: Runner) -> None:
        if runner.alive:
            self.world.store.entries.put(runner.id, b"ready")

    def _cut_off(self, runner: Runner) -> None:
        names = [f"{kind}-{n}" for kind in ("old", "entry") for n in range(80)]
        cut = {(name, runner.name) for name in names}
        self.world.unreachable |= cut
        healed = self.chance.uniform(0.5, 14.0)
        self.world.at(healed, lambda: self.world.unreachable.difference_update(cut))

    def violations(self) -> list[str]:
        index = next(iter(self.world.instances.values())).index
        unfinished = [
            f"{job} is {index.phase(JobId(job))}"
            for job, outcomes in self.outcomes.items()
            if IntakeOutcome.STORED in outcomes
            and index.phase(JobId(job)) is not JobPhase.COMPLETED
        ]
        return self.world.violations + unfinished


def _play(seed: int, keeps_ids: bool = True) -> list[str]:
    play = Play(seed)
    play.keeps_ids = keeps_ids
    play.run()
    return play.violations()


# Guards against work that runs twice, in any order of entries, answers, silence and leaders.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_runs_twice_in_any_order(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatcher, "begin_term", _begin_term_by_version)
    assert _play(seed) == []


# Guards against the same where runners state no start times, and take new ids instead.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_runs_twice_without_start_times(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatcher, "begin_term", _begin_term_by_version)
    forget_start_times(monkeypatch)
    assert _play(seed, keeps_ids=False) == []


_list_runners = dispatcher.list_runners
_poll_failed = run_control.poll_failed
_entry_of = RunnerAddresses.entry_of


def _release_by_entry(state: Scheduler, *args: Any) -> None:
    _list_runners(state, *args)
    for runner in list(state.runners.values()):
        if runner.answered_at < 0 and runner.runs and runner.ids_at_address:
            lose_runner(state, runner, "an entry is at its address", state.began_at)


def _release_by_silence(state: Scheduler, poll: Any, result: OrderResult, now: float) -> None:
    runner = state.runners.get(poll.target.runner)
    unlisted = runner is not None and not runner.listed and runner.answered_at < 0
    _poll_failed(state, poll, OrderResult.OTHER_INCARNATION if unlisted else result, now)


def _address_of_another(
    self: RunnerAddresses, runner: RunnerId, service: ServiceName
) -> RunnerEntry:
    entry = _entry_of(self, runner, service)
    others = [known.address for known in self.stored.values() if known.address != entry.address]
    return entry._replace(address=others[0] if others and entry.address else Address(""))


def _contradicts_nothing(self: RunnerAddresses, entry: RunnerEntry) -> bool:
    return False


MUTATIONS: Mapping[str, tuple[Any, str, Callable[..., Any]]] = {
    "an entry at the address releases": (dispatcher, "list_runners", _release_by_entry),
    "silence at the address releases": (
        order_sender,
        "poll_failed",
        _release_by_silence,
    ),
    "the address is that of another runner": (RunnerAddresses, "entry_of", _address_of_another),
    "an entry may change the address": (RunnerAddresses, "contradicts", _contradicts_nothing),
}


@pytest.mark.parametrize("name", list(MUTATIONS))
def test_a_wrong_mechanism_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, replacement = MUTATIONS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    monkeypatch.setattr(dispatcher, "begin_term", _begin_term_by_version)
    assert any("TWICE" in line for seed in range(MUTANT_SEEDS) for line in _play(seed))

"""Random faults against the decisions of several owners, and mutations that must be detected.

The state machine crashes, pauses, isolates and delays owners and restarts backend servers, and
checks the invariants after each step. The test guards against tasks that run twice, overcommitted
servers and tasks that never end. Each mutation removes one safeguard of the product; a machine
that does not detect it is too weak.

Hypothesis derives the seed from the source of the state machine, so that any change to the class,
also of a name, changes the steps that it tries.
"""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from spoolcrank import ownership, servers
from spoolcrank.ids import InstanceId
from spoolcrank.policy import Policy
from tests.world import OWNERS, SERVERS, World

SETTLE_S = 240.0
"""Simulated time from the end of the faults within which all tasks must end, seconds."""

TURN_S = 0.5
"""Simulated time between two checks of the invariants, seconds."""

MAX_JOBS = 6
owners = st.sampled_from(OWNERS)
backends = st.sampled_from(SERVERS)

CHECK_SETTINGS = settings(
    max_examples=80,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
MUTATION_SETTINGS = settings(CHECK_SETTINGS, max_examples=800)


def make_machine(
    make_world: Callable[[], World], check_end: bool = True
) -> type[RuleBasedStateMachine]:
    """Return a state machine class that tests the worlds of a factory.

    Args:
        make_world: returns a new world, for some mutations one without a safeguard.
        check_end: whether all tasks must end once the faults are removed.
    """

    class Machine(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.world = make_world()
            self.world.submit(2, 6.0, True)

        @rule(tasks=st.integers(1, 3), run_s=st.sampled_from([1.0, 5.0, 20.0]), again=st.booleans())
        def submit(self, tasks: int, run_s: float, again: bool) -> None:
            if self.world.jobs < MAX_JOBS:
                self.world.submit(tasks, run_s, again)

        @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 9.0]))
        def advance(self, seconds: float) -> None:
            self.world.advance(seconds)

        @rule(owner=owners)
        def crash_and_restart(self, owner: str) -> None:
            self.world.crash(owner)
            self.world.advance(2.5)
            self.world.start_owner(owner)

        @rule(owner=owners)
        def pause(self, owner: str) -> None:
            if owner in self.world.owners:
                self.world.owners[owner].paused = True

        @rule(owner=owners)
        def wake(self, owner: str) -> None:
            if owner in self.world.owners:
                self.world.owners[owner].paused = False

        @rule(owner=owners, backend=backends, how=st.sampled_from(["cut", "mute"]))
        def cut(self, owner: str, backend: str, how: str) -> None:
            getattr(self.world, how).add((owner, backend))

        @rule(owner=owners)
        def isolate(self, owner: str) -> None:
            for other in (*OWNERS, "log"):
                self.world.cut |= {(owner, other), (other, owner)}

        @rule(owner=owners)
        def cut_log(self, owner: str) -> None:
            self.world.cut.add((owner, "log"))

        @rule(owner=owners)
        def hold(self, owner: str) -> None:
            self.world.holding.add(owner)

        @rule()
        def release(self) -> None:
            self.world.release()

        @rule(owner=owners, backend=backends)
        def slow_link(self, owner: str, backend: str) -> None:
            self.submit(1, 20.0, True)
            self.world.advance(2.0)
            self.world.late.add((owner, backend))
            self.world.advance(9.0)

        @rule(owner=owners, seconds=st.sampled_from([5.0, 9.0, 12.0]))
        def stuck(self, owner: str, seconds: float) -> None:
            self.world.holding.add(owner)
            self.submit(2, 20.0, True)
            self.world.advance(seconds)
            self.world.release()

        @rule(up=st.booleans(), doubles=st.booleans())
        def log(self, up: bool, doubles: bool) -> None:
            self.world.log_up = up
            self.world.doubles = doubles

        @rule(backend=backends)
        def restart_backend(self, backend: str) -> None:
            self.world.start_worker(backend)

        @rule(owner=owners)
        def evict(self, owner: str) -> None:
            self.world.evict_one(owner)

        @rule()
        def heal(self) -> None:
            self.world.heal()

        @invariant()
        def promises_hold(self) -> None:
            self.world.advance(TURN_S)
            breaches = self.world.breaches()
            assert breaches == [], breaches[0]

        def teardown(self) -> None:
            if not check_end:
                return
            self.world.heal()
            self.world.advance(SETTLE_S)
            self.promises_hold()
            assert self.world.open_tasks() == []

    return Machine


def run(make_world: Callable[[], World], run_settings: settings, check_end: bool = True) -> None:
    machine: Any = make_machine(make_world, check_end)
    run_state_machine_as_test(machine, settings=run_settings)


def test_invariants_hold_under_random_faults() -> None:
    run(World, CHECK_SETTINGS)


def test_missing_fence_is_detected() -> None:
    with pytest.raises(AssertionError, match="Breach"):
        run(lambda: World(fenced=False), MUTATION_SETTINGS, check_end=False)


def test_missing_adoption_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner that ignores what runs on a server it adopts starts those tasks again."""
    original = servers.on_report

    def without_running_tasks(owned: Any, report: Any, *rest: Any) -> Any:
        if owned.phase is not servers.Phase.READY:
            report = report.model_copy(update={"running": [], "ended": []})
        return original(owned, report, *rest)

    monkeypatch.setattr(servers, "on_report", without_running_tasks)
    monkeypatch.setattr(servers, "allocated", _allocated_without_ledger)
    with pytest.raises(AssertionError, match="Breach"):
        run(World, MUTATION_SETTINGS, check_end=False)


def _allocated_without_ledger(owned: Any, ledger: Any) -> Any:
    sizes = [record.size.resources for record in owned.placing.values()]
    if owned.report is not None:
        sizes += [running.size.resources for running in owned.report.running]
    return servers.total(sizes)


def test_missing_lease_margin_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original = ownership.may_declare_lost

    def without_margin(
        members: Any, contacted: bool, since: float, policy: Policy, now: float
    ) -> bool:
        return original(members, contacted, since - policy.leases.margin_s, policy, now)

    monkeypatch.setattr(ownership, "may_declare_lost", without_margin)
    with pytest.raises(AssertionError, match="Breach"):
        run(World, MUTATION_SETTINGS, check_end=False)


def test_each_server_has_exactly_one_owner_at_start() -> None:
    world = World()
    owned = {name: sorted(owner.core.owned) for name, owner in world.owners.items()}
    assert sorted(name for names in owned.values() for name in names) == [
        InstanceId(name) for name in SERVERS
    ]

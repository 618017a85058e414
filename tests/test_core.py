"""A state machine test of several owners' decisions, and mutations that it must detect."""

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

RECOVERY_S = 240.0
STEP_S = 0.5
MAX_JOBS = 6
owners = st.sampled_from(OWNERS)
backends = st.sampled_from(SERVERS)

STANDARD_SEARCH = settings(
    max_examples=80,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
MUTATION_SEARCH = settings(STANDARD_SEARCH, max_examples=800)


def make_machine(
    make_world: Callable[[], World], check_end: bool = True
) -> type[RuleBasedStateMachine]:
    """Return the state machine class for a world; `make_world` can supply a mutated world."""

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
        def invariants_hold(self) -> None:
            self.world.advance(STEP_S)
            breaches = self.world.breaches()
            assert breaches == [], breaches[0]

        def teardown(self) -> None:
            if not check_end:
                return
            self.world.heal()
            self.world.advance(RECOVERY_S)
            self.invariants_hold()
            assert self.world.open_tasks() == []

    return Machine


def run(make_world: Callable[[], World], how: settings, check_end: bool = True) -> None:
    machine: Any = make_machine(make_world, check_end)
    run_state_machine_as_test(machine, settings=how)


def test_promises_hold_under_random_faults() -> None:
    run(World, STANDARD_SEARCH)


def test_taking_out_the_fence_is_found() -> None:
    with pytest.raises(AssertionError, match="Breach"):
        run(lambda: World(fenced=False), MUTATION_SEARCH, check_end=False)


def test_taking_out_the_adoption_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner that assumes an empty server instead of adopting it starts running tasks again."""
    original = servers.on_report

    def without_attempts(owned: Any, report: Any, *rest: Any) -> Any:
        if owned.phase is not servers.Phase.READY:
            report = report.model_copy(update={"running": [], "ended": []})
        return original(owned, report, *rest)

    monkeypatch.setattr(servers, "on_report", without_attempts)
    monkeypatch.setattr(servers, "allocated", _sum_of_report_only)
    with pytest.raises(AssertionError, match="Breach"):
        run(World, MUTATION_SEARCH, check_end=False)


def _sum_of_report_only(owned: Any, ledger: Any) -> Any:
    sizes = [record.size.resources for record in owned.placing.values()]
    if owned.report is not None:
        sizes += [running.size.resources for running in owned.report.running]
    return servers.total(sizes)


def test_taking_out_the_lease_margin_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = ownership.may_declare_lost

    def without_margin(
        members: Any, contacted: bool, since: float, policy: Policy, now: float
    ) -> bool:
        return original(members, contacted, since - policy.leases.margin_s, policy, now)

    monkeypatch.setattr(ownership, "may_declare_lost", without_margin)
    with pytest.raises(AssertionError, match="Breach"):
        run(World, MUTATION_SEARCH, check_end=False)


def test_an_owner_is_preferred_by_name_alone() -> None:
    world = World()
    owned = {name: sorted(owner.core.owned) for name, owner in world.owners.items()}
    assert sorted(name for names in owned.values() for name in names) == [
        InstanceId(name) for name in SERVERS
    ]

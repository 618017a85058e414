"""Work on runners that no leader has reached since a loss of power waits for one leader only."""

import msgspec
import pytest

from spoolcrank.ids import Incarnation, InstanceId, JobId
from spoolcrank.leadership import Claim, Leadership
from spoolcrank.orders import Poll, Report
from spoolcrank.run_control import poll_answered
from spoolcrank.run_timeouts import tick
from spoolcrank.runner_state import CLOCK_DRIFT, LEASE_MS
from spoolcrank.unreached_runners import begin_term, resignation
from spoolcrank.workflow import Step, TaskKey
from tests.fleet_world import World
from tests.packed_runners import NOW, SHORT, leader, put, runner

TASKS = Step(count=4, millicores=1000, memory_mb=100, estimate_ms=3000)
POWERS = {"small": 0.5, "middle": 1.0, "large": 2.0}
DOWN_S = 2.0
MAX_DELAY_S = 1.0
"""Longest time, in seconds, from the end of all leases to the start of the tasks."""
LEASES_S = {10_000: 9.48, 6_000: 7.94}
"""Time after the last write of a leader for which its leases may run, in seconds, by the longest
lease of runners, in ms."""


def _lose_power(world: World) -> None:
    """Crash all runners and instances; they return under new ids, and no entry tells of the old."""
    for instance in list(world.instances.values()):
        instance.kill()
    for each in list(world.runners.values()):
        world.crash(each, DOWN_S)
    world.run(DOWN_S)


# Guards against work that waits for the leases of a lost runner once more after each handover.
@pytest.mark.parametrize("max_lease_ms", LEASES_S)
@pytest.mark.parametrize("seed", range(4))
def test_handovers_after_a_loss_of_power_do_not_delay_work(seed: int, max_lease_ms: int) -> None:
    world = World(seed, max_lease_ms)
    for number in range(4):
        world.add_runner(f"10.0.0.{number}:80")
    world.add_instance("small", POWERS["small"])
    world.run_until(lambda: world.leader() is not None)
    world.instances["small"].submit("ab", TASKS)
    world.run_until(lambda: len(world.starts) == TASKS.count)
    _lose_power(world)
    for name, processors in POWERS.items():
        world.add_instance(name, processors)
    world.run_until(lambda: world.leader() is not None)
    led_at = world.now
    key = TaskKey(JobId("ab"), 0, 0, 0)
    world.run_until(lambda: bool(world.running_on[key]))
    last = world.leader()
    assert last is not None and last.name == "large"
    assert world.now - led_at <= LEASES_S[max_lease_ms] + MAX_DELAY_S
    assert world.violations == []


# Guards against work that waits for longer leases than the runners of a deployment grant.
@pytest.mark.parametrize("max_lease_ms", LEASES_S)
def test_runs_of_an_unreached_runner_wait_for_the_leases_of_its_deployment(
    max_lease_ms: int,
) -> None:
    unreached = runner("i-1")
    key = put(unreached, SHORT)
    unreached.adopted = False
    state = leader(unreached)
    state.lease_ms = min(LEASE_MS, max_lease_ms)
    state.predecessor_wrote_at = NOW
    tick(state, NOW + LEASES_S[max_lease_ms] - 0.02)
    assert key in unreached.runs
    tick(state, NOW + LEASES_S[max_lease_ms] + 0.02)
    assert key not in unreached.runs


def _follower() -> Leadership:
    return Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), NOW)


def _resigned(term: int) -> Claim:
    return Claim(
        term, InstanceId("entry-1"), Incarnation("entry-1-1"), True, unreached_ms={"i-1": 3000}
    )


def test_only_the_next_leader_counts_from_before_a_resigned_one() -> None:
    """Guards against leases that a leader in between granted."""
    leadership = _follower()
    leadership.read_claim(_resigned(4), NOW)
    assert leadership.unreached_since(5) == {"i-1": NOW - 3.0}
    assert leadership.unreached_since(6) == {}
    between = Claim(5, InstanceId("entry-2"), Incarnation("entry-2-1"))
    leadership.read_claim(between, NOW + 1.0)
    leadership.read_claim(msgspec.structs.replace(between, resigned=True), NOW + 2.0)
    assert leadership.unreached_since(6) == {}


def test_a_resignation_names_the_runners_that_were_not_reached() -> None:
    """Guards against a successor that releases runs whose leases were extended."""
    reached, unreached, idle = runner("i-1"), runner("i-2"), runner("i-3")
    for each in (reached, unreached):
        put(each, SHORT)
    unreached.adopted = idle.adopted = False
    state = leader(reached, unreached, idle)
    state.predecessor_wrote_at = NOW - 5.0
    claim = resignation(_follower(), state, Incarnation("entry-1-1"), NOW)
    assert claim.unreached_ms == {"i-2": round(5000 * (1.0 - CLOCK_DRIFT))}


def test_no_runner_is_reached_any_more_once_the_resignation_names_it() -> None:
    unreached = runner("i-1")
    key = put(unreached, SHORT)
    unreached.adopted = False
    state = leader(unreached)
    resignation(_follower(), state, Incarnation("entry-1-1"), NOW)
    report = Report(unreached.id, 2000.0, (), ())
    poll_answered(state, Poll(state.target(unreached), 0, None, 0), report, NOW, NOW)
    assert not unreached.adopted
    assert key in unreached.runs


def test_a_handed_over_time_survives_a_further_handover() -> None:
    leadership = _follower()
    leadership.read_claim(_resigned(4), NOW)
    leadership.read_claim(Claim(5, leadership.instance, leadership.incarnation), NOW + 1.0)
    state = begin_term(leadership, NOW + 1.0, 7500, frozenset())
    unreached = runner("i-1")
    assert state.leases_run_from(unreached.id) == NOW - 3.0
    assert state.leases_run_from(runner("i-2").id) == leadership.predecessor_wrote_at

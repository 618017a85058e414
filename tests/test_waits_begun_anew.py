"""Waits for leases that still begin anew with the next leader."""

import math

import msgspec
import pytest

from spoolcrank import unreached_runners
from spoolcrank.leadership import Claim, Leadership
from tests.leader_plays import fleet, next_leader
from tests.test_leaders_end_unannounced import (
    LEASES_S,
    MAX_DELAY_S,
    TASKS,
    _time_of_lost_work,
)


def _time_of_work_on_a_silent_runner(led_on_s: float) -> float:
    """Return how long work waits whose runner is lost some time before its leader, in seconds."""
    world = fleet(0)
    world.lasting_jobs.add("ab")
    next(iter(world.instances.values())).submit("ab", TASKS)
    world.run_until(lambda: len(world.starts) == TASKS.count)
    world.run(1.0)
    lost = next(one for one in world.runners.values() if one.tasks)
    keys = set(lost.tasks)
    world.crash(lost, restart_delay_s=1000.0)
    lost_at = world.now
    world.run(led_on_s)
    next_leader(world).kill()
    next_leader(world)
    world.run_until(lambda: all(world.running_on[key] for key in keys))
    return world.now - lost_at


# Guards against a second wait for leases if the leader that saw a runner fall silent is killed.
@pytest.mark.parametrize("led_on_s", [0.5, 3.0, 6.0])
def test_a_leader_hands_on_since_when_a_runner_is_silent(led_on_s: float) -> None:
    assert _time_of_work_on_a_silent_runner(led_on_s) <= LEASES_S + MAX_DELAY_S + 1.0


# Guards against a test that passes without the claims that state such a runner.
@pytest.mark.parametrize("led_on_s", [3.0, 6.0])
def test_without_such_claims_work_waits_anew(
    led_on_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(unreached_runners, "SILENT_AFTER_S", math.inf)
    assert _time_of_work_on_a_silent_runner(led_on_s) > LEASES_S + MAX_DELAY_S + 1.0


# Guards against leaders that are killed before they state any runner.
@pytest.mark.parametrize("term_s", [0.6, 1.2])
def test_leaders_of_short_terms_do_not_delay_work(term_s: float) -> None:
    assert _time_of_lost_work(0, term_s) <= LEASES_S + MAX_DELAY_S


_read_claim = Leadership.read_claim


def _read_as_granting(self: Leadership, claim: Claim, now: float) -> bool:
    return _read_claim(self, msgspec.structs.replace(claim, granted_nothing=False), now)


# Guards against a test that passes though each leader counts as one that granted leases.
@pytest.mark.parametrize("term_s", [0.6, 1.2])
def test_without_leaders_that_grant_nothing_short_terms_delay_work(
    term_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Leadership, "read_claim", _read_as_granting)
    monkeypatch.setattr(unreached_runners, "_silent_at_first", lambda state, now: iter(()))
    assert _time_of_lost_work(0, term_s) > LEASES_S + MAX_DELAY_S

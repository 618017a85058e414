"""A new leader whose list of runners is loaded in several slow pages."""

from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank.workflow import Step
from tests.fleet_runners import Runner
from tests.fleet_store import StorePort
from tests.fleet_world import World, small_world

RUNNERS = 28
"""Number of runners whose entries fill four pages."""

ANSWER_S = 0.7
"""Time until the store answers about the list of runners, in seconds; a call may take 0.8 s."""

MAX_START_DELAY_S = 2.0
"""Time after its entry within which a leaving runner may still get a start, in seconds."""

MANY = Step(count=100, millicores=1000, memory_mb=100, estimate_ms=600)


def _slow_down_lists(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    answer_after = StorePort._answer_after

    def late(port: StorePort, delay_s: float, done: Callable[[Any], None], answer: Any) -> None:
        is_list = port.topic is world.store.entries
        answer_after(port, max(delay_s, ANSWER_S) if is_list else delay_s, done, answer)

    monkeypatch.setattr(StorePort, "_answer_after", late)


def _watch_starts(monkeypatch: pytest.MonkeyPatch, world: World, leaving: str) -> list[float]:
    """Return a list to which the time of each start on a runner is added."""
    started_at: list[float] = []
    start = Runner.start

    def start_and_record(runner: Runner, *args: Any, **fields: Any) -> Any:
        if runner.id == leaving:
            started_at.append(world.now)
        return start(runner, *args, **fields)

    monkeypatch.setattr(Runner, "start", start_and_record)
    return started_at


def test_nothing_starts_on_a_runner_that_leaves_since_the_first_page(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a list that counts as new though its first page is seconds old."""
    world = small_world(instances=2, runners=RUNNERS)
    leader = world.leader()
    assert leader is not None
    (successor,) = (other for other in world.instances.values() if other is not leader)
    leader.kill()
    _slow_down_lists(world, monkeypatch)
    world.run_until(lambda: successor.dispatcher.scheduler is not None)
    world.run(ANSWER_S + 0.05)
    leaving, left_at = min(world.runners), world.now
    started_at = _watch_starts(monkeypatch, world, leaving)
    world.store.entries.put(leaving, b"draining")
    successor.submit("00aa", MANY)
    world.run(10.0)
    assert any(world.starts.values())
    late = [round(at - left_at, 2) for at in started_at if at - left_at > MAX_START_DELAY_S]
    assert late == []

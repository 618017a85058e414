"""A new leader whose processor is too slow for all polls that a large fleet and a backlog ask for.

Load pattern: thousands of runners, some with work, a takeover, and jobs that wait. Each order costs
the simulated leader processor time, and what arrives meanwhile is handled afterwards.
"""

import functools
from collections import deque
from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank.workflow import Step
from tests.fleet_runners import RunnerPort
from tests.fleet_world import Instance, World
from tests.leader_plays import current_leader, wait_for_starts

RUNNERS = 1200
PROCESSORS = 0.2
ORDER_COST_S = 0.0036
"""Time that the leader is busy with one order, its connection and its answer, in seconds."""

SLOWER_ORDER_COST_S = 0.006
"""The same where several instances that are too slow may follow one another, in seconds."""

OBSERVED_S = 6.0
"""Time after the first start for which takeovers are counted, in seconds."""

HEARTBEAT_S = 1.5
"""Interval at which a runner writes its entry, in seconds."""

MAX_WAIT_S = 3.0
"""Time with nothing running after which an accepted job counts as lost, in seconds."""

JOBS = 10
"""Number of jobs, one each second after the takeover."""

LASTING = Step(count=100, millicores=8000, memory_mb=100, lasting=True)
WAITING = Step(count=RUNNERS + 1, millicores=8000, memory_mb=100, gang=True)
SHORT = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=600)


class BusyInstance(Instance):
    """An instance that handles nothing while it is busy with its orders."""

    def __init__(self, world: World, name: str, processors: float) -> None:
        self.busy_until = 0.0
        self._queue: deque[Callable[[], None]] = deque()
        super().__init__(world, name, processors)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        def arrive() -> None:
            self._queue.append(action)
            if len(self._queue) == 1:
                self._drain()

        self.world.at(delay_s, arrive)

    def _drain(self) -> None:
        while self._queue and self.alive:
            if self.world.now < self.busy_until:
                self.world.at(self.busy_until - self.world.now, self._drain)
                return
            self._queue[0]()
            self._queue.popleft()


def _add_instance(world: World, name: str) -> None:
    instance = BusyInstance(world, name, PROCESSORS)
    world.instances[name] = instance
    instance.begin()


def _cost_orders(monkeypatch: pytest.MonkeyPatch, order_cost_s: float) -> None:
    send = RunnerPort._send

    def busy_send(port: Any, *args: Any) -> None:
        instance = port._instance
        instance.busy_until = max(instance.busy_until, instance.world.now) + order_cost_s
        send(port, *args)

    monkeypatch.setattr(RunnerPort, "_send", busy_send)


def _fleet() -> World:
    world = World()
    world.store.max_read_records = 500
    for number in range(RUNNERS):
        world.add_runner(f"10.0.{number >> 8}.{number & 255}:80")
    for number, each in enumerate(list(world.runners.values())):

        def write(runner_id: str = each.id) -> None:
            world.store.entries.put(runner_id, b"ready")
            world.at(HEARTBEAT_S, functools.partial(write, runner_id))

        world.at(number * HEARTBEAT_S / RUNNERS, write)
    _add_instance(world, "entry-0")
    world.run_until(lambda: world.leader() is not None)
    world.run(5.0)
    return world


def _fleet_taken_over(instances: int) -> World:
    """Return a fleet with work, and work that waits for good, whose leader was just followed."""
    world = _fleet()
    leading = current_leader(world)
    world.lasting_jobs.add("a000")
    leading.submit("a000", LASTING)
    world.run_until(lambda: sum(key.job == "a000" for key in world.starts) == LASTING.count)
    for number in range(1, instances):
        _add_instance(world, f"entry-{number}")
    world.run(3.0)
    leading.submit("b000", WAITING)
    world.run(1.0)
    leading.kill()
    world.run_until(lambda: world.leader() is not None)
    return world


def test_waiting_work_does_not_keep_a_slow_leader_from_placing_any(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against polls for waiting work that keep the leader from reading what it needs."""
    _cost_orders(monkeypatch, ORDER_COST_S)
    world = _fleet_taken_over(instances=2)
    leading = current_leader(world)
    for number in range(JOBS):
        leading.submit(f"c{number:03x}", SHORT)
        submitted_at = world.now
        world.run(1.0)
        wait_for_starts(world, f"c{number:03x}", submitted_at + MAX_WAIT_S - world.now)


def test_slow_leaders_do_not_follow_one_another_without_placing_any(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against takeovers for old copies that each make the next one due."""
    _cost_orders(monkeypatch, SLOWER_ORDER_COST_S)
    world = _fleet_taken_over(instances=4)
    leading = current_leader(world)
    term = leading.leadership.claim.term
    leading.submit("c000", SHORT)
    wait_for_starts(world, "c000", MAX_WAIT_S)
    world.run(OBSERVED_S)
    leading = current_leader(world)
    assert leading.leadership.claim.term <= term + 1

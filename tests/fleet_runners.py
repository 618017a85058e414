"""Simulated runners that follow the platform's rules, and an instance's connections to them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from spoolcrank.orders import (
    Answered,
    EndedRow,
    EndKind,
    OrderResult,
    Pace,
    Poll,
    Report,
    RunningRow,
    Start,
    Stop,
)
from spoolcrank.runner_ids import RunnerName, name_of, runner_id
from spoolcrank.runner_port import PollResult
from spoolcrank.workflow import RunnerId, TaskKey

if TYPE_CHECKING:
    from tests.fleet_world import Instance, World

MAX_LEASE_MS = 10_000
STOP_DURATION_S = 0.3
CLOCK_RATE = 0.985
ORDER_TIMEOUT_S = 0.6
FORGET_AFTER_S = 0.2
"""Work time, in seconds, after which a forgetting runner drops a run without reporting an end."""
ORDER_OVERHEAD_BYTES = 400
"""Size of an order without its payload but with its headers, in bytes."""

MAX_IN_FLIGHT_S = 1.0
"""Longest time, in seconds, by which a start may follow the acknowledgement of the task's end.

Such a start was already in flight when the end was acknowledged.
"""


@dataclass
class Task:
    run: int
    fence: int
    until_ms: float
    work_s: float
    worked_s: float = 0.0
    stop_at: float | None = None


class Runner:
    """One incarnation of a runner, which follows the platform's rules."""

    def __init__(self, world: World, name: str, runner_name: str, millicores: int = 8000) -> None:
        self.world = world
        self.name = name
        self.id = runner_name
        self.millicores = millicores
        self.zone = "a"
        self.alive = True
        self.begun = world.now
        self.born = round(world.now * 1000.0)
        self.fence = 0
        self.tasks: dict[TaskKey, Task] = {}
        self.ended: list[EndedRow] = []
        self.highest_run: dict[TaskKey, int] = {}
        self.ends = 0
        self.fails = False
        self.hangs = False
        self.forgets = False
        self.work_s = 0.6
        self.clock_rate = CLOCK_RATE
        self.ended_at: dict[int, float] = {}
        self.lease_ms = 0.0
        self.lease_lapsed_at = -1.0

    @property
    def incarnation_id(self) -> RunnerId:
        return runner_id(RunnerName(self.id), self.born)

    @property
    def clock_ms(self) -> float:
        return 5000.0 + (self.world.now - self.begun) * 1000.0 * self.clock_rate

    def advance(self) -> None:
        if not self.alive:
            return
        if self.clock_ms > self.lease_ms:
            self.lease_lapsed_at = self.world.now
        for key, task in list(self.tasks.items()):
            if self.forgets and task.worked_s > FORGET_AFTER_S:
                self.tasks.pop(key)
                self.world.running_on[key].discard(self.id)
            elif self.clock_ms > task.until_ms:
                self.end(key, EndKind.LAPSED)
            elif task.stop_at is not None and self.world.now >= task.stop_at:
                self.end(key, EndKind.STOPPED)
            elif task.worked_s >= self.world.failing.get(key.job, math.inf):
                self.end(key, EndKind.FAILED)
            elif key.job in self.world.failing:
                task.worked_s += 0.02
            elif not self.hangs and key.job not in self.world.endless_jobs():
                task.worked_s += 0.02
                if task.worked_s >= task.work_s:
                    self.end(key, EndKind.FAILED if self.fails else EndKind.DONE)

    def end(self, key: TaskKey, how: EndKind) -> None:
        task = self.tasks.pop(key)
        self.world.running_on[key].discard(self.id)
        self.ends += 1
        self.highest_run[key] = max(task.run, self.highest_run.get(key, 0))
        self.ended.append(EndedRow(self.ends, key, task.run, how, ""))
        self.ended_at[self.ends] = self.world.now
        self.world.failed_runs[key] += how is EndKind.FAILED

    def crash(self) -> None:
        self.alive = False
        for key in self.tasks:
            self.world.running_on[key].discard(self.id)
        self.tasks.clear()

    def start(self, order: Start) -> OrderResult:
        key, fence = order.task, order.target.fence
        if fence < self.fence:
            return OrderResult.OUTRANKED
        self.fence = fence
        self._extend(order.until_ms)
        if self.clock_ms > order.until_ms:
            return OrderResult.LATE
        current_task = self.tasks.get(key)
        if key.job in self.world.refused:
            return self.world.refused[key.job]
        if current_task is not None and current_task.run == order.run:
            return OrderResult.DONE
        if current_task is not None or order.run <= self.highest_run.get(key, 0):
            return OrderResult.SUPERSEDED
        if not self.has_room(key):
            return OrderResult.NO_ROOM
        self._begin(key, order)
        return OrderResult.DONE

    def has_room(self, key: TaskKey) -> bool:
        """Return whether one more task fits; a task counts as one core."""
        return (len(self.tasks) + 1) * 1000 <= self.millicores

    def _begin(self, key: TaskKey, order: Start) -> None:
        world = self.world
        if world.running_on[key]:
            world.violations.append(
                f"TWICE {key} run {order.run} on {self.id} and {world.running_on[key]}"
            )
        if key in world.done:
            world.violations.append(f"TWICE {key} run {order.run} after its end was acknowledged")
        recorded_at = world.acknowledged_at.get(key, math.inf)
        if world.now - recorded_at > MAX_IN_FLIGHT_S and not world.carried_out_late:
            world.violations.append(
                f"AGAIN {key} run {order.run}, end acknowledged at {recorded_at}"
            )
        world.running_on[key].add(self.id)
        world.starts[key].append(world.now)
        if not world.carried_out_late:
            world.timely_starts[key].append(world.now)
        world.check_attempts(key)
        until = min(order.until_ms, self.clock_ms + self.world.max_lease_ms)
        self.tasks[key] = Task(order.run, order.target.fence, until, self.work_s)
        crash_within_s = world.crashing.get(key, world.crashing.get(key.job, 0.0))
        if crash_within_s:
            delay_s = world.random.uniform(0.1, 1.0) * crash_within_s
            world.at(delay_s, lambda: self._crash_if_running(key, order.run))

    def _crash_if_running(self, key: TaskKey, run: int) -> None:
        """Crash because of a task, if that run of it is still running here."""
        current_task = self.tasks.get(key)
        if current_task is not None and current_task.run == run:
            self.world.crash(self)

    def stop(self, order: Stop) -> OrderResult:
        if order.target.fence < self.fence:
            return OrderResult.OUTRANKED
        self.fence = order.target.fence
        self.highest_run[order.task] = max(order.run, self.highest_run.get(order.task, 0))
        current_task = self.tasks.get(order.task)
        if (
            current_task is not None
            and current_task.run == order.run
            and current_task.stop_at is None
        ):
            current_task.stop_at = self.world.now + STOP_DURATION_S
        return OrderResult.DONE

    def poll(self, order: Poll) -> PollResult:
        if order.target.fence < self.fence:
            return PollResult(OrderResult.OUTRANKED)
        self.fence = order.target.fence
        if order.until_ms is not None:
            self._extend(order.until_ms)
        for row in self.ended:
            if row.number <= order.seen and row.how is EndKind.DONE:
                self._record_done(row)
            if row.number <= order.seen and row.how is EndKind.FAILED:
                self.world.failed[row.task].append(self.ended_at[row.number])
                if self.lease_lapsed_at <= self.ended_at[row.number]:
                    self.world.noted_failures[row.task].append(self.ended_at[row.number])
                self.world.check_attempts(row.task)
        self.ended = [row for row in self.ended if row.number > order.seen]
        running = tuple(
            RunningRow(key, task.run, "", int(100 * task.worked_s / task.work_s), 900.0)
            for key, task in self.tasks.items()
        )
        ended = tuple(self.ended[: self.world.max_ends_per_answer])
        is_complete = len(ended) < self.world.max_ends_per_answer
        return PollResult(
            OrderResult.DONE,
            Report(self.incarnation_id, self.clock_ms, running, ended, is_complete),
        )

    def _record_done(self, row: EndedRow) -> None:
        """Record an acknowledged end; it makes later starts wrong only if the lease has not lapsed.

        The work itself is done either way.
        """
        self.world.acknowledged_at.setdefault(row.task, self.world.now)
        ended_at = self.ended_at[row.number]
        if self.lease_lapsed_at > ended_at:
            return
        self.world.done.add(row.task)
        if any(started_at > ended_at for started_at in self.world.starts[row.task]):
            self.world.violations.append(f"TWICE {row.task} was started again after it was done")

    def _extend(self, until_ms: float) -> None:
        until_ms = min(until_ms, self.clock_ms + self.world.max_lease_ms)
        self.lease_ms = max(self.lease_ms, until_ms)
        for task in self.tasks.values():
            task.until_ms = max(task.until_ms, until_ms)


class RunnerPort:
    """The connections of one instance to the runners."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._link_free_at = 0.0
        self._connected_to: dict[str, Runner] = {}

    def _link_delay_s(self, order: Any) -> float:
        """Return how long an order waits for the instance's link and occupies it, in seconds."""
        world = self._instance.world
        size = ORDER_OVERHEAD_BYTES
        if isinstance(order, Start):
            size += len(order.payload) + len(order.saved)
        self._link_free_at = max(world.now, self._link_free_at) + size / world.link_bytes_per_s
        return self._link_free_at - world.now

    def start(self, order: Start, done: Callable[[Answered], None]) -> None:
        self._send(order, lambda runner: Answered(runner.start(order), runner.clock_ms), done)

    def stop(self, order: Stop, done: Callable[[Answered], None]) -> None:
        self._send(order, lambda runner: Answered(runner.stop(order), runner.clock_ms), done)

    def pace(self, order: Pace, done: Callable[[Answered], None]) -> None:
        self._send(order, lambda runner: Answered(OrderResult.DONE, runner.clock_ms), done)

    def poll(self, order: Poll, done: Callable[[PollResult], None]) -> None:
        """Poll a runner; send acknowledged ends and a lease only to the intended incarnation.

        This follows real connections, which end with the incarnation they lead to: until an answer
        has come over a connection, the runner at its other end may be a later incarnation, and the
        poll carries no number of an end and no lease.
        """
        polled_runners: list[Runner] = []

        def act(runner: Runner) -> PollResult:
            polled_runners[:] = [runner]
            is_connected = (
                self._connected_to.get(runner.id) is runner
                and runner.incarnation_id == order.target.runner
            )
            if is_connected or self._instance.world.trusts_connections:
                return runner.poll(order)
            return runner.poll(order._replace(seen=0, until_ms=None))

        def handle_answer(answer: Any) -> None:
            answered = isinstance(answer, PollResult) and answer.report is not None
            if answered and polled_runners:
                self._connected_to[polled_runners[0].id] = polled_runners[0]
            done(answer if isinstance(answer, PollResult) else PollResult(answer.result))

        self._send(order, act, handle_answer, order.wait_ms / 1000)

    def _send(
        self,
        order: Any,
        act: Callable[[Runner], Any],
        done: Callable[[Any], None],
        wait_s: float = 0.0,
    ) -> None:
        instance, world = self._instance, self._instance.world
        world.asked[name_of(order.target.runner)] += 1
        runner = world.runner_at(order.target.address)
        is_unreachable = (instance.name, order.target.address) in world.unreachable
        if runner is None or is_unreachable:
            instance.later(0.6, lambda: done(Answered(OrderResult.UNKNOWN)))
            return
        if runner.id != name_of(order.target.runner):
            instance.later(0.002, lambda: done(Answered(OrderResult.OTHER_INCARNATION)))
            return
        is_stuck = not isinstance(order, Poll) and order.target.address in world.polls_only
        if is_stuck or world.random.random() < world.late_order_share:
            world.at(world.random.uniform(2, 12), lambda: world.carry_out_late(runner, act))
            instance.later(0.6, lambda: done(Answered(OrderResult.UNKNOWN)))
            return
        lost_answer_share = world.lossy_links.get(runner.name, world.lost_answer_share)
        if world.random.random() < lost_answer_share:
            world.at(0.001, lambda: runner.alive and act(runner))
            instance.later(0.6, lambda: done(Answered(OrderResult.UNKNOWN)))
            return
        if not isinstance(order, Start):
            # A refused start is never carried out later, so starts are not repeated.
            world.repeat_order(runner, act)
        link_delay_s = self._link_delay_s(order)
        if link_delay_s > ORDER_TIMEOUT_S + wait_s:
            world.at(link_delay_s, lambda: runner.alive and act(runner))
            instance.later(ORDER_TIMEOUT_S + wait_s, lambda: done(Answered(OrderResult.UNKNOWN)))
            return
        self._answer(runner, act, done, world.now + wait_s, link_delay_s)

    def _answer(
        self,
        runner: Runner,
        act: Callable[[Runner], Any],
        done: Callable[[Any], None],
        answer_by: float,
        link_delay_s: float,
    ) -> None:
        instance, world = self._instance, self._instance.world
        ends_before = runner.ends

        def arrive() -> None:
            if not runner.alive:
                instance.later(0.6, lambda: done(Answered(OrderResult.UNKNOWN)))
            elif world.now < answer_by and runner.ends == ends_before:
                world.at(0.01, arrive)
            else:
                answer = act(runner)
                instance.later(0.001 + self._transit_s(), lambda: done(answer))

        world.at(link_delay_s + 0.001 + self._transit_s(), arrive)

    def _transit_s(self) -> float:
        """Return a random transit time, so that calls and answers can overtake one another."""
        world = self._instance.world
        return world.random.uniform(0.0, world.max_transit_s) if world.max_transit_s else 0.0

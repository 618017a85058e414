"""A simulated fleet: store, runners and instances on a virtual clock, with injected faults.

The instances run the product's own follower, intake and dispatcher. Only the timers, the store and
the runners are replaced by simulations that follow the rules of the platform.
"""

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

from spoolcrank.dispatcher import Dispatcher
from spoolcrank.ids import Address, AvailabilityZone, Incarnation, InstanceId, JobId, ServiceName
from spoolcrank.job_index import JobIndex
from spoolcrank.job_intake import IntakeOutcome, JobIntake
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.leadership import Leadership
from spoolcrank.log_follower import LogFollower
from spoolcrank.orders import EndKind, OrderResult
from spoolcrank.platform.documents import decode_runner_entry
from spoolcrank.runner_directory import RunnerDirectory
from spoolcrank.runner_state import LEASE_MS, RunnerEntry
from spoolcrank.takeover import log_unreadable_entry
from spoolcrank.workflow import Demand, JobRecord, RouteName, Step, TaskKey, Workflow
from tests.fleet_runners import MAX_LEASE_MS, Runner, RunnerPort
from tests.fleet_store import Store, StorePort
from tests.log_recorder import LogRecorder

SERVICE = ServiceName("pricing")
ROUTE = RouteName("quotes")
WAKE_JITTER_S = 0.002

MAX_REPEAT_DELAY_S = 3.0
"""Longest delay, in seconds, before a duplicated call is carried out a second time."""

ENTRY_LIFETIME_S = 1.2
"""Time from a runner's crash until its entry is removed from the store, in seconds."""

RESTART_DELAY_S = (1.5, 5.0)
"""Shortest and longest time until a crashed runner has restarted, in seconds."""

MAX_ENTRY_LAG_S = 1.5
"""Longest time, in seconds, until a restarted runner writes its entry: one heartbeat."""

EARLY_RESTART_DELAY_S = (0.1, 1.0)
"""Shortest and longest time, in seconds, of a restart that may precede the entry's removal."""


class World:
    """The virtual clock, the simulated fleet, its faults, and the violations found so far."""

    def __init__(self, seed: int = 1, max_lease_ms: int = MAX_LEASE_MS) -> None:
        self.now = 100.0
        self.max_lease_ms = max_lease_ms  # Runners shorten longer leases to it.
        self.random = random.Random(seed)
        self.violations: list[str] = []
        self.store = Store(self)
        self.runners: dict[str, Runner] = {}
        self.instances: dict[str, Instance] = {}
        self.done: set[TaskKey] = set()
        self.acknowledged_at: dict[TaskKey, float] = {}
        self.starts: dict[TaskKey, list[float]] = defaultdict(list)
        self.timely_starts: dict[TaskKey, list[float]] = defaultdict(list)
        self.running_on: dict[TaskKey, set[str]] = defaultdict(set)
        self.unreachable: set[tuple[str, str]] = set()
        self.polls_only: set[str] = set()
        self.late_order_share = 0.0
        self.repeated_call_share = 0.0
        self.lost_answer_share = 0.0
        self.lossy_links: dict[str, float] = {}
        self.max_transit_s = 0.0
        self.link_bytes_per_s = math.inf
        self.max_ends_per_answer = 500
        self.lasting_jobs: set[str] = set()
        self.crashing: dict[str | TaskKey, float] = {}
        self.gang_jobs: set[str] = set()
        self.restart_delay_s = RESTART_DELAY_S
        self.restarts_at_new_address = False
        self.keeps_id_share = 0.0
        self.early_restart_share = 0.5
        self.trusts_connections = False
        self.late_orders_outlive_restart = True
        self.carried_out_late = False
        self.refused: dict[str, OrderResult] = {}
        self.failing: dict[str, float] = {}
        self.attempts: dict[str, int] = {}
        self.failed: dict[TaskKey, list[float]] = defaultdict(list)
        self.failed_runs: Counter[TaskKey] = Counter()
        self.noted_failures: dict[TaskKey, list[float]] = defaultdict(list)
        self.hanging: set[str] = set()
        self.crashes: dict[TaskKey, list[float]] = defaultdict(list)
        self.asked: Counter[str] = Counter()
        self.decoded: list[str] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._id_numbers = itertools.count(1)
        self._tick()

    def crash(self, runner: "Runner", restart_delay_s: float | None = None) -> None:
        """Crash a runner and schedule its restart.

        The restarted runner has a new id, or with probability `keeps_id_share` its old one. Its
        entry is removed after `ENTRY_LIFETIME_S`, unless a runner with the same id has restarted
        before that; a share `early_restart_share` of the runners that keep their id restarts early.
        """
        if not runner.alive:
            return
        keeps_id = self.random.random() < self.keeps_id_share
        if restart_delay_s is None:
            is_early = keeps_id and self.random.random() < self.early_restart_share
            restart_delay_s = self.random.uniform(
                *(EARLY_RESTART_DELAY_S if is_early else self.restart_delay_s)
            )
        broken_gangs = {key[:3] for key in runner.tasks if key.job in self.gang_jobs}
        for key in runner.tasks:
            self.crashes[key].append(self.now)
        runner.crash()
        self.at(0.05, lambda: self._end_broken_gangs(broken_gangs))

        def remove_entry() -> None:
            if self.runners[runner.id] is runner:
                self.store.entries.put(runner.id, b"")

        def restart() -> None:
            # The restarted runner keeps the properties that a test gave to the crashed one.
            name = f"{runner.name}'" if self.restarts_at_new_address else runner.name
            runner_name = runner.id if keeps_id else None
            lag_s = self.random.uniform(0.0, MAX_ENTRY_LAG_S) if keeps_id else 0.0
            restarted = self.add_runner(name, runner_name, lag_s, millicores=runner.millicores)
            restarted.work_s = runner.work_s
            restarted.fails, restarted.hangs = runner.fails, runner.hangs

        self.at(ENTRY_LIFETIME_S, remove_entry)
        self.at(restart_delay_s, restart)

    def check_attempts(self, key: TaskKey) -> None:
        """Report a start after the task's last permitted attempt was acknowledged as failed."""
        allowed = self.attempts.get(key.job, 0)
        failed = sorted(self.failed[key])
        if allowed and len(failed) >= allowed and self.starts[key][-1] > failed[allowed - 1]:
            self.violations.append(f"BUDGET {key} was started again after {allowed} failed runs")

    def endless_jobs(self) -> set[str]:
        """Return the jobs whose tasks never end without an order: lasting and hanging ones."""
        return self.lasting_jobs | self.hanging

    def _end_broken_gangs(self, broken_gangs: set[tuple[Any, ...]]) -> None:
        """End the remaining members of gangs that lost a member in a runner's crash."""
        for runner in self.runners.values():
            for key in [member for member in runner.tasks if member[:3] in broken_gangs]:
                runner.end(key, EndKind.BROKEN)

    def starts_after_crashes(self, key: TaskKey, crashes: int) -> int:
        """Return how often a task was started after it had crashed the given number of runners.

        Starts that a runner carried out late do not count: no leader decided on them then.
        """
        if len(self.crashes[key]) < crashes:
            return 0
        known_at = self.crashes[key][crashes - 1]
        return sum(1 for at in self.timely_starts[key] if at > known_at)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + delay_s, next(self._count), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, action = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> float:
        begun = self.now
        while not condition():
            if self.now - begun > limit_s:
                raise AssertionError(
                    f"condition not met within {limit_s} s; violations: {self.violations}"
                )
            self.run(0.05)
        return self.now - begun

    def carry_out_late(self, runner: "Runner", act: Callable[["Runner"], object]) -> None:
        """Carry out an order long after it was sent, on the runner that has the id at that time.

        Unless `late_orders_outlive_restart` is set, the order is lost if the incarnation that it
        was sent to is gone.
        """
        self.carried_out_late = True
        self._apply_to_current_runner(runner, act)
        self.carried_out_late = False

    def _apply_to_current_runner(self, runner: "Runner", act: Callable[["Runner"], object]) -> None:
        current_runner = self.runners[runner.id]
        if current_runner.alive and (current_runner is runner or self.late_orders_outlive_restart):
            act(current_runner)

    def repeat_call(self, act: Callable[[], object]) -> None:
        """Carry out a call a second time later, as can happen when a connection stalls."""
        if self.repeated_call_share and self.random.random() < self.repeated_call_share:
            self.at(self.random.uniform(0.001, MAX_REPEAT_DELAY_S), act)

    def repeat_order(self, runner: "Runner", act: Callable[["Runner"], object]) -> None:
        """Carry out an order a second time, on the runner that has the id at that time."""
        self.repeat_call(lambda: self._apply_to_current_runner(runner, act))

    def _tick(self) -> None:
        for runner in list(self.runners.values()):
            runner.advance()
        self.at(0.02, self._tick)

    def add_runner(
        self, name: str, runner_name: str | None = None, entry_lag_s: float = 0.0, **fields: Any
    ) -> "Runner":
        runner = Runner(self, name, runner_name or f"i-{next(self._id_numbers)}", **fields)
        self.runners[runner.id] = runner
        if entry_lag_s:
            self.at(entry_lag_s, lambda: self._write_entry(runner))
        else:
            self._write_entry(runner)
        return runner

    def _write_entry(self, runner: "Runner") -> None:
        if runner.alive:
            self.store.entries.put(runner.id, b"ready")

    def add_instance(self, name: str, processors: float = 1.0) -> "Instance":
        instance = Instance(self, name, processors)
        self.instances[name] = instance
        instance.begin()
        return instance

    def leader(self) -> "Instance | None":
        leaders = [
            each for each in self.instances.values() if each.dispatcher.scheduler is not None
        ]
        return leaders[-1] if leaders else None

    def read_entry(self, key: str, value: bytes) -> RunnerEntry:
        """Decode an entry: of a runner of this world, or of another writer under any key."""
        self.decoded.append(key)
        runner = self.runners.get(key)
        if runner is None or value not in (b"ready", b"draining"):
            return decode_runner_entry(key, value)
        return RunnerEntry(
            runner.incarnation_id,
            Address(runner.name),
            AvailabilityZone(runner.zone),
            SERVICE,
            Demand(runner.millicores, 64_000, 0),
            frozenset({"rack-1"}),
            leaving=value == b"draining",
        )

    def runner_at(self, address: str) -> "Runner | None":
        return next(
            (runner for runner in self.runners.values() if runner.name == address and runner.alive),
            None,
        )


class Timers:
    """Timers of one instance: a frozen instance fires them when it resumes, a killed one never."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._instance.later(delay_s, action)

    def every(self, period_s: float, action: Callable[[], None]) -> None:
        def run_and_rearm() -> None:
            self.after(period_s, run_and_rearm)
            action()

        self.after(period_s, run_and_rearm)


class Instance:
    """One instance of the product, running its real follower, intake and dispatcher."""

    def __init__(self, world: World, name: str, processors: float = 1.0) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.frozen_until = 0.0
        self.logged = LogRecorder()
        self.index = JobIndex()
        timers: Any = Timers(self)
        log = world.store.port(self, world.store.jobs)
        entries = world.store.port(self, world.store.entries)

        def clock() -> float:
            return world.now

        def on_error(trace: str) -> None:
            self.logged.log("internal-error", trace=trace)

        def make_follower(
            port: StorePort, on_records: Callable[[list[KeyedRecord]], None]
        ) -> LogFollower:
            return LogFollower(port, timers, clock, on_records, lambda *_: None, on_error)

        self.follower = make_follower(log, self._handle_records)
        self.entries = make_follower(entries, self._handle_entries)
        self.intake = JobIntake(log, self.follower, self.index, timers, clock)
        incarnation = Incarnation(f"{name}-{world.now}")
        self.leadership = Leadership(InstanceId(name), incarnation, world.now, processors)
        logged: Any = self.logged
        self.dispatcher = Dispatcher(
            self.leadership,
            log,
            self.follower,
            self.entries,
            RunnerDirectory(world.read_entry, partial(log_unreadable_entry, logged)),
            RunnerPort(self),
            timers,
            logged,
            clock,
            clock,
            min(LEASE_MS, world.max_lease_ms),
        )

    def begin(self) -> None:
        self.follower.begin()

    def _handle_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self.index.apply_record(record)
        self.dispatcher.on_log_records(records)

    def _handle_entries(self, records: list[KeyedRecord]) -> None:
        if records:
            self.dispatcher.on_runner_entries(self.entries.copy, records)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        def act() -> None:
            if not self.alive:
                return
            if self.world.now < self.frozen_until:
                # Messages that arrived over several connections meanwhile are read in any order.
                late_s = self.world.random.uniform(0.0, WAKE_JITTER_S)
                self.world.at(self.frozen_until - self.world.now + late_s, act)
                return
            action()

        self.world.at(delay_s, act)

    def kill(self) -> None:
        self.alive = False
        del self.world.instances[self.name]

    def freeze(self, seconds: float) -> None:
        self.frozen_until = self.world.now + seconds

    def submit(
        self,
        job: str,
        *steps: Step,
        max_attempts: int = 3,
        outcomes: list[IntakeOutcome] | None = None,
        payload: str = "payload",
        priority: int = 0,
    ) -> list[IntakeOutcome]:
        record = JobRecord(
            ROUTE, SERVICE, priority, max_attempts, 250, 1.5, Workflow(payload, steps)
        )
        outcomes = [] if outcomes is None else outcomes
        self.intake.submit(JobId(job), record, outcomes.append)
        return outcomes


def small_world(
    instances: int = 3, runners: int = 4, seed: int = 1, max_lease_ms: int = MAX_LEASE_MS
) -> World:
    """Return a small simulated fleet that has elected a leader."""
    world = World(seed, max_lease_ms)
    for number in range(runners):
        world.add_runner(f"10.0.0.{number}:80")
    for number in range(instances):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    world.run(0.2)
    return world

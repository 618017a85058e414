"""Test faults of succession and of partial placing passes that were found in code review."""

from collections.abc import Callable
from typing import Any

from spoolcrank.ids import JobId, ServiceName
from spoolcrank.orders import EndKind
from spoolcrank.placing import place
from spoolcrank.run_ends import end_run
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.store_port import Append, Appended, AppendOutcome
from spoolcrank.workflow import JobRecord, Phase, RouteName, Step, Workflow
from tests.fleet_store import CALL_TIMEOUT_S
from tests.fleet_world import Instance, StorePort, small_world
from tests.test_placing_pass import NOW, SERVICE, _add, _bound, _state

PART_DURATION_S = 0.124
"""Time that one part takes on a whole core, including the pause after it, in seconds."""

MAX_PLACING_DELAY_S = 1.0
"""Time within which a lasting task or urgent job is placed if capacity is free, in seconds."""

MAX_WAIT_AFTER_CRASH_S = 2.6
"""Limit after a crash, in seconds: the leader timeout, the jitter and a few attempts."""

AppendHandler = Callable[[StorePort, Append, Callable[[Appended], None]], None]


def _divert(
    instance: Instance, matches: Callable[[Append], bool], handle: AppendHandler, times: int = 1
) -> None:
    """Handle the next `times` matching appends of an instance by `handle` instead."""
    dispatcher: Any = instance.dispatcher
    port = dispatcher._log
    forward = port.append
    remaining = times

    def append(intercepted: Append, done: Callable[[Appended], None]) -> None:
        nonlocal remaining
        if remaining > 0 and matches(intercepted):
            remaining -= 1
            handle(port, intercepted, done)
        else:
            forward(intercepted, done)

    port.append = append


def _is_claim(append: Append) -> bool:
    return append.fence is not None and append.fence.sequence == 1


def _is_progress(append: Append) -> bool:
    return any(record.key.startswith("p/") for record in append.records)


def test_a_leader_that_leads_again_counts_the_leases_of_its_own_last_term() -> None:
    """A write confirmed late ends the term; leases count from that term, not from before it."""
    world = small_world(instances=3)
    world.run(20.0)
    world.lasting_jobs.add("ab")
    leader = world.leader()
    assert leader is not None
    leader.submit("ab", Step(count=8, millicores=500, memory_mb=1, lasting=True))
    world.run(3.0)

    def late(port: StorePort, append: Append, done: Callable[[Appended], None]) -> None:
        world.at(0.002, lambda: port.topic.append(append))
        instance.later(0.95, lambda: done(Appended(AppendOutcome.STORED)))

    instance = leader
    _divert(leader, _is_progress, late)
    cut = next(iter(world.runners.values()))
    world.unreachable |= {(name, cut.name) for name in world.instances}
    leader.submit("cd", Step(count=1, millicores=100, memory_mb=1))
    world.run(6.0)
    assert world.violations == []


def test_a_claim_that_the_store_refused_is_repeated_soon() -> None:
    world = small_world(instances=8)
    world.run(1.0)
    leader = world.leader()
    assert leader is not None

    def refuse(port: StorePort, append: Append, done: Callable[[Appended], None]) -> None:
        port.instance.later(0.004, lambda: done(Appended(AppendOutcome.NOT_STORED)))

    for instance in world.instances.values():
        _divert(instance, _is_claim, refuse, times=2)
    leader.kill()
    assert world.run_until(lambda: world.leader() is not None) < MAX_WAIT_AFTER_CRASH_S


def test_a_claim_stored_late_does_not_depose_a_leader_that_is_back() -> None:
    world = small_world(instances=4)
    leader = world.leader()
    assert leader is not None
    world.run(3.0)
    sent: list[Instance] = []

    def late(port: StorePort, append: Append, done: Callable[[Appended], None]) -> None:
        world.at(3.0, lambda: port.topic.append(append))
        port.instance.later(CALL_TIMEOUT_S, lambda: done(Appended(AppendOutcome.UNKNOWN)))
        sent.append(port.instance)

    for instance in world.instances.values():
        if instance is not leader:
            _divert(instance, _is_claim, late)
    leader.freeze(1.9)
    world.run_until(lambda: bool(sent))
    for instance in sent:
        instance.kill()
    world.run(2.2)
    assert leader.dispatcher.scheduler is not None
    world.run(2.0)
    assert leader.dispatcher.scheduler is not None


def test_a_claim_read_back_while_the_log_is_reloaded_takes_effect() -> None:
    world = small_world(instances=1)
    leader = world.leader()
    assert leader is not None
    for number in range(30):
        leader.submit(f"{number:x}", Step(count=1, millicores=1000, memory_mb=1))
    world.run(2.0)

    def store_and_reload(port: StorePort, append: Append, done: Callable[[Appended], None]) -> None:
        port.topic.append(append)
        port.instance.later(0.004, lambda: done(Appended(AppendOutcome.STORED)))
        instance.follower.begin()

    instance = leader
    _divert(leader, _is_claim, store_and_reload)
    leader.dispatcher._step_down("trial")
    world.run(10.0)
    assert leader.dispatcher.scheduler is not None


def _parts_until(state: Scheduler, done: Callable[[], bool]) -> float:
    """Return how long parts run until `done` is true, in seconds; at most 60."""
    now = NOW
    while not done() and now < NOW + 60.0:
        for runner in state.runners.values():
            runner.answered_at = now
        place(state, now, 0.0)
        now += PART_DURATION_S
    return now - NOW


def test_a_gang_of_more_pairs_than_a_part_does_not_block_tasks_behind_it() -> None:
    state = _state(350)
    _add(state, 1, Step(count=60, millicores=40_000, memory_mb=10, gang=True))
    _add(state, 2, Step(count=3, millicores=1000, memory_mb=10))
    assert _parts_until(state, lambda: _bound(state) == 3) < MAX_PLACING_DELAY_S


def test_a_lasting_task_that_fails_in_a_long_pass_runs_again_at_once() -> None:
    """Its backoff is not a lack of capacity, so the pass must not skip the rest of its step."""
    state = _state(200)
    _add(state, 0, Step(count=1, millicores=1000, memory_mb=10, lasting=True))
    place(state, NOW, 0.0)
    job = state.jobs[JobId("0")]
    key, task = next(iter(job.bound()))
    runner = state.runners[task.runner]
    runner.runs[key].stage = RunStage.RUNNING
    for number in range(1, 401):
        _add(state, number, Step(count=10, millicores=10, memory_mb=1))
    end_run(state, key, runner, EndKind.FAILED, "", NOW)
    assert _parts_until(state, lambda: task.phase is Phase.BOUND) < MAX_PLACING_DELAY_S


def test_an_urgent_job_that_comes_in_a_long_pass_is_not_held_back_by_misses_before_it() -> None:
    state = _state(200)
    for number in range(3):
        _add(state, number, Step(count=1, millicores=40_000, memory_mb=10, image="x"))
    for number in range(10, 410):
        _add(state, number, Step(count=10, millicores=10, memory_mb=1, image="y"))
    place(state, NOW, 0.0)
    step = Step(count=1, millicores=100, memory_mb=1, image="x")
    record = JobRecord(
        RouteName("now"), ServiceName(SERVICE), -1, 3, 250, 1.5, Workflow("", (step,))
    )
    state.add_job(JobId("ffff"), record, 5000, None, False, NOW, 0.0)
    job = state.jobs[JobId("ffff")]
    waited = _parts_until(state, lambda: next(iter(job.bound()), None) is not None)
    assert waited < MAX_PLACING_DELAY_S

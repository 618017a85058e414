"""Stored addresses of runners: what a new leader learns there, and what proves nothing.

An answer of another incarnation at a stored address shows that the earlier one ended; nothing else
does. The fleet has the size of a small deployment: 8 instances, 24 runners in racks of 8, leases
of 6 s.
"""

import json
import os
from collections import Counter

import pytest

from spoolcrank import run_control
from spoolcrank.batching import take_batch
from spoolcrank.common_cause import failure_of
from spoolcrank.ids import Address, JobId
from spoolcrank.keyed_log import (
    LEADER_ONLY_KINDS,
    LEARNED_KEY,
    KeyedRecord,
    kind_of,
    runner_key,
)
from spoolcrank.orders import OrderResult, Poll
from spoolcrank.polling import MAX_CONCURRENT_FIRST_POLLS, polls_due
from spoolcrank.runner_addresses import RunnerAddress, RunnerAddresses
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import JobPhase, RunnerId, Step, TaskKey
from tests import fleet_runners, test_packing
from tests.fleet_runners import Runner
from tests.fleet_world import SERVICE, World
from tests.test_packing import put

SEEDS = int(os.environ.get("SPOOLCRANK_ADDRESS_SEEDS", "4"))
RIGA_INSTANCES, RIGA_RUNNERS, RACK, RIGA_LEASE_MS = 8, 24, 8, 6_000
MAX_DELAY_S = 3.0
"""Longest time, in seconds, from the takeover until the work of lost runners runs again."""
DOWN_S = 2.0
LASTING = Step(count=24, millicores=1000, memory_mb=100, lasting=True)
TASKS = Step(count=48, millicores=1000, memory_mb=100, estimate_ms=3000)


def fleet(seed: int, runners: int, instances: int) -> World:
    world = World(seed, RIGA_LEASE_MS)
    world.late_orders_outlive_restart = False
    for number in range(runners):
        world.add_runner(f"10.0.{number // RACK}.{number}:80").zone = f"rack-{number // RACK}"
    for number in range(instances):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    world.run(0.2)
    return world


def _with_work(seed: int, work_s: float = 30.0) -> World:
    world = fleet(seed, RIGA_RUNNERS, RIGA_INSTANCES)
    for runner in world.runners.values():
        runner.work_s = work_s
    next(iter(world.instances.values())).submit("ab", TASKS)
    world.run_until(lambda: len(world.starts) == TASKS.count)
    world.run(0.5)
    return world


def kill_instances(world: World) -> None:
    for instance in list(world.instances.values()):
        instance.kill()


def _begin_instances(world: World) -> float:
    """Start all instances and return when one of them leads."""
    for number in range(RIGA_INSTANCES):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    return world.now


def _running(world: World) -> int:
    return sum(len(runner.tasks) for runner in world.runners.values())


def _all_run(world: World) -> bool:
    return all(world.running_on[TaskKey(JobId("ab"), 0, 0, n)] for n in range(TASKS.count))


def forget_start_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no runner state the time of its start, so that its id is its name."""
    monkeypatch.setattr(fleet_runners, "runner_id", lambda name, born: RunnerId(name))


# Guards against work that waits for leases although other incarnations answer at the addresses.
@pytest.mark.parametrize("with_start_times", [True, False])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_work_runs_again_soon_after_a_loss_of_all_power(
    seed: int, with_start_times: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not with_start_times:
        forget_start_times(monkeypatch)
    world = _with_work(seed)
    kill_instances(world)
    for runner in list(world.runners.values()):
        world.crash(runner, DOWN_S)
    world.run(DOWN_S)
    led_at = _begin_instances(world)
    world.run_until(lambda: _all_run(world))
    assert world.now - led_at <= MAX_DELAY_S
    assert world.violations == []


# Guards against a wait for leases if machines return later than the leader.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_work_runs_again_soon_after_its_machines_return(seed: int) -> None:
    world = _with_work(seed)
    kill_instances(world)
    for runner in list(world.runners.values()):
        world.crash(runner, DOWN_S + 3.0)
    world.run(DOWN_S)
    _begin_instances(world)
    world.run_until(lambda: any(runner.alive for runner in world.runners.values()))
    back_at = world.now
    world.run_until(lambda: _all_run(world))
    assert world.now - back_at <= MAX_DELAY_S
    assert world.violations == []


# Guards against runs that end, and are done anew, while their runner is reachable and not listed.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_runs_of_an_unlisted_runner_within_reach_go_on(seed: int) -> None:
    world = _with_work(seed, work_s=14.0)
    cut_off = next(runner for runner in world.runners.values() if runner.tasks)
    kept = list(cut_off.tasks)
    kill_instances(world)
    world.store.entries.put(cut_off.id, b"")
    _begin_instances(world)
    world.instances["entry-0"].submit("cd", TASKS)
    world.run(10.0)
    assert [key for key in kept if key in cut_off.tasks] == kept
    assert all(key.job == "ab" for key in cut_off.tasks)
    world.run(10.0)
    assert [len(world.starts[key]) for key in kept] == [1] * len(kept)
    assert world.violations == []


# Guards against lasting work that leaves a runner whose entry is back before it counts as leaving.
def test_lasting_work_stays_on_a_runner_whose_entry_returns() -> None:
    world = fleet(1, RIGA_RUNNERS, RIGA_INSTANCES)
    world.lasting_jobs = {"ab"}
    next(iter(world.instances.values())).submit("ab", LASTING)
    world.run_until(lambda: len(world.starts) == LASTING.count)
    world.run(0.5)
    kill_instances(world)
    for runner in world.runners.values():
        world.store.entries.put(runner.id, b"")
    _begin_instances(world)
    world.run(1.5)
    for runner in world.runners.values():
        world.store.entries.put(runner.id, b"ready")
    world.run(4.0)
    assert all(len(starts) == 1 for starts in world.starts.values())
    assert _running(world) == LASTING.count


# Guards against followers of an earlier version that miss a confirmed write of the leader.
def test_addresses_are_written_only_beside_records_of_jobs() -> None:
    world = _with_work(1)
    leader = world.leader()
    assert leader is not None
    state = leader.dispatcher.scheduler
    assert state is not None
    state.addresses.stored.clear()
    state.pending_writes.other_records.append(KeyedRecord(LEARNED_KEY, b"[]"))
    batch = take_batch(state)
    assert batch is not None
    assert [record.key for record in batch.records] == [LEARNED_KEY]
    state.pending_writes.add_changed_job(JobId("ab"))
    batch = take_batch(state)
    assert batch is not None
    assert any(record.key.startswith(runner_key(RunnerId(""))) for record in batch.records)


def false_entry(runner: Runner, address: str) -> bytes:
    entry = {
        "service": SERVICE,
        "address": address,
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 64_000, "gpu": 0},
        "born": runner.born,
    }
    return json.dumps(entry).encode()


# Guards against an entry of another writer that sends the polls of a live runner elsewhere.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_false_entry_of_an_unlisted_runner_frees_none_of_its_runs(seed: int) -> None:
    world = _with_work(seed)
    first, second = list(world.runners.values())[:2]
    assert first.tasks
    kill_instances(world)
    value = false_entry(first, second.name)
    assert world.read_entry(first.id, value).id == first.incarnation_id
    world.store.entries.put(first.id, value)
    _begin_instances(world)
    world.run(8.0)
    assert world.violations == []
    assert all(len(starts) == 1 for starts in world.starts.values())


# Guards against silence, a refusal or another answer at a stored address that frees runs.
@pytest.mark.parametrize("result", [one for one in OrderResult if one is not OrderResult.DONE])
def test_only_another_incarnation_at_a_stored_address_frees_runs(result: OrderResult) -> None:
    world = _with_work(1)
    leader = world.leader()
    assert leader is not None
    state = leader.dispatcher.scheduler
    assert state is not None
    runner = next(one for one in state.runners.values() if one.runs)
    runner.adopted, runner.listed, runner.answered_at = False, False, -1.0
    order = run_control.Poll(state.target(runner), 0, None, 0)
    run_control.poll_failed(state, order, result, world.now)
    assert (not runner.runs) is (result is OrderResult.OTHER_INCARNATION)


# Guards against a job given up as all of its runners crash together, each time beside a new leader.
def test_losses_of_all_power_give_up_no_job() -> None:
    world = _with_work(3)
    for _ in range(7):
        kill_instances(world)
        for runner in list(world.runners.values()):
            world.crash(runner, DOWN_S)
        world.run(DOWN_S + 0.1)
        _begin_instances(world)
        world.run_until(lambda: _all_run(world))
        world.run(0.3)
    index = next(iter(world.instances.values())).index
    assert index.phase(JobId("ab")) is JobPhase.RUNNING
    assert world.violations == []


# Guards against addresses that stay in the log for good, and against more than one for a runner.
def test_addresses_are_stored_once_and_deleted_with_their_runners() -> None:
    world = _with_work(1, work_s=1.0)
    prefix = runner_key(RunnerId(""))
    first = {runner.incarnation_id for runner in world.runners.values()}
    world.run(3.0)
    written = [each for each in world.store.jobs.records if each.key.startswith(prefix)]
    assert len(written) == len({each.key for each in written}) <= RIGA_RUNNERS
    assert max(len(each.key) + len(each.value) for each in written) < 100
    for runner in list(world.runners.values()):
        world.crash(runner, DOWN_S)
    world.run(8.0)
    world.instances["entry-0"].submit("cd", TASKS)
    world.run(8.0)
    newest = {each.key: each.value for each in world.store.jobs.records}
    left = {key for key, value in newest.items() if key.startswith(prefix) and value}
    assert not left & {runner_key(runner) for runner in first}
    assert len(left) <= RIGA_RUNNERS


# Guards against a start whose runner's address is not stored, and against a record of its own.
def test_an_address_is_stored_with_the_first_record_that_binds_work() -> None:
    world = _with_work(1)
    prefix = runner_key(RunnerId(""))
    stored = {each.key for each in world.store.jobs.records if each.key.startswith(prefix)}
    busy = [one for one in world.runners.values() if one.tasks]
    assert stored == {runner_key(one.incarnation_id) for one in busy}


@pytest.mark.parametrize(
    "value", [b"{", b"[]", b'["i-2","10.0.0.1:80","pricing"]', b'["i-1","","pricing"]', b"\xff"]
)
def test_an_unreadable_address_is_ignored(value: bytes) -> None:
    world = _with_work(1)
    kill_instances(world)
    world.store.jobs.put(runner_key(RunnerId("i-1")), value)
    _begin_instances(world)
    world.run(2.0)
    assert all(len(starts) == 1 for starts in world.starts.values())


def test_an_address_names_its_runner() -> None:
    addresses = RunnerAddresses()
    value = b'["i-1@5","10.0.0.1:80","pricing"]'
    addresses.restore(KeyedRecord(runner_key(RunnerId("i-1@5")), value))
    known = RunnerAddress(Address("10.0.0.1:80"), SERVICE)
    assert addresses.stored == {RunnerId("i-1@5"): known}


MAX_POLLS_EACH = 3
"""Maximum number of polls at a dead address in the first 5 s, which is one each 2 s."""


def _answer_listed(state: Scheduler, polls: list[Poll], now: float) -> None:
    for poll in polls:
        asked = state.runners[poll.target.runner]
        if asked.listed:
            asked.polling, asked.adopted = False, True
            asked.record_answer(1000.0, now, now)


def _with_dead_addresses(count: int) -> Scheduler:
    state = Scheduler(2, 0.0, 0.0)
    for number in range(count):
        runner_id = RunnerId(f"i-{number}@1")
        state.addresses.stored[runner_id] = RunnerAddress(Address(f"10.1.0.0:{number}"), SERVICE)
        dead = state.register(state.addresses.entry_of(runner_id, SERVICE), 0.0, listed=False)
        put(dead, TASKS)
    return state


def _list_new(state: Scheduler, count: int) -> None:
    for number in range(count):
        new = test_packing.runner(f"n-{number}@1")
        new.adopted = False
        state.runners[new.id] = new


# Guards against polls at hundreds of dead addresses that hold up a leader with half a core.
def test_dead_addresses_take_few_polls_and_delay_no_listed_runner() -> None:
    state = _with_dead_addresses(660)
    asked: Counter[RunnerId] = Counter()
    unanswered: list[tuple[float, Poll]] = []
    for tick in range(100):
        now = tick * 0.05
        if tick == 2:
            _list_new(state, 40)
        polls = polls_due(state, now, may_extend=True)
        _answer_listed(state, polls, now)
        silent = [each for each in polls if not state.runners[each.target.runner].listed]
        asked.update(each.target.runner for each in silent)
        unanswered += [(now + 0.6, each) for each in silent]
        for _, poll in [each for each in unanswered if each[0] <= now]:
            run_control.poll_failed(state, poll, OrderResult.UNKNOWN, now)
        unanswered = [each for each in unanswered if each[0] > now]
        if now >= 0.6:
            assert all(each.adopted for each in state.runners.values() if each.listed)
    assert max(asked.values()) <= MAX_POLLS_EACH


# Guards against a listed runner that returns from a partition and waits behind dead addresses.
def test_listed_silent_runners_are_polled_before_dead_addresses() -> None:
    state = _with_dead_addresses(660)
    _list_new(state, 1)
    for runner in state.runners.values():
        runner.silent_since, runner.polled_at = 0.0, 0.0 if runner.listed else -5.0
    polls = polls_due(state, 0.5, may_extend=True)
    assert len(polls) == MAX_CONCURRENT_FIRST_POLLS
    assert RunnerId("n-0@1") in {poll.target.runner for poll in polls}


# Guards against the address of an entry that no answer has confirmed.
def test_only_an_address_that_answered_is_stored() -> None:
    state = Scheduler(2, 0.0, 0.0)
    _list_new(state, 1)
    listed = state.runners[RunnerId("n-0@1")]
    put(listed, TASKS)
    assert state.addresses.take_records(state.runners, ()) == []
    listed.adopted = True
    assert len(state.addresses.take_records(state.runners, ())) == 1


# Guards against a successor that counts leases from before a leader's newest write.
def test_an_address_counts_as_a_write_of_the_leader() -> None:
    assert kind_of(runner_key(RunnerId("i-1@5"))) in LEADER_ONLY_KINDS


# Guards against later crashes that count as one with those before a leader's term, and for nothing.
def test_a_runner_that_ended_before_a_term_failed_with_none_of_its_crashes() -> None:
    state = _with_dead_addresses(1)
    dead = state.runners[RunnerId("i-0@1")]
    assert failure_of(dead, 4.0).first_missed_at == state.began_at
    dead.entry = dead.entry._replace(address=Address(""))
    assert failure_of(dead, 4.0).first_missed_at == 4.0

"""Work that waits beside free capacity because of other work or of other runners."""

import math
from collections.abc import Callable
from functools import partial

import msgspec
import pytest

from spoolcrank.binding import bind
from spoolcrank.idle_capacity import MAX_IDLE_WAIT_S
from spoolcrank.ids import JobId
from spoolcrank.placing import place
from spoolcrank.placing_pass import MAX_PAIRS_PER_PART
from spoolcrank.runner_loss import RESTART_DELAYS_S, confirm_crash, handle_expired_leases
from spoolcrank.runner_pools import usable_runners
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import (
    CrashEvidence,
    JobRecord,
    Phase,
    RouteName,
    Step,
    TaskKey,
    Workflow,
)
from tests.fleet_world import World, small_world
from tests.packed_runners import NOW, SERVICE, SHORT, leader, put, runner

RUNNERS = 12
MAX_HELD_S = 2.5
"""Longest time in which a job may have nothing running beside free runners, in seconds; after 3 s
it counts as lost."""

SAMPLE_S = 0.05
MAX_PARTS = 100
CRASH_EVERY_S = 3.0
CRASH_GAP_S = 0.3
"""Time between two crashes, in seconds; more than crashes with a common cause are apart."""

TAKEOVER_S = 0.3
MAX_TAKEOVER_HELD_S = 1.2
"""Longest time, in seconds, until the first start of a job that comes right after a takeover. With
the time until an instance leads and has asked the runners it stays below 3 s."""

SOUND = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600)


def _held_s(world: World, job: str, step: Step) -> float:
    """Return the longest time for which a job has nothing running until it ends, in seconds."""
    held_s = longest_s = 0.0
    begun = world.now
    while sum(key.job == job for key in world.done) < step.count:
        assert world.now - begun < 60.0, f"held for {held_s:.1f} s"
        world.run(SAMPLE_S)
        running = any(runners for key, runners in world.running_on.items() if key.job == job)
        held_s = 0.0 if running else held_s + SAMPLE_S
        longest_s = max(longest_s, held_s)
    return longest_s


def _all_quarantined(world: World) -> bool:
    instance = world.leader()
    state = instance.dispatcher.scheduler if instance is not None else None
    assert state is not None
    return all(other.quarantined_until > world.now for other in state.runners.values())


def _hanging(world: World) -> Step:
    world.hanging.add("bad0")
    return Step(count=RUNNERS, millicores=1000, memory_mb=100, estimate_ms=600)


def _failing(world: World) -> Step:
    world.failing["bad0"] = 0.1
    return Step(count=3 * RUNNERS, millicores=1000, memory_mb=100, estimate_ms=600)


@pytest.mark.parametrize("kind", [_hanging, _failing], ids=lambda kind: kind.__name__)
def test_one_job_of_bad_tasks_does_not_keep_all_runners_from_others(
    kind: Callable[[World], Step],
) -> None:
    """Each bad task put two runners out of use, and a wide job of them all runners of a service."""
    world = small_world(instances=2, runners=RUNNERS, seed=3)
    first = world.instances["entry-0"]
    first.submit("bad0", kind(world), max_attempts=99)
    world.run_until(lambda: _all_quarantined(world))
    first.submit("0001", SOUND)
    held_s = _held_s(world, "0001", SOUND)
    assert held_s <= MAX_HELD_S, f"{held_s:.2f} s"


@pytest.mark.parametrize("quarantined_count", [1, 2])
def test_a_quarantine_of_up_to_half_of_the_runners_holds(quarantined_count: int) -> None:
    """A runner that fails what it gets must not get work back as soon as others are full."""
    runners = [runner(f"r{number}") for number in range(4)]
    for bad in runners[:quarantined_count]:
        bad.quarantine(NOW)
    assert usable_runners(leader(*runners), NOW) == {SERVICE: runners[quarantined_count:]}


def test_quarantined_runners_get_only_what_fits_nowhere_else() -> None:
    """The runners that fail everything are the idlest, so they would be the first choice."""
    runners = [runner(f"r{number}") for number in range(3)]
    for bad in runners[:2]:
        bad.quarantine(NOW)
    state = leader(*runners)
    add_job(state, "ab", SHORT, 0, NOW - MAX_IDLE_WAIT_S)
    place(state, NOW, 0.0)
    assert list(runners[2].runs) == [TaskKey(JobId("ab"), 0, 0, 0)]
    runners[2].used_millicores = runners[2].entry.room.millicores
    add_job(state, "cd", SHORT, 1, NOW - MAX_IDLE_WAIT_S)
    place(state, NOW, 0.0)
    assert TaskKey(JobId("cd"), 0, 0, 0) in {*runners[0].runs, *runners[1].runs}


def _evidence(count: int) -> tuple[CrashEvidence, ...]:
    return tuple(CrashEvidence(f"gone-{number}", f"gone-{number}:80") for number in range(count))


def add_job(
    state: Scheduler,
    job: str,
    step: Step,
    order: int,
    accepted_at: float = NOW,
    later: Step | None = None,
) -> None:
    """Add a job of one step, and of a later one that waits for it if given."""
    steps = (step,) if later is None else (step, msgspec.structs.replace(later, after=(0,)))
    record = JobRecord(RouteName("feed"), SERVICE, 0, 3, 250, 1.5, Workflow("", steps))
    state.add_job(JobId(job), record, order, None, False, accepted_at, 0.0)


def test_suspects_that_fit_nowhere_do_not_use_up_every_part_of_a_pass() -> None:
    """Suspects for which no runner had capacity were tried again in each part of the pass.

    They used up all parts, so that the tasks behind them were never tried, whatever was free.
    """
    state = leader(*(runner(f"r{number}") for number in range(100)))
    state.starts.limit = math.inf
    large = Step(count=17, millicores=40_000, memory_mb=10)
    for number in range(MAX_PAIRS_PER_PART // (100 * 17) + 1):
        add_job(state, f"{number:x}", large, number, NOW - 100.0)
        for task in state.jobs[JobId(f"{number:x}")].rounds[0].steps[0].tasks:
            task.run, task.crashes = 3, _evidence(2)
    add_job(state, "fff", SOUND, 1000, NOW - 50.0)
    for part in range(MAX_PARTS):
        now = NOW + part * SAMPLE_S
        for each in state.runners.values():
            each.record_answer(1000.0, now, now)
        if place(state, now, 0.0):
            break
    assert not state.jobs[JobId("fff")].rounds[0].steps[0].waiting


def test_a_new_leader_does_not_isolate_most_runners_for_suspects() -> None:
    """After crashes a takeover took ten of twelve runners from all other work for three seconds."""
    world = small_world(instances=4, runners=RUNNERS, seed=4)
    world.lasting_jobs = {f"{number:04x}" for number in range(4)}
    for job in sorted(world.lasting_jobs):
        step = Step(count=9, millicores=1000, memory_mb=100, lasting=True)
        world.instances["entry-0"].submit(job, step, max_attempts=9)
    world.run(CRASH_EVERY_S)
    for _ in range(4):
        alive = [each for each in world.runners.values() if each.alive]
        for number, each in enumerate(world.random.sample(alive, min(len(alive), 4))):
            world.at(number * CRASH_GAP_S, partial(world.crash, each))
        world.run(CRASH_EVERY_S)
    world.run(CRASH_EVERY_S)
    before = world.leader()
    assert before is not None
    before.kill()
    world.run_until(lambda: world.leader() is not None)
    world.run(TAKEOVER_S)
    after = world.leader()
    state = after.dispatcher.scheduler if after is not None else None
    assert after is not None and state is not None
    isolated = [each for each in state.runners.values() if each.isolated_for is not None]
    assert 0 < len(isolated) <= RUNNERS // 2
    after.submit("abcd", SOUND)
    held_s = _held_s(world, "abcd", SOUND)
    assert held_s <= MAX_TAKEOVER_HELD_S, f"{held_s:.2f} s"


def _begin_runs(state: Scheduler, now: float) -> None:
    """Replace the runs of all runners that take work by runs that were just started."""
    for each in state.runners.values():
        each.record_answer(1000.0 + (now - NOW) * 1000.0, now, now)
        if each.isolated_for is None:
            for key in [key for key in each.runs if key.job == "busy"]:
                each.remove(key)
            each.runs[put(each, SHORT, job="busy")].ordered_at = now


def test_a_suspect_waits_for_its_own_runner_during_its_retry_delay() -> None:
    """After a third crash the delay and the wait for a runner without recent starts added up.

    The task then had nothing running for more than 3 s and counted as lost.
    """
    state = leader(*(runner(f"r{number}") for number in range(8)))
    state.starts.limit = math.inf
    add_job(state, "cd", SHORT, 0)
    task = state.jobs[JobId("cd")].rounds[0].steps[0].tasks[0]
    task.run, task.crashes, task.not_before = 3, _evidence(3), NOW + RESTART_DELAYS_S[-1]
    now = NOW
    while task.phase is Phase.WAITING and now < NOW + 5.0:
        now += SAMPLE_S
        if round((now - NOW) / SAMPLE_S) % 10 == 0:
            _begin_runs(state, now)
        place(state, now, 0.0)
    assert now - NOW <= MAX_HELD_S, f"{now - NOW:.2f} s"
    own = state.runners[task.runner]
    assert own.isolated_for == TaskKey(JobId("cd"), 0, 0, 0)


def test_the_proof_of_a_crash_does_not_delay_the_next_start_again() -> None:
    """Each runner that came back pushed on the start of the tasks that had run there before.

    A task whose runners were silent until every lease had passed waits already; with several proofs
    in a row it had nothing running for seconds more.
    """
    lost = [runner(f"r{number}") for number in range(2)]
    state = leader(*lost, runner("r2"))
    add_job(state, "cd", SHORT, 0)
    key = TaskKey(JobId("cd"), 0, 0, 0)
    job = state.jobs[JobId("cd")]
    for number, silent in enumerate(lost):
        bind(state, job, key, number + 1, silent, NOW - 9.0)
        silent.runs[key].ordered_at = NOW - 9.0
        silent.listed, silent.silent_since = False, NOW - 8.0 + number
        handle_expired_leases(state, silent, NOW)
    not_before = job.task(key).not_before
    # The delay counts from when the second runner fell silent, and is over by now.
    assert not_before == NOW - 7.0 + RESTART_DELAYS_S[1]
    for number, silent in enumerate(lost):
        confirm_crash(state, silent.id, NOW + 0.4 * (number + 1))
    assert [evidence.proved for evidence in job.task(key).crashes] == [True, True]
    assert job.task(key).not_before == not_before

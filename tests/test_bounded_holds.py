"""A task bound to a lost runner starts again in a bounded time, whatever became of that runner.

For each stage of a run, and each fate of its runner at that moment, with and without a change of
the leader. The bounds follow from the leases; docs/HOLDS.md lists them.
"""

from collections.abc import Callable

import pytest

from spoolcrank.polling import MAX_POLL_WAIT_MS
from spoolcrank.runner_state import CLOCK_DRIFT, LEASE_MS
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step, TaskKey
from tests.fleet_runners import ORDER_TIMEOUT_S, Runner
from tests.fleet_world import Instance, World, small_world

LASTING = Step(count=1, millicores=1000, memory_mb=100, lasting=True)
KEY = TaskKey("a1", 0, 0, 0)  # type: ignore[arg-type]

PLACING_S = 0.5
"""Time from the release of a task to its start on another runner, in seconds."""

MAX_READ_LAG_S = 0.7
"""Time from a record of the leader until another instance has read it, in seconds."""

MAX_SILENCE_S = MAX_POLL_WAIT_MS / 1000.0 + ORDER_TIMEOUT_S
"""Time from the loss of a runner until a poll there has failed, in seconds. Until then each poll
that is sent extends its lease."""

MAX_RETURN_S = 1.0
"""Time from the loss of a runner until its later life has answered, in seconds."""

MAX_LEASE_S = LEASE_MS / 1000.0 * (1.0 + 1.5 * CLOCK_DRIFT)
AT_ONCE_S = MAX_RETURN_S + PLACING_S
AFTER_LEASES_S = MAX_SILENCE_S + MAX_LEASE_S + PLACING_S
INHERITED_S = MAX_READ_LAG_S + Scheduler(1, 0.0, 0.0).max_inherited_run_s + PLACING_S


def _leader(world: World) -> Instance:
    leader = world.leader()
    assert leader is not None
    return leader


# Stages


def _is_in(world: World, stage: RunStage) -> bool:
    state = _leader(world).dispatcher.scheduler
    runs = [runner.runs.get(KEY) for runner in state.runners.values()] if state is not None else []
    return any(run is not None and run.stage is stage for run in runs)


def _recorded(world: World, runner: Runner) -> None:
    _leader(world).submit(KEY.job, LASTING)
    world.run(0.006)
    world.store.lost_append_answer_share = 1.0
    world.run_until(lambda: _is_in(world, RunStage.RECORDED), 1.0)


def _unconfirmed(world: World, runner: Runner) -> None:
    world.lost_answer_share = 1.0
    _leader(world).submit(KEY.job, LASTING)
    world.run_until(lambda: _is_in(world, RunStage.UNCONFIRMED), 2.0)


def _running(world: World, runner: Runner) -> None:
    _leader(world).submit(KEY.job, LASTING)
    world.run_until(lambda: bool(runner.tasks), 2.0)
    world.run(1.0)


def _stopping(world: World, runner: Runner) -> None:
    _running(world, runner)
    world.store.entries.put(runner.id, b"draining")
    world.lost_answer_share = 1.0
    world.run_until(lambda: _is_in(world, RunStage.STOPPING), 3.0)


STAGES = {
    "recorded": _recorded,
    "unconfirmed": _unconfirmed,
    "running": _running,
    "stopping": _stopping,
}


# Fates


def _answers_nobody(world: World, runner: Runner) -> None:
    names = [*world.instances, "entry-9"]
    world.unreachable |= {(name, runner.name) for name in names}


def _is_cut_off_from_the_leader(world: World, runner: Runner) -> None:
    world.unreachable.add((_leader(world).name, runner.name))


def _is_gone(world: World, runner: Runner) -> None:
    runner.crash()
    world.at(1.2, lambda: world.store.entries.put(runner.id, b""))


def _is_another_now(world: World, runner: Runner) -> None:
    _is_gone(world, runner)
    world.at(0.5, lambda: world.add_runner(runner.name) and None)


def _started_again_under_its_id(world: World, runner: Runner) -> None:
    runner.crash()
    world.at(0.5, lambda: world.add_runner(runner.name, runner.id) and None)


FATES = {
    "answers nobody": _answers_nobody,
    "is cut off from the leader": _is_cut_off_from_the_leader,
    "is gone": _is_gone,
    "is another now": _is_another_now,
    "started again under its id": _started_again_under_its_id,
}
PROVED = ("is another now", "started again under its id")
"""Fates that a later life of the runner proves."""


def bound_s(fate: str, takeover: bool) -> float:
    """Return within which time a task starts again, in seconds."""
    if takeover:
        # That the earlier life is over shows at once only while its entry still stands.
        return INHERITED_S
    return AT_ONCE_S if fate in PROVED else AFTER_LEASES_S


def restart_s(stage: str, fate: str, takeover: bool) -> float:
    """Return after how many seconds from its runner's fate a task is at work again."""
    world = small_world(instances=3, runners=1)
    world.late_orders_outlive_restart = False
    world.lasting_jobs = {KEY.job}
    runner = next(iter(world.runners.values()))
    STAGES[stage](world, runner)
    spare = world.add_runner("10.0.9.9:80")
    began_at = world.now
    FATES[fate](world, runner)
    world.lost_answer_share = world.store.lost_append_answer_share = 0.0
    if takeover:
        _leader(world).kill()
        world.add_instance("entry-9")
    at_work = _at_work(world, runner)
    world.run_until(at_work, 60.0)
    assert spare.alive
    assert world.violations == []
    return world.now - began_at


def _at_work(world: World, before: Runner) -> Callable[[], bool]:
    def at_work() -> bool:
        places = [each for each in world.runners.values() if each.alive and KEY in each.tasks]
        return any(each is not before for each in places)

    return at_work


# With a change of the leader, a runner that was cut off from the earlier one is reached again.
CASES = [
    (stage, fate, takeover)
    for stage in STAGES
    for fate in FATES
    for takeover in (False, True)
    if not takeover or fate != "is cut off from the leader"
]


# Guards against a task that is held for something that never comes from its runner.
@pytest.mark.parametrize(("stage", "fate", "takeover"), CASES)
def test_a_task_of_a_lost_runner_starts_again(stage: str, fate: str, takeover: bool) -> None:
    assert restart_s(stage, fate, takeover) <= bound_s(fate, takeover)


def _runs_on(world: World) -> Runner | None:
    places = (each for each in world.runners.values() if each.alive and KEY in each.tasks)
    return next(places, None)


# Guards against a retry delay that begins only when the wait for leases has ended.
def test_no_retry_delay_follows_the_wait_for_leases() -> None:
    world = small_world(instances=3, runners=6)
    world.lasting_jobs = {KEY.job}
    _leader(world).submit(KEY.job, LASTING, max_attempts=9)
    for _ in range(2):
        world.run_until(lambda: _runs_on(world) is not None, 5.0)
        world.run(1.0)
        crashed = _runs_on(world)
        assert crashed is not None
        _is_another_now(world, crashed)
        world.run(0.1)
    world.run_until(lambda: _runs_on(world) is not None, 5.0)
    world.run(1.0)
    gone = _runs_on(world)
    assert gone is not None
    _is_gone(world, gone)
    _leader(world).kill()
    world.add_instance("entry-9")
    assert world.run_until(lambda: _runs_on(world) is not None, 30.0) <= INHERITED_S
    assert world.violations == []

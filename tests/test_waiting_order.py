"""Order of waiting tasks where others in front of them cannot be placed."""

import pytest

from spoolcrank import assignment, ownership
from spoolcrank.core import on_not_appended
from spoolcrank.ids import TaskId
from spoolcrank.jobs import TaskState
from spoolcrank.lost_tasks import Crash
from spoolcrank.policy import Policy
from spoolcrank.state import Core
from tests.world import CAPACITY, World

TEAM = "renewals"
RUN_S = 6.0
MAX_WAIT_S = 20.0
BLOCKED_COUNT = 100


def _open_jobs(world: World) -> set[str]:
    return {task.split()[0].rsplit(".", 1)[0] for task in world.open_tasks()}


def test_a_team_at_its_quota_does_not_keep_the_others_waiting() -> None:
    """Jobs waited beside idle backend servers behind another team's long queue.

    Each pass considered only the first 64 waiting tasks. When these could not be placed, because of
    their team's quota or their size, no task behind them was tried. With this fault the second job
    waits for 36 tasks of 6 s, one at a time.
    """
    world = World(Policy(quotas={TEAM: 2.0}))
    world.submit(BLOCKED_COUNT, RUN_S, True, team=TEAM)
    world.advance(1.0)
    world.submit(1, 1.0, True, name="other")
    world.advance(MAX_WAIT_S)
    assert _open_jobs(world) == {"job-1"}


def test_many_small_jobs_at_a_quota_do_not_keep_the_others_waiting() -> None:
    """The same fault with one task per job, where no task can stand for the others of its job.

    With the fault the last job waits for 36 tasks of 6 s, one at a time.
    """
    world = World(Policy(quotas={TEAM: 2.0}))
    for number in range(BLOCKED_COUNT):
        world.submit(1, RUN_S, True, name=f"small-{number}", team=TEAM)
    world.advance(1.0)
    world.submit(1, 1.0, True, name="other")
    world.advance(MAX_WAIT_S)
    assert f"job-{BLOCKED_COUNT + 1}" not in _open_jobs(world)


def test_tasks_too_large_for_what_is_free_do_not_keep_small_ones_waiting() -> None:
    world = World()
    world.submit(2, 60.0, True, name="first")
    world.advance(8.0)
    world.submit(BLOCKED_COUNT, RUN_S, True, name="large", processors=4.0)
    world.advance(1.0)
    world.submit(1, 1.0, True, name="small", processors=0.5)
    world.advance(MAX_WAIT_S)
    assert _open_jobs(world) == {"job-1", "job-2"}


def test_a_task_that_only_a_whole_server_holds_is_refused_unless_it_is_urgent() -> None:
    """An accepted job that needs a whole backend server stayed pending for good.

    A share of each server is reserved for urgent work, but the check for tasks that fit nowhere
    used the whole server, so that sizes in between were neither placed nor refused. With this fault
    the first job stays pending.
    """
    world = World()
    world.submit(1, 1.0, True, processors=CAPACITY.processors)
    world.submit(1, 1.0, True, name="urgent", processors=CAPACITY.processors, urgency=9)
    world.advance(MAX_WAIT_S)
    ledger = next(iter(world.owners.values())).core.ledger
    states = {task.job: task.state for task in ledger.tasks.values()}
    assert states == {"job-1": TaskState.REFUSED, "job-2": TaskState.FINISHED}


def _suspect_beside_uneven_servers() -> tuple[World, Core]:
    """Return a world of one owner, with the servers at one large and two small runs.

    A job of three tasks waits because of its team's quota; the first has crashed two servers. Its
    tasks fit on the server with two runs only.
    """
    world = World(Policy(quotas={TEAM: 0.0}))
    for name in ("entry-2", "entry-3"):
        world.crash(name)
    world.advance(MAX_WAIT_S)
    world.submit(1, 600.0, True, name="large", processors=4.0)
    world.advance(4.0)
    world.submit(2, 600.0, True, name="small", processors=0.9)
    world.advance(4.0)
    core = world.owners["entry-1"].core
    assert sorted(len(core.ledger.tasks_on(server)) for server in core.owned) == [1, 2]
    world.submit(3, 1.0, True, name="suspect", team=TEAM, processors=1.5)
    world.advance(1.0)
    crashes = [Crash(server=server) for server in core.owned]
    core.ledger.tasks[TaskId("job-3.0")].crashes = crashes
    return world, core


def test_a_suspect_task_goes_to_the_emptiest_server_with_room_for_it() -> None:
    """It was placed only on the server with the fewest runs, and waited while that lacked room."""
    world, core = _suspect_beside_uneven_servers()
    core.policy = Policy()
    world.advance(MAX_WAIT_S)
    assert core.ledger.tasks[TaskId("job-3.0")].state is TaskState.FINISHED


def test_a_suspect_task_without_a_server_does_not_hold_back_its_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No other task of the job was placed for as long as no server was quiet enough for it."""
    world, core = _suspect_beside_uneven_servers()
    monkeypatch.setattr(assignment, "MIN_AGE_GAP_S", 1000.0)  # No server counts as quiet.
    core.policy = Policy()
    world.advance(MAX_WAIT_S)
    states = [core.ledger.tasks[TaskId(f"job-3.{number}")].state for number in range(3)]
    assert states == [TaskState.PENDING, TaskState.FINISHED, TaskState.FINISHED]


def test_a_refusal_that_never_reached_the_log_is_repeated() -> None:
    """A refusal was decided once; one that found the append queue full was never made again."""
    world = World()
    world.submit(1, 1.0, True, processors=2 * CAPACITY.processors)
    began_at = world.now
    while world.now - began_at < 4.0:
        world.advance(0.25)
        for owner in world.owners.values():
            for envelope in owner.outbox:
                on_not_appended(owner.core, envelope.record)
            owner.outbox.clear()
    world.advance(MAX_WAIT_S)
    assert world.open_tasks() == []


def test_a_job_is_judged_once_in_a_tick_whatever_its_number_of_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each waiting task of a job was judged; a tick of over 1 s counts as a pause."""
    world = World(Policy(quotas={TEAM: 0.0}))
    world.submit(BLOCKED_COUNT, RUN_S, True, team=TEAM)
    world.advance(2.0)
    owner = world.owners["entry-1"]
    core = owner.core
    judged: list[str] = []
    monkeypatch.setattr(ownership, "preferred", lambda job, owners: judged.append(job))
    assignment.refuse_impossible(core, world.now + owner.skew_s, world.now)
    assert judged == ["job-1"]

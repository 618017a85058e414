"""What a runner lists as ended, and what may be concluded of a run that it does not list."""

from spoolcrank.ids import JobId
from spoolcrank.orders import EndedRow, EndKind
from spoolcrank.runs import RunStage
from spoolcrank.workflow import JobPhase, Step, TaskKey
from tests.fleet_world import World, small


def _completed(world: World, job: str) -> bool:
    one = next(iter(world.instances.values()))
    return one.index.phase(JobId(job)) is JobPhase.COMPLETED


def test_a_run_may_be_among_the_ends_that_a_runner_has_yet_to_list() -> None:
    """A new leader started anew what had ended, as the runner lists so many ends at once only.

    Not seen in the users' days; found by reading. A runner gives its ends that are not taken
    note of in parts, and a run that was in neither list counted as never started there.
    Proof: this test, without the mend, starts tasks again that are done.
    """
    world = small(runners=2)
    world.ends_at_once = 3
    world.instances["entry-0"].submit("a1", Step(count=16, millicores=1000, memory_mb=100))
    world.run_until(lambda: len(world.starts) == 16)
    leader = world.leader()
    assert leader is not None
    leader.kill()
    world.run_until(lambda: _completed(world, "a1"), 20.0)
    world.run(2.0)
    assert world.broken == []


def test_a_start_refused_as_old_waits_for_the_list_of_ends() -> None:
    """Such a refusal says that the run, or a later one, was stopped or has ended there.

    Not seen in the users' days; found by reading: the run counted as never started, was bound
    again, and its end, listed by the next poll, was taken as not ours and acknowledged.
    Proof: this test, without the mend, starts the task again after it was done.
    """
    world = small(runners=1)
    runner = next(iter(world.runners.values()))
    key = TaskKey(JobId("a1"), 0, 0, 0)
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    held = leader.dispatcher.scheduler.runners[runner.life]
    world.instances["entry-0"].submit("a1", Step(count=1, millicores=1000, memory_mb=100))
    while key not in held.runs or held.runs[key].stage is not RunStage.ORDERED:
        world.run(0.0002)
    # The run was carried out by a call that came first, and has ended.
    runner.ends += 1
    runner.above[key] = 1
    runner.ended.append(EndedRow(runner.ends, key, 1, EndKind.DONE, ""))
    runner.ended_at[runner.ends] = world.now
    world.run_until(lambda: _completed(world, "a1"), 20.0)
    world.run(2.0)
    assert world.starts[key] == []
    assert world.broken == []


def test_the_line_on_an_end_that_is_not_held_tells_where_its_task_stands() -> None:
    """Ends that were recorded and come again looked in the log like ends that got lost."""
    world = small()
    runner = next(iter(world.runners.values()))
    steps = [Step(count=2, millicores=1000, memory_mb=100, after=after) for after in ((), (0,))]
    world.instances["entry-0"].submit("a1", *steps)
    leader = world.leader()
    assert leader is not None
    world.run_until(lambda: any(name == "run-ended" for name, _ in leader.logged.lines))
    runner.ends += 1
    key = TaskKey(JobId("a1"), 0, 0, 0)
    runner.ended.append(EndedRow(runner.ends, key, 9, EndKind.FAILED, ""))
    world.run(0.5)
    (told,) = [fields for name, fields in leader.logged.lines if name == "end-not-ours"]
    assert (told["job_phase"], told["task_phase"], told["newest_run"]) == ("running", "done", 1)

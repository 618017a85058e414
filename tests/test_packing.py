"""Placement of tasks, learned interference, paces of fillers, moves, and the order of work."""

import math
import random

import msgspec

from spoolcrank.binding import bind, move
from spoolcrank.contention import ContentionModel, StepLoad
from spoolcrank.filler_pace import slow_fillers_for
from spoolcrank.ids import Address, AvailabilityZone, JobId, ServiceName
from spoolcrank.job_state import NO_RUNNER, JobState
from spoolcrank.learned_state import LearnedState, decode_learned_state, encode_learned_state
from spoolcrank.objective import Prospect, objective_s, prospect, work_order
from spoolcrank.orders import EndedRow, EndKind, Pace, Poll, Report, RunningRow
from spoolcrank.pacing import filler_use, learn, set_paces
from spoolcrank.packing import PlacementRequest, choose, slows_nothing
from spoolcrank.placing import place as place_waiting
from spoolcrank.regrouping import Move, Regrouping
from spoolcrank.run_control import ASSUMED_OVER_TARGET_S, poll_answered
from spoolcrank.run_ends import end_run
from spoolcrank.runner_state import RunnerEntry, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import RoutePolicy, Scheduler
from spoolcrank.shortages import FILLER_RETRY_S
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import (
    Demand,
    JobPhase,
    JobRecord,
    Phase,
    Progress,
    RouteName,
    RunnerId,
    Step,
    StoredStep,
    StoredTask,
    TaskKey,
    Workflow,
)

NOW = 50.0
SERVICE = ServiceName("pricing")
SERVING = Step(count=1, millicores=6000, memory_mb=100, lasting=True, image="s", target_ms=100)
NOISY = Step(count=1, millicores=4000, memory_mb=100, fills=True, image="noisy", checkpoints=True)
QUIET = Step(count=1, millicores=4000, memory_mb=100, fills=True, image="quiet")
SHORT = Step(count=1, millicores=2000, memory_mb=100)


def runner(
    name: str, millicores: int = 32_000, labels: frozenset[str] = frozenset()
) -> RunnerState:
    entry = RunnerEntry(
        RunnerId(name),
        Address(f"{name}:80"),
        AvailabilityZone("a"),
        SERVICE,
        Demand(millicores, 64_000, 0),
        labels,
        leaving=False,
    )
    state = RunnerState(entry, adopted=True)
    state.record_answer(1000.0, NOW, NOW)
    return state


def put(
    state: RunnerState, step: Step, number: int = 0, job: str = "ab", tail_ms: float = 0.0
) -> TaskKey:
    key = TaskKey(JobId(job), 0, 0, number)
    run = Run(
        1,
        RunStage.RUNNING,
        step.demand,
        step.millicores,
        NOW - 10,
        image=step.image,
        fills=step.fills,
        target_ms=step.target_ms,
        lasting=step.lasting,
        checkpoints=step.checkpoints,
        percent=100,
        tail_ms=tail_ms,
        used_millicores=float(step.millicores),
    )
    state.add(key, run)
    return key


def trained_model(noisy: float = 8.0, quiet: float = 0.0) -> ContentionModel:
    """Return a contention model that has learned both fillers from 600 reports."""
    contention = ContentionModel()
    chance = random.Random(1)
    load = StepLoad()
    for number in range(600):
        share = chance.uniform(0.05, 0.2)
        image, weight = (("noisy", noisy), ("quiet", quiet))[number // 30 % 2]
        ratio = 0.35 * 2.718 ** (weight * share + chance.gauss(0, 0.2))
        contention.learn("s", load, ratio, {image: share}, float(number))
    return contention


def place(step: Step, runners: list[RunnerState], contention: ContentionModel | None = None) -> str:
    chosen = choose(
        PlacementRequest(step, {}, NO_RUNNER), runners, contention or ContentionModel(), NOW
    )
    return chosen.id if chosen is not None else ""


def test_weights_of_noisy_and_quiet_pairs_are_distinguished() -> None:
    contention = trained_model()
    assert 5.0 < contention.weight("s", "noisy") < 11.0
    assert contention.weight("s", "quiet") < 0.1
    assert contention.harmless("s", "noisy") < 0.01
    assert contention.harmless("s", "quiet") > 0.95


def test_a_slow_tail_beside_two_fillers_does_not_show_which_caused_it() -> None:
    """The blame for a high tail latency stayed split evenly between two fillers.

    Runners that tolerate one of them then stayed empty.
    """
    contention = ContentionModel()
    load = StepLoad()
    ratio = 0.35 * 2.718 ** (8.0 * 0.1)
    for number in range(40):
        contention.learn("s", load, ratio, {"a": 0.1, "b": 0.1}, float(number))
    for number in range(40, 46):
        contention.learn("s", load, ratio, {"a": 0.1}, float(number))
    assert contention.harmless("s", "a") < 0.05
    assert contention.harmless("s", "b") > 0.7


def test_the_next_leader_restores_the_learned_pairs() -> None:
    """Each new leader began at the prior; serving jobs earned least on days with new leaders."""
    learned_state = decode_learned_state(
        encode_learned_state(LearnedState(trained_model().learned_state()))
    ).images
    successor = ContentionModel()
    successor.restore(learned_state)
    assert successor.harmless("s", "noisy") < 0.05
    assert successor.harmless("s", "quiet") > 0.9
    assert abs(successor.base("s") - trained_model().base("s")) < 0.01


NOISY_USE = {"noisy": 0.15}


def test_reports_of_the_same_half_second_are_learned_once() -> None:
    runner_state = runner("i-1")
    put(runner_state, SERVING, tail_ms=95.0)
    put(runner_state, NOISY, job="cd")
    state = leader(runner_state, contention=ContentionModel())
    learn(state, runner_state, NOISY_USE, NOW)
    once = state.contention.weight("s", "noisy")
    learn(state, runner_state, NOISY_USE, NOW + 0.1)
    assert state.contention.weight("s", "noisy") == once
    learn(state, runner_state, NOISY_USE, NOW + 0.6)
    assert state.contention.weight("s", "noisy") > once


def test_fillers_are_slowed_before_a_task_serves_beside_them() -> None:
    """Up to eleven fillers ran at full speed when a serving task arrived.

    Tail latencies then rose to 14 times their targets.
    """
    runner_state = runner("i-1")
    noisy = [put(runner_state, NOISY, job=f"c{number}") for number in range(5)]
    quiet = put(runner_state, QUIET, job="ef")
    state = leader(runner_state)
    slow_fillers_for(state, runner_state, "s", NOW)
    assert all(runner_state.runs[key].pace < 50 for key in noisy)
    assert runner_state.runs[quiet].pace == 100


def test_fillers_get_no_faster_than_the_learned_weights_allow() -> None:
    """A task that has just begun to serve reports a low tail latency whatever runs beside it."""
    runner_state = runner("i-1")
    put(runner_state, SERVING, tail_ms=5.0)
    bound = msgspec.structs.replace(NOISY, checkpoints=False)
    noisy = [put(runner_state, bound, job=f"c{number}") for number in range(6)]
    state = leader(runner_state)
    for key in noisy:
        runner_state.set_pace(runner_state.runs[key], 10, NOW - 1)
        runner_state.runs[key].used_millicores = 400.0
    for round_number in range(4):
        set_paces(state, runner_state, NOW + round_number)
        for key in noisy:
            runner_state.runs[key].used_millicores = 40.0 * runner_state.runs[key].pace
    assert sum(runner_state.runs[key].pace for key in noisy) < 200


def test_a_noisy_filler_goes_where_nothing_serves_and_a_quiet_one_beside_it() -> None:
    serving, free = runner("i-1"), runner("i-2")
    put(serving, SERVING)
    assert place(NOISY, [serving, free], trained_model()) == "i-2"
    assert place(QUIET, [serving, free], trained_model()) == "i-1"


def test_a_filler_slows_nothing_where_nothing_serves_and_a_noisy_one_does_beside_it() -> None:
    contention = ContentionModel()
    empty, serving = runner("empty"), runner("serving")
    put(serving, SERVING)
    assert slows_nothing(NOISY, empty, contention, NOW)
    assert not slows_nothing(NOISY, serving, contention, NOW)
    assert not slows_nothing(NOISY, runner("small", millicores=2000), contention, NOW)


def test_a_noisy_filler_waits_rather_than_bringing_a_tail_over_its_target() -> None:
    serving = runner("i-1")
    put(serving, SERVING)
    put(serving, NOISY, job="cd")
    assert place(NOISY, [serving], trained_model()) == ""


def test_no_task_goes_where_it_does_not_fit_or_may_not_run() -> None:
    small, labelled = runner("i-1", 1000), runner("i-2", labels=frozenset({"gpu"}))
    assert place(SHORT, [small]) == ""
    assert place(Step(count=1, millicores=100, label="gpu"), [small, labelled]) == "i-2"
    spread = Step(count=2, millicores=100, max_per_instance=1)
    request = PlacementRequest(spread, {RunnerId("i-2"): 1}, NO_RUNNER)
    assert choose(request, [labelled], ContentionModel(), NOW) is None


def test_a_lasting_task_leaves_the_reserve_but_never_room_for_two() -> None:
    first = runner("i-1", 8000)
    request = PlacementRequest(SERVING, {}, NO_RUNNER, reserve=3000)
    assert choose(request, [first], ContentionModel(), NOW) is None
    second = runner("i-2", 12_000)
    assert choose(request._replace(reserve=9000), [second], ContentionModel(), NOW) is second


def test_a_task_that_failed_somewhere_prefers_another_runner() -> None:
    first, second = runner("i-1", 40_000), runner("i-2")
    chosen = choose(
        PlacementRequest(SHORT, {}, RunnerId("i-1")), [first, second], ContentionModel(), NOW
    )
    assert chosen is second


def leader(*runners: RunnerState, contention: ContentionModel | None = None) -> Scheduler:
    state = Scheduler(3, NOW - 20, NOW - 20)
    state.runners = {runner_state.id: runner_state for runner_state in runners}
    state.contention = contention or trained_model()
    return state


def paces(state: Scheduler) -> list[int]:
    percents = [order.percent for order in state.orders if isinstance(order, Pace)]
    state.orders = []
    return percents


def test_the_filler_that_raises_a_tail_is_slowed_and_restored() -> None:
    runner_state = runner("i-1")
    serving = put(runner_state, SERVING, tail_ms=95.0)
    noisy = put(runner_state, NOISY, job="cd")
    put(runner_state, QUIET, job="ef")
    state = leader(runner_state)
    set_paces(state, runner_state, NOW)
    assert len(paces(state)) == 1
    assert runner_state.runs[noisy].pace < 100
    runner_state.runs[serving].tail_ms = 35.0
    runner_state.runs[noisy].used_millicores = 40.0 * runner_state.runs[noisy].pace
    learn(state, runner_state, {"noisy": 0.02}, NOW + 2)
    set_paces(state, runner_state, NOW + 2)
    assert paces(state) and runner_state.runs[noisy].pace > 10


def loaded(now: float) -> StepLoad:
    """Return the load of a serving task whose tail latency is near its target without fillers."""
    return StepLoad(math.log(0.8), 0.01, now)


def test_a_harmless_filler_runs_beside_any_load() -> None:
    """A third of the processors for harmless fillers stood idle beside serving tasks under load."""
    runner_state = runner("i-1")
    serving = put(runner_state, SERVING, tail_ms=80.0)
    runner_state.runs[serving].load = loaded(NOW)
    assert place(QUIET, [runner_state], trained_model()) == "i-1"
    assert place(NOISY, [runner_state], trained_model()) == ""
    quiet = put(runner_state, QUIET, job="cd")
    runner_state.set_pace(runner_state.runs[quiet], 10, NOW - 1)
    state = leader(runner_state)
    set_paces(state, runner_state, NOW)
    assert paces(state) == [100]


def test_no_filler_gets_faster_while_a_tail_is_over_its_target() -> None:
    runner_state = runner("i-1")
    serving = put(runner_state, SERVING, tail_ms=120.0)
    runner_state.runs[serving].over_target_since = NOW - 0.5
    quiet = put(runner_state, QUIET, job="cd")
    runner_state.set_pace(runner_state.runs[quiet], 40, NOW - 1)
    state = leader(runner_state)
    set_paces(state, runner_state, NOW)
    assert all(pace <= 40 for pace in paces(state))


def test_the_load_of_a_step_is_followed_and_falls_back_to_the_usual() -> None:
    """Loads swing within about ten seconds; following them over eight lags half a swing behind."""
    contention = ContentionModel()
    usual = contention.base("s")
    load = StepLoad()
    contention.learn("s", load, 0.9, {}, 0.0)
    contention.learn("s", load, 0.9, {}, 1.0)
    assert abs(load.level - math.log(0.9)) < 0.2
    assert load.predict(usual, 1.5)[0] < load.level
    assert abs(load.predict(usual, 60.0)[0] - usual) < 0.05


def test_all_tasks_of_a_step_share_its_load() -> None:
    """With a load per task, load swings were attributed to whatever ran beside each task."""
    step = msgspec.structs.replace(SERVING, count=2)
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 100, 2.0, Workflow("", (step,)))
    state = leader(runner("i-1"))
    state.add_job(JobId("ee"), record, 1, None, False, NOW, 0.0)
    job = state.jobs[JobId("ee")]
    first, other = (
        state.new_run(job, TaskKey(job.id, 0, 0, number), 1, RunStage.RUNNING, NOW)
        for number in (0, 1)
    )
    assert first.load is other.load


def test_fillers_are_blamed_by_what_they_used_in_the_time_of_the_report() -> None:
    """A filler that just began has used nothing yet; one that ended during the report has."""
    runner_state = runner("i-1")
    put(runner_state, SERVING)
    young = put(runner_state, NOISY, job="cd")
    ended = put(runner_state, QUIET, job="ef")
    running = RunningRow(young, 1, "", 0, 0.0)
    report = Report(runner_state.id, 0.0, (running,), (EndedRow(1, ended, 1, EndKind.DONE, ""),))
    assert filler_use(runner_state, report, NOW) == {
        "noisy": 0.0,
        "quiet": runner_state.share(QUIET.millicores),
    }


def test_every_filler_is_halted_before_a_tail_counts_as_harmed() -> None:
    runner_state = runner("i-1")
    serving = put(runner_state, SERVING, tail_ms=140.0)
    put(runner_state, QUIET, job="cd")
    runner_state.runs[serving].over_target_since = NOW - 1.4
    state = leader(runner_state)
    set_paces(state, runner_state, NOW)
    assert paces(state) == [0]


MISMATCHED = Step(count=1, millicores=6000, memory_mb=100, lasting=True, image="b", target_ms=100)


def add_running_task(state: Scheduler, where: RunnerState, step: Step) -> TaskKey:
    """Add a job with one running lasting task to the leader."""
    job_id = JobId(f"a{len(state.jobs)}")
    key = put(where, step, job=job_id, tail_ms=35.0)
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 100, 2.0, Workflow("", (step,)))
    job = JobState(job_id, record, len(state.jobs))
    task = job.open_round(0).steps[0].tasks[0]
    task.phase, task.run, task.runner = Phase.BOUND, 1, where.id
    state.jobs[job_id] = job
    return key


def leader_with_pairs(*runners: RunnerState) -> Scheduler:
    """Return a leader that has learned that noisy fillers slow only `s`, quiet ones only `b`."""
    state = leader(*runners, contention=ContentionModel())
    for image, noisy, quiet in (("s", "noisy", "quiet"), ("b", "quiet", "noisy")):
        for _ in range(80):
            state.contention.learn(image, StepLoad(), 1.2, {noisy: 0.15}, NOW)
            state.contention.learn(image, StepLoad(), 0.35, {quiet: 0.15}, NOW)
    state.contention.set_expected_fillers({"noisy": 0.5, "quiet": 0.5})
    slowed = put(runners[0], NOISY, job="ff")
    runners[0].set_pace(runners[0].runs[slowed], 10, NOW - 1)
    return state


def test_no_filler_comes_to_a_runner_whose_tail_is_over_its_target() -> None:
    """The tail counted as harmed although all fillers on the runner were halted."""
    runner_state = runner("i-1")
    serving = put(runner_state, SERVING, tail_ms=140.0)
    runner_state.runs[serving].over_target_since = NOW - 0.1
    assert place(QUIET, [runner_state], trained_model()) == ""


SOME = msgspec.structs.replace(NOISY, millicores=1200)


def test_filler_headroom_follows_the_tasks_of_a_runner() -> None:
    runner_state = runner("i-1")
    contention = trained_model()
    put(runner_state, SERVING)
    assert place(SOME, [runner_state], contention) == "i-1"
    noisy = put(runner_state, SOME, job="cd")
    assert place(SOME, [runner_state], contention) == ""
    runner_state.remove(noisy)
    assert place(SOME, [runner_state], contention) == "i-1"


def test_fillers_that_found_no_place_are_tried_again_a_moment_later() -> None:
    """A pass over 200 waiting jobs and 176 runners took 160 ms and ran up to 100 times a second."""
    runner_state = runner("i-1")
    put(runner_state, SERVING)
    there = put(runner_state, SOME, job="cd")
    state = leader(runner_state)
    state.routes = {RouteName("q"): RoutePolicy(SERVICE, 2, 3)}
    record = JobRecord(RouteName("q"), SERVICE, 2, 3, 100, 2.0, Workflow("", (SOME,)))
    state.add_job(JobId("ee"), record, 1, None, False, NOW, 0.0)
    place_waiting(state, NOW, 0.0)
    runner_state.remove(there)
    place_waiting(state, NOW + FILLER_RETRY_S / 2, 0.0)
    assert TaskKey(JobId("ee"), 0, 0, 0) not in runner_state.runs
    place_waiting(state, NOW + FILLER_RETRY_S, 0.0)
    assert TaskKey(JobId("ee"), 0, 0, 0) in runner_state.runs


def test_no_fresh_job_takes_the_place_that_a_begun_one_of_its_image_waits_for() -> None:
    """Two thirds of the late jobs had begun at once, then lost every place to newer jobs."""
    runner_state = runner("i-1", 8000)
    put(runner_state, QUIET, job="cd")
    state = leader(runner_state, contention=trained_model())
    state.routes = {RouteName("q"): RoutePolicy(SERVICE, 2, 3)}
    wide = msgspec.structs.replace(QUIET, millicores=6000, estimate_ms=1000)
    small = msgspec.structs.replace(QUIET, millicores=2000, estimate_ms=1000)
    for name, step, ran in (("ee", wide, True), ("ff", small, False)):
        record = JobRecord(RouteName("q"), SERVICE, 2, 3, 9000, 2.0, Workflow("", (step,)))
        state.add_job(JobId(name), record, 1, None, False, NOW, 0.0)
        state.jobs[JobId(name)].begun = ran
    place_waiting(state, NOW, 0.0)
    assert TaskKey(JobId("ff"), 0, 0, 0) not in runner_state.runs
    state.jobs[JobId("ee")].phase = JobPhase.CANCELLED
    state.ready.pop(JobId("ee"))
    place_waiting(state, NOW + FILLER_RETRY_S, 0.0)
    assert TaskKey(JobId("ff"), 0, 0, 0) in runner_state.runs


def test_a_task_paced_down_or_saving_teaches_its_whole_time() -> None:
    """Only short tasks were learned: long ones save their progress and were slowed."""
    runner_state = runner("i-1")
    state = leader(runner_state)
    record = JobRecord(RouteName("q"), SERVICE, 2, 3, 9000, 2.0, Workflow("", (NOISY,)))
    state.add_job(JobId("ee"), record, 1, None, False, NOW, 0.0)
    job, key = state.jobs[JobId("ee")], TaskKey(JobId("ee"), 0, 0, 0)
    bind(state, job, key, 1, runner_state, NOW)
    run = runner_state.runs[key]
    run.stage, run.since = RunStage.RUNNING, NOW
    job.task(key).saved = "0123"
    runner_state.set_pace(run, 50, NOW + 1.0)
    end_run(state, key, runner_state, EndKind.DONE, "", NOW + 3.0)
    assert round(state.times.learned_state()[0].y, 3) == round(math.log(2000.0), 3)


def test_a_lasting_task_that_ran_before_goes_to_a_quarantined_runner_rather_than_nowhere() -> None:
    """The task waited beside free capacity for up to 16 s and counted as lost."""
    first, full = runner("i-1"), runner("i-2", 1000)
    first.quarantine(NOW)
    state = leader(first, full)
    state.routes = {RouteName("q"): RoutePolicy(SERVICE, 0, 3)}
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 100, 2.0, Workflow("", (SERVING,)))
    ran = Progress("running", (StoredStep(0, 0, False, (StoredTask(0, 0, 1),)),))
    state.add_job(JobId("ee"), record, 1, ran, False, NOW, 0.0)
    state.add_job(JobId("ff"), record, 2, None, False, NOW - 1, 0.0)
    place_waiting(state, NOW, 0.0)
    assert TaskKey(JobId("ee"), 0, 0, 0) in first.runs
    assert TaskKey(JobId("ff"), 0, 0, 0) not in first.runs


def report(key: TaskKey, measurement: float) -> Report:
    return Report(RunnerId("i-1"), 2000.0, (RunningRow(key, 1, "", 100, measurement),), ())


def test_a_spell_over_the_target_ends_well_below_it_and_outlives_its_leader() -> None:
    runner_state = runner("i-1")
    key = put(runner_state, SERVING, tail_ms=10.0)
    state = leader(runner_state)
    runner_state.adopted = False
    poll = Poll(state.target(runner_state), 0, None, 0)
    poll_answered(state, poll, report(key, 120.0), NOW, NOW)
    assert runner_state.runs[key].over_target_since == NOW - ASSUMED_OVER_TARGET_S
    poll_answered(state, poll, report(key, 95.0), NOW + 0.5, NOW + 0.5)
    assert runner_state.runs[key].over_target_since == NOW - ASSUMED_OVER_TARGET_S
    poll_answered(state, poll, report(key, 60.0), NOW + 1.0, NOW + 1.0)
    assert runner_state.runs[key].over_target_since is None


def test_the_mismatched_task_moves_to_its_own_kind() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    for where, step in ((mixed, SERVING), (mixed, MISMATCHED), (own, MISMATCHED)):
        add_running_task(state, where, step)
    moves = Regrouping().moves(state, NOW)
    assert [(move.source, move.destination) for move in moves] in (
        [("i-1", "i-2")],
        [("i-2", "i-1")],
    )


def test_two_tasks_are_exchanged_where_a_third_does_not_fit() -> None:
    first, second = runner("i-1", 13_000), runner("i-2", 13_000)
    state = leader_with_pairs(first, second)
    keys = [
        add_running_task(state, where, step)
        for where, step in (
            (first, SERVING),
            (first, MISMATCHED),
            (second, SERVING),
            (second, MISMATCHED),
        )
    ]
    moves = Regrouping().moves(state, NOW)
    assert sorted(moves) in (
        [Move(keys[0], first.id, second.id), Move(keys[3], second.id, first.id)],
        [Move(keys[1], first.id, second.id), Move(keys[2], second.id, first.id)],
    )


def test_capacity_is_reserved_for_a_task_that_is_being_moved() -> None:
    """Other tasks took the free capacity; the moved task found none and counted as lost."""
    first, second = runner("i-1", 8000), runner("i-2", 8000)
    state = leader_with_pairs(first, second)
    key = add_running_task(state, first, SERVING)
    move(state, key, first.id, second.id, NOW)
    assert place(SERVING, [second], state.contention) == ""
    own = PlacementRequest(SERVING, {}, NO_RUNNER, task=key)
    assert choose(own, [second], state.contention, NOW) is second
    second.drop_expired_reservations(NOW + 5)
    assert place(SERVING, [second], state.contention) == "i-2"


def test_a_task_that_has_just_come_is_not_moved_on() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    keys = [
        (where, add_running_task(state, where, step))
        for where, step in ((mixed, SERVING), (mixed, MISMATCHED), (own, MISMATCHED))
    ]
    for where, key in keys:
        where.runs[key].since = NOW - 2
    assert Regrouping().moves(state, NOW) == []


def test_a_task_that_may_not_be_away_is_not_moved() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    for where, step in ((mixed, SERVING), (mixed, MISMATCHED), (own, MISMATCHED)):
        add_running_task(state, where, msgspec.structs.replace(step, may_be_away=0))
    assert Regrouping().moves(state, NOW) == []


def job_of_age(age_s: float, begun: bool = False, estimate_ms: int = 2000) -> JobState:
    step = Step(count=1, estimate_ms=estimate_ms)
    record = JobRecord(RouteName("q"), SERVICE, 2, 3, 1000, 2.0, Workflow("", (step, step)))
    job = JobState(JobId(f"{age_s}"), record, 1, begun=begun)
    job.open_round(0)
    job.accepted_at = NOW - age_s
    job.objective_s = objective_s(job, StepTimes())
    return job


def test_jobs_that_can_meet_their_objective_go_first_and_hopeless_ones_last() -> None:
    fresh, newer = job_of_age(1.0), job_of_age(0.5)
    begun, late = job_of_age(1.5, begun=True), job_of_age(8.0)
    hopeless = job_of_age(40.0)
    assert [prospect(job, StepTimes(), NOW) for job in (begun, fresh, late, hopeless)] == list(
        Prospect
    )
    waiting = [hopeless, late, fresh, begun, newer]
    ordered = sorted(waiting, key=lambda job: work_order(job, StepTimes(), NOW))
    assert ordered == [begun, newer, fresh, late, hopeless]


def test_a_chain_counts_only_steps_that_wait_for_each_other() -> None:
    first = Step(count=1, estimate_ms=1000)
    beside = Step(count=1, estimate_ms=3000)
    last = Step(count=1, estimate_ms=500, after=(0, 1))
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 250, 1.5, Workflow("", (first, beside, last)))
    assert objective_s(JobState(JobId("a"), record, 1), StepTimes()) == 1.5 * 3.5 + 0.25


def test_an_inherited_filler_gets_a_new_pace() -> None:
    """The previous leader may have slowed the filler; no one else would restore its pace."""
    state = leader()
    step = Step(count=1, millicores=4000, fills=True, image="quiet")
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 100, 2.0, Workflow("", (step,)))
    job = JobState(JobId("ab"), record, 1)
    task = job.open_round(0).steps[0].tasks[0]
    task.phase, task.run, task.runner = Phase.BOUND, 1, RunnerId("i-1")
    job.begun = True
    state.add_job(JobId("ab"), record, 1, job.progress(), False, NOW, 0.0)
    runner_state = state.runners[RunnerId("i-1")]
    runner_state.entry = runner("i-1").entry
    run = runner_state.runs[TaskKey(JobId("ab"), 0, 0, 0)]
    run.stage = RunStage.RUNNING
    put(runner_state, SERVING, job="cd", tail_ms=30.0)
    set_paces(state, runner_state, NOW)
    assert paces(state) == [90]


def test_a_halted_filler_runs_again_once_nothing_serves_beside_it() -> None:
    """The filler kept the pace it had beside the last serving task and counted as lost."""
    runner_state = runner("i-1")
    noisy = put(runner_state, NOISY, job="cd")
    runner_state.set_pace(runner_state.runs[noisy], 0, NOW - 1)
    state = leader(runner_state)
    set_paces(state, runner_state, NOW)
    assert paces(state) == [100]

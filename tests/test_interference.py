"""The ladder: persistent harm steps down, calm grows back, budgets hold."""

from collections.abc import Callable

from spoolcrank import interference, ladder
from spoolcrank.ids import Epoch, Incarnation, InstanceId, ServiceName, TaskClass, TaskId
from spoolcrank.interference import EvictTask, Learnt, Level, ThrottleTask
from spoolcrank.jobs import JobClass, Size
from spoolcrank.policy import DEFAULT, Policy
from spoolcrank.worker import Report, RunningTask

SERVER = InstanceId("backend-1")
SERVICE = ServiceName("quotes")
RATE = 50.0


def report(*classes: str, throttle: float = 1.0, ran_s: float = 10.0) -> Report:
    running = [
        RunningTask(
            task=TaskId(f"job-{number}.0"),
            attempt=1,
            size=Size(),
            task_class=TaskClass(name),
            job_class=JobClass.BATCH,
            throttle=throttle,
            ran_s=ran_s + number,
        )
        for number, name in enumerate(classes)
    ]
    nobody = Incarnation("w")
    return Report(incarnation=nobody, owner=nobody, epoch=Epoch(1), clock=0.0, running=running)


def drive(
    learnt: Learnt, told: Report, latency_s: float, begin: float, seconds: float, policy: Policy
) -> list[interference.Step]:
    steps: list[interference.Step] = []
    for tenth in range(round(seconds * 10)):
        now = begin + tenth / 10
        learnt.on_latency(SERVER, latency_s, now)
        steps += ladder.step(learnt, SERVER, SERVICE, "new", told, RATE, policy, now)
    return steps


def test_short_burst_is_left_to_steering_and_lasting_harm_is_throttled() -> None:
    learnt = Learnt()
    told = report("noisy", "noisy")
    assert drive(learnt, told, 0.02, 0.0, 3.0, DEFAULT) == []
    assert drive(learnt, told, 0.08, 3.0, 1.5, DEFAULT) == []
    steps = drive(learnt, told, 0.08, 4.5, 3.0, DEFAULT)
    assert steps and all(isinstance(one, ThrottleTask) for one in steps)
    assert learnt.level(SERVER) is Level.THROTTLED


def test_evictions_stay_within_their_budget_and_lose_the_least_work() -> None:
    learnt = Learnt()
    drive(learnt, report("noisy"), 0.02, 0.0, 3.0, DEFAULT)
    told = report("noisy", "noisy", throttle=0.1)
    steps = drive(learnt, told, 0.2, 3.0, 50.0, DEFAULT)
    evicted = [one for one in steps if isinstance(one, EvictTask)]
    assert 0 < len(evicted) <= DEFAULT.interference.evictions_per_minute
    assert evicted[0].task == "job-0.0"


def test_pairs_are_learnt_told_and_forgotten() -> None:
    learnt = Learnt()
    drive(learnt, report("noisy"), 0.02, 0.0, 3.0, DEFAULT)
    drive(learnt, report("noisy"), 0.06, 3.0, 10.0, DEFAULT)
    known = learnt.known_slowdown(SERVICE, TaskClass("noisy"), "new", DEFAULT, 13.0)
    assert known is not None and known > 0.5
    successor = Learnt()
    successor.hear(learnt.tell(13.0), 13.0)
    heard = successor.known_slowdown(SERVICE, TaskClass("noisy"), "new", DEFAULT, 13.0)
    assert heard == known
    later = 13.0 + 4 * DEFAULT.interference.forget_s
    faded = learnt.known_slowdown(SERVICE, TaskClass("noisy"), "new", DEFAULT, later)
    assert faded is not None and faded < known / 10


def test_class_is_called_quiet_only_by_samples_of_its_own_time() -> None:
    learnt = Learnt()
    drive(learnt, report("fresh", ran_s=0.5), 0.02, 0.0, 5.0, DEFAULT)
    assert learnt.known_slowdown(SERVICE, TaskClass("fresh"), "new", DEFAULT, 5.0) is None
    drive(learnt, report("fresh", ran_s=5.0), 0.02, 5.0, 5.0, DEFAULT)
    assert learnt.known_slowdown(SERVICE, TaskClass("fresh"), "new", DEFAULT, 10.0) == 0.0


def test_server_that_fails_what_its_peers_finish_is_suspected() -> None:
    learnt = Learnt()
    for _ in range(6):
        learnt.on_end(SERVER, "failed")
        learnt.on_end(InstanceId("backend-2"), "finished")
    assert learnt.is_suspect(SERVER)
    assert not learnt.is_suspect(InstanceId("backend-2"))
    everywhere = Learnt()
    for name in ("backend-1", "backend-2", "backend-3"):
        for _ in range(6):
            everywhere.on_end(InstanceId(name), "failed")
    assert not everywhere.is_suspect(SERVER)


def play(latency_s: Callable[[float], float], seconds: float) -> list[interference.Step]:
    """Let two tasks run as they are told, with the latency that follows from their speeds."""
    learnt = Learnt()
    drive(learnt, report("noisy", "noisy"), latency_s(0.0), 0.0, 3.0, DEFAULT)
    speeds = {"job-0.0": 1.0, "job-1.0": 1.0}
    steps: list[interference.Step] = []
    for tenth in range(30, round(seconds * 10)):
        now = tenth / 10
        told = report(*["noisy"] * len(speeds))
        running = [
            run.model_copy(update={"throttle": speed})
            for run, speed in zip(told.running, speeds.values(), strict=True)
        ]
        told = told.model_copy(update={"running": running})
        learnt.on_latency(SERVER, latency_s(sum(speeds.values())), now)
        for step in ladder.step(learnt, SERVER, SERVICE, "new", told, RATE, DEFAULT, now):
            steps.append(step)
            if isinstance(step, ThrottleTask):
                speeds[step.task] = step.share
    return steps


def test_work_that_is_not_the_cause_is_neither_stopped_nor_kept_slow() -> None:
    """Batch jobs took over six times their time while their servers' services were slow.

    Seen: three tests of real processes had jobs that had not ended 60 s after their fault, once
    each beside other load. With all runners made four times as slow by a fault, and nothing else,
    jobs of 8 s ended after 51.4 s: on each server four tasks were stopped and the others slowed to
    a third, and what was stopped waited 30 s for a calm server. Without it they took 7 to 9 s.
    Cause: a slow service was always taken for the doing of the batch work beside it.
    Proof: this test, without the mend, stops tasks.
    """
    steps = play(lambda speed: 0.02 if speed == 0.0 else 0.08, 60.0)
    assert not [one for one in steps if isinstance(one, EvictTask)]
    slowed_s = sum(1.0 for one in steps if isinstance(one, ThrottleTask) and one.share < 1.0)
    assert 0 < slowed_s <= 8


def test_work_that_is_the_cause_in_part_is_stopped_once_slowing_it_is_not_enough() -> None:
    steps = play(lambda speed: 0.02 + 0.04 * speed, 30.0)
    assert [one for one in steps if isinstance(one, EvictTask)]

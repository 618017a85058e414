"""The ladder: persistent harm steps down, calm grows back, budgets hold."""

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

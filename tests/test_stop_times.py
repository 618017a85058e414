"""Time limits of a planned stop: each state ends, and every request is answered before the end."""

import heapq
import itertools
import json
from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank._web import HttpReply, HttpRequest
from spoolcrank.errors import ErrorKind
from spoolcrank.ids import JobId, ServiceName
from spoolcrank.job_index import JobIndex
from spoolcrank.job_intake import (
    APPEND_TIMEOUT_S,
    MAX_ANSWER_S,
    READ_TIMEOUT_S,
    IntakeOutcome,
    JobIntake,
)
from spoolcrank.keyed_log import LEADER_KEY
from spoolcrank.leadership import decode_claim
from spoolcrank.log_follower import LogFollower
from spoolcrank.planned_stop import (
    INTAKE_END_S,
    LOOP_LAG_ALLOWANCE_S,
    SEND_ALLOWANCE_S,
    RemainingWork,
    StopState,
    next_state,
    stop_times,
)
from spoolcrank.platform.clients import ClientApi
from spoolcrank.platform.documents import decode_configuration
from spoolcrank.platform.store import CALL_TIMEOUT_S
from spoolcrank.prometheus_metrics import PrometheusMetrics
from spoolcrank.store_port import Append, Appended, AppendOutcome, NewestPage, Records
from spoolcrank.workflow import JobPhase, JobRecord, RouteName, Step, Workflow
from tests.fleet_world import World

USUAL_GRACE_S = 6.0
TIMER_LAG_S = 0.03
"""Delay of each timer of the simulated loop, in seconds."""


def test_whatever_is_read_can_be_answered_before_the_end() -> None:
    """Guard against time limits of the store's calls that exceed what the grace period leaves."""
    times = stop_times(USUAL_GRACE_S)
    assert times.intake_end_s == INTAKE_END_S
    assert times.intake_end_s + MAX_ANSWER_S + LOOP_LAG_ALLOWANCE_S <= times.answers_end_s
    assert times.answers_end_s + SEND_ALLOWANCE_S <= times.end_s < USUAL_GRACE_S


@pytest.mark.parametrize("grace_s", [0.0, 0.5, 2.0, 4.0, 5.0, 30.0])
def test_a_shorter_grace_shortens_serving_first(grace_s: float) -> None:
    times = stop_times(grace_s)
    assert list(times) == sorted(times)
    assert 0.0 <= times.end_s <= grace_s
    assert times.intake_end_s <= INTAKE_END_S
    if times.intake_end_s > 0.0:
        assert (
            times.intake_end_s + MAX_ANSWER_S + LOOP_LAG_ALLOWANCE_S <= times.answers_end_s + 1e-9
        )


def states(
    remaining: RemainingWork, check_interval_s: float, until_s: float
) -> list[tuple[StopState, float]]:
    """Return the states that a stop with the usual grace period enters, each with its time."""
    times = stop_times(USUAL_GRACE_S)
    state, entered, since_s = StopState.SERVING, [], 0.0
    while state is not StopState.ENDED and since_s < until_s:
        since_s += check_interval_s
        after = next_state(state, times, since_s, remaining)
        if after is not state:
            entered.append((after, since_s))
        state = after
    return entered


def test_with_nothing_left_the_stop_ends_soon_after_intake() -> None:
    entered = states(RemainingWork(0, False), 0.05, 10.0)
    assert [state for state, _ in entered] == [StopState.REFUSING, StopState.ENDED]
    assert entered[-1][1] <= INTAKE_END_S + 0.2


@pytest.mark.parametrize(
    "remaining", [RemainingWork(1, False), RemainingWork(0, True), RemainingWork(9, True)]
)
def test_clients_and_the_leadership_are_each_waited_for_until_the_end(
    remaining: RemainingWork,
) -> None:
    entered = states(remaining, 0.05, 10.0)
    assert [state for state, _ in entered] == [
        StopState.REFUSING,
        StopState.SENDING,
        StopState.ENDED,
    ]
    assert entered[-1][1] <= stop_times(USUAL_GRACE_S).end_s + 0.1


def test_a_loop_delayed_for_seconds_skips_no_state() -> None:
    entered = states(RemainingWork(1, True), 4.0, 40.0)
    assert [state for state, _ in entered] == [
        StopState.REFUSING,
        StopState.SENDING,
        StopState.ENDED,
    ]


class Loop:
    """Event loop in simulated time whose timers all run `TIMER_LAG_S` late."""

    def __init__(self) -> None:
        self.now = 100.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay_s + TIMER_LAG_S, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until


class Store:
    """Store that answers appends after `append_s`; it never answers reads if `read_s` is None."""

    def __init__(
        self, loop: Loop, outcome: AppendOutcome, append_s: float, read_s: float | None
    ) -> None:
        self._loop = loop
        self._outcome = outcome
        self._append_s = append_s
        self._read_s = read_s
        self.appended = 0

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        self.appended += len(append.records)
        self._loop.after(self._append_s, lambda: done(Appended(self._outcome, 0)))

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        if self._read_s is not None and wait_ms == 0:
            raise AssertionError("reads are not simulated")

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        done(NewestPage(True, (), False, 0))


class Instance:
    """Intake of an instance, with its log follower and job index, in simulated time."""

    def __init__(self, outcome: AppendOutcome, append_s: float) -> None:
        self.loop = loop = Loop()
        self.store = Store(loop, outcome, append_s, None)
        timers: Any = loop

        def clock() -> float:
            return loop.now

        self.follower = LogFollower(self.store, timers, clock, lambda *_: None, lambda *_: None)
        self.follower.begin()
        self.index = JobIndex()
        self.intake = JobIntake(self.store, self.follower, self.index, timers, clock)


def record_age(loop: Loop, ages: list[float]) -> Callable[[IntakeOutcome], None]:
    received_at = loop.now
    return lambda outcome: ages.append(loop.now - received_at)


def job() -> JobRecord:
    return JobRecord(RouteName("q"), ServiceName("work"), 0, 3, 250, 1.5, Workflow("x", (Step(1),)))


@pytest.mark.parametrize("outcome", [AppendOutcome.UNKNOWN, AppendOutcome.NOT_STORED])
@pytest.mark.parametrize("append_s", [0.0, 0.4, 0.6, CALL_TIMEOUT_S])
def test_a_submission_is_answered_within_the_append_timeout(
    outcome: AppendOutcome, append_s: float
) -> None:
    """Jobs arrive steadily at a store that stores none; each job waits for its own calls only."""
    instance = Instance(outcome, append_s)
    ages: list[float] = []
    asked = 400
    for number in range(asked):
        instance.loop.run(100.0 + number * 0.01)
        instance.intake.submit(JobId(f"{number:x}"), job(), record_age(instance.loop, ages))
    instance.loop.run(120.0)
    assert len(ages) == asked
    assert max(ages) <= APPEND_TIMEOUT_S + TIMER_LAG_S


def test_a_query_that_the_store_does_not_answer_is_given_up() -> None:
    instance = Instance(AppendOutcome.STORED, 0.0)
    answers: list[Any] = []
    instance.intake.state(JobId("a"), lambda phase: answers.append((phase, instance.loop.now)))
    instance.loop.run(110.0)
    assert [phase for phase, _ in answers] == [ErrorKind.LOG_UNAVAILABLE]
    assert answers[0][1] <= 100.0 + READ_TIMEOUT_S + TIMER_LAG_S


def test_after_the_end_of_intake_nothing_new_is_passed_to_the_store() -> None:
    instance = Instance(AppendOutcome.STORED, 0.4)
    answers: list[Any] = []
    instance.intake.submit(JobId("a"), job(), answers.append)
    instance.loop.run(100.1)
    instance.intake.end()
    instance.intake.submit(JobId("b"), job(), answers.append)
    instance.intake.state(JobId("b"), answers.append)
    instance.intake.cancel(JobId("b"), answers.append)
    assert answers == [IntakeOutcome.LEAVING, ErrorKind.LEAVING, ErrorKind.LEAVING]
    instance.loop.run(102.0)
    assert answers[3:] == [IntakeOutcome.STORED]
    instance.intake.submit(JobId("a"), job(), answers.append)
    instance.intake.state(JobId("a"), answers.append)
    assert answers[4:] == [IntakeOutcome.STORED, ErrorKind.LEAVING]
    assert instance.store.appended == 1


def test_a_state_that_is_known_locally_is_reported_after_the_end_of_intake() -> None:
    instance = Instance(AppendOutcome.STORED, 0.0)
    answers: list[Any] = []
    instance.intake.submit(JobId("a"), job(), answers.append)
    instance.loop.run(101.0)
    instance.intake.end()
    instance.follower.copy.read_at = instance.loop.now
    instance.intake.state(JobId("a"), answers.append)
    assert answers == [IntakeOutcome.STORED, JobPhase.PENDING]


class Log:
    def log(self, name: str, important: bool = False, **fields: Any) -> None:
        """Discard the line."""


def test_requests_that_still_wait_at_the_end_are_answered_by_what_is_known() -> None:
    """A record that may be on the log is never reported as refused; a query may be repeated."""
    route = {
        "name": "q",
        "host": "a",
        "pathPrefix": "/q/",
        "service": "s",
        "maxAttempts": 4,
        "sloMs": 250,
    }
    table = decode_configuration(json.dumps({"version": 1, "routes": [route]}).encode())
    instance = Instance(AppendOutcome.UNKNOWN, 50.0)
    log: Any = Log()
    api = ClientApi(
        instance.intake, lambda: table, lambda done: done(None), log, PrometheusMetrics()
    )
    replies: list[tuple[str, HttpReply]] = []
    body = json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()

    def ask(method: str) -> None:
        req = HttpRequest(method, "/q/ab", {}, {"host": "a"}, body, "")
        api.answer(req, lambda answer: replies.append((method, answer)))

    for method in ("POST", "GET", "DELETE"):
        ask(method)
    instance.loop.run(100.5)
    assert replies == []
    assert api.give_up() == 3
    assert {method: answer.status for method, answer in replies} == {
        "POST": 504,
        "GET": 503,
        "DELETE": 504,
    }
    instance.loop.run(200.0)
    assert len(replies) == 3
    assert len(api.open_requests) == 0


def test_a_claim_in_flight_when_the_stop_begins_is_given_up_before_intake_ends() -> None:
    """Otherwise the process ends as leader, because it did not lead yet when its stop began."""
    world = World(1)
    for number in range(2):
        world.add_instance(f"entry-{number}")
    while not claimants(world):
        world.run(0.001)
    (leaving,) = claimants(world)
    assert leaving.dispatcher.scheduler is None
    leaving.dispatcher.leave(lambda: None)
    world.run(INTAKE_END_S)
    assert leaving.dispatcher.scheduler is None
    leader_records = [record for record in world.store.jobs.records if record.key == LEADER_KEY]
    decoded = [decode_claim(record.value) for record in leader_records]
    assert [claim.resigned for claim in decoded if claim.instance == leaving.name][-1]
    leader = world.leader()
    assert leader is not None
    assert leader is not leaving


def claimants(world: World) -> list[Any]:
    instances = world.instances.values()
    return [
        instance
        for instance in instances
        if any(name == "claims" for name, _ in instance.logged.lines)
    ]

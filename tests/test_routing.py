"""Routing decisions: slot counts, refusals and retries.

The tests guard against runners with more requests than slots, requests that run twice or are
reported as not run after a runner received them, and retries without a limit.

The seed of a derandomized Hypothesis test depends on its name and source, so a change to either
changes the examples that it tries.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from spoolcrank import known_runners, routing
from spoolcrank.errors import ANSWERS, ErrorKind, Outcome, Refusal
from spoolcrank.ids import AvailabilityZone, InstanceId, RequestId, ServiceName
from spoolcrank.policy import DEFAULT
from spoolcrank.route_state import (
    FreeSlots,
    Refuse,
    Request,
    Result,
    Router,
    Runner,
    ToPeer,
    ToRunner,
)

SERVICE = ServiceName("quotes")
ZONE = AvailabilityZone("a")
PEER = InstanceId("entry-2")


def make_router(runners: int = 1, slots: int = 2) -> Router:
    router = Router(InstanceId("entry-1"), ZONE)
    names = [InstanceId(f"backend-{number}") for number in range(runners)]
    known_runners.sync_runners(router, [Runner(name, SERVICE, slots) for name in names])
    return router


def make_request(
    name: str, now: float = 0.0, repeatable: bool = True, urgency: int = 5, left_s: float = 2.0
) -> Request:
    return Request(RequestId(name), SERVICE, urgency, repeatable, now, now + left_s)


def refusal_of(actions: list[routing.RouteAction]) -> ErrorKind | None:
    return next((action.refusal.kind for action in actions if isinstance(action, Refuse)), None)


def test_never_sends_more_than_the_slots_of_a_runner() -> None:
    router = make_router(runners=1, slots=2)
    actions = []
    for number in range(6):
        actions += routing.submit(router, make_request(f"r{number}"), DEFAULT, 0.0)
    assert sum(isinstance(action, ToRunner) for action in actions) == 2
    assert router.runners[InstanceId("backend-0")].busy == 2


def test_once_only_request_is_not_retried_after_a_byte_went_out() -> None:
    router = make_router(runners=2)
    sent = routing.submit(router, make_request("r", repeatable=False), DEFAULT, 0.0)[0]
    assert isinstance(sent, ToRunner)
    actions = routing.on_result(router, RequestId("r"), sent.attempt, Result.CUT, DEFAULT, 0.1)
    assert refusal_of(actions) is ErrorKind.RUNNER_LOST
    assert ANSWERS[ErrorKind.RUNNER_LOST].outcome is Outcome.UNKNOWN


def test_request_that_was_not_sent_goes_to_another_runner() -> None:
    router = make_router(runners=2)
    sent = routing.submit(router, make_request("r", repeatable=False), DEFAULT, 0.0)[0]
    assert isinstance(sent, ToRunner)
    again = routing.on_result(router, RequestId("r"), sent.attempt, Result.NOT_SENT, DEFAULT, 0.1)
    assert isinstance(again[0], ToRunner)
    assert again[0].server != sent.server


def test_retries_stop_when_their_budget_is_spent() -> None:
    router = make_router(runners=4, slots=100)
    router.retry_tokens = 0.0
    retried = 0
    for number in range(50):
        name = f"r{number}"
        for runner in router.runners.values():
            runner.failures = 0
        sent = routing.submit(router, make_request(name), DEFAULT, 0.0)[0]
        assert isinstance(sent, ToRunner)
        actions = routing.on_result(router, RequestId(name), sent.attempt, Result.CUT, DEFAULT, 0.0)
        retried += any(isinstance(action, ToRunner) for action in actions)
    assert retried <= 50 * DEFAULT.routing.retry_share + 1


def test_overload_is_refused_at_once_with_a_time_to_retry() -> None:
    router = make_router(runners=1, slots=1)
    refused = []
    for number in range(40):
        refused += [
            action
            for action in routing.submit(router, make_request(f"r{number}"), DEFAULT, 0.0)
            if isinstance(action, Refuse)
        ]
    assert refused
    assert all(action.refusal.kind is ErrorKind.OVERLOADED for action in refused)
    assert all(action.refusal.retry_after_s > 0 for action in refused)


def test_urgent_request_takes_the_place_of_a_waiting_ordinary_one() -> None:
    router = make_router(runners=1, slots=1)
    for number in range(40):
        routing.submit(router, make_request(f"r{number}", urgency=1), DEFAULT, 0.0)
    actions = routing.submit(router, make_request("urgent", urgency=9), DEFAULT, 0.0)
    assert refusal_of(actions) is ErrorKind.OVERLOADED
    assert all(action.request != "urgent" for action in actions if isinstance(action, Refuse))


def test_request_that_a_full_peer_refused_is_not_forwarded_again_at_once() -> None:
    router = make_router(runners=0)
    known_runners.on_peer_slots(router, PEER, ZONE, {SERVICE: [FreeSlots(0, 0.02)]}, 0.0)
    sent = routing.submit(router, make_request("r"), DEFAULT, 0.1)[0]
    assert isinstance(sent, ToPeer)
    full = Refusal(ErrorKind.OVERLOADED, "full", retry_after_s=0.5)
    actions = routing.on_result(
        router, RequestId("r"), sent.attempt, Result.REFUSED, DEFAULT, 0.2, full
    )
    assert not any(isinstance(action, ToPeer) for action in actions)


def test_forwarded_request_is_refused_at_once_when_the_runners_are_handed_over() -> None:
    router = make_router(runners=1, slots=1)
    known_runners.on_peer_slots(router, PEER, ZONE, {SERVICE: [FreeSlots(0, 0.02)]}, 0.0)
    for name in ("running", "waiting"):
        routing.submit(router, make_request(name)._replace(origin=PEER), DEFAULT, 0.0)
    known_runners.sync_runners(router, [])
    assert refusal_of(routing.tick(router, DEFAULT, 0.1)) is ErrorKind.NO_RUNNER
    late = make_request("late")._replace(origin=PEER)
    assert refusal_of(routing.submit(router, late, DEFAULT, 0.1)) is ErrorKind.NO_RUNNER


def test_fast_runner_of_a_peer_is_preferred_to_a_slow_own_runner() -> None:
    router = make_router(runners=1, slots=8)
    router.runners[InstanceId("backend-0")].latency_s = 0.2
    known_runners.on_peer_slots(router, PEER, ZONE, {SERVICE: [FreeSlots(4, 0.02)]}, 0.0)
    sent = routing.submit(router, make_request("r"), DEFAULT, 0.1)[0]
    assert isinstance(sent, ToPeer)


def test_failing_runner_gets_no_request_until_a_repeatable_one_probes_it() -> None:
    router = make_router(runners=1)
    for number in range(DEFAULT.routing.suspect_failures):
        sent = routing.submit(router, make_request(f"r{number}"), DEFAULT, 0.0)[0]
        assert isinstance(sent, ToRunner)
        routing.on_result(router, sent.request, sent.attempt, Result.CUT, DEFAULT, 0.0)
    assert not any(
        isinstance(action, ToRunner)
        for action in routing.submit(router, make_request("out"), DEFAULT, 0.1)
    )
    later = DEFAULT.routing.probe_s + 0.5
    router.queue.clear()
    once = routing.submit(router, make_request("once", later, repeatable=False), DEFAULT, later)
    assert not any(isinstance(action, ToRunner) for action in once)
    router.queue.clear()
    probe = routing.submit(router, make_request("probe", later), DEFAULT, later)
    assert isinstance(probe[0], ToRunner)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(list(Result)), st.booleans(), st.floats(0, 0.5)),
        min_size=1,
        max_size=60,
    )
)
def test_not_run_is_told_only_of_requests_that_no_runner_saw(
    steps: list[tuple[Result, bool, float]],
) -> None:
    router = make_router(runners=3, slots=2)
    now = 0.0
    seen_by_runner: set[str] = set()
    open_attempts: list[ToRunner] = []

    def take(actions: list[routing.RouteAction]) -> None:
        for one in actions:
            if isinstance(one, ToRunner):
                open_attempts.append(one)
            if isinstance(one, Refuse):
                outcome = ANSWERS[one.refusal.kind].outcome
                under_way = any(attempt.request == one.request for attempt in open_attempts)
                may_have_run = under_way or one.request in seen_by_runner
                assert not (outcome is Outcome.NOT_RUN and may_have_run)
        for runner in router.runners.values():
            assert 0 <= runner.busy <= runner.slots

    for number, (result, repeatable, passed) in enumerate(steps):
        now += passed
        take(routing.submit(router, make_request(f"r{number}", now, repeatable), DEFAULT, now))
        if open_attempts and result is not Result.REFUSED:
            done = open_attempts.pop(0)
            if result is not Result.NOT_SENT:
                seen_by_runner.add(done.request)
            take(routing.on_result(router, done.request, done.attempt, result, DEFAULT, now))
        take(routing.tick(router, DEFAULT, now))

"""Route callers' requests to runners with exact slot counts, short queues and early refusals.

An owner counts the slots of its own runners exactly. It estimates those of other owners from
their heartbeats and from the requests forwarded since. A request that cannot be answered in time
is refused at once, and is reported as "not run" only if no byte of it was sent to a runner.
"""

from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import InstanceId, RequestId, ServiceName
from spoolcrank.known_runners import record_latency
from spoolcrank.policy import Policy
from spoolcrank.route_choice import (
    best_peer,
    best_runner,
    least_loaded_peer,
    owns_runner,
    peer_cost,
    reachable_peers,
    runner_cost,
    slot_limit,
)
from spoolcrank.route_state import (
    INITIAL_LATENCY_S,
    MAX_RETRY_TOKENS,
    Count,
    Deliver,
    InFlightRequest,
    PeerRunners,
    Refuse,
    Request,
    Result,
    RouteAction,
    Router,
    Runner,
    ToPeer,
    ToRunner,
)

_MAX_TRIES = 4
_MAX_TRIES_BEFORE_QUEUE = 3
_MIN_QUEUE_LENGTH = 8
_MIN_RETRY_AFTER_S = 0.05
_FORWARD_TTL_S = 60.0  # forwarded attempts without a result are dropped after this time


def free_slots(router: Router, server: InstanceId, policy: Policy, now: float) -> int:
    """Return how many requests from peers one of our runners can accept now."""
    runner = router.runners.get(server)
    if runner is None:
        return 0
    waiting = len(router.queue.get(runner.service, []))
    return max(0, slot_limit(router, runner, policy, now) - runner.busy - waiting)


def usable_slots(router: Router, service: ServiceName) -> float:
    """Return the larger of our own slots and our share of the fleet's slots for a service."""
    own = sum(runner.slots for runner in router.runners.values() if runner.service == service)
    return max(own, router.slot_shares.get(service, 0.0))


def submit(router: Router, req: Request, policy: Policy, now: float) -> list[RouteAction]:
    """Accept a request: run it, forward it, queue it or refuse it."""
    call = InFlightRequest(req)
    router.in_flight[req.id] = call
    router.retry_tokens = min(MAX_RETRY_TOKENS, router.retry_tokens + policy.routing.retry_share)
    if req.deadline <= now:
        return _refuse(router, call, ErrorKind.DEADLINE_EXCEEDED, "arrived after its deadline", 0)
    if not router.queue.get(req.service):
        sent = _dispatch(router, call, policy, now)
        if sent is not None:
            return [sent]
    return _enqueue(router, call, policy, now)


def _dispatch(
    router: Router, call: InFlightRequest, policy: Policy, now: float
) -> ToRunner | ToPeer | None:
    runner = best_runner(router, call, policy, now)
    peer = best_peer(router, call, policy, now) if call.req.origin is None else None
    if runner is not None and (peer is None or not _prefers_peer(router, runner, peer, policy)):
        return _send_to_runner(router, call, runner, now)
    if peer is not None:
        return _send_to_peer(router, call, peer.peer, now)
    return None


def _prefers_peer(router: Router, runner: Runner, peer: PeerRunners, policy: Policy) -> bool:
    """Return whether a peer's runner is fast enough to be preferred to a free one of ours."""
    return runner_cost(runner) > policy.routing.steer_ratio * peer_cost(router, peer)


def _begin_attempt(router: Router, call: InFlightRequest, target: InstanceId, now: float) -> int:
    router.next_attempt += 1
    call.tries += 1
    call.sent_at = now
    call.open_attempts[router.next_attempt] = target
    return router.next_attempt


def _send_to_runner(router: Router, call: InFlightRequest, runner: Runner, now: float) -> ToRunner:
    runner.busy += 1
    if runner.next_probe_at:
        runner.next_probe_at = now + 1.0
    attempt = _begin_attempt(router, call, runner.server, now)
    router.attempt_runners[attempt] = runner.server
    return ToRunner(call.req.id, attempt, runner.server)


def _send_to_peer(router: Router, call: InFlightRequest, peer: InstanceId, now: float) -> ToPeer:
    attempt = _begin_attempt(router, call, peer, now)
    router.forwarded.setdefault(peer, {})[attempt] = now
    return ToPeer(call.req.id, attempt, peer)


def _queue_limit(router: Router, service: ServiceName, policy: Policy) -> int:
    own = usable_slots(router, service)
    return max(_MIN_QUEUE_LENGTH, round(policy.routing.queue_per_slot * own))


def estimate_wait_s(router: Router, service: ServiceName, ahead: int) -> float:
    """Return the estimated wait behind `ahead` queued requests, in seconds."""
    typical_s = router.typical_latency_s.get(service, INITIAL_LATENCY_S)
    return typical_s * (ahead + 1) / max(1.0, usable_slots(router, service))


def _queue_rank(call: InFlightRequest) -> tuple[int, float]:
    return (-call.req.urgency, call.req.deadline)


def _enqueue(
    router: Router, call: InFlightRequest, policy: Policy, now: float
) -> list[RouteAction]:
    req = call.req
    sent_to_owner = _queue_at_owner(router, call, policy, now)
    if sent_to_owner is not None:
        return [sent_to_owner, Count("route.queued-at-owner")]
    waiting = router.queue.setdefault(req.service, [])
    ahead = sum(1 for other in waiting if _queue_rank(router.in_flight[other]) <= _queue_rank(call))
    wait_s = estimate_wait_s(router, req.service, ahead)
    typical_s = router.typical_latency_s.get(req.service, INITIAL_LATENCY_S)
    if now + wait_s + typical_s > req.deadline:
        detail = f"the estimated wait of {wait_s:.3f} s exceeds the deadline"
        return _refuse(router, call, ErrorKind.OVERLOADED, detail, wait_s)
    if not _reachable(router, call, policy, now):
        detail = f"no runner of {req.service} is reachable"
        return _refuse(router, call, ErrorKind.NO_RUNNER, detail, policy.routing.probe_s)
    actions: list[RouteAction] = []
    if len(waiting) >= _queue_limit(router, req.service, policy):
        worst = max(waiting, key=lambda other: _queue_rank(router.in_flight[other]))
        if _queue_rank(router.in_flight[worst])[0] <= _queue_rank(call)[0]:
            detail = f"all slots of {req.service} are busy and the queue is full"
            return _refuse(router, call, ErrorKind.OVERLOADED, detail, wait_s)
        detail = f"removed from the full queue by a more urgent request for {req.service}"
        actions += _refuse(router, router.in_flight[worst], ErrorKind.OVERLOADED, detail, wait_s)
    waiting.append(req.id)
    return [*actions, Count("route.queued")]


def _queue_at_owner(
    router: Router, call: InFlightRequest, policy: Policy, now: float
) -> ToPeer | None:
    """Forward a request to an owner's queue if we own no runner of its service.

    Owners serve their own queues first, so a request queued here would get a slot only after
    those queues are empty.
    """
    if call.req.origin is not None or call.tries >= _MAX_TRIES_BEFORE_QUEUE:
        return None
    if owns_runner(router, call.req.service):
        return None
    owner = least_loaded_peer(router, call, policy, now)
    return _send_to_peer(router, call, owner, now) if owner is not None else None


def _reachable(router: Router, call: InFlightRequest, policy: Policy, now: float) -> bool:
    """Return whether any runner that this request may use can still free a slot.

    A forwarded request uses only our own runners. Once they are handed over, it must be refused
    at once, so that its origin can send it to another owner.
    """
    service = call.req.service
    own = owns_runner(router, service)
    if call.req.origin is not None:
        return own
    return own or bool(reachable_peers(router, service, policy, now))


def _refuse(
    router: Router, call: InFlightRequest, kind: ErrorKind, detail: str, retry_after_s: float
) -> list[RouteAction]:
    _discard(router, call)
    delay_s = max(_MIN_RETRY_AFTER_S, retry_after_s) if kind is ErrorKind.OVERLOADED else 0.0
    refusal = Refusal(kind, detail, retry_after_s=delay_s or retry_after_s)
    return [Refuse(call.req.id, refusal)]


def _discard(router: Router, call: InFlightRequest) -> None:
    router.in_flight.pop(call.req.id, None)
    waiting = router.queue.get(call.req.service, [])
    if call.req.id in waiting:
        waiting.remove(call.req.id)


def on_result(
    router: Router,
    request: RequestId,
    attempt: int,
    result: Result,
    policy: Policy,
    now: float,
    refusal: Refusal | None = None,
) -> list[RouteAction]:
    """Handle the result of an attempt: free its slot, then answer, retry or refuse its request.

    Args:
        router: changed in place.
        request: the request that the attempt was for.
        attempt: the attempt's number.
        result: how the attempt ended.
        policy: the configuration in force.
        now: the present time, in seconds of the monotonic clock.
        refusal: the peer's refusal if `result` is `Result.REFUSED`.
    """
    call = router.in_flight.get(request)
    _release_slot(router, call, attempt, result, policy, now)
    actions: list[RouteAction] = []
    if call is not None and attempt in call.open_attempts:
        target = call.open_attempts.pop(attempt)
        actions += _apply_result(router, call, attempt, target, result, refusal, policy, now)
    actions += _drain_queues(router, policy, now)
    return actions


def _release_slot(
    router: Router,
    call: InFlightRequest | None,
    attempt: int,
    result: Result,
    policy: Policy,
    now: float,
) -> None:
    for sent_times in router.forwarded.values():
        sent_times.pop(attempt, None)
    server = router.attempt_runners.pop(attempt, None)
    runner = router.runners.get(server) if server is not None else None
    if runner is None:
        return
    runner.busy = max(0, runner.busy - 1)
    if result is Result.ANSWERED:
        runner.failures = 0
        runner.next_probe_at = 0.0
    else:
        runner.failures += 1
        runner.next_probe_at = now + policy.routing.probe_s
    if call is not None and result is Result.ANSWERED and attempt in call.open_attempts:
        record_latency(router, runner, now - call.sent_at, now)


def _apply_result(
    router: Router,
    call: InFlightRequest,
    attempt: int,
    target: InstanceId,
    result: Result,
    refusal: Refusal | None,
    policy: Policy,
    now: float,
) -> list[RouteAction]:
    if result in (Result.ANSWERED, Result.SERVICE_ERROR):
        _discard(router, call)
        return [Deliver(call.req.id, attempt)]
    call.avoid.add(target)
    ran = result in (Result.CUT, Result.SILENT, Result.FOREIGN)
    call.maybe_ran = call.maybe_ran or ran
    if call.open_attempts:
        return [Count(f"retry.none.{result.value}")]
    return _retry(router, call, target, result, refusal, policy, now)


def _retry(
    router: Router,
    call: InFlightRequest,
    target: InstanceId,
    result: Result,
    refusal: Refusal | None,
    policy: Policy,
    now: float,
) -> list[RouteAction]:
    if call.maybe_ran and not call.req.repeatable:
        return _refuse(router, call, _kind_of(router, target, result), _detail(target, result), 0)
    can_retry = call.tries < _MAX_TRIES and now < call.req.deadline
    has_budget = not call.maybe_ran or router.retry_tokens >= 1.0
    if can_retry and has_budget:
        if call.maybe_ran:
            router.retry_tokens -= 1.0
        sent = _dispatch(router, call, policy, now)
        if sent is not None:
            return [sent, Count(f"retry.{result.value}")]
        if call.req.origin is None and not call.maybe_ran:
            return _enqueue(router, call, policy, now)
    if call.maybe_ran:
        return _refuse(router, call, _kind_of(router, target, result), _detail(target, result), 0)
    if refusal is not None:
        return _refuse(router, call, refusal.kind, refusal.detail, refusal.retry_after_s)
    detail = f"no other runner of {call.req.service} could accept the request"
    return _refuse(router, call, ErrorKind.NO_RUNNER, detail, policy.routing.probe_s)


def _kind_of(router: Router, target: InstanceId, result: Result) -> ErrorKind:
    if result in (Result.SILENT, Result.REFUSED):
        return ErrorKind.RUNNER_SILENT
    if result is Result.FOREIGN:
        return ErrorKind.FOREIGN_ANSWER
    return ErrorKind.RUNNER_LOST if target in router.runners else ErrorKind.PEER_LOST


def _detail(target: InstanceId, result: Result) -> str:
    return f"{target} was sent the request but returned no valid answer ({result.value})"


def _drain_queues(router: Router, policy: Policy, now: float) -> list[RouteAction]:
    actions: list[RouteAction] = []
    for waiting in router.queue.values():
        while waiting:
            first = min(waiting, key=lambda other: _queue_rank(router.in_flight[other]))
            call = router.in_flight[first]
            sent = _dispatch(router, call, policy, now)
            if sent is None:
                break
            waiting.remove(first)
            actions.append(sent)
    return actions


def tick(router: Router, policy: Policy, now: float) -> list[RouteAction]:
    """Refuse requests that can no longer be answered in time, hedge slow ones, drain the queues."""
    actions: list[RouteAction] = []
    for call in list(router.in_flight.values()):
        if now >= call.req.deadline:
            actions += _expire(router, call)
        elif not call.open_attempts:
            actions += _refuse_early(router, call, policy, now)
        else:
            actions += _hedge(router, call, policy, now)
    for sent_times in router.forwarded.values():
        for attempt in [number for number, at in sent_times.items() if now - at > _FORWARD_TTL_S]:
            del sent_times[attempt]
    return actions + _drain_queues(router, policy, now)


def _expire(router: Router, call: InFlightRequest) -> list[RouteAction]:
    if call.open_attempts or call.maybe_ran:
        target = next(iter(call.open_attempts.values()), router.me)
        detail = f"{target} did not answer before the deadline"
        return _refuse(router, call, ErrorKind.RUNNER_SILENT, detail, 0)
    return _refuse(router, call, ErrorKind.DEADLINE_EXCEEDED, "no slot became free in time", 0)


def _refuse_early(
    router: Router, call: InFlightRequest, policy: Policy, now: float
) -> list[RouteAction]:
    if call.req.origin is not None and not _reachable(router, call, policy, now):
        detail = f"{router.me} owns no runner of {call.req.service} any longer"
        return _refuse(router, call, ErrorKind.NO_RUNNER, detail, 0)
    typical_s = router.typical_latency_s.get(call.req.service, INITIAL_LATENCY_S)
    if call.maybe_ran or now + typical_s <= call.req.deadline:
        return []
    detail = "no slot became free early enough to answer before the deadline"
    return _refuse(router, call, ErrorKind.DEADLINE_EXCEEDED, detail, typical_s)


def _hedge(router: Router, call: InFlightRequest, policy: Policy, now: float) -> list[RouteAction]:
    factor = policy.routing.hedge_after
    if factor <= 0 or call.hedged or not call.req.repeatable or call.req.origin:
        return []
    typical_s = router.typical_latency_s.get(call.req.service)
    if typical_s is None or router.retry_tokens < 1.0:
        return []
    hedge_delay_s = max(factor * typical_s, router.tail_latency_s.get(call.req.service, 0.0))
    if now - call.sent_at < hedge_delay_s:
        return []
    call.avoid |= set(call.open_attempts.values())
    sent = _dispatch(router, call, policy, now)
    if sent is None:
        return []
    call.hedged = True
    router.retry_tokens -= 1.0
    return [sent, Count("retry.hedge")]


def drop_peer(router: Router, peer: InstanceId, policy: Policy, now: float) -> list[RouteAction]:
    """Fail the attempts forwarded to a peer whose connection was lost."""
    for known in router.peers.values():
        known.pop(peer, None)
    actions: list[RouteAction] = []
    for request, call in list(router.in_flight.items()):
        for attempt in [number for number, target in call.open_attempts.items() if target == peer]:
            actions += on_result(router, request, attempt, Result.CUT, policy, now)
    return actions

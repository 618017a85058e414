"""Route callers' requests to runners with exact slots, short queues and early refusals.

An owner counts the slots of its own runners exactly. Others are known by their owners'
heartbeats and by what was forwarded since. A request that cannot be run in time is refused
at once, and truthfully: it is "not run" only where no byte of it went to a runner.
"""

from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import InstanceId, RequestId, ServiceName
from spoolcrank.known_runners import learn_latency
from spoolcrank.policy import Policy
from spoolcrank.route_choice import best_peer, best_runner, peer_cost, runner_cost, slot_limit
from spoolcrank.route_state import (
    FIRST_GUESS_S,
    MAX_TOKENS,
    Count,
    Deliver,
    Flight,
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
_QUEUE_TRIES = 3
_MIN_QUEUE = 8
_MIN_RETRY_AFTER_S = 0.05
_FORWARD_MAX_S = 60.0


def free_slots(router: Router, server: InstanceId, policy: Policy, now: float) -> int:
    """Return how many requests a runner of ours could take from peers now."""
    runner = router.runners.get(server)
    if runner is None:
        return 0
    waiting = len(router.queue.get(runner.service, []))
    return max(0, slot_limit(router, runner, policy, now) - runner.busy - waiting)


def known_slots(router: Router, service: ServiceName) -> float:
    """Return the slots that we may count on: our own, or our share of the fleet's."""
    own = sum(one.slots for one in router.runners.values() if one.service == service)
    return max(own, router.shares.get(service, 0.0))


def submit(router: Router, req: Request, policy: Policy, now: float) -> list[RouteAction]:
    """Take a request in: run it, forward it, queue it or refuse it."""
    flight = Flight(req)
    router.flights[req.id] = flight
    router.tokens = min(MAX_TOKENS, router.tokens + policy.routing.retry_share)
    if req.deadline <= now:
        return _refuse(router, flight, ErrorKind.DEADLINE_EXCEEDED, "came past its deadline", 0)
    if not router.queue.get(req.service):
        sent = _dispatch(router, flight, policy, now)
        if sent is not None:
            return [sent]
    return _enqueue(router, flight, policy, now)


def _dispatch(
    router: Router, flight: Flight, policy: Policy, now: float
) -> ToRunner | ToPeer | None:
    runner = best_runner(router, flight, policy, now)
    peer = best_peer(router, flight, policy, now) if flight.req.origin is None else None
    if runner is not None and (peer is None or not _much_slower(router, runner, peer, policy)):
        return _send_to_runner(router, flight, runner, now)
    if peer is not None:
        return _send_to_peer(router, flight, peer.peer, now)
    return None


def _much_slower(router: Router, runner: Runner, peer: PeerRunners, policy: Policy) -> bool:
    """Tell whether a peer's runner is worth a hop although one of ours is free."""
    return runner_cost(runner) > policy.routing.steer_ratio * peer_cost(router, peer)


def _attempt(router: Router, flight: Flight, target: InstanceId, now: float) -> int:
    router.next_attempt += 1
    flight.tries += 1
    flight.sent_at = now
    flight.open[router.next_attempt] = target
    return router.next_attempt


def _send_to_runner(router: Router, flight: Flight, runner: Runner, now: float) -> ToRunner:
    runner.busy += 1
    if runner.out_until:
        runner.out_until = now + 1.0
    attempt = _attempt(router, flight, runner.server, now)
    router.late[attempt] = runner.server
    return ToRunner(flight.req.id, attempt, runner.server)


def _send_to_peer(router: Router, flight: Flight, peer: InstanceId, now: float) -> ToPeer:
    attempt = _attempt(router, flight, peer, now)
    router.forwarded.setdefault(peer, {})[attempt] = now
    return ToPeer(flight.req.id, attempt, peer)


def _queue_room(router: Router, service: ServiceName, policy: Policy) -> int:
    own = known_slots(router, service)
    return max(_MIN_QUEUE, round(policy.routing.queue_per_slot * own))


def wait_estimate(router: Router, service: ServiceName, ahead: int) -> float:
    """Return how long a request waits behind `ahead` others, in seconds."""
    usual = router.usual_s.get(service, FIRST_GUESS_S)
    return usual * (ahead + 1) / max(1.0, known_slots(router, service))


def _order(flight: Flight) -> tuple[int, float]:
    return (-flight.req.urgency, flight.req.deadline)


def _enqueue(router: Router, flight: Flight, policy: Policy, now: float) -> list[RouteAction]:
    req = flight.req
    elsewhere = _queue_at_owner(router, flight, policy, now)
    if elsewhere is not None:
        return [elsewhere, Count("route.queued-at-owner")]
    waiting = router.queue.setdefault(req.service, [])
    ahead = sum(1 for other in waiting if _order(router.flights[other]) <= _order(flight))
    wait_s = wait_estimate(router, req.service, ahead)
    usual = router.usual_s.get(req.service, FIRST_GUESS_S)
    if now + wait_s + usual > req.deadline:
        detail = f"would wait {wait_s:.3f} s, past its deadline"
        return _refuse(router, flight, ErrorKind.OVERLOADED, detail, wait_s)
    if not _reachable(router, flight, policy, now):
        detail = f"no runner of {req.service} can be reached"
        return _refuse(router, flight, ErrorKind.NO_RUNNER, detail, policy.routing.probe_s)
    actions: list[RouteAction] = []
    if len(waiting) >= _queue_room(router, req.service, policy):
        worst = max(waiting, key=lambda other: _order(router.flights[other]))
        if _order(router.flights[worst])[0] <= _order(flight)[0]:
            detail = f"all slots of {req.service} are taken and the queue is full"
            return _refuse(router, flight, ErrorKind.OVERLOADED, detail, wait_s)
        detail = f"gave way to a more urgent request for {req.service}"
        actions += _refuse(router, router.flights[worst], ErrorKind.OVERLOADED, detail, wait_s)
    waiting.append(req.id)
    return [*actions, Count("route.queued")]


def _queue_at_owner(router: Router, flight: Flight, policy: Policy, now: float) -> ToPeer | None:
    """Let a request wait with an owner, where slots come free, if we own no runner.

    A queue of our own would see a free slot only after the owners' queues are empty.
    """
    service = flight.req.service
    if flight.req.origin is not None or flight.tries >= _QUEUE_TRIES:
        return None
    if any(one.service == service for one in router.runners.values()):
        return None
    heard = [
        one.peer
        for one in router.peers.get(service, {}).values()
        if now - one.heard_at <= policy.membership.dead_after_s and one.peer not in flight.avoid
    ]
    if not heard:
        return None
    least = min(heard, key=lambda peer: len(router.forwarded.get(peer, {})))
    return _send_to_peer(router, flight, least, now)


def _reachable(router: Router, flight: Flight, policy: Policy, now: float) -> bool:
    """Tell whether a slot may come free for a request here.

    A forwarded request waits for our own runners alone; once they are handed over, its
    origin must know at once, to send it elsewhere.
    """
    service = flight.req.service
    own = any(one.service == service for one in router.runners.values())
    if flight.req.origin is not None:
        return own
    heard = router.peers.get(service, {}).values()
    return own or any(now - one.heard_at <= policy.membership.dead_after_s for one in heard)


def _refuse(
    router: Router, flight: Flight, kind: ErrorKind, detail: str, retry_after_s: float
) -> list[RouteAction]:
    _forget(router, flight)
    after = max(_MIN_RETRY_AFTER_S, retry_after_s) if kind is ErrorKind.OVERLOADED else 0.0
    refusal = Refusal(kind, detail, retry_after_s=after or retry_after_s)
    return [Refuse(flight.req.id, refusal)]


def _forget(router: Router, flight: Flight) -> None:
    router.flights.pop(flight.req.id, None)
    waiting = router.queue.get(flight.req.service, [])
    if flight.req.id in waiting:
        waiting.remove(flight.req.id)


def on_result(
    router: Router,
    request: RequestId,
    attempt: int,
    result: Result,
    policy: Policy,
    now: float,
    refusal: Refusal | None = None,
) -> list[RouteAction]:
    """Take the outcome of an attempt.

    Args:
        router: changed in place.
        request: the request that the attempt was for.
        attempt: the attempt's number.
        result: how it came out.
        policy: the configuration in force.
        now: the present time.
        refusal: a peer's refusal, with `Result.REFUSED`.
    """
    flight = router.flights.get(request)
    _release(router, flight, attempt, result, policy, now)
    actions: list[RouteAction] = []
    if flight is not None and attempt in flight.open:
        target = flight.open.pop(attempt)
        actions += _settle(router, flight, attempt, target, result, refusal, policy, now)
    actions += _drain_queues(router, policy, now)
    return actions


def _release(
    router: Router,
    flight: Flight | None,
    attempt: int,
    result: Result,
    policy: Policy,
    now: float,
) -> None:
    for under_way in router.forwarded.values():
        under_way.pop(attempt, None)
    server = router.late.pop(attempt, None)
    runner = router.runners.get(server) if server is not None else None
    if runner is None:
        return
    runner.busy = max(0, runner.busy - 1)
    if result is Result.ANSWERED:
        runner.failures = 0
        runner.out_until = 0.0
    else:
        runner.failures += 1
        runner.out_until = now + policy.routing.probe_s
    if flight is not None and result is Result.ANSWERED and attempt in flight.open:
        learn_latency(router, runner, now - flight.sent_at, now)


def _settle(
    router: Router,
    flight: Flight,
    attempt: int,
    target: InstanceId,
    result: Result,
    refusal: Refusal | None,
    policy: Policy,
    now: float,
) -> list[RouteAction]:
    if result in (Result.ANSWERED, Result.SERVICE_ERROR):
        _forget(router, flight)
        return [Deliver(flight.req.id, attempt)]
    flight.avoid.add(target)
    ran = result in (Result.CUT, Result.SILENT, Result.FOREIGN)
    flight.maybe_ran = flight.maybe_ran or ran
    if flight.open:
        return [Count(f"retry.none.{result.value}")]
    return _try_again(router, flight, target, result, refusal, policy, now)


def _try_again(
    router: Router,
    flight: Flight,
    target: InstanceId,
    result: Result,
    refusal: Refusal | None,
    policy: Policy,
    now: float,
) -> list[RouteAction]:
    if flight.maybe_ran and not flight.req.repeatable:
        return _refuse(router, flight, _kind_of(router, target, result), _detail(target, result), 0)
    may = flight.tries < _MAX_TRIES and now < flight.req.deadline
    paid = not flight.maybe_ran or router.tokens >= 1.0
    if may and paid:
        if flight.maybe_ran:
            router.tokens -= 1.0
        sent = _dispatch(router, flight, policy, now)
        if sent is not None:
            return [sent, Count(f"retry.{result.value}")]
        if flight.req.origin is None and not flight.maybe_ran:
            return _enqueue(router, flight, policy, now)
    if flight.maybe_ran:
        return _refuse(router, flight, _kind_of(router, target, result), _detail(target, result), 0)
    if refusal is not None:
        return _refuse(router, flight, refusal.kind, refusal.detail, refusal.retry_after_s)
    detail = f"no other runner of {flight.req.service} could take it"
    return _refuse(router, flight, ErrorKind.NO_RUNNER, detail, policy.routing.probe_s)


def _kind_of(router: Router, target: InstanceId, result: Result) -> ErrorKind:
    if result in (Result.SILENT, Result.REFUSED):
        return ErrorKind.RUNNER_SILENT
    if result is Result.FOREIGN:
        return ErrorKind.FOREIGN_ANSWER
    return ErrorKind.RUNNER_LOST if target in router.runners else ErrorKind.PEER_LOST


def _detail(target: InstanceId, result: Result) -> str:
    return f"{target} had the request and its answer did not come ({result.value})"


def _drain_queues(router: Router, policy: Policy, now: float) -> list[RouteAction]:
    actions: list[RouteAction] = []
    for waiting in router.queue.values():
        while waiting:
            best = min(waiting, key=lambda other: _order(router.flights[other]))
            flight = router.flights[best]
            sent = _dispatch(router, flight, policy, now)
            if sent is None:
                break
            waiting.remove(best)
            actions.append(sent)
    return actions


def tick(router: Router, policy: Policy, now: float) -> list[RouteAction]:
    """Refuse what cannot be served in time any more, hedge, and empty the queues."""
    actions: list[RouteAction] = []
    for flight in list(router.flights.values()):
        if now >= flight.req.deadline:
            actions += _expire(router, flight)
        elif not flight.open:
            actions += _give_up_early(router, flight, policy, now)
        else:
            actions += _hedge(router, flight, policy, now)
    for under_way in router.forwarded.values():
        for attempt in [one for one, at in under_way.items() if now - at > _FORWARD_MAX_S]:
            del under_way[attempt]
    return actions + _drain_queues(router, policy, now)


def _expire(router: Router, flight: Flight) -> list[RouteAction]:
    if flight.open or flight.maybe_ran:
        target = next(iter(flight.open.values()), router.me)
        detail = f"{target} did not answer before the deadline"
        return _refuse(router, flight, ErrorKind.RUNNER_SILENT, detail, 0)
    return _refuse(router, flight, ErrorKind.DEADLINE_EXCEEDED, "no slot came free in time", 0)


def _give_up_early(router: Router, flight: Flight, policy: Policy, now: float) -> list[RouteAction]:
    if flight.req.origin is not None and not _reachable(router, flight, policy, now):
        detail = f"{router.me} owns no runner of {flight.req.service} any more"
        return _refuse(router, flight, ErrorKind.NO_RUNNER, detail, 0)
    usual = router.usual_s.get(flight.req.service, FIRST_GUESS_S)
    if flight.maybe_ran or now + usual <= flight.req.deadline:
        return []
    detail = "no slot came free early enough to answer before the deadline"
    return _refuse(router, flight, ErrorKind.DEADLINE_EXCEEDED, detail, usual)


def _hedge(router: Router, flight: Flight, policy: Policy, now: float) -> list[RouteAction]:
    factor = policy.routing.hedge_after
    if factor <= 0 or flight.hedged or not flight.req.repeatable or flight.req.origin:
        return []
    usual = router.usual_s.get(flight.req.service)
    if usual is None or router.tokens < 1.0:
        return []
    patience = max(factor * usual, router.tail_s.get(flight.req.service, 0.0))
    if now - flight.sent_at < patience:
        return []
    flight.avoid |= set(flight.open.values())
    sent = _dispatch(router, flight, policy, now)
    if sent is None:
        return []
    flight.hedged = True
    router.tokens -= 1.0
    return [sent, Count("retry.hedge")]


def forget_peer(router: Router, peer: InstanceId, policy: Policy, now: float) -> list[RouteAction]:
    """Settle what was forwarded to a peer whose connection broke."""
    for known in router.peers.values():
        known.pop(peer, None)
    actions: list[RouteAction] = []
    for request, flight in list(router.flights.items()):
        for attempt in [number for number, target in flight.open.items() if target == peer]:
            actions += on_result(router, request, attempt, Result.CUT, policy, now)
    return actions

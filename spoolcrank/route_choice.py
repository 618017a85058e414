"""Choose the runner or the peer that a request goes to."""

from spoolcrank.policy import Policy
from spoolcrank.route_state import FIRST_GUESS_S, Flight, PeerRunners, Router, Runner

_SPREAD = 1.0
"""By how much a full runner costs more than an idle one, in its latencies."""

_NEAR_HOP_S = 0.004
"""Of a forward within the availability zone, s."""

_FAR_HOP_S = 0.006
"""Of a forward to another availability zone, s: 1 to 1.5 ms more each way."""


def slot_limit(router: Router, runner: Runner, policy: Policy, now: float) -> int:
    """Return how many requests a runner may have at once now; fewer where it fails or is slow."""
    slots = runner.slots
    if now < runner.open_from:
        slots = max(0, slots - runner.held)
    if runner.failures >= policy.routing.suspect_failures:
        return min(slots, 1) if now >= runner.out_until else 0
    usual = router.usual_s.get(runner.service, FIRST_GUESS_S)
    if runner.samples and runner.latency_s > policy.routing.slow_ratio * usual:
        return min(slots, max(1, runner.slots // 2))
    return slots


def best_runner(router: Router, flight: Flight, policy: Policy, now: float) -> Runner | None:
    """Return the own runner of lowest cost with a free slot, or None."""
    best: Runner | None = None
    best_cost = float("inf")
    for runner in router.runners.values():
        if runner.service != flight.req.service or runner.server in flight.avoid:
            continue
        if runner.busy >= slot_limit(router, runner, policy, now):
            continue
        probing = runner.failures >= policy.routing.suspect_failures
        if probing and not flight.req.repeatable:
            continue
        cost = runner_cost(runner)
        if cost < best_cost:
            best, best_cost = runner, cost
    return best


def runner_cost(runner: Runner) -> float:
    """Return the latency that is likely at a runner, s."""
    return runner.latency_s * (1.0 + _SPREAD * runner.busy / max(1, runner.slots))


def peer_cost(router: Router, one: PeerRunners) -> float:
    """Return the latency that is likely by way of a peer, hop included, s."""
    return one.latency_s + (_NEAR_HOP_S if one.zone == router.zone else _FAR_HOP_S)


def best_peer(router: Router, flight: Flight, policy: Policy, now: float) -> PeerRunners | None:
    """Return the peer of lowest cost whose runners have a free slot, or None."""
    best: PeerRunners | None = None
    best_cost = float("inf")
    for one in router.peers.get(flight.req.service, {}).values():
        if one.peer in flight.avoid:
            continue
        if now - one.heard_at > policy.membership.dead_after_s:
            continue
        under_way = router.forwarded.get(one.peer, {}).values()
        since = sum(1 for sent in under_way if sent > one.heard_at)
        cost = peer_cost(router, one) * (1.0 + _SPREAD * since / max(1, one.free_slots))
        if one.free_slots > since and cost < best_cost:
            best, best_cost = one, cost
    return best

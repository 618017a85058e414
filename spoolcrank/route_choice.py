"""Choose the runner or the peer to which a request is sent."""

from spoolcrank.ids import InstanceId, ServiceName
from spoolcrank.policy import Policy
from spoolcrank.route_state import INITIAL_LATENCY_S, InFlightRequest, PeerRunners, Router, Runner

_LOAD_PENALTY = 1.0
"""Cost added to a runner whose slots are all busy, as a multiple of its latency."""

_SAME_ZONE_HOP_S = 0.004
"""Cost of forwarding a request within the availability zone, in seconds."""

_CROSS_ZONE_HOP_S = 0.006
"""Cost of forwarding a request to another availability zone, in seconds.

Each way takes 1 to 1.5 ms more than within the zone.
"""


def slot_limit(router: Router, runner: Runner, policy: Policy, now: float) -> int:
    """Return how many requests a runner may run at once now; fewer if it fails or is slow."""
    slots = runner.slots
    if now < runner.withheld_until:
        slots = max(0, slots - runner.withheld_slots)
    if runner.failures >= policy.routing.suspect_failures:
        return min(slots, 1) if now >= runner.next_probe_at else 0
    typical_s = router.typical_latency_s.get(runner.service, INITIAL_LATENCY_S)
    if runner.samples and runner.latency_s > policy.routing.slow_ratio * typical_s:
        return min(slots, max(1, runner.slots // 2))
    return slots


def best_runner(router: Router, call: InFlightRequest, policy: Policy, now: float) -> Runner | None:
    """Return the cheapest of our own runners with a free slot, or None."""
    best: Runner | None = None
    best_cost = float("inf")
    for runner in router.runners.values():
        if runner.service != call.req.service or runner.server in call.avoid:
            continue
        if runner.busy >= slot_limit(router, runner, policy, now):
            continue
        probing = runner.failures >= policy.routing.suspect_failures
        if probing and not call.req.repeatable:
            continue
        cost = runner_cost(runner)
        if cost < best_cost:
            best, best_cost = runner, cost
    return best


def owns_runner(router: Router, service: ServiceName) -> bool:
    """Return whether this instance owns a runner of a service."""
    return any(runner.service == service for runner in router.runners.values())


def reachable_peers(
    router: Router, service: ServiceName, policy: Policy, now: float
) -> list[PeerRunners]:
    """Return the runners of a service at the peers that have reported theirs lately."""
    return [
        known
        for known in router.peers.get(service, {}).values()
        if now - known.reported_at <= policy.membership.dead_after_s
    ]


def least_loaded_peer(
    router: Router, call: InFlightRequest, policy: Policy, now: float
) -> InstanceId | None:
    """Return the peer with the fewest requests forwarded to it that are not answered, or None."""
    peers = reachable_peers(router, call.req.service, policy, now)
    usable = [known.peer for known in peers if known.peer not in call.avoid]
    return min(usable, key=lambda peer: len(router.forwarded.get(peer, {})), default=None)


def runner_cost(runner: Runner) -> float:
    """Return the expected latency of a request at a runner, in seconds."""
    return runner.latency_s * (1.0 + _LOAD_PENALTY * runner.busy / max(1, runner.slots))


def peer_cost(router: Router, peer: PeerRunners) -> float:
    """Return the expected latency of a request forwarded to a peer, in seconds."""
    return peer.latency_s + (_SAME_ZONE_HOP_S if peer.zone == router.zone else _CROSS_ZONE_HOP_S)


def best_peer(
    router: Router, call: InFlightRequest, policy: Policy, now: float
) -> PeerRunners | None:
    """Return the cheapest peer whose runners have a free slot, or None."""
    best: PeerRunners | None = None
    best_cost = float("inf")
    for peer in reachable_peers(router, call.req.service, policy, now):
        if peer.peer in call.avoid:
            continue
        sent_times = router.forwarded.get(peer.peer, {}).values()
        sent_since = sum(1 for sent in sent_times if sent > peer.reported_at)
        cost = peer_cost(router, peer) * (
            1.0 + _LOAD_PENALTY * sent_since / max(1, peer.free_slots)
        )
        if peer.free_slots > sent_since and cost < best_cost:
            best, best_cost = peer, cost
    return best

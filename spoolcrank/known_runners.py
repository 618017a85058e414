"""Track the slots and latencies of a router's own runners and of its peers' runners."""

from collections.abc import Iterable

from spoolcrank.ids import AvailabilityZone, InstanceId, ServiceName
from spoolcrank.route_state import INITIAL_LATENCY_S, FreeSlots, PeerRunners, Router, Runner

_RUNNER_SMOOTHING = 0.25
"""Minimum weight of one answer in the moving average of a runner's latency."""

_SERVICE_SMOOTHING = 0.025
"""Weight of one answer in the moving average of a service's latency.

This average changes ten times as slowly as that of a single runner.
"""

_DECAY_AFTER_S = 1.0
"""Time without an answer after which a runner's latency estimate starts to decay, in seconds."""

_DECAY_FACTOR = 0.1
"""Share of the difference to the typical latency that the decay removes per second."""

_FAST_RATIO = 1.3
"""Maximum latency of a runner that counts as fast, as a multiple of the fastest one's."""


def sync_runners(router: Router, current: Iterable[Runner]) -> None:
    """Replace the list of own runners; known ones keep their counters and latencies."""
    owned = {runner.server: runner for runner in current}
    for server, runner in owned.items():
        known = router.runners.get(server)
        if known is not None:
            known.slots = runner.slots
            known.withheld_until = runner.withheld_until
            known.withheld_slots = runner.withheld_slots
            owned[server] = known
    router.runners = owned


def on_peer_slots(
    router: Router,
    peer: InstanceId,
    zone: AvailabilityZone,
    free: dict[ServiceName, list[FreeSlots]],
    now: float,
) -> None:
    """Record the free slots that a peer reports.

    Only the fast ones among its runners with free slots are counted.
    """
    for service, known in router.peers.items():
        if service not in free:
            known.pop(peer, None)
    for service, runners in free.items():
        open_runners = [runner for runner in runners if runner.slots > 0]
        fastest_s = min((runner.latency_s for runner in open_runners), default=INITIAL_LATENCY_S)
        count = sum(
            runner.slots for runner in open_runners if runner.latency_s <= _FAST_RATIO * fastest_s
        )
        reported = PeerRunners(peer, zone, count, now, fastest_s)
        router.peers.setdefault(service, {})[peer] = reported


def record_latency(router: Router, runner: Runner, latency_s: float, now: float) -> None:
    """Update the latency estimates of a runner and its service with the latency of one answer."""
    runner.samples += 1
    runner.sampled_at = now
    weight = max(_RUNNER_SMOOTHING, 1.0 / runner.samples)
    runner.latency_s += weight * (latency_s - runner.latency_s)
    typical_s = router.typical_latency_s.get(runner.service, latency_s)
    router.typical_latency_s[runner.service] = typical_s + _SERVICE_SMOOTHING * (
        latency_s - typical_s
    )
    # The estimate converges to the 95th percentile: it moves up by 0.95 of a step or down by 0.05,
    # and these balance where 5 % of the answers are slower.
    tail_s = router.tail_latency_s.get(runner.service, latency_s)
    step_s = 0.05 * max(tail_s, 1e-4)
    router.tail_latency_s[runner.service] = tail_s + (
        step_s * 0.95 if latency_s > tail_s else -step_s * 0.05
    )


def decay_latencies(router: Router, now: float) -> None:
    """Move the latency estimates of runners without recent answers towards the typical latency.

    A runner that was slow is thus tried again, one request at a time. Call this once a second.
    """
    for runner in router.runners.values():
        if now - runner.sampled_at > _DECAY_AFTER_S:
            peer_latencies_s = [
                peer.latency_s for peer in router.peers.get(runner.service, {}).values()
            ]
            typical_s = min(
                [*peer_latencies_s, router.typical_latency_s.get(runner.service, runner.latency_s)]
            )
            runner.latency_s += _DECAY_FACTOR * (typical_s - runner.latency_s)

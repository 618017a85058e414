"""Keep what a router knows of its own runners and of its peers': slots and latencies."""

from collections.abc import Iterable

from spoolcrank.ids import AvailabilityZone, InstanceId, ServiceName
from spoolcrank.route_state import FIRST_GUESS_S, FreeSlots, PeerRunners, Router, Runner

_SMOOTHING = 0.25
"""Weight of one answer in a runner's latency."""

_USUAL_SMOOTHING = 0.025
"""Weight of one answer in its service's usual latency; ten times as slow as a runner's."""

_FADE_AFTER_S = 1.0
"""A runner without an answer for so long is little known, s."""

_FADE = 0.1
"""Share of the way to the usual latency that such a runner's goes in a second."""

_ALIKE = 1.3
"""Runners within so many times the quickest one's latency count as quick."""


def sync_runners(router: Router, current: Iterable[Runner]) -> None:
    """Take the list of runners that we own now; counts of known ones are kept."""
    fresh = {runner.server: runner for runner in current}
    for server, runner in fresh.items():
        known = router.runners.get(server)
        if known is not None:
            known.slots = runner.slots
            known.open_from = runner.open_from
            known.held = runner.held
            fresh[server] = known
    router.runners = fresh


def on_peer_slots(
    router: Router,
    peer: InstanceId,
    zone: AvailabilityZone,
    free: dict[ServiceName, list[FreeSlots]],
    now: float,
) -> None:
    """Take what a peer tells of its free slots.

    Only its quick runners count, as long as any has a free slot.
    """
    for service, known in router.peers.items():
        if service not in free:
            known.pop(peer, None)
    for service, runners in free.items():
        open_runners = [one for one in runners if one.slots > 0]
        quickest = min((one.latency_s for one in open_runners), default=FIRST_GUESS_S)
        count = sum(one.slots for one in open_runners if one.latency_s <= _ALIKE * quickest)
        found = PeerRunners(peer, zone, count, now, quickest)
        router.peers.setdefault(service, {})[peer] = found


def learn_latency(router: Router, runner: Runner, latency_s: float, now: float) -> None:
    """Take the time of one answer into what is known of a runner and its service."""
    runner.samples += 1
    runner.sampled_at = now
    weight = max(_SMOOTHING, 1.0 / runner.samples)
    runner.latency_s += weight * (latency_s - runner.latency_s)
    usual = router.usual_s.get(runner.service, latency_s)
    router.usual_s[runner.service] = usual + _USUAL_SMOOTHING * (latency_s - usual)
    tail = router.tail_s.get(runner.service, latency_s)
    step = 0.05 * max(tail, 1e-4)
    router.tail_s[runner.service] = tail + (step * 0.95 if latency_s > tail else -step * 0.05)


def fade(router: Router, now: float) -> None:
    """Let what is known of runners that get no requests fade towards the usual.

    They are tried again that way, a request at a time. To be called once a second.
    """
    for runner in router.runners.values():
        if now - runner.sampled_at > _FADE_AFTER_S:
            known = [one.latency_s for one in router.peers.get(runner.service, {}).values()]
            usual = min([*known, router.usual_s.get(runner.service, runner.latency_s)])
            runner.latency_s += _FADE * (usual - runner.latency_s)

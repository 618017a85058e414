"""Learn what resources tasks use and which services they slow down.

Usage reports arrive late, so decisions are driven by the latency of the runners, which their
owner measures itself without delay. A server whose latency is above its calm level goes through
the mitigation levels: no new batch work, throttling, eviction. After a calm period these measures
are undone step by step.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from spoolcrank.ids import InstanceId, ServiceName, TaskClass, TaskId
from spoolcrank.policy import Policy
from spoolcrank.resources import Resources
from spoolcrank.worker import Usage

# Usage reports of a class that are needed before its learned size replaces the declared one.
_MIN_REPORTS = 3
_HEADROOM_FACTOR = 1.1
"""Ratio of an allocation to the largest use reported for a task class."""

_PROBE_INTERVAL_S = 10.0
# Sum of decayed failures from which a server may be suspect: three failures of which the older ones
# count less.
_MIN_DECAYED_FAILURES = 3 * 0.8
_SUSPECT_FAILURE_RATIO = 3.0
# Weight of a new latency in the recent latency, and of the latter in the calm one as it falls.
_RECENT_WEIGHT = 0.2
# The calm latency rises by the product of this weight and `_CALM_RISE_FACTOR`.
_CALM_WEIGHT = 0.02
_MIN_SAMPLES = 8
_CALM_RISE_FACTOR = 0.05
# Ratio to the calm latency above which a request counts as slow.
_SLOW_REQUEST_RATIO = 1.6
_SLOW_HALF_LIFE_S = 0.7
# Mean life of an exponential decay with the half-life above, which is half-life / ln 2.
_SLOW_MEAN_LIFE_S = 1.01


class Level(IntEnum):
    """Mitigation level of a server: how far its batch work is restricted."""

    OPEN = 0
    NO_PLACING = 1
    THROTTLED = 2
    EVICTING = 3


class Pair(NamedTuple):
    """Key of a slowdown estimate: a service, a task class and a kind of server."""

    service: ServiceName
    task_class: TaskClass
    kind: str


class PairEstimate(NamedTuple):
    """A slowdown estimate as one instance sends it to another."""

    service: ServiceName
    task_class: TaskClass
    kind: str
    slowdown: float
    age_s: float


class ClassUseEstimate(NamedTuple):
    """The resource needs of a task class as one instance sends them to another."""

    task_class: TaskClass
    processors: float
    memory_mb: float
    reports: int


class ModelSnapshot(NamedTuple):
    """Everything that one instance sends to another from its interference model."""

    pairs: list[PairEstimate]
    uses: list[ClassUseEstimate]


def parse_model(text: str) -> ModelSnapshot:
    """Return the snapshot from its JSON text."""
    pairs, uses = json.loads(text)
    return ModelSnapshot(
        [PairEstimate(*pair) for pair in pairs], [ClassUseEstimate(*use) for use in uses]
    )


class Estimate(NamedTuple):
    """The learned slowdown caused by one task, and when it was last confirmed."""

    slowdown: float
    at: float


class ThrottleTask(NamedTuple):
    """A mitigation step: run a task at a share of its full speed."""

    task: TaskId
    attempt: int
    share: float


class EvictTask(NamedTuple):
    """A mitigation step: checkpoint a task and stop it."""

    task: TaskId
    attempt: int


Step = ThrottleTask | EvictTask


@dataclass
class ClassUse:
    """The resource needs of one task of a class, from the largest use in reports."""

    processors: float = 0.0
    memory_mb: float = 0.0
    reports: int = 0


@dataclass
class Outcomes:
    """Counts of how attempts on a server ended; older ends count less."""

    failed: float = 0.0
    ended: float = 0.0


class ThrottleTrial(NamedTuple):
    """The latency of a runner when its server's batch work was first throttled.

    Attributes:
        recent_latency_s: The recent latency at that time.
        calm_latency_s: The calm latency at that time.
        stepped_at: When work was last throttled, in monotonic seconds.
        samples: How many requests had been measured when work was last throttled.
    """

    recent_latency_s: float
    calm_latency_s: float
    stepped_at: float
    samples: int


class Exemption(NamedTuple):
    """Exemption of batch work that is not the cause of a high latency.

    Attributes:
        recent_latency_s: The recent latency when the exemption began.
        until: The monotonic time at which the exemption ends, in seconds.
    """

    recent_latency_s: float
    until: float


@dataclass
class LatencyMonitor:
    """The latency of one runner and the mitigation applied to its server."""

    recent_latency_s: float = 0.0
    calm_latency_s: float = 0.0
    samples: int = 0
    samples_since_lowering: int = 0
    lowered_at: float = float("-inf")
    level: Level = Level.OPEN
    stepped_at: float = float("-inf")
    calm_since: float | None = None
    attributed_at: float = float("-inf")
    slow_since: float | None = None
    slow_requests: float = 0.0
    slow_updated_at: float = 0.0
    trial: ThrottleTrial | None = None
    exemption: Exemption | None = None

    def slow_rate(self, now: float) -> float:
        """Return the recent rate of slow requests, per second."""
        return (
            float(self.slow_requests * 0.5 ** ((now - self.slow_updated_at) / _SLOW_HALF_LIFE_S))
            / _SLOW_MEAN_LIFE_S
        )

    @property
    def ratio(self) -> float:
        """Return the ratio of recent to calm latency; 1 while there are too few samples."""
        if self.samples < _MIN_SAMPLES or self.calm_latency_s <= 0:
            return 1.0
        return self.recent_latency_s / self.calm_latency_s


@dataclass
class InterferenceModel:
    """What an owner has learned from usage reports, latencies and ends of attempts."""

    uses: dict[TaskClass, ClassUse] = field(default_factory=dict)
    pairs: dict[Pair, Estimate] = field(default_factory=dict)
    monitors: dict[InstanceId, LatencyMonitor] = field(default_factory=dict)
    outcomes: dict[InstanceId, Outcomes] = field(default_factory=dict)
    probed_at: dict[InstanceId, float] = field(default_factory=dict)
    evicted_at: list[float] = field(default_factory=list)

    def on_usage(
        self, usage: list[Usage], allocation_of: Callable[[TaskId], Resources | None]
    ) -> None:
        """Record a server's usage report, which arrives late.

        Args:
            usage: The use of individual tasks.
            allocation_of: Returns what a task was allocated, None if that is no longer known.
        """
        for item in usage:
            allocated = allocation_of(item.task)
            if allocated is None:
                continue
            use = self.uses.setdefault(item.task_class, ClassUse())
            needed = _needed(item.processors, allocated.processors)
            use.processors = max(use.processors, needed)
            use.memory_mb = max(use.memory_mb, _needed(item.memory_mb, allocated.memory_mb))
            use.reports += 1

    def on_latency(self, server: InstanceId, latency_s: float, now: float) -> None:
        """Record the latency of one request at one of our runners."""
        monitor = self.monitors.setdefault(server, LatencyMonitor(latency_s, latency_s))
        monitor.samples += 1
        monitor.samples_since_lowering += 1
        monitor.recent_latency_s += _RECENT_WEIGHT * (latency_s - monitor.recent_latency_s)
        if monitor.recent_latency_s < monitor.calm_latency_s:
            monitor.calm_latency_s += _RECENT_WEIGHT * (
                monitor.recent_latency_s - monitor.calm_latency_s
            )
        else:
            monitor.calm_latency_s += (
                _CALM_WEIGHT
                * _CALM_RISE_FACTOR
                * (monitor.recent_latency_s - monitor.calm_latency_s)
            )
        if latency_s > _SLOW_REQUEST_RATIO * monitor.calm_latency_s:
            monitor.slow_requests = (
                monitor.slow_requests * 0.5 ** ((now - monitor.slow_updated_at) / _SLOW_HALF_LIFE_S)
                + 1.0
            )
            monitor.slow_updated_at = now

    def size_for(self, task_class: TaskClass, declared: Resources, policy: Policy) -> Resources:
        """Return the size to allocate for a task of a class.

        Processors and memory follow the use that was reported for the class; before there are
        enough reports, they are the declared ones times `unknown_factor`. If sizes are not
        learned, the declared size is returned unchanged.
        """
        use = self.uses.get(task_class)
        if not policy.placement.learn_sizes:
            return declared
        if use is None or use.reports < _MIN_REPORTS:
            factor = policy.placement.unknown_factor
            return Resources(
                declared.processors * factor, declared.memory_mb * factor, declared.accelerators
            )
        return Resources(
            round(use.processors, 3),
            round(use.memory_mb, 1),
            declared.accelerators,
        )

    def slowdown(
        self, service: ServiceName, task_class: TaskClass, kind: str, policy: Policy, now: float
    ) -> float:
        """Return the slowdown that one task of a class causes to a service, decayed by age."""
        estimate = self.pairs.get(Pair(service, task_class, kind))
        if estimate is None:
            return 0.0
        age = (now - estimate.at) / policy.interference.forget_s
        return float(estimate.slowdown * 0.5 ** max(0.0, age))

    def known_slowdown(
        self, service: ServiceName, task_class: TaskClass, kind: str, policy: Policy, now: float
    ) -> float | None:
        """Return the slowdown of a class, or None if there is no estimate for it."""
        if Pair(service, task_class, kind) not in self.pairs:
            return None
        return self.slowdown(service, task_class, kind, policy, now)

    def level(self, server: InstanceId) -> Level:
        """Return the mitigation level of a server."""
        monitor = self.monitors.get(server)
        return monitor.level if monitor else Level.OPEN

    def on_end(self, server: InstanceId, how: str) -> None:
        """Record how an attempt on a server ended."""
        outcomes = self.outcomes.setdefault(server, Outcomes())
        if how in ("finished", "failed"):
            outcomes.ended = 0.9 * outcomes.ended + 1.0
            outcomes.failed = 0.9 * outcomes.failed + (how == "failed")

    def is_suspect(self, server: InstanceId) -> bool:
        """Return whether a far larger share of attempts fails on a server than on its peers."""
        own = self.outcomes.get(server)
        if own is None or own.failed < _MIN_DECAYED_FAILURES:
            return False
        others = [other for name, other in self.outcomes.items() if name != server and other.ended]
        failed = sum(other.failed for other in others)
        peer_ratio = failed / max(1.0, sum(other.ended for other in others))
        return own.failed / own.ended > max(0.5, _SUSPECT_FAILURE_RATIO * peer_ratio)

    def may_probe(self, server: InstanceId, now: float) -> bool:
        """Return whether a suspect server may be probed with another repeatable task now."""
        return now - self.probed_at.get(server, float("-inf")) >= _PROBE_INTERVAL_S

    def snapshot(self, now: float) -> ModelSnapshot:
        """Return a snapshot of the model for peers, one of which may become our successor."""
        pairs = [
            PairEstimate(*pair, estimate.slowdown, now - estimate.at)
            for pair, estimate in self.pairs.items()
        ]
        uses = [
            ClassUseEstimate(name, use.processors, use.memory_mb, use.reports)
            for name, use in self.uses.items()
        ]
        return ModelSnapshot(pairs, uses)

    def merge_snapshot(self, snapshot: ModelSnapshot, now: float) -> None:
        """Merge a peer's snapshot: take its newer slowdowns and its larger uses."""
        for class_use in snapshot.uses:
            use = self.uses.setdefault(class_use.task_class, ClassUse())
            use.processors = max(use.processors, class_use.processors)
            use.memory_mb = max(use.memory_mb, class_use.memory_mb)
            use.reports = max(use.reports, class_use.reports)
        for estimate in snapshot.pairs:
            pair = Pair(estimate.service, estimate.task_class, estimate.kind)
            known = self.pairs.get(pair)
            if known is None or known.at < now - estimate.age_s:
                self.pairs[pair] = Estimate(estimate.slowdown, now - estimate.age_s)


def _needed(used: float, allocated: float) -> float:
    """Return what to allocate for a use that was reported under a given allocation.

    A task that uses all of its allocation does not show that it needs more. If headroom were added
    to that use, each start would be allocated a tenth more than the one before, until the class
    fits on no server.
    """
    with_headroom = used * _HEADROOM_FACTOR
    return with_headroom if used > allocated else min(with_headroom, allocated)

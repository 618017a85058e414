"""Learn what tasks use and whom they slow, and let batch work give way to services.

Usage reports come late, so the latency of the runners, which their owner sees at once,
drives the decisions. A server whose latency is above its calm level steps down a ladder:
no more placing, throttle, evict; calm for a while, it grows back step by step.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from spoolcrank.ids import InstanceId, ServiceName, TaskClass, TaskId
from spoolcrank.policy import Policy
from spoolcrank.resources import Resources
from spoolcrank.worker import Usage

_ENOUGH_REPORTS = 3
_HEADROOM = 1.1
"""Given above the largest use that was seen of a task class."""

_PROBE_EVERY_S = 10.0
_FAILURES_TO_JUDGE = 3
_PEER_FACTOR = 3.0
_FAST = 0.2
_SLOW = 0.02
_ENOUGH_SAMPLES = 8
_CALM_SPREAD = 0.05
_SLOW_RATIO = 1.6
_SLOW_HALF_S = 0.7
_SLOW_MEAN_S = 1.01


class Level(IntEnum):
    """How far batch work on a server has given way."""

    OPEN = 0
    NO_PLACING = 1
    THROTTLED = 2
    EVICTING = 3


class Pair(NamedTuple):
    """What an estimate of slowdown is about."""

    service: ServiceName
    task_class: TaskClass
    kind: str


class Told(NamedTuple):
    """A learnt pair as one instance tells it to another."""

    service: ServiceName
    task_class: TaskClass
    kind: str
    slowdown: float
    age_s: float


class ToldUse(NamedTuple):
    """What a task class needs as one instance tells it to another."""

    task_class: TaskClass
    processors: float
    memory_mb: float
    reports: int


class Lesson(NamedTuple):
    """Everything that one instance tells another of what it learnt."""

    pairs: list[Told]
    uses: list[ToldUse]


class Estimate(NamedTuple):
    """A learnt slowdown of one task and when it was last confirmed."""

    slowdown: float
    at: float


class ThrottleTask(NamedTuple):
    """Let a task run at a share of its speed."""

    task: TaskId
    attempt: int
    share: float


class EvictTask(NamedTuple):
    """Checkpoint a task and stop it."""

    task: TaskId
    attempt: int


Step = ThrottleTask | EvictTask


@dataclass
class ClassUse:
    """What a task of a class needs, by the largest use that reports showed."""

    processors: float = 0.0
    memory_mb: float = 0.0
    reports: int = 0


@dataclass
class Outcomes:
    """How attempts on a server ended, with older ones fading."""

    failed: float = 0.0
    ended: float = 0.0


class Trial(NamedTuple):
    """What the latency of a runner was when its server's batch work was first slowed.

    Attributes:
        fast_s: the present latency then.
        calm_s: the calm one then.
        stepped_at: when work was last slowed, monotonic seconds.
        samples: requests that had been measured by then.
    """

    fast_s: float
    calm_s: float
    stepped_at: float
    samples: int


class Excuse(NamedTuple):
    """Batch work is not the cause of a latency, until a monotonic time."""

    fast_s: float
    until: float


@dataclass
class Watch:
    """The latency of one runner and what was done about it."""

    fast_s: float = 0.0
    calm_s: float = 0.0
    samples: int = 0
    fresh: int = 0
    cleared_at: float = float("-inf")
    level: Level = Level.OPEN
    stepped_at: float = float("-inf")
    calm_since: float | None = None
    blamed_at: float = float("-inf")
    hot_since: float | None = None
    slow: float = 0.0
    slow_at: float = 0.0
    trial: Trial | None = None
    excuse: Excuse | None = None

    def slow_rate(self, now: float) -> float:
        """Return how many slow requests a second there were of late."""
        return float(self.slow * 0.5 ** ((now - self.slow_at) / _SLOW_HALF_S)) / _SLOW_MEAN_S

    @property
    def ratio(self) -> float:
        """Return the present latency over the calm one; 1 while too little is known."""
        if self.samples < _ENOUGH_SAMPLES or self.calm_s <= 0:
            return 1.0
        return self.fast_s / self.calm_s


@dataclass
class Learnt:
    """What an owner has learnt from reports and latencies."""

    uses: dict[TaskClass, ClassUse] = field(default_factory=dict)
    pairs: dict[Pair, Estimate] = field(default_factory=dict)
    watches: dict[InstanceId, Watch] = field(default_factory=dict)
    outcomes: dict[InstanceId, Outcomes] = field(default_factory=dict)
    probed_at: dict[InstanceId, float] = field(default_factory=dict)
    evicted_at: list[float] = field(default_factory=list)

    def on_usage(self, usage: list[Usage], given: Callable[[TaskId], Resources | None]) -> None:
        """Take a server's late usage report.

        Args:
            usage: of single tasks.
            given: what a task was allocated, None where that is not known any more.
        """
        for item in usage:
            allocated = given(item.task)
            if allocated is None:
                continue
            use = self.uses.setdefault(item.task_class, ClassUse())
            needed = _needed(item.processors, allocated.processors)
            use.processors = max(use.processors, needed)
            use.memory_mb = max(use.memory_mb, _needed(item.memory_mb, allocated.memory_mb))
            use.reports += 1

    def on_latency(self, server: InstanceId, latency_s: float, now: float) -> None:
        """Take the latency of one request at a runner of ours."""
        watch = self.watches.setdefault(server, Watch(latency_s, latency_s))
        watch.samples += 1
        watch.fresh += 1
        watch.fast_s += _FAST * (latency_s - watch.fast_s)
        if watch.fast_s < watch.calm_s:
            watch.calm_s += _FAST * (watch.fast_s - watch.calm_s)
        else:
            watch.calm_s += _SLOW * _CALM_SPREAD * (watch.fast_s - watch.calm_s)
        if latency_s > _SLOW_RATIO * watch.calm_s:
            watch.slow = watch.slow * 0.5 ** ((now - watch.slow_at) / _SLOW_HALF_S) + 1.0
            watch.slow_at = now

    def size_for(self, task_class: TaskClass, declared: Resources, policy: Policy) -> Resources:
        """Return a declared size corrected by what the class really used."""
        use = self.uses.get(task_class)
        if not policy.placement.learn_sizes:
            return declared
        if use is None or use.reports < _ENOUGH_REPORTS:
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
        """Return the slowdown that one task of a class brings to a service, faded by age."""
        estimate = self.pairs.get(Pair(service, task_class, kind))
        if estimate is None:
            return 0.0
        age = (now - estimate.at) / policy.interference.forget_s
        return float(estimate.slowdown * 0.5 ** max(0.0, age))

    def known_slowdown(
        self, service: ServiceName, task_class: TaskClass, kind: str, policy: Policy, now: float
    ) -> float | None:
        """Return the slowdown of a class, None while nothing is known of it."""
        if Pair(service, task_class, kind) not in self.pairs:
            return None
        return self.slowdown(service, task_class, kind, policy, now)

    def level(self, server: InstanceId) -> Level:
        """Return how far batch work on a server has given way."""
        watch = self.watches.get(server)
        return watch.level if watch else Level.OPEN

    def on_end(self, server: InstanceId, how: str) -> None:
        """Take note of how an attempt ended on a server."""
        outcomes = self.outcomes.setdefault(server, Outcomes())
        if how in ("finished", "failed"):
            outcomes.ended = 0.9 * outcomes.ended + 1.0
            outcomes.failed = 0.9 * outcomes.failed + (how == "failed")

    def is_suspect(self, server: InstanceId) -> bool:
        """Tell whether a server fails far more of what it starts than its peers do."""
        mine = self.outcomes.get(server)
        if mine is None or mine.failed < _FAILURES_TO_JUDGE * 0.8:
            return False
        others = [one for name, one in self.outcomes.items() if name != server and one.ended]
        failed = sum(one.failed for one in others)
        usual = failed / max(1.0, sum(one.ended for one in others))
        return mine.failed / mine.ended > max(0.5, _PEER_FACTOR * usual)

    def may_probe(self, server: InstanceId, now: float) -> bool:
        """Tell whether a suspected server may be tried with a repeatable task again."""
        return now - self.probed_at.get(server, float("-inf")) >= _PROBE_EVERY_S

    def tell(self, now: float) -> Lesson:
        """Return what was learnt, for peers that have not seen it or may succeed us."""
        pairs = [Told(*pair, one.slowdown, now - one.at) for pair, one in self.pairs.items()]
        uses = [
            ToldUse(name, use.processors, use.memory_mb, use.reports)
            for name, use in self.uses.items()
        ]
        return Lesson(pairs, uses)

    def hear(self, lesson: Lesson, now: float) -> None:
        """Take what a peer learnt: newer slowdowns, and larger uses."""
        for told in lesson.uses:
            use = self.uses.setdefault(told.task_class, ClassUse())
            use.processors = max(use.processors, told.processors)
            use.memory_mb = max(use.memory_mb, told.memory_mb)
            use.reports = max(use.reports, told.reports)
        for one in lesson.pairs:
            pair = Pair(one.service, one.task_class, one.kind)
            known = self.pairs.get(pair)
            if known is None or known.at < now - one.age_s:
                self.pairs[pair] = Estimate(one.slowdown, now - one.age_s)


def _needed(used: float, allocated: float) -> float:
    """Return what to allocate for a use that was seen under an allocation.

    A task that works on all it is given shows no need of more. With headroom above that, each
    start would be given a tenth more than the last, until the class fits on no server.
    """
    wanted = used * _HEADROOM
    return wanted if used > allocated else min(wanted, allocated)

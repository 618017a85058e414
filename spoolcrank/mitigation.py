"""Mitigate interference of batch work with services, one server at a time.

While a service is slow, its server moves to stronger mitigation levels, and back while it is calm.
"""

from typing import NamedTuple

from spoolcrank.ids import InstanceId, ServiceName, TaskClass
from spoolcrank.interference import (
    Estimate,
    EvictTask,
    Exemption,
    InterferenceModel,
    LatencyMonitor,
    Level,
    Pair,
    Step,
    ThrottleTask,
    ThrottleTrial,
)
from spoolcrank.jobs import JobClass
from spoolcrank.policy import Policy
from spoolcrank.worker import Report, RunningTask

# Requests to be measured before a trial is judged or estimates are lowered.
_MIN_SAMPLES = 8
# Share of the difference by which an observation changes an estimate.
_ESTIMATE_STEP = 0.3
# Lowest slowdown by which a class is weighted, so that an unknown class is weighted too.
_MIN_WEIGHT_SLOWDOWN = 0.02
# Time for which requests must remain slow before mitigation, while routers steer them away.
_MIN_SLOW_S = 2.0
# Time that a task must have run before a calm service lowers the estimate of its class.
_MIN_RUN_S = 2.0

_MIN_RELIEF = 0.25
"""Smallest share of the latency above the calm level that throttling must remove. Where batch work
is the cause, throttling all of it to a third removes most of that latency; if less than this share
goes away, something else is the cause."""

_MIN_TRIAL_S = 3.0
"""Time after the last throttling before its effect is judged, in seconds. `_MIN_SAMPLES` requests
must have been measured as well: those in flight have to end first, and each
request moves the smoothed latency by a fifth of the difference."""

_EXEMPTION_S = 30.0
"""Time for which batch work is exempt after throttling it brought no relief, in seconds. It equals
the default of `patience_s`, the time for which a batch task waits for a server with a calm service;
another trial of throttling takes about a sixth of it."""

_EXEMPTION_LATENCY_RATIO = 1.5
"""Ratio to the latency at the time of the exemption above which the exemption no longer holds: the
latency then has another cause, perhaps batch work that has started since."""


class _SharedServer(NamedTuple):
    """A server on which batch tasks run beside the monitored runner of a service."""

    model: InterferenceModel
    monitor: LatencyMonitor
    service: ServiceName
    kind: str
    batch: list[RunningTask]
    policy: Policy

    def slowdown(self, task_class: TaskClass, now: float) -> float:
        """Return the learned slowdown that one task of a class causes here."""
        return self.model.slowdown(self.service, task_class, self.kind, self.policy, now)

    def learn(self, task_class: TaskClass, slowdown: float, now: float) -> None:
        """Replace the estimate of a class."""
        self.model.pairs[Pair(self.service, task_class, self.kind)] = Estimate(slowdown, now)


def step(
    model: InterferenceModel,
    server: InstanceId,
    service: ServiceName,
    kind: str,
    report: Report,
    service_rate: float,
    policy: Policy,
    now: float,
) -> list[Step]:
    """Change the mitigation level of one server if that is due, and return the steps to take.

    Args:
        model: The interference model, which is changed in place.
        server: The server whose runner is monitored.
        service: The service that the runner serves.
        kind: The kind of the server, by which slowdowns are learned.
        report: The server's last report.
        service_rate: Requests per second to the whole service. A slow runner that receives
            almost none of them does no harm.
        policy: The configuration in force.
        now: The present time, in monotonic seconds.
    """
    monitor = model.monitors.get(server)
    if monitor is None or not policy.interference.enabled:
        return []
    batch = [run for run in report.running if run.job_class is JobClass.BATCH]
    shared = _SharedServer(model, monitor, service, kind, batch, policy)
    if monitor.ratio > policy.interference.target_ratio:
        monitor.calm_since = None
        if _is_exempt(monitor, now):
            return []
        if now - monitor.attributed_at >= policy.interference.react_s and batch:
            monitor.attributed_at = now
            _attribute_slowdown(shared, now)
        if not _is_persistently_slow(monitor, service_rate, policy, now):
            return []
        return _escalate(shared, now)
    if monitor.ratio < policy.interference.calm_ratio:
        return _relax(shared, now)
    monitor.calm_since = None
    return []


def _is_exempt(monitor: LatencyMonitor, now: float) -> bool:
    """Return whether batch work is exempt because a trial found another cause of the latency."""
    exemption = monitor.exemption
    return (
        exemption is not None
        and now < exemption.until
        and monitor.recent_latency_s <= exemption.recent_latency_s * _EXEMPTION_LATENCY_RATIO
    )


def _is_persistently_slow(
    monitor: LatencyMonitor, service_rate: float, policy: Policy, now: float
) -> bool:
    """Return whether requests are still slow although the routers had time to steer away."""
    if monitor.slow_rate(now) <= policy.interference.tail_share * service_rate:
        monitor.slow_since = None
        return False
    if monitor.slow_since is None:
        monitor.slow_since = now
    return now - monitor.slow_since >= _MIN_SLOW_S


def _escalate(shared: _SharedServer, now: float) -> list[Step]:
    monitor = shared.monitor
    policy = shared.policy
    if now - monitor.stepped_at < policy.interference.react_s or not shared.batch:
        return []
    monitor.stepped_at = now
    if monitor.level is Level.OPEN:
        monitor.level = Level.NO_PLACING
    order = _by_slowdown(shared, shared.batch, now)
    if not policy.interference.ladder:
        return [EvictTask(order[0].task, order[0].attempt)]
    throttleable = [run for run in order if run.throttle > policy.interference.throttle]
    if throttleable:
        monitor.level = max(monitor.level, Level.THROTTLED)
        to_throttle = throttleable[: max(1, len(throttleable) // 2)]
        share = policy.interference.throttle
        current = monitor.trial or ThrottleTrial(
            monitor.recent_latency_s, monitor.calm_latency_s, now, monitor.samples
        )
        monitor.trial = current._replace(stepped_at=now, samples=monitor.samples)
        return [ThrottleTask(run.task, run.attempt, share) for run in to_throttle]
    trial = monitor.trial
    if trial is not None and not _is_trial_over(trial, monitor, now):
        return []
    if trial is not None and not _is_relieved(monitor, trial):
        return _exempt(monitor, shared.batch, now)
    return _evict_one(shared, order[0], now)


def _is_trial_over(trial: ThrottleTrial, monitor: LatencyMonitor, now: float) -> bool:
    """Return whether enough time and requests have passed since the last throttling."""
    measured = monitor.samples - trial.samples
    return now - trial.stepped_at >= _MIN_TRIAL_S and measured >= _MIN_SAMPLES


def _is_relieved(monitor: LatencyMonitor, trial: ThrottleTrial) -> bool:
    """Return whether throttling batch work removed enough of the latency above the calm level."""
    before = trial.recent_latency_s - trial.calm_latency_s
    return monitor.recent_latency_s - trial.calm_latency_s <= (1.0 - _MIN_RELIEF) * before


def _exempt(monitor: LatencyMonitor, batch: list[RunningTask], now: float) -> list[Step]:
    """Exempt batch work that is not the cause: evicting it would not help the service."""
    monitor.exemption = Exemption(monitor.recent_latency_s, now + _EXEMPTION_S)
    monitor.trial = None
    monitor.level = Level.OPEN
    return [ThrottleTask(run.task, run.attempt, 1.0) for run in batch if run.throttle < 1.0]


def _evict_one(shared: _SharedServer, run: RunningTask, now: float) -> list[Step]:
    model = shared.model
    model.evicted_at = [at for at in model.evicted_at if now - at < 60.0]
    if len(model.evicted_at) >= shared.policy.interference.evictions_per_minute:
        return []
    model.evicted_at.append(now)
    shared.monitor.level = Level.EVICTING
    return [EvictTask(run.task, run.attempt)]


def _by_slowdown(shared: _SharedServer, runs: list[RunningTask], now: float) -> list[RunningTask]:
    """Sort by learned slowdown, largest first; of equals, the shortest run, which loses least."""
    return sorted(
        runs,
        key=lambda run: (-round(shared.slowdown(run.task_class, now), 2), run.ran_s),
    )


def _attribute_slowdown(shared: _SharedServer, now: float) -> None:
    """Distribute the observed slowdown over the running classes, weighted by their estimates."""
    observed = shared.monitor.ratio - 1.0
    weights = {run.task: _weight(shared, run, now) for run in shared.batch}
    total_weight = sum(weights.values())
    for run in shared.batch:
        share = observed * weights[run.task] / total_weight
        count = sum(other.task_class == run.task_class for other in shared.batch)
        known = shared.slowdown(run.task_class, now)
        updated = known + _ESTIMATE_STEP / count * (share - known)
        shared.learn(run.task_class, updated, now)


def _weight(shared: _SharedServer, run: RunningTask, now: float) -> float:
    known = shared.slowdown(run.task_class, now)
    return max(_MIN_WEIGHT_SLOWDOWN, known) * max(run.throttle, 0.1)


def _relax(shared: _SharedServer, now: float) -> list[Step]:
    monitor = shared.monitor
    policy = shared.policy
    monitor.trial = monitor.exemption = None
    if monitor.calm_since is None:
        monitor.calm_since = now
    if (
        now - monitor.lowered_at >= policy.interference.react_s
        and monitor.samples_since_lowering >= _MIN_SAMPLES
    ):
        monitor.lowered_at = now
        monitor.samples_since_lowering = 0
        _lower_estimates(shared, now)
    if monitor.level is Level.OPEN:
        return []
    if now - max(monitor.calm_since, monitor.stepped_at) < policy.interference.regrow_s:
        return []
    monitor.stepped_at = now
    throttled = [run for run in shared.batch if run.throttle < 1.0]
    if not throttled:
        monitor.level = Level.OPEN
        return []
    mildest = _by_slowdown(shared, throttled, now)[-1]
    share = min(1.0, mildest.throttle * 2)
    added = (share - mildest.throttle) * shared.slowdown(mildest.task_class, now)
    if _expected_slowdown(shared, now) + added > _max_slowdown(policy):
        return []
    return [ThrottleTask(mildest.task, mildest.attempt, share)]


def _expected_slowdown(shared: _SharedServer, now: float) -> float:
    """Return the slowdown that the running tasks should cause according to the model."""
    return sum(shared.slowdown(run.task_class, now) * run.throttle for run in shared.batch)


def _max_slowdown(policy: Policy) -> float:
    return policy.interference.target_ratio - 1.0


def _lower_estimates(shared: _SharedServer, now: float) -> None:
    """Lower the estimates of the classes that run at full speed while the service is calm."""
    full_speed = [run for run in shared.batch if run.throttle >= 1.0 and run.ran_s > _MIN_RUN_S]
    for task_class in {run.task_class for run in full_speed}:
        known = shared.slowdown(task_class, now)
        shared.learn(task_class, known * (1.0 - _ESTIMATE_STEP), now)

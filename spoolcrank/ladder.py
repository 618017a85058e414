"""Let batch work give way to services: a server steps down while it hurts, and back while calm."""

from spoolcrank.ids import InstanceId, ServiceName
from spoolcrank.interference import (
    Estimate,
    EvictTask,
    Excuse,
    Learnt,
    Level,
    Pair,
    Step,
    ThrottleTask,
    Trial,
    Watch,
)
from spoolcrank.jobs import JobClass
from spoolcrank.policy import Policy
from spoolcrank.worker import Report, RunningTask

_ENOUGH_SAMPLES = 8
_BLAME_STEP = 0.3
_MIN_SLOWDOWN = 0.02
_PERSISTS_S = 2.0
_HEARD_AFTER_S = 2.0

_RELIEF = 0.25
"""Where batch work is the cause, slowing all of it to a third takes away most of what the latency
is above its calm level. By less than this share of it, something else is the cause."""

_RELIEF_AFTER_S = 3.0
"""Relief is looked for so long after work was last slowed, s, and after as many requests as a
latency needs to count: those under way end first, and the smoothed latency follows by a fifth with
each request."""

_EXCUSED_S = 30.0
"""Batch work that was slowed without relief is left alone for so long, s: as long as work waits for
a calm server. Slowing it again on trial takes a sixth of the time."""

_WORSE = 1.5
"""A latency so many times the excused one has another cause, perhaps work that came since."""


def step(
    learnt: Learnt,
    server: InstanceId,
    service: ServiceName,
    kind: str,
    report: Report,
    service_rate: float,
    policy: Policy,
    now: float,
) -> list[Step]:
    """Move one server along the ladder, where its time has come.

    Args:
        learnt: changed in place.
        server: whose runner is watched.
        service: that the runner serves.
        kind: of the server, for learning.
        report: the server's last report.
        service_rate: requests a second to the whole service; a slowed runner to which next
            to none of them go does no harm.
        policy: the configuration in force.
        now: the present time.
    """
    watch = learnt.watches.get(server)
    if watch is None or not policy.interference.enabled:
        return []
    batch = [run for run in report.running if run.job_class is JobClass.BATCH]
    if watch.ratio > policy.interference.target_ratio:
        watch.calm_since = None
        if _excused(watch, now):
            return []
        if now - watch.blamed_at >= policy.interference.react_s and batch:
            watch.blamed_at = now
            _blame(learnt, watch, service, kind, batch, policy, now)
        if not _hurts(watch, service_rate, policy, now):
            return []
        return _step_down(learnt, server, watch, service, kind, batch, policy, now)
    if watch.ratio < policy.interference.calm_ratio:
        return _step_up(learnt, watch, service, kind, batch, policy, now)
    watch.calm_since = None
    return []


def _excused(watch: Watch, now: float) -> bool:
    """Tell whether the latency was found to have another cause than batch work."""
    excuse = watch.excuse
    return excuse is not None and now < excuse.until and watch.fast_s <= excuse.fast_s * _WORSE


def _hurts(watch: Watch, service_rate: float, policy: Policy, now: float) -> bool:
    """Tell whether slow requests go on although the routers had time to steer away."""
    if watch.slow_rate(now) <= policy.interference.tail_share * service_rate:
        watch.hot_since = None
        return False
    if watch.hot_since is None:
        watch.hot_since = now
    return now - watch.hot_since >= _PERSISTS_S


def _step_down(
    learnt: Learnt,
    server: InstanceId,
    watch: Watch,
    service: ServiceName,
    kind: str,
    batch: list[RunningTask],
    policy: Policy,
    now: float,
) -> list[Step]:
    if now - watch.stepped_at < policy.interference.react_s or not batch:
        return []
    watch.stepped_at = now
    if watch.level is Level.OPEN:
        watch.level = Level.NO_PLACING
    order = _worst_first(learnt, service, kind, batch, policy, now)
    if not policy.interference.ladder:
        return [EvictTask(order[0].task, order[0].attempt)]
    loud = [run for run in order if run.throttle > policy.interference.throttle]
    if loud:
        watch.level = max(watch.level, Level.THROTTLED)
        half = loud[: max(1, len(loud) // 2)]
        share = policy.interference.throttle
        begun = watch.trial or Trial(watch.fast_s, watch.calm_s, now, watch.samples)
        watch.trial = begun._replace(stepped_at=now, samples=watch.samples)
        return [ThrottleTask(run.task, run.attempt, share) for run in half]
    trial = watch.trial
    if trial is not None and not _is_over(trial, watch, now):
        return []
    if trial is not None and not _relieved(watch, trial):
        return _excuse(watch, batch, now)
    return _evict_one(learnt, watch, order, policy, now)


def _is_over(trial: Trial, watch: Watch, now: float) -> bool:
    """Tell whether enough requests were measured since work was last slowed."""
    measured = watch.samples - trial.samples
    return now - trial.stepped_at >= _RELIEF_AFTER_S and measured >= _ENOUGH_SAMPLES


def _relieved(watch: Watch, trial: Trial) -> bool:
    """Tell whether slowing batch work took away some of what the latency was above calm."""
    before = trial.fast_s - trial.calm_s
    return watch.fast_s - trial.calm_s <= (1.0 - _RELIEF) * before


def _excuse(watch: Watch, batch: list[RunningTask], now: float) -> list[Step]:
    """Leave work alone that is not the cause: stopping it would help nobody."""
    watch.excuse = Excuse(watch.fast_s, now + _EXCUSED_S)
    watch.trial = None
    watch.level = Level.OPEN
    return [ThrottleTask(run.task, run.attempt, 1.0) for run in batch if run.throttle < 1.0]


def _evict_one(
    learnt: Learnt, watch: Watch, order: list[RunningTask], policy: Policy, now: float
) -> list[Step]:
    learnt.evicted_at = [at for at in learnt.evicted_at if now - at < 60.0]
    if len(learnt.evicted_at) >= policy.interference.evictions_per_minute:
        return []
    learnt.evicted_at.append(now)
    watch.level = Level.EVICTING
    return [EvictTask(order[0].task, order[0].attempt)]


def _worst_first(
    learnt: Learnt,
    service: ServiceName,
    kind: str,
    batch: list[RunningTask],
    policy: Policy,
    now: float,
) -> list[RunningTask]:
    """Sort by learnt slowdown, the largest first; alike, the least lost work first."""
    return sorted(
        batch,
        key=lambda run: (
            -round(learnt.slowdown(service, run.task_class, kind, policy, now), 2),
            run.ran_s,
        ),
    )


def _blame(
    learnt: Learnt,
    watch: Watch,
    service: ServiceName,
    kind: str,
    batch: list[RunningTask],
    policy: Policy,
    now: float,
) -> None:
    """Spread the slowdown seen over the classes that run, by what is known of them."""
    seen = watch.ratio - 1.0
    weights = {run.task: _weight(learnt, service, kind, run, policy, now) for run in batch}
    whole = sum(weights.values())
    for run in batch:
        share = seen * weights[run.task] / whole
        count = sum(other.task_class == run.task_class for other in batch)
        known = learnt.slowdown(service, run.task_class, kind, policy, now)
        moved = known + _BLAME_STEP / count * (share - known)
        learnt.pairs[Pair(service, run.task_class, kind)] = Estimate(moved, now)


def _weight(
    learnt: Learnt,
    service: ServiceName,
    kind: str,
    run: RunningTask,
    policy: Policy,
    now: float,
) -> float:
    known = learnt.slowdown(service, run.task_class, kind, policy, now)
    return max(_MIN_SLOWDOWN, known) * max(run.throttle, 0.1)


def _step_up(
    learnt: Learnt,
    watch: Watch,
    service: ServiceName,
    kind: str,
    batch: list[RunningTask],
    policy: Policy,
    now: float,
) -> list[Step]:
    watch.trial = watch.excuse = None
    if watch.calm_since is None:
        watch.calm_since = now
    if now - watch.cleared_at >= policy.interference.react_s and watch.fresh >= _ENOUGH_SAMPLES:
        watch.cleared_at = now
        watch.fresh = 0
        _clear(learnt, service, kind, batch, policy, now)
    if watch.level is Level.OPEN:
        return []
    if now - max(watch.calm_since, watch.stepped_at) < policy.interference.regrow_s:
        return []
    watch.stepped_at = now
    slowed = [run for run in batch if run.throttle < 1.0]
    if not slowed:
        watch.level = Level.OPEN
        return []
    gentlest = _worst_first(learnt, service, kind, slowed, policy, now)[-1]
    share = min(1.0, gentlest.throttle * 2)
    more = (share - gentlest.throttle) * learnt.slowdown(
        service, gentlest.task_class, kind, policy, now
    )
    if load_of(learnt, service, kind, batch, policy, now) + more > _room(policy):
        return []
    return [ThrottleTask(gentlest.task, gentlest.attempt, share)]


def load_of(
    learnt: Learnt,
    service: ServiceName,
    kind: str,
    batch: list[RunningTask],
    policy: Policy,
    now: float,
) -> float:
    """Return the slowdown that running tasks should bring by what was learnt."""
    return sum(
        learnt.slowdown(service, run.task_class, kind, policy, now) * run.throttle for run in batch
    )


def _room(policy: Policy) -> float:
    return policy.interference.target_ratio - 1.0


def _clear(
    learnt: Learnt,
    service: ServiceName,
    kind: str,
    batch: list[RunningTask],
    policy: Policy,
    now: float,
) -> None:
    """Lower the estimates of classes that run at full speed while the service is calm."""
    heard = [run for run in batch if run.throttle >= 1.0 and run.ran_s > _HEARD_AFTER_S]
    for task_class in {run.task_class for run in heard}:
        pair = Pair(service, task_class, kind)
        known = learnt.slowdown(service, task_class, kind, policy, now)
        learnt.pairs[pair] = Estimate(known * (1.0 - _BLAME_STEP), now)

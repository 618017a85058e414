"""Slow fillers down where the tail latency of serving tasks beside them nears its target."""

import math

from spoolcrank.filler_pace import AIM_RATIO, MIN_PACE_PERCENT, fillers, order_pace
from spoolcrank.mechanisms import Mechanism
from spoolcrank.orders import Report
from spoolcrank.packing import HARMLESS_LIKELIHOOD, NEGLIGIBLE_EFFECT
from spoolcrank.placing import has_harmless_place
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run
from spoolcrank.scheduler import Scheduler

REPORT_WINDOW_S = 0.5
"""Time that the metrics of one report cover, seconds. A poll within this time returns no new
metrics."""

SLOW_DOWN_RATIO = 0.85
"""Ratio of tail latency to target from which the fillers that cause it are slowed down."""

SPEED_UP_RATIO = 0.6
"""Ratio of tail latency to target up to which, on every serving task, fillers may speed up."""

MIN_PACE_INTERVAL_S = 0.6
"""Minimum time between two changes of one filler's pace, seconds. The effect of a change shows in
the report after next."""

MAX_PACE_INCREASE_PERCENT = 40
"""Largest increase of a pace in one step, percentage points."""

HALT_AFTER_S = 1.3
"""Time over target after which every filler on the runner is halted, seconds. With a report each
second this is well before the 4 s after which a tail latency over target counts as harm."""

MOVE_AFTER_S = 1.0
"""Time at half pace or less after which a filler moves with its checkpoint, seconds, if there is a
runner on which it slows nothing. Stopping and resuming takes about as long."""


def learn(state: Scheduler, runner: RunnerState, shares: dict[str, float], now: float) -> None:
    """Update the contention model from a runner's newest metrics.

    Args:
        state: the leader's scheduler state.
        runner: the runner that sent the metrics.
        shares: share of its processors that fillers of each image used in the time covered.
        now: monotonic seconds.
    """
    if now - runner.learned_at < REPORT_WINDOW_S:
        return
    runner.learned_at = now
    runner.filler_headroom = None
    for run in runner.runs.values():
        if run.serves and run.tail_ms > 0 and run.percent == 100:
            ratio = run.tail_ms / run.target_ms
            state.contention.learn(run.image, run.load, ratio, shares, now)


def filler_use(runner: RunnerState, report: Report, now: float) -> dict[str, float]:
    """Return the shares of a runner's processors that fillers used during a report, by image.

    A report covers REPORT_WINDOW_S. Fillers that ended within that time are no longer listed as
    running, but they still affected the serving tasks.
    """
    shares: dict[str, float] = {}
    for row in report.running:
        run = runner.runs.get(row.task)
        if run is not None and run.number == row.run and run.fills:
            shares[run.image] = shares.get(run.image, 0.0) + runner.share(row.measurement)
    for end in report.ended:
        run = runner.runs.get(end.task)
        if end.number > runner.last_handled_end and run is not None and run.number == end.run:
            if run.fills:
                fraction = min(1.0, max(0.0, now - run.since) / REPORT_WINDOW_S)
                used_share = runner.share(run.used_millicores or run.paced_millicores * fraction)
                shares[run.image] = shares.get(run.image, 0.0) + used_share
    return shares


def set_paces(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Adjust the pace of the fillers on a runner to the tail latencies of its serving tasks."""
    slowest = _run_with_highest_ratio(runner)
    if slowest is None:
        _restore_full_pace(state, runner, now)
        return
    ratio = slowest.tail_ms / slowest.target_ms
    if _over_target_too_long(runner, now):
        _halt_fillers(state, runner, now)
    elif ratio >= SLOW_DOWN_RATIO:
        _slow_down(state, runner, slowest, ratio, now)
    elif ratio <= SPEED_UP_RATIO:
        _speed_up(state, runner, slowest, ratio, now)
    on_target = all(run.over_target_since is None for run in runner.runs.values())
    if on_target and state.uses(Mechanism.FREEING):
        _speed_up_harmless(state, runner, now)
    if state.uses(Mechanism.MOVING):
        _move_slow_fillers(state, runner, now)


def _run_with_highest_ratio(runner: RunnerState) -> Run | None:
    serving = [run for run in runner.runs.values() if run.serves and run.tail_ms > 0]
    return max(serving, key=lambda run: run.tail_ms / run.target_ms, default=None)


def _restore_full_pace(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Restore full pace for every filler, unless serving tasks are bound to the runner."""
    if runner.serving:
        return
    for key, run in list(fillers(runner)):
        if run.pace < 100 and now - run.paced_at >= MIN_PACE_INTERVAL_S:
            order_pace(state, runner, key, run, 100, now)


def _over_target_too_long(runner: RunnerState, now: float) -> bool:
    return any(
        run.over_target_since is not None and now - run.over_target_since >= HALT_AFTER_S
        for run in runner.runs.values()
    )


def _likely_harmless(state: Scheduler, runner: RunnerState, run: Run) -> bool:
    harmless = state.contention.harmless
    return all(harmless(image, run.image) >= HARMLESS_LIKELIHOOD for image in runner.serving)


def _speed_up_harmless(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Restore full pace for fillers that almost certainly do no harm, at any load of serving tasks.

    They were slowed while the model knew less, or were halted because of a tail latency that
    they did not raise.
    """
    for key, run in list(fillers(runner)):
        if run.pace < 100 and now - run.paced_at >= MIN_PACE_INTERVAL_S:
            if _likely_harmless(state, runner, run):
                order_pace(state, runner, key, run, 100, now)


def _halt_fillers(state: Scheduler, runner: RunnerState, now: float) -> None:
    for key, run in list(fillers(runner)):
        if run.pace > 0:
            order_pace(state, runner, key, run, 0, now)


def _effect(state: Scheduler, runner: RunnerState, serving: Run, run: Run) -> float:
    share = runner.share(run.wanted_millicores * run.pace / 100.0)
    return state.contention.weight(serving.image, run.image) * share


def _slow_down(
    state: Scheduler, runner: RunnerState, slowest: Run, ratio: float, now: float
) -> None:
    running = list(fillers(runner))
    effects = [_effect(state, runner, slowest, run) for _, run in running]
    to_slow = [
        pair for pair, effect in zip(running, effects, strict=True) if effect > NEGLIGIBLE_EFFECT
    ]
    if not to_slow and ratio >= 1.0:
        to_slow = running
    required_reduction = math.log(ratio / AIM_RATIO)
    total_effect = max(sum(effects), NEGLIGIBLE_EFFECT)
    factor = max(0.0, 1.0 - required_reduction / total_effect)
    for key, run in to_slow:
        pace = max(MIN_PACE_PERCENT, int(run.pace * factor))
        if pace < run.pace and now - run.paced_at >= MIN_PACE_INTERVAL_S:
            order_pace(state, runner, key, run, pace, now)


def _expected_level(state: Scheduler, runner: RunnerState, now: float) -> float:
    """Return the highest expected logarithm of tail latency over target at the current paces.

    The newest report may be older than the paces, and it shows too low a latency for a serving task
    that has just started and still has few users.
    """
    shares = runner.filler_shares(now)
    effects = {image: state.contention.effect(image, shares.items()) for image in runner.serving}
    return max(
        run.load.predict(state.contention.base(run.image), now)[0] + effects[run.image]
        for run in runner.runs.values()
        if run.serves
    )


def _speed_up(
    state: Scheduler, runner: RunnerState, slowest: Run, ratio: float, now: float
) -> None:
    allowed = math.log(AIM_RATIO) - max(math.log(ratio), _expected_level(state, runner, now))
    for key, run in fillers(runner):
        if run.pace >= 100 or now - run.paced_at < MIN_PACE_INTERVAL_S:
            continue
        weight = state.contention.weight(slowest.image, run.image)
        per_percent = weight * runner.share(run.wanted_millicores) / 100.0
        increase = (
            MAX_PACE_INCREASE_PERCENT
            if per_percent <= 0
            else min(MAX_PACE_INCREASE_PERCENT, int(allowed / per_percent))
        )
        if increase > 0:
            order_pace(state, runner, key, run, min(100, run.pace + increase), now)
            allowed -= increase * per_percent


def _move_slow_fillers(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Stop fillers that have been slow too long and could resume elsewhere without doing harm."""
    for key, run in list(fillers(runner)):
        if run.slow_since is None or now - run.slow_since < MOVE_AFTER_S or not run.checkpoints:
            continue
        run.slow_since = now
        if has_harmless_place(state, key, runner.id, now):
            state.log_event(
                "moved", task=key, run=run.number, runner=runner.id, percent=run.percent
            )
            state.stop_run(key, runner.id, now)

"""Hold fillers back where the tail of what serves beside them nears its target."""

import math

from spoolcrank.filler_pace import AIM, LEAST_PACE, fillers, order_pace
from spoolcrank.mechanisms import Mechanism
from spoolcrank.orders import Report
from spoolcrank.packing import SMALL_EFFECT, SURELY_HARMLESS
from spoolcrank.placing import has_harmless_place
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run
from spoolcrank.scheduler import Scheduler

REPORT_EVERY_S = 0.5
"""Figures cover so long, s; a poll within it tells nothing new."""

PRESSED = 0.85
"""A tail over this share of its target slows the fillers that cause it."""

RELAXED = 0.6
"""Fillers get faster again while every tail is below this share of its target."""

SETTLE_S = 0.6
"""Between two changes of one filler's pace, s: its effect shows in the report after next."""

PACE_UP = 40
"""Faster again in steps of at most so many percent."""

OVER_S = 1.3
"""Where a tail stays over its target for so long, every filler beside it stands still, s; with
a report each second that is well before the 4 s after which it counts as harm."""

MOVE_AFTER_S = 1.0
"""A filler that worked at half its pace or less for so long moves with its checkpoint, s, if
there is a place where it slows nothing; stopping and resuming takes about as long."""


def learn(state: Scheduler, runner: RunnerState, shares: dict[str, float], now: float) -> None:
    """Take a runner's newest figures into what is learnt of pairs.

    Args:
        state: the leader's.
        runner: which one.
        shares: of its room, what fillers of each image used in the time of the figures.
        now: monotonic seconds.
    """
    if now - runner.learnt_at < REPORT_EVERY_S:
        return
    runner.learnt_at = now
    runner.filler_room = None
    for run in runner.runs.values():
        if run.serves and run.tail_ms > 0 and run.percent == 100:
            ratio = run.tail_ms / run.target_ms
            state.contention.learn(run.image, run.load, ratio, shares, now)


def filler_use(runner: RunnerState, report: Report, now: float) -> dict[str, float]:
    """Return what fillers used in the time that a report covers, as shares of the room by image.

    Those that ended within it are not listed as running any more, but what serves felt them.
    """
    shares: dict[str, float] = {}
    for row in report.running:
        run = runner.runs.get(row.task)
        if run is not None and run.number == row.run and run.fills:
            shares[run.image] = shares.get(run.image, 0.0) + runner.share(row.figure)
    for end in report.ended:
        run = runner.runs.get(end.task)
        if end.number > runner.seen_next and run is not None and run.number == end.run:
            if run.fills:
                lived = min(1.0, max(0.0, now - run.since) / REPORT_EVERY_S)
                used = runner.share(run.used_millicores or run.paced_millicores * lived)
                shares[run.image] = shares.get(run.image, 0.0) + used
    return shares


def set_paces(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Slow fillers down, or let them work faster, by the tails beside them."""
    pressed = _most_pressed(runner)
    if pressed is None:
        _let_go(state, runner, now)
        return
    ratio = pressed.tail_ms / pressed.target_ms
    if _over_long(runner, now):
        _halt(state, runner, now)
    elif ratio >= PRESSED:
        _slow_down(state, runner, pressed, ratio, now)
    elif ratio <= RELAXED:
        _speed_up(state, runner, pressed, ratio, now)
    calm = all(run.over_since is None for run in runner.runs.values())
    if calm and state.uses(Mechanism.FREEING):
        _free_harmless(state, runner, now)
    if state.uses(Mechanism.MOVING):
        _move_slow(state, runner, now)


def _most_pressed(runner: RunnerState) -> Run | None:
    serving = [run for run in runner.runs.values() if run.serves and run.tail_ms > 0]
    return max(serving, key=lambda run: run.tail_ms / run.target_ms, default=None)


def _let_go(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Let every filler work at full speed: nothing serves beside it, or nothing is known of it."""
    if runner.serving:
        return
    for key, run in list(fillers(runner)):
        if run.pace < 100 and now - run.paced_at >= SETTLE_S:
            order_pace(state, runner, key, run, 100, now)


def _over_long(runner: RunnerState, now: float) -> bool:
    return any(
        run.over_since is not None and now - run.over_since >= OVER_S
        for run in runner.runs.values()
    )


def _surely_harmless(state: Scheduler, runner: RunnerState, run: Run) -> bool:
    harmless = state.contention.harmless
    return all(harmless(image, run.image) >= SURELY_HARMLESS for image in runner.serving)


def _free_harmless(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Let fillers that surely do no harm work at full speed, whatever the load of what serves.

    They were slowed while less was known, or stood still for a tail that they did not raise.
    """
    for key, run in list(fillers(runner)):
        if run.pace < 100 and now - run.paced_at >= SETTLE_S:
            if _surely_harmless(state, runner, run):
                order_pace(state, runner, key, run, 100, now)


def _halt(state: Scheduler, runner: RunnerState, now: float) -> None:
    for key, run in list(fillers(runner)):
        if run.pace > 0:
            order_pace(state, runner, key, run, 0, now)


def _effect(state: Scheduler, runner: RunnerState, serving: Run, run: Run) -> float:
    share = runner.share(run.wanted_millicores * run.pace / 100.0)
    return state.contention.weight(serving.image, run.image) * share


def _slow_down(
    state: Scheduler, runner: RunnerState, pressed: Run, ratio: float, now: float
) -> None:
    held = list(fillers(runner))
    effects = [_effect(state, runner, pressed, run) for _, run in held]
    causes = [pair for pair, effect in zip(held, effects, strict=True) if effect > SMALL_EFFECT]
    if not causes and ratio >= 1.0:
        causes = held
    too_much = math.log(ratio / AIM)
    in_all = max(sum(effects), SMALL_EFFECT)
    factor = max(0.0, 1.0 - too_much / in_all)
    for key, run in causes:
        pace = max(LEAST_PACE, int(run.pace * factor))
        if pace < run.pace and now - run.paced_at >= SETTLE_S:
            order_pace(state, runner, key, run, pace, now)


def _expected(state: Scheduler, runner: RunnerState, now: float) -> float:
    """Return the highest logarithm of tail over target that the paces set last should give.

    A report may be older than the paces, and a task that has just begun to serve has few users.
    """
    shares = runner.filler_shares(now)
    effects = {image: state.contention.effect(image, shares.items()) for image in runner.serving}
    return max(
        run.load.ahead(state.contention.base(run.image), now)[0] + effects[run.image]
        for run in runner.runs.values()
        if run.serves
    )


def _speed_up(
    state: Scheduler, runner: RunnerState, pressed: Run, ratio: float, now: float
) -> None:
    allowed = math.log(AIM) - max(math.log(ratio), _expected(state, runner, now))
    for key, run in fillers(runner):
        if run.pace >= 100 or now - run.paced_at < SETTLE_S:
            continue
        weight = state.contention.weight(pressed.image, run.image)
        per_percent = weight * runner.share(run.wanted_millicores) / 100.0
        more = PACE_UP if per_percent <= 0 else min(PACE_UP, int(allowed / per_percent))
        if more > 0:
            order_pace(state, runner, key, run, min(100, run.pace + more), now)
            allowed -= more * per_percent


def _move_slow(state: Scheduler, runner: RunnerState, now: float) -> None:
    for key, run in list(fillers(runner)):
        if run.slow_since is None or now - run.slow_since < MOVE_AFTER_S or not run.checkpoints:
            continue
        run.slow_since = now
        if has_harmless_place(state, key, runner.id, now):
            state.note("moved", task=key, run=run.number, runner=runner.id, percent=run.percent)
            state.stop_run(key, runner.id, now)

"""Tell what waiting fillers wait for: why no runner takes one more of each image."""

from collections import Counter, defaultdict
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.packing import Obstacle, filler_obstacle
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step

BACKLOG_EVERY_S = 2.0
"""Between two accounts, s; what binds shifts with the load in some seconds."""

MOST_IMAGES = 16
"""Images told of in one account, those with the most waiting first; bounds the lines."""


class _Waiting(NamedTuple):
    """Waiting fillers of one image: the smallest task, and what all of them want, cores."""

    service: ServiceName
    step: Step
    cores: float


def tell_backlog_now_and_then(state: Scheduler, now: float) -> None:
    """Write the account, if the last one is old enough."""
    if now - state.backlog_told_at >= BACKLOG_EVERY_S:
        state.backlog_told_at = now
        tell_backlog(state, now)


def tell_backlog(state: Scheduler, now: float) -> None:
    """Write a line for each image of waiting fillers: how much, and what each runner lacks."""
    waiting = _waiting(state)
    at_work = _at_work(state)
    pools = state.pools(now)
    images = sorted(waiting, key=lambda image: -waiting[image].cores)
    for image in images[:MOST_IMAGES]:
        held = waiting[image]
        found: Counter[Obstacle | None] = Counter(
            filler_obstacle(held.step, runner, state.contention, now)
            for runner in pools.get(held.service, [])
        )
        serving = sorted({one for runner in state.runners.values() for one in runner.serving})
        state.note(
            "fillers-wait",
            image=image,
            waiting_cores=round(held.cores, 1),
            at_work_cores=round(at_work[image], 1),
            open_runners=found[None],
            obstacles={one.value: found[one] for one in Obstacle},
            beliefs=[
                [one, *(round(part, 2) for part in state.contention.belief(one, image))]
                for one in serving
            ],
        )


def _waiting(state: Scheduler) -> dict[str, _Waiting]:
    found: dict[str, _Waiting] = {}
    for job in state.waiting_jobs():
        for held in job.rounds.values():
            for _, step in held.ready():
                if not step.spec.fills:
                    continue
                cores = len(step.waiting) * step.spec.millicores / 1000.0
                before = found.get(step.spec.image)
                if before is None:
                    found[step.spec.image] = _Waiting(state.service_of(job), step.spec, cores)
                    continue
                smallest = min(before.step, step.spec, key=lambda one: one.millicores)
                found[step.spec.image] = before._replace(step=smallest, cores=before.cores + cores)
    return found


def _at_work(state: Scheduler) -> dict[str, float]:
    """Return what fillers of each image may use at their pace, cores."""
    cores: dict[str, float] = defaultdict(float)
    for runner in state.runners.values():
        for run in runner.runs.values():
            if run.fills:
                cores[run.image] += run.paced_millicores / 1000.0
    return cores

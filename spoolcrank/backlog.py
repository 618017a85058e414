"""Log why fillers wait: for each image, what keeps each runner from taking one more."""

from collections import Counter, defaultdict
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.packing import Obstacle, filler_obstacle
from spoolcrank.runner_pools import usable_runners
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step

BACKLOG_INTERVAL_S = 2.0
"""Interval between reports of the backlog, seconds; the obstacles change with the load within
some seconds."""

MAX_IMAGES = 16
"""Number of images in one report, those with the most waiting work first; limits the log volume."""


class _Waiting(NamedTuple):
    """Waiting fillers of one image: the step with the smallest task, and the total cores wanted."""

    service: ServiceName
    step: Step
    cores: float


def log_backlog_periodically(state: Scheduler, now: float) -> None:
    """Log the backlog if BACKLOG_INTERVAL_S has passed since the last report."""
    if now - state.backlog_logged_at >= BACKLOG_INTERVAL_S:
        state.backlog_logged_at = now
        log_backlog(state, now)


def log_backlog(state: Scheduler, now: float) -> None:
    """Log an event for each image of waiting fillers: amount waiting and obstacles on runners."""
    waiting = _waiting(state)
    running = _running_cores(state)
    pools = usable_runners(state, now)
    images = sorted(waiting, key=lambda image: -waiting[image].cores)
    for image in images[:MAX_IMAGES]:
        backlog = waiting[image]
        obstacle_counts: Counter[Obstacle | None] = Counter(
            filler_obstacle(backlog.step, runner, state.contention, now)
            for runner in pools.get(backlog.service, [])
        )
        serving_images = sorted(
            {serving_image for runner in state.runners.values() for serving_image in runner.serving}
        )
        state.log_event(
            "fillers-wait",
            image=image,
            waiting_cores=round(backlog.cores, 1),
            at_work_cores=round(running[image], 1),
            open_runners=obstacle_counts[None],
            obstacles={obstacle.value: obstacle_counts[obstacle] for obstacle in Obstacle},
            beliefs=[
                [
                    serving_image,
                    *(
                        round(part, 2)
                        for part in state.contention.weight_estimate(serving_image, image)
                    ),
                ]
                for serving_image in serving_images
            ],
        )


def _waiting(state: Scheduler) -> dict[str, _Waiting]:
    by_image: dict[str, _Waiting] = {}
    for job in state.waiting_jobs():
        for round_state in job.rounds.values():
            for _, step in round_state.ready():
                if not step.spec.fills:
                    continue
                cores = len(step.waiting) * step.spec.millicores / 1000.0
                before = by_image.get(step.spec.image)
                if before is None:
                    by_image[step.spec.image] = _Waiting(state.service_of(job), step.spec, cores)
                    continue
                smallest = min(before.step, step.spec, key=lambda candidate: candidate.millicores)
                by_image[step.spec.image] = before._replace(
                    step=smallest, cores=before.cores + cores
                )
    return by_image


def _running_cores(state: Scheduler) -> dict[str, float]:
    """Return the processors that running fillers of each image may use at their pace, cores."""
    cores: dict[str, float] = defaultdict(float)
    for runner in state.runners.values():
        for run in runner.runs.values():
            if run.fills:
                cores[run.image] += run.paced_millicores / 1000.0
    return cores

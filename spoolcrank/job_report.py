"""Tell by queue and by image where the time of jobs went, as tables and a plot."""

from collections import defaultdict
from collections.abc import Sequence

from rich.table import Table

from spoolcrank.job_times import UNFINISHED, Cause, JobTimes


def is_late(job: JobTimes) -> bool:
    """Tell whether a job missed its objective as the leader reckoned it."""
    return job.took_s > job.objective_s


def verdict(job: JobTimes) -> str:
    """Return what became of a job."""
    if job.phase == UNFINISHED:
        return UNFINISHED
    return "late" if is_late(job) else "in time"


def by_group(jobs: Sequence[JobTimes]) -> dict[tuple[str, str], list[JobTimes]]:
    """Return the jobs of each queue by what became of them."""
    groups: dict[tuple[str, str], list[JobTimes]] = defaultdict(list)
    for job in jobs:
        groups[job.queue, verdict(job)].append(job)
    return dict(sorted(groups.items()))


def by_image(jobs: Sequence[JobTimes]) -> dict[tuple[str, str], list[JobTimes]]:
    """Return the jobs of each queue and image; one of several images stands with each."""
    groups: dict[tuple[str, str], list[JobTimes]] = defaultdict(list)
    for job in jobs:
        for image in dict.fromkeys(job.images):
            groups[job.queue, image].append(job)
    return dict(sorted(groups.items()))


def mean_seconds(jobs: Sequence[JobTimes], cause: Cause) -> float:
    """Return the mean time that a cause took of some jobs, s."""
    return sum(job.seconds.get(cause, 0.0) for job in jobs) / len(jobs)


def report_table(jobs: Sequence[JobTimes]) -> Table:
    """Return a row for each queue and verdict: how many jobs, and mean seconds by cause."""
    table = Table("queue", "", "jobs", "took s", "objective s", *(one.value for one in Cause))
    for (queue, became), held in by_group(jobs).items():
        took_s = sum(job.took_s for job in held) / len(held)
        due_s = sum(job.objective_s for job in held) / len(held)
        means = [f"{mean_seconds(held, cause):.2f}" for cause in Cause]
        table.add_row(queue, became, str(len(held)), f"{took_s:.2f}", f"{due_s:.2f}", *means)
    return table


def image_table(jobs: Sequence[JobTimes]) -> Table:
    """Return a row for each queue and image: what became of its jobs, mean seconds by cause."""
    kinds = ("in time", "late", UNFINISHED)
    table = Table("queue", "image", *kinds, *(f"{one.value} s" for one in Cause))
    for (queue, image), held in by_image(jobs).items():
        became = [verdict(job) for job in held]
        counts = [str(became.count(kind)) for kind in kinds]
        means = [f"{mean_seconds(held, cause):.2f}" for cause in Cause]
        table.add_row(queue, image or "-", *counts, *means)
    return table


def plot(jobs: Sequence[JobTimes], path: str) -> None:
    """Draw the mean seconds by cause as stacked bars; needs the extra `plots`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = by_group(jobs)
    names = [f"{queue}\n{became}" for queue, became in groups]
    figure, axes = pyplot.subplots(figsize=(2.0 + 1.5 * len(names), 5.0))
    bottom = [0.0] * len(names)
    for cause in Cause:
        heights = [mean_seconds(held, cause) for held in groups.values()]
        axes.bar(names, heights, bottom=bottom, label=cause.value)
        bottom = [low + more for low, more in zip(bottom, heights, strict=True)]
    axes.set_ylabel("mean seconds of a job")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)

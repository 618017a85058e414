"""Report the time of jobs by cause, grouped by queue and by image, as tables and a plot."""

from collections import defaultdict
from collections.abc import Sequence

from rich.table import Table

from spoolcrank.job_times import UNFINISHED, Cause, JobTimes


def is_late(job: JobTimes) -> bool:
    """Return whether a job took longer than the objective that the leader computed for it."""
    return job.duration_s > job.objective_s


def verdict(job: JobTimes) -> str:
    """Return "unfinished", "late" or "in time"."""
    if job.phase == UNFINISHED:
        return UNFINISHED
    return "late" if is_late(job) else "in time"


def by_group(jobs: Sequence[JobTimes]) -> dict[tuple[str, str], list[JobTimes]]:
    """Group the jobs by queue and verdict."""
    groups: dict[tuple[str, str], list[JobTimes]] = defaultdict(list)
    for job in jobs:
        groups[job.queue, verdict(job)].append(job)
    return dict(sorted(groups.items()))


def by_image(jobs: Sequence[JobTimes]) -> dict[tuple[str, str], list[JobTimes]]:
    """Group the jobs by queue and image; a job with several images is in the group of each."""
    groups: dict[tuple[str, str], list[JobTimes]] = defaultdict(list)
    for job in jobs:
        for image in dict.fromkeys(job.images):
            groups[job.queue, image].append(job)
    return dict(sorted(groups.items()))


def mean_seconds(jobs: Sequence[JobTimes], cause: Cause) -> float:
    """Return the mean time that the jobs spent on a cause, in seconds."""
    return sum(job.seconds.get(cause, 0.0) for job in jobs) / len(jobs)


def report_table(jobs: Sequence[JobTimes]) -> Table:
    """Return a table of the job count and the mean seconds by cause per queue and verdict."""
    table = Table("queue", "", "jobs", "took s", "objective s", *(column.value for column in Cause))
    for (queue, outcome), group in by_group(jobs).items():
        duration_s = sum(job.duration_s for job in group) / len(group)
        objective_s = sum(job.objective_s for job in group) / len(group)
        means = [f"{mean_seconds(group, cause):.2f}" for cause in Cause]
        table.add_row(
            queue, outcome, str(len(group)), f"{duration_s:.2f}", f"{objective_s:.2f}", *means
        )
    return table


def image_table(jobs: Sequence[JobTimes]) -> Table:
    """Return a table of the verdicts and the mean seconds by cause per queue and image."""
    kinds = ("in time", "late", UNFINISHED)
    table = Table("queue", "image", *kinds, *(f"{column.value} s" for column in Cause))
    for (queue, image), group in by_image(jobs).items():
        outcomes = [verdict(job) for job in group]
        counts = [str(outcomes.count(kind)) for kind in kinds]
        means = [f"{mean_seconds(group, cause):.2f}" for cause in Cause]
        table.add_row(queue, image or "-", *counts, *means)
    return table


def plot(jobs: Sequence[JobTimes], path: str) -> None:
    """Write a plot of the mean seconds by cause as stacked bars; requires the extra `plots`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = by_group(jobs)
    names = [f"{queue}\n{outcome}" for queue, outcome in groups]
    figure, axes = pyplot.subplots(figsize=(2.0 + 1.5 * len(names), 5.0))
    bottom = [0.0] * len(names)
    for cause in Cause:
        heights = [mean_seconds(group, cause) for group in groups.values()]
        axes.bar(names, heights, bottom=bottom, label=cause.value)
        bottom = [base + height for base, height in zip(bottom, heights, strict=True)]
    axes.set_ylabel("mean seconds per job")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)

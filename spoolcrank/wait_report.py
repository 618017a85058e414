"""Report waits of jobs beside free capacity, and the jobs of which nothing more is told."""

from collections import defaultdict
from collections.abc import Sequence

from rich.table import Table

from spoolcrank.wait_times import UnknownJob, Wait, longest_first


def wait_table(waits: Sequence[Wait], begin_s: float) -> Table:
    """Return a table of the waits by what held the task, the longest first.

    Args:
        waits: the waits.
        begin_s: time of the first log line, from which the times in the table count, in seconds.
    """
    table = Table("waits for", "runners", "jobs", "longest s", "from s", "to s", "ended by", "task")
    for (obstacle, runners), group in longest_first(waits).items():
        longest = group[0]
        table.add_row(
            obstacle,
            ", ".join(runners) or "-",
            str(len({wait.task.job for wait in group})),
            f"{longest.length_s():.1f}",
            f"{longest.began_at - begin_s:.1f}",
            f"{longest.ended_at - begin_s:.1f}",
            longest.end or "nothing",
            _task_name(longest),
        )
    return table


def _task_name(wait: Wait) -> str:
    task = wait.task
    return f"{task.job}.{task.round}.{task.step}.{task.number}"


def unknown_job_table(jobs: Sequence[UnknownJob], begin_s: float) -> Table:
    """Return a table of the jobs that no line names after the last takeover, by their last event.

    Those that run on without an event are among them, as are those whose end was not logged.
    """
    groups: dict[str, list[UnknownJob]] = defaultdict(list)
    for job in jobs:
        groups[job.last_event].append(job)
    table = Table("last event", "jobs", "latest at s", "latest job")
    for event, group in sorted(groups.items()):
        latest = group[-1]
        table.add_row(event, str(len(group)), f"{latest.at - begin_s:.1f}", latest.job)
    return table

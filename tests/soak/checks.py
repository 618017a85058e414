"""Check the invariants against the journals of the runners and the records of the clients.

Each check returns a line for every violation, beginning with the name of its rule.
"""

import json
from collections import defaultdict
from collections.abc import Mapping
from itertools import pairwise
from typing import NamedTuple

from tests.soak.callers import SubmittedJob
from tests.soak.fleet import RunnerIncarnation

CANCEL_EFFECT_S = 3.0
"""Time after an acknowledged cancel from which no task of the job may start, in seconds.

It applies to calm periods only, in which no fault is active.
"""

TIMESTAMP_TOLERANCE_S = 0.05
"""Difference that is allowed between two processes' timestamps of the same moment, in seconds."""


class Span(NamedTuple):
    """One run, from its start to its end or to the end of its runner's process."""

    begin: float
    end: float
    how: str
    run: int
    runner: str
    spec: str


def spans_of(incarnations: list[RunnerIncarnation], until: float) -> dict[str, list[Span]]:
    """Return the runs of each task in the order in which they started."""
    spans: dict[str, list[Span]] = defaultdict(list)
    for incarnation in incarnations:
        open_runs: dict[str, tuple[float, int, str]] = {}
        leased_until = 0.0
        for at, kind, task, run, detail in _lines(incarnation):
            if kind == "lease":
                leased_until = float(detail)
            elif kind == "start":
                open_runs[task] = (at, run, detail)
            elif kind == "end" and task in open_runs:
                begin, number, spec = open_runs.pop(task)
                spans[task].append(Span(begin, at, detail, number, incarnation.name, spec))
        last_at = incarnation.killed_at if incarnation.killed_at is not None else until
        if incarnation.killed_frozen:
            # A runner that was killed while frozen did nothing after its lease, and wrote no end.
            last_at = min(last_at, leased_until)
        for task, (begin, number, spec) in open_runs.items():
            how = "killed" if incarnation.killed_at is not None else "running"
            spans[task].append(Span(begin, last_at, how, number, incarnation.name, spec))
    return {task: sorted(task_runs) for task, task_runs in spans.items()}


def _lines(incarnation: RunnerIncarnation) -> list[tuple[float, str, str, int, str]]:
    raw = incarnation.journal.read_text().splitlines()
    # The last line of a killed runner may be incomplete.
    return [tuple(json.loads(line)) for line in raw if line.endswith("]")]


def concurrent_runs(spans: Mapping[str, list[Span]]) -> list[str]:
    """Report tasks of which two runs overlapped."""
    violations = []
    for task, task_spans in spans.items():
        for earlier, next_run in pairwise(task_spans):
            if next_run.begin < earlier.end - TIMESTAMP_TOLERANCE_S:
                violations.append(f"TWICE {task}: {earlier} and {next_run}")
    return violations


def starts_after_end(
    incarnations: list[RunnerIncarnation], spans: Mapping[str, list[Span]]
) -> list[str]:
    """Report tasks that were started after an acknowledged end."""
    acknowledged = {
        (task, run)
        for incarnation in incarnations
        for _, kind, task, run, _ in _lines(incarnation)
        if kind == "noted"
    }
    violations = []
    for task, run in acknowledged:
        ends = [span.end for span in spans[task] if span.how == "done" and span.run == run]
        done_at = min(ends)
        late_starts = [span for span in spans[task] if span.begin > done_at]
        violations += [f"TWICE {task}: {span} after its end at {done_at}" for span in late_starts]
    return violations


def unrequested_runs(
    spans: Mapping[str, list[Span]],
    jobs: Mapping[str, SubmittedJob],
    calm_periods: list[tuple[float, float]],
) -> list[str]:
    """Report runs of jobs that no client sent, or that were refused or cancelled before.

    A cancel counts only if no fault was active from its acknowledgement to the start of the run.
    """
    violations = []
    for task, task_spans in spans.items():
        job = jobs.get(task.split(".")[0])
        for span in task_spans:
            if job is None or span.spec != job.spec:
                violations.append(f"UNASKED {task}: {span}")
            elif job.certainly_refused:
                violations.append(f"REFUSED {task}: {span} {job}")
            elif job.cancelled_at is not None and span.begin > job.cancelled_at + CANCEL_EFFECT_S:
                if any(
                    begin <= job.cancelled_at and span.begin <= end for begin, end in calm_periods
                ):
                    violations.append(f"UNASKED {task}: {span} cancelled at {job.cancelled_at}")
    return violations


def out_of_order_runs(spans: Mapping[str, list[Span]]) -> list[str]:
    """Report runs of a second step that began before all tasks of the first step were done."""
    violations = []
    done_at: dict[tuple[str, str], float] = {}
    for task, task_spans in spans.items():
        job, _, step, index = task.split(".")
        ends = [span.end for span in task_spans if span.how == "done"]
        if step == "0" and ends:
            done_at[job, index] = min(ends)
    for task, task_spans in spans.items():
        job, _, step, _ = task.split(".")
        if step != "1":
            continue
        width = int(task_spans[0].spec.split("-")[1])
        first_step_ends = [done_at.get((job, str(index))) for index in range(width)]
        last_end = max((at for at in first_step_ends if at is not None), default=0.0)
        if None in first_step_ends or task_spans[0].begin < last_end - TIMESTAMP_TOLERANCE_S:
            violations.append(f"ORDER {task}: {task_spans[0]} before {first_step_ends}")
    return violations

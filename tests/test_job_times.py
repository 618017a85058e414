"""The time of a job is attributed to causes from the log lines of the instances."""

from typing import Any

import pytest

from spoolcrank.ids import JobId
from spoolcrank.job_times import Cause, JobTimes, job_times
from spoolcrank.log_search import Line
from spoolcrank.runs import Run, RunStage
from spoolcrank.workflow import Demand

JOB = "ab"


def line(at: float, event: str, **fields: Any) -> Line:
    return Line(at, "front-1", event, fields)


def task_line(at: float, event: str, step: int, number: int = 0, **fields: Any) -> Line:
    return line(at, event, task=[JOB, 0, step, number], **fields)


def times_of_job(*rest: Line, after: list[list[int]]) -> JobTimes:
    read = line(1.2, "job-read", job=JOB, queue="q", objective_s=3.0, after=after)
    lines = [line(1.0, "job-accepted", job=JOB), read, *rest]
    lines.append(line(max(event.at for event in rest), "job-ended", job=JOB, phase="completed"))
    return job_times(lines)[0]


def test_every_second_of_a_job_has_one_cause() -> None:
    times = times_of_job(
        task_line(2.0, "task-bound", 0, 0),
        task_line(2.0, "task-bound", 0, 1),
        task_line(3.0, "run-ended", 0, 0, how="done"),
        task_line(4.0, "run-ended", 0, 1, how="done"),
        task_line(4.5, "task-bound", 1),
        task_line(6.5, "run-ended", 1, how="done"),
        after=[[], [0]],
    )
    assert times.job == JobId(JOB)
    assert times.duration_s == 5.5
    assert round(sum(times.seconds.values()), 6) == 5.5
    assert round(times.seconds[Cause.INTAKE], 6) == 0.2
    assert round(times.seconds[Cause.PLACE], 6) == 1.3
    assert round(times.seconds[Cause.WORK], 6) == 4.0


def test_time_at_a_lower_pace_and_after_a_stop_has_its_own_cause() -> None:
    times = times_of_job(
        task_line(1.2, "task-bound", 0),
        task_line(2.2, "paced", 0, percent=25),
        task_line(4.2, "run-ended", 0, how="stopped"),
        task_line(5.2, "task-bound", 0),
        task_line(6.2, "run-ended", 0, how="done"),
        after=[[]],
    )
    assert round(times.seconds[Cause.WORK], 6) == 2.5
    assert round(times.seconds[Cause.PACE], 6) == 1.5
    assert round(times.seconds[Cause.MOVED], 6) == 1.0
    assert round(sum(times.seconds.values()), 6) == times.duration_s


def test_runs_that_failed_or_were_lost_are_not_work() -> None:
    times = times_of_job(
        task_line(1.2, "task-bound", 0),
        task_line(2.2, "run-ended", 0, how="failed"),
        task_line(2.2, "task-bound", 0),
        task_line(5.2, "run-released", 0, why="every lease has passed"),
        task_line(5.2, "task-bound", 0),
        task_line(6.2, "run-ended", 0, how="done"),
        after=[[]],
    )
    assert round(times.seconds[Cause.FAILED], 6) == 1.0
    assert round(times.seconds[Cause.LOST], 6) == 3.0
    assert round(times.seconds[Cause.WORK], 6) == 1.0


def test_a_wait_without_a_leader_has_its_own_cause() -> None:
    times = times_of_job(
        line(3.2, "took-over", term=2),
        task_line(4.2, "task-bound", 0),
        task_line(5.2, "run-ended", 0, how="done"),
        after=[[]],
    )
    assert round(times.seconds[Cause.NO_LEADER], 6) == 2.0
    assert round(times.seconds[Cause.PLACE], 6) == 1.0


def test_an_unfinished_job_includes_its_last_wait() -> None:
    read = line(1.2, "job-read", job=JOB, queue="q", objective_s=3.0, after=[[]], images=["blue"])
    times = job_times(
        [
            line(1.0, "job-accepted", job=JOB),
            read,
            task_line(2.2, "task-bound", 0),
            task_line(3.2, "run-ended", 0, how="stopped"),
            line(9.2, "leader", term=2),
        ]
    )[0]
    assert times.phase == "unfinished"
    assert times.images == ("blue",)
    assert round(times.duration_s, 6) == 8.2
    assert round(times.seconds[Cause.PLACE], 6) == 7.0
    assert round(times.seconds[Cause.WORK], 6) == 1.0
    assert round(sum(times.seconds.values()), 6) == 8.2


def test_a_run_that_never_ended_counts_as_work_at_its_pace() -> None:
    times = job_times(
        [
            line(1.0, "job-accepted", job=JOB),
            line(1.0, "job-read", job=JOB, queue="q", objective_s=3.0, after=[[]]),
            task_line(1.0, "task-bound", 0),
            task_line(3.0, "paced", 0, percent=50),
            line(7.0, "leader", term=2),
        ]
    )[0]
    assert round(times.seconds[Cause.WORK], 6) == 4.0
    assert round(times.seconds[Cause.PACE], 6) == 2.0


def test_work_before_a_stop_does_not_count_as_time_until_the_start() -> None:
    """Guards against a report that counts all work of moved fillers as slow starts."""
    run = Run(1, RunStage.ORDERED, Demand(), 1000, 1.0, bound_at=1.0)
    assert run.start_s(1.1) == pytest.approx(0.1)
    run.begin_work(1.25)
    run.stage, run.since = RunStage.STOPPING, 4.0
    assert run.start_s(4.5) == pytest.approx(0.25)

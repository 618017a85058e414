"""Where the time of a job went, by its instances' lines."""

from typing import Any

from spoolcrank.ids import JobId
from spoolcrank.job_times import Cause, JobTimes, job_times
from spoolcrank.log_search import Line

JOB = "ab"


def line(at: float, event: str, **fields: Any) -> Line:
    return Line(at, "front-1", event, fields)


def on(at: float, event: str, step: int, number: int = 0, **fields: Any) -> Line:
    return line(at, event, task=[JOB, 0, step, number], **fields)


def accepted(*rest: Line, after: list[list[int]]) -> JobTimes:
    read = line(1.2, "job-read", job=JOB, queue="q", objective_s=3.0, after=after)
    lines = [line(1.0, "job-accepted", job=JOB), read, *rest]
    lines.append(line(max(one.at for one in rest), "job-ended", job=JOB, phase="completed"))
    return job_times(lines)[0]


def test_every_second_of_a_job_has_one_cause() -> None:
    held = accepted(
        on(2.0, "task-bound", 0, 0),
        on(2.0, "task-bound", 0, 1),
        on(3.0, "run-ended", 0, 0, how="done"),
        on(4.0, "run-ended", 0, 1, how="done"),
        on(4.5, "task-bound", 1),
        on(6.5, "run-ended", 1, how="done"),
        after=[[], [0]],
    )
    assert held.job == JobId(JOB)
    assert held.took_s == 5.5
    assert round(sum(held.seconds.values()), 6) == 5.5
    assert round(held.seconds[Cause.INTAKE], 6) == 0.2
    assert round(held.seconds[Cause.PLACE], 6) == 1.3
    assert round(held.seconds[Cause.WORK], 6) == 4.0


def test_time_at_a_lower_pace_and_after_a_stop_is_told_apart() -> None:
    held = accepted(
        on(1.2, "task-bound", 0),
        on(2.2, "paced", 0, percent=25),
        on(4.2, "run-ended", 0, how="stopped"),
        on(5.2, "task-bound", 0),
        on(6.2, "run-ended", 0, how="done"),
        after=[[]],
    )
    assert round(held.seconds[Cause.WORK], 6) == 2.5
    assert round(held.seconds[Cause.PACE], 6) == 1.5
    assert round(held.seconds[Cause.MOVED], 6) == 1.0
    assert round(sum(held.seconds.values()), 6) == held.took_s


def test_runs_that_failed_or_were_lost_are_not_work() -> None:
    held = accepted(
        on(1.2, "task-bound", 0),
        on(2.2, "run-ended", 0, how="failed"),
        on(2.2, "task-bound", 0),
        on(5.2, "run-released", 0, why="every lease has passed"),
        on(5.2, "task-bound", 0),
        on(6.2, "run-ended", 0, how="done"),
        after=[[]],
    )
    assert round(held.seconds[Cause.FAILED], 6) == 1.0
    assert round(held.seconds[Cause.LOST], 6) == 3.0
    assert round(held.seconds[Cause.WORK], 6) == 1.0


def test_a_wait_while_nobody_led_is_told_apart() -> None:
    held = accepted(
        line(3.2, "took-over", term=2),
        on(4.2, "task-bound", 0),
        on(5.2, "run-ended", 0, how="done"),
        after=[[]],
    )
    assert round(held.seconds[Cause.NO_LEADER], 6) == 2.0
    assert round(held.seconds[Cause.PLACE], 6) == 1.0


def test_a_job_that_never_ended_is_told_with_what_it_still_waited_for() -> None:
    read = line(1.2, "job-read", job=JOB, queue="q", objective_s=3.0, after=[[]], images=["blue"])
    held = job_times(
        [
            line(1.0, "job-accepted", job=JOB),
            read,
            on(2.2, "task-bound", 0),
            on(3.2, "run-ended", 0, how="stopped"),
            line(9.2, "leader", term=2),
        ]
    )[0]
    assert held.phase == "unfinished"
    assert held.images == ("blue",)
    assert round(held.took_s, 6) == 8.2
    assert round(held.seconds[Cause.PLACE], 6) == 7.0
    assert round(held.seconds[Cause.WORK], 6) == 1.0
    assert round(sum(held.seconds.values()), 6) == 8.2


def test_a_run_that_never_ended_counts_as_work_at_its_pace() -> None:
    held = job_times(
        [
            line(1.0, "job-accepted", job=JOB),
            line(1.0, "job-read", job=JOB, queue="q", objective_s=3.0, after=[[]]),
            on(1.0, "task-bound", 0),
            on(3.0, "paced", 0, percent=50),
            line(7.0, "leader", term=2),
        ]
    )[0]
    assert round(held.seconds[Cause.WORK], 6) == 4.0
    assert round(held.seconds[Cause.PACE], 6) == 2.0

"""Waits beside free capacity are put together from the log lines of several leaders."""

from typing import Any

from spoolcrank.log_search import Line
from spoolcrank.wait_report import unknown_job_table, wait_table
from spoolcrank.wait_times import NOT_ENDED, longest_first, unknown_jobs, waits

JOB = "ab"


def line(at: float, event: str, **fields: Any) -> Line:
    return Line(at, "front-1", event, fields)


def wait_line(
    at: float,
    waited_s: float,
    job: str = JOB,
    obstacle: str = "start-unconfirmed",
    **fields: Any,
) -> Line:
    return line(
        at,
        "task-waits",
        task=[job, 0, 1, 2],
        waited_s=waited_s,
        obstacle=obstacle,
        **{"runners": {"unlisted": 1}, **fields},
    )


# Guards against: a wait that each leader counts anew looks short, though the job stood all along.
def test_a_wait_lasts_across_leaders() -> None:
    found = waits(
        [
            wait_line(5.0, 3.0),
            line(6.0, "took-over", term=2),
            wait_line(9.0, 2.5),
            line(14.0, "task-bound", step=[JOB, 0, 1], tasks=[2, 3], ago_ms=[500, 500]),
        ]
    )
    assert [(wait.began_at, wait.ended_at, wait.end) for wait in found] == [
        (2.0, 13.5, "task-bound")
    ]
    assert found[0].length_s() == 11.5


# Guards against: a job that waits twice is reported with one wait that spans its runs.
def test_a_run_between_two_waits_ends_the_first() -> None:
    found = waits(
        [
            wait_line(5.0, 3.0),
            line(6.0, "run-ended", task=[JOB, 0, 1, 2], how="failed"),
            wait_line(9.0, 2.5, obstacle="capacity", runners={}),
            line(9.5, "job-ended", job=JOB, phase="completed"),
        ]
    )
    assert [(wait.obstacle, wait.length_s()) for wait in found] == [
        ("start-unconfirmed", 4.0),
        ("capacity", 3.0),
    ]


# Guards against: the wait that matters most, one that never ends, is missing from the report.
def test_a_wait_without_an_end_lasts_to_the_last_line() -> None:
    found = waits([wait_line(5.0, 3.0), line(9.0, "configuration", version=4)])
    assert [(wait.length_s(), wait.end) for wait in found] == [(7.0, NOT_ENDED)]


def test_the_release_of_a_run_does_not_end_a_wait() -> None:
    found = waits(
        [
            wait_line(5.0, 3.0),
            line(6.0, "run-released", task=[JOB, 0, 1, 2], why="every lease has passed"),
            line(8.0, "task-bound", task=[JOB, 0, 1, 2]),
        ]
    )
    assert [wait.ended_at for wait in found] == [8.0]


def test_waits_are_grouped_by_obstacle_and_runner_state_with_the_longest_first() -> None:
    found = waits(
        [
            wait_line(5.0, 3.0),
            wait_line(5.0, 2.0, job="cd"),
            wait_line(5.0, 4.0, job="ef", obstacle="capacity", runners={"silent": 1, "gone": 2}),
        ]
    )
    groups = longest_first(found)
    assert list(groups) == [("capacity", ("gone", "silent")), ("start-unconfirmed", ("unlisted",))]
    assert [wait.task.job for wait in groups["start-unconfirmed", ("unlisted",)]] == [JOB, "cd"]
    table = wait_table(found, 1.0)
    assert [list(column.cells) for column in table.columns][:6] == [
        ["capacity", "start-unconfirmed"],
        ["gone, silent", "unlisted"],
        ["1", "2"],
        ["4.0", "3.0"],
        ["0.0", "1.0"],
        ["4.0", "4.0"],
    ]


# Guards against: a job that a later leader does not know passes for one that ended.
def test_jobs_that_no_line_names_after_the_last_takeover_are_listed() -> None:
    found = unknown_jobs(
        [
            line(1.0, "job-read", job="read-only"),
            line(1.0, "job-read", job="ended"),
            line(1.5, "job-read", job="named-later"),
            line(2.0, "job-ended", job="ended", phase="completed"),
            line(3.0, "cancel-read", job="cancelled"),
            line(4.0, "took-over", term=2, jobs=2),
            line(5.0, "task-bound", step=["named-later", 0, 0], tasks=[0, 1], ago_ms=[0, 0]),
            line(6.0, "job-read", job="read-later"),
        ]
    )
    assert [(job.job, job.last_event, job.at) for job in found] == [("read-only", "job-read", 1.0)]
    table = unknown_job_table(found, 0.5)
    assert [list(column.cells) for column in table.columns] == [
        ["job-read"],
        ["1"],
        ["0.5"],
        ["read-only"],
    ]


def test_logs_without_a_takeover_have_no_unknown_jobs() -> None:
    assert unknown_jobs([line(1.0, "job-read", job=JOB)]) == []

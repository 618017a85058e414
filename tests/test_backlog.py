"""Log events about waiting fillers."""

from test_packing import NOISY, NOW, SERVICE, SERVING, leader, put, runner, taught

from spoolcrank.backlog import tell_backlog
from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState
from spoolcrank.workflow import JobRecord, RouteName, Workflow


def test_each_runner_names_what_keeps_a_waiting_filler_away() -> None:
    free, harmed, over, full = runner("free"), runner("harmed"), runner("over"), runner("full")
    put(harmed, SERVING, tail_ms=40.0)
    over_target = put(over, SERVING, tail_ms=120.0)
    over.runs[over_target].over_since = NOW - 1.0
    for number in range(8):
        put(full, NOISY, number)
    state = leader(free, harmed, over, full, contention=taught())
    record = JobRecord(RouteName("q"), SERVICE, 2, 3, 1000, 2.0, Workflow("", (NOISY,)))
    job = JobState(JobId("cd"), record, 1)
    job.open_round(0)
    state.jobs[job.id] = job
    state.ready[job.id] = None
    tell_backlog(state, NOW)
    note = state.notes[-1]
    assert note.name == "fillers-wait"
    assert note.fields["image"] == "noisy"
    assert note.fields["waiting_cores"] == 4.0
    assert note.fields["at_work_cores"] == 32.0
    assert note.fields["open_runners"] == 1
    assert note.fields["obstacles"] == {"room": 0, "processors": 1, "over-target": 1, "harm": 1}
    assert note.fields["beliefs"][0][0] == "s"

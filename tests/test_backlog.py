"""Log events about waiting fillers."""

from spoolcrank.backlog import log_backlog
from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState
from spoolcrank.workflow import JobRecord, RouteName, Workflow
from tests.packed_runners import NOISY, NOW, SERVICE, SERVING, leader, put, runner, trained_model


def test_each_runner_names_what_keeps_a_waiting_filler_away() -> None:
    free, harmed, over, full = runner("free"), runner("harmed"), runner("over"), runner("full")
    put(harmed, SERVING, tail_ms=40.0)
    over_target = put(over, SERVING, tail_ms=120.0)
    over.runs[over_target].over_target_since = NOW - 1.0
    for number in range(8):
        put(full, NOISY, number)
    state = leader(free, harmed, over, full, contention=trained_model())
    record = JobRecord(RouteName("q"), SERVICE, 2, 3, 1000, 2.0, Workflow("", (NOISY,)))
    job = JobState(JobId("cd"), record, 1)
    job.open_round(0)
    state.jobs[job.id] = job
    state.ready[job.id] = None
    log_backlog(state, NOW)
    log_event = state.log_events[-1]
    assert log_event.name == "fillers-wait"
    assert log_event.fields["image"] == "noisy"
    assert log_event.fields["waiting_cores"] == 4.0
    assert log_event.fields["at_work_cores"] == 32.0
    assert log_event.fields["open_runners"] == 1
    assert log_event.fields["obstacles"] == {
        "room": 0,
        "processors": 1,
        "over-target": 1,
        "harm": 1,
    }
    assert log_event.fields["beliefs"][0][0] == "s"

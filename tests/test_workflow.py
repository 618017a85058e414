"""The stored form of a job's progress."""

from spoolcrank.workflow import (
    JobPhase,
    Progress,
    StepMark,
    TaskMark,
    decode_progress,
    encode,
    encode_progress,
    stored_phase,
)


def test_stored_progress_is_read_back_whole_and_its_phase_alone() -> None:
    marks = tuple(TaskMark(number, 1, 2, "i-0fd5f8c7fd", "00000bb87a21d94b") for number in range(9))
    for phase in JobPhase:
        progress = Progress(phase.value, (StepMark(0, 0, True), StepMark(0, 1, False, marks)), 3)
        value = encode_progress(progress)
        assert decode_progress(value) == progress
        assert stored_phase(value) is phase
        assert len(value) < len(encode(progress)) / 2

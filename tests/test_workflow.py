"""The stored forms of a job and of its progress."""

import zlib

import pytest

from spoolcrank.decoding import Unreadable
from spoolcrank.ids import ServiceName
from spoolcrank.workflow import (
    COMPRESSED_PREFIX,
    MAX_JOB_BYTES,
    JobPhase,
    JobRecord,
    Progress,
    RouteName,
    Step,
    StoredStep,
    StoredTask,
    Workflow,
    decode_job,
    decode_phase,
    decode_progress,
    encode,
    encode_progress,
)


def test_stored_progress_is_read_back_whole_and_its_phase_alone() -> None:
    stored_tasks = tuple(
        StoredTask(number, 1, 2, "i-0fd5f8c7fd", "00000bb87a21d94b") for number in range(9)
    )
    for phase in JobPhase:
        progress = Progress(
            phase.value, (StoredStep(0, 0, True), StoredStep(0, 1, False, stored_tasks)), 3
        )
        value = encode_progress(progress)
        assert decode_progress(value) == progress
        assert decode_phase(value) is phase
        assert len(value) < len(encode(progress)) / 2


def test_a_job_is_read_back_compressed_or_not() -> None:
    workflow = Workflow("x" * 4000, (Step(count=3, millicores=500, memory_mb=10),))
    record = JobRecord(RouteName("q"), ServiceName("s"), 0, 3, 250, 1.5, workflow)
    assert decode_job(encode(record)) == record
    assert decode_job(COMPRESSED_PREFIX + zlib.compress(encode(record))) == record


@pytest.mark.parametrize("packed", [b"", b"no zlib", zlib.compress(b" " * (MAX_JOB_BYTES + 9))])
def test_a_compressed_job_that_cannot_be_read_is_left_out(packed: bytes) -> None:
    with pytest.raises(Unreadable):
        decode_job(COMPRESSED_PREFIX + packed)

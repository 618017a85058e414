"""The real programs, as processes, stopped while clients go on sending over every connection.

The test guards against requests that a stopping instance reads and doesn't answer, against answers
that disagree with the log, and against a stop that outlasts its grace period.
`SPOOLCRANK_SOAK_SEEDS=20 pytest tests/test_stop_soak.py` runs further seeds;
`python -m tests.soak.stops` prints what happened in each.
"""

import os

import pytest

from tests.soak.stops import run_seed

FURTHER_SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "0"))
SEEDS = (202, 272, 1461)
"""A series of stops with a slow store; a process without processor time from before the end of
intake until after the end of reading; a store that falls silent before the end of intake."""

MIN_ANSWERED = 50


@pytest.mark.parametrize("seed", [*SEEDS, *range(1, 1 + FURTHER_SEEDS)])
def test_a_stop_answers_what_it_read_under_external_faults(seed: int) -> None:
    result = run_seed(seed, rounds=1, pipelines=False)
    assert result.violations == [], "\n".join(result.violations)
    assert result.answered >= MIN_ANSWERED


def test_a_stop_answers_requests_that_were_sent_behind_one_another() -> None:
    """It guards against a second request that is read with the first and then forgotten."""
    result = run_seed(1461, rounds=1, pipelines=True)
    assert result.violations == [], "\n".join(result.violations)
    assert result.answered >= MIN_ANSWERED

"""The real programs under faults from outside; `python -m tests.soak.run 1 50` plays more seeds."""

import pytest

from tests.soak.run import play


@pytest.mark.parametrize("seed", [2, 4, 10, 11])
def test_no_promise_breaks_under_faults_from_outside(seed: int) -> None:
    assert play(seed, seconds=15.0).broken == []

"""The real programs, as processes, under faults that are injected from outside.

The test guards against work that runs twice, is lost, or runs without a request when daemons,
runners, the store and the links between them fail. `python -m tests.soak.run 1 50` runs more seeds.
"""

import pytest

from tests.soak.run import run_seed


@pytest.mark.parametrize("seed", [2, 4, 10, 11])
def test_invariants_hold_under_external_faults(seed: int) -> None:
    assert run_seed(seed, seconds=15.0).violations == []

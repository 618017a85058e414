"""The end that the checks of the soak test assume for a run whose runner was killed.

They guard against a false report of two runs at once: a runner that was frozen past its lease and
then killed has done nothing since the lease ended.
"""

import json
from pathlib import Path
from typing import Any

import pytest

from tests.soak import checks

LEASED_UNTIL = 17.5
KILLED_AT = 18.4


class _Incarnation:
    """A killed incarnation of a runner, with one run that began at 10.0."""

    def __init__(self, folder: Path, killed_frozen: bool, leased_until: float) -> None:
        self.name = "runner-0-1"
        self.killed_at = KILLED_AT
        self.killed_frozen = killed_frozen
        self.journal = folder / "journal"
        lines = [
            [10.0, "lease", "", 0, leased_until - 3.0],
            [10.0, "start", "a.0.0.0", 1, "spec"],
            [11.0, "lease", "", 0, leased_until],
        ]
        self.journal.write_text("".join(json.dumps(line) + "\n" for line in lines))


@pytest.mark.parametrize(
    ("killed_frozen", "leased_until", "ends"),
    [
        (True, LEASED_UNTIL, LEASED_UNTIL),
        (True, KILLED_AT + 2.0, KILLED_AT),
        (False, LEASED_UNTIL, KILLED_AT),
    ],
)
def test_a_run_ends_with_its_lease_only_if_its_runner_was_killed_while_frozen(
    tmp_path: Path, killed_frozen: bool, leased_until: float, ends: float
) -> None:
    """Seed 1216: a runner was frozen past its lease and killed; its runs counted until the kill."""
    incarnation: Any = _Incarnation(tmp_path, killed_frozen, leased_until)
    (span,) = checks.spans_of([incarnation], 30.0)["a.0.0.0"]
    assert span.end == ends

"""Switching mechanisms off, to measure what each is worth."""

import pytest

from spoolcrank.errors import SettingsError
from spoolcrank.mechanisms import VARIABLE, Mechanism, switched_off
from spoolcrank.scheduler import Scheduler


def test_nothing_is_switched_off_unasked() -> None:
    assert switched_off({}) == frozenset()
    state = Scheduler(1, 0.0, 0.0)
    assert all(state.uses(one) for one in Mechanism)


def test_the_named_ones_are_switched_off() -> None:
    state = Scheduler(1, 0.0, 0.0)
    state.without = switched_off({VARIABLE: "moving,times"})
    assert not state.uses(Mechanism.MOVING)
    assert not state.uses(Mechanism.TIMES)
    assert state.uses(Mechanism.CLAIMS)


def test_an_unknown_name_is_told_with_those_that_exist() -> None:
    with pytest.raises(SettingsError, match=r"'fences' is none of regrouping"):
        switched_off({VARIABLE: "fences"})

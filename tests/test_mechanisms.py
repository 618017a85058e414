"""Switching mechanisms off to measure the effect of each."""

import pytest

from spoolcrank.errors import SettingsError
from spoolcrank.mechanisms import WITHOUT_VARIABLE, Mechanism, switched_off
from spoolcrank.scheduler import Scheduler


def test_nothing_is_switched_off_by_default() -> None:
    assert switched_off({}) == frozenset()
    state = Scheduler(1, 0.0, 0.0)
    assert all(state.uses(mechanism) for mechanism in Mechanism)


def test_named_mechanisms_are_switched_off() -> None:
    state = Scheduler(1, 0.0, 0.0)
    state.without = switched_off({WITHOUT_VARIABLE: "moving,times"})
    assert not state.uses(Mechanism.MOVING)
    assert not state.uses(Mechanism.TIMES)
    assert state.uses(Mechanism.CLAIMS)


def test_unknown_name_is_refused_with_the_known_names() -> None:
    with pytest.raises(SettingsError, match=r"'fences' is not one of regrouping"):
        switched_off({WITHOUT_VARIABLE: "fences"})

"""Slots reserved for a service follow the number of its requests in progress.

The tests guard against slots that stay reserved for an idle service, and against a busy service
whose slots are given to other work.
"""

import pytest

from spoolcrank.slot_use import (
    HALF_LIFE_S,
    SPARE_SLOTS,
    SlotUse,
    assume_all_busy,
    record_busy,
    reserved_slots,
)

SLOTS = 8


def test_new_runner_reserves_all_its_slots() -> None:
    assert reserved_slots(assume_all_busy(SLOTS, 5.0), SLOTS) == SLOTS


def test_idle_runner_reserves_only_the_spare_slots_after_some_half_lives() -> None:
    use = assume_all_busy(SLOTS, 0.0)
    for tick in range(1, round(HALF_LIFE_S * 50)):
        use = record_busy(use, 0, tick / 10)
    assert reserved_slots(use, SLOTS) == SPARE_SLOTS


@pytest.mark.parametrize("busy", [1, 3, 7, 8])
def test_peak_counts_at_once_and_halves_in_a_half_life(busy: int) -> None:
    use = record_busy(SlotUse(0.0, 0.0), busy, 1.0)
    assert reserved_slots(use, SLOTS) == min(SLOTS, busy + SPARE_SLOTS)
    later = record_busy(use, 0, 1.0 + HALF_LIFE_S)
    assert later.peak == pytest.approx(busy / 2)


def test_peak_does_not_fade_while_the_clock_does_not_advance() -> None:
    assert record_busy(SlotUse(4.0, 10.0), 2, 9.0).peak == 4.0

"""What is set aside for a runner follows the requests that are at it."""

import pytest

from spoolcrank.slot_use import HALF_LIFE_S, SPARE_SLOTS, SlotUse, all_busy, kept_slots, seen

SLOTS = 8


def test_a_runner_that_was_not_watched_yet_keeps_all_its_slots() -> None:
    assert kept_slots(all_busy(SLOTS, 5.0), SLOTS) == SLOTS


def test_an_idle_runner_keeps_the_spare_alone_after_some_half_lives() -> None:
    use = all_busy(SLOTS, 0.0)
    for tenth in range(1, round(HALF_LIFE_S * 50)):
        use = seen(use, 0, tenth / 10)
    assert kept_slots(use, SLOTS) == SPARE_SLOTS


@pytest.mark.parametrize("busy", [1, 3, 7, 8])
def test_a_peak_counts_at_once_and_fades_by_half(busy: int) -> None:
    use = seen(SlotUse(0.0, 0.0), busy, 1.0)
    assert kept_slots(use, SLOTS) == min(SLOTS, busy + SPARE_SLOTS)
    later = seen(use, 0, 1.0 + HALF_LIFE_S)
    assert later.peak == pytest.approx(busy / 2)


def test_a_clock_that_stands_still_fades_nothing() -> None:
    assert seen(SlotUse(4.0, 10.0), 2, 9.0).peak == 4.0

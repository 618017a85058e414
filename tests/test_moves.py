"""Test which serving tasks change their runners."""

import msgspec

from spoolcrank.binding import move
from spoolcrank.job_state import NO_RUNNER
from spoolcrank.packing import PlacementRequest, choose
from spoolcrank.regrouping import Move, Regrouping
from tests.packed_runners import (
    MISMATCHED,
    NOW,
    SERVING,
    add_running_task,
    leader_with_pairs,
    place,
    runner,
)


def test_the_mismatched_task_moves_to_its_own_kind() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    for where, step in ((mixed, SERVING), (mixed, MISMATCHED), (own, MISMATCHED)):
        add_running_task(state, where, step)
    moves = Regrouping().moves(state, NOW)
    assert [(move.source, move.destination) for move in moves] in (
        [("i-1", "i-2")],
        [("i-2", "i-1")],
    )


def test_two_tasks_are_exchanged_where_a_third_does_not_fit() -> None:
    first, second = runner("i-1", 13_000), runner("i-2", 13_000)
    state = leader_with_pairs(first, second)
    keys = [
        add_running_task(state, where, step)
        for where, step in (
            (first, SERVING),
            (first, MISMATCHED),
            (second, SERVING),
            (second, MISMATCHED),
        )
    ]
    moves = Regrouping().moves(state, NOW)
    assert sorted(moves) in (
        [Move(keys[0], first.id, second.id), Move(keys[3], second.id, first.id)],
        [Move(keys[1], first.id, second.id), Move(keys[2], second.id, first.id)],
    )


def test_capacity_is_reserved_for_a_task_that_is_being_moved() -> None:
    """Other tasks took the free capacity; the moved task found none and counted as lost."""
    first, second = runner("i-1", 8000), runner("i-2", 8000)
    state = leader_with_pairs(first, second)
    key = add_running_task(state, first, SERVING)
    move(state, key, first.id, second.id, NOW)
    assert place(SERVING, [second], state.contention) == ""
    own = PlacementRequest(SERVING, {}, NO_RUNNER, task=key)
    assert choose(own, [second], state.contention, NOW) is second
    second.drop_expired_reservations(NOW + 5)
    assert place(SERVING, [second], state.contention) == "i-2"


def test_a_task_that_has_just_come_is_not_moved_on() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    keys = [
        (where, add_running_task(state, where, step))
        for where, step in ((mixed, SERVING), (mixed, MISMATCHED), (own, MISMATCHED))
    ]
    for where, key in keys:
        where.runs[key].since = NOW - 2
    assert Regrouping().moves(state, NOW) == []


def test_a_task_that_may_not_be_away_is_not_moved() -> None:
    mixed, own = runner("i-1"), runner("i-2")
    state = leader_with_pairs(mixed, own)
    for where, step in ((mixed, SERVING), (mixed, MISMATCHED), (own, MISMATCHED)):
        add_running_task(state, where, msgspec.structs.replace(step, may_be_away=0))
    assert Regrouping().moves(state, NOW) == []

"""A checkpoint of a run that was given up, listed to a later leader than that of a newer run."""

from spoolcrank.orders import EndKind
from tests.test_abandoned_runs import FIRST, _give_up, _job, _list, _new_leader, _start, _successor

OLDER, NEWER = "00000001", "00000002"


def test_an_older_checkpoint_replaces_no_newer_one_that_is_stored() -> None:
    """Guards against work done twice: the newer run had resumed from more than the older one."""
    state = _new_leader()
    given_up = _give_up(state)
    (holder,) = _start(state)
    _list(state, holder.id, 2, EndKind.STOPPED, saved=NEWER)
    assert _job(state).task(FIRST).saved == NEWER
    successor = _successor(state)
    _list(successor, given_up.id, 1, EndKind.LAPSED, saved=OLDER)
    assert _job(successor).task(FIRST).saved == NEWER

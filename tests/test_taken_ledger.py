"""An owner replaces its ledger by a peer's while records of its own are still pending.

An instance whose log does not answer takes the ledger of a peer that is ahead, so it may see its
own claim or placement in that ledger first and never read it as a record. The tests guard against
servers that nobody adopts and capacity that stays reserved forever.
"""

from collections.abc import Callable

import pytest

from spoolcrank import core as decisions
from spoolcrank import ownership_transfer
from spoolcrank.epochs import next_claim
from spoolcrank.ids import InstanceId
from spoolcrank.ledger import dump, load
from spoolcrank.records import AnyRecord, Claimed, Placed
from tests.world import OWNERS, SERVERS, World

RUN_S = 6.0
MAX_RECOVERY_S = 30.0


def _advance_until(world: World, condition: Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        world.advance(0.25)
    raise AssertionError("not within 50 s")


def _has_pending(world: World, name: str, kind: type[AnyRecord]) -> bool:
    """Return whether an owner has a pending record of a kind, not yet read back from the log."""
    return any(isinstance(envelope.record, kind) for envelope in world.owners[name].outbox)


def _appended_but_answer_lost(world: World, name: str) -> None:
    """Append an owner's records, and fail its reads until it has taken a peer's ledger."""
    world.cut.add((name, "log"))
    world._append(world.owners[name])
    world.advance(2.0)
    world.cut.clear()


@pytest.mark.parametrize("server", SERVERS)
def test_claim_first_seen_in_a_peers_ledger_is_adopted(server: str) -> None:
    """Guard against a server that the ledger assigns to an owner that never adopts it.

    The successor's claim is appended, and one read of the log fails before the successor reads the
    claim back. It takes a peer's ledger, which already holds the claim, and reads on after it. When
    only the record of a claim made a server owned, the other instances saw that a live
    process owned it and its owner saw it as its own, but none adopted it: tasks stayed on that
    server and never ran. The fault was found by reading the code, after three tests of real
    processes had jobs that had not ended 60 s after an owner was killed, paused or partitioned,
    once each under other load.
    """
    world = World()
    owner = next(name for name in OWNERS if server in world.owners[name].core.owned)
    world.submit(2, RUN_S, True)
    world.advance(1.0)
    world.crash(owner)
    successors = [name for name in OWNERS if name != owner]
    _advance_until(world, lambda: any(_has_pending(world, name, Claimed) for name in successors))
    successor = next(name for name in successors if _has_pending(world, name, Claimed))
    _appended_but_answer_lost(world, successor)
    world.submit(2, RUN_S, True)
    world.advance(MAX_RECOVERY_S)
    assert {server_id for name in successors for server_id in world.owners[name].core.owned} == set(
        SERVERS
    )
    assert world.open_tasks() == []
    assert world.breaches() == []


def test_placement_first_seen_in_a_peers_ledger_reserves_nothing() -> None:
    """Guard against capacity that stays reserved and against a returned task that is not placed.

    A placement counted as pending until the owner read its record, even if a peer's ledger that the
    owner had taken already held it, so its record was never read.
    """
    world = World()
    world.submit(1, RUN_S, True)
    _advance_until(world, lambda: any(_has_pending(world, name, Placed) for name in OWNERS))
    owner = next(name for name in OWNERS if _has_pending(world, name, Placed))
    _appended_but_answer_lost(world, owner)
    world.advance(MAX_RECOVERY_S)
    assert world.open_tasks() == []
    assert [
        owned.placing for owned in world.owners[owner].core.owned.values() if owned.placing
    ] == []


def test_pending_placement_keeps_its_reservation() -> None:
    world = World()
    world.submit(1, RUN_S, True)
    _advance_until(world, lambda: any(_has_pending(world, name, Placed) for name in OWNERS))
    owner = next(name for name in OWNERS if _has_pending(world, name, Placed))
    world.cut.add((owner, "log"))
    offset = world.owners[owner].core.ledger.offset
    world.submit(1, RUN_S, True)
    _advance_until(world, lambda: world.owners[owner].core.ledger.offset > offset)
    assert any(owned.placing for owned in world.owners[owner].core.owned.values())
    world.cut.clear()
    world.advance(MAX_RECOVERY_S)
    assert world.open_tasks() == []
    assert world.breaches() == []


def test_placement_that_was_not_appended_is_dropped_and_made_again() -> None:
    """Guard against capacity that stays reserved because a full append queue dropped the record."""
    world = World()
    world.submit(1, RUN_S, True)
    _advance_until(world, lambda: any(_has_pending(world, name, Placed) for name in OWNERS))
    owner = world.owners[next(name for name in OWNERS if _has_pending(world, name, Placed))]
    (dropped,) = [envelope for envelope in owner.outbox if isinstance(envelope.record, Placed)]
    owner.outbox.remove(dropped)
    decisions.on_not_appended(owner.core, dropped.record)
    assert not any(owned.placing for owned in owner.core.owned.values())
    world.advance(MAX_RECOVERY_S)
    assert world.open_tasks() == []
    assert world.breaches() == []


def test_handed_over_server_is_not_taken_back_by_an_older_claim() -> None:
    world = World()
    name = next(name for name in OWNERS if world.owners[name].core.owned)
    core = world.owners[name].core
    server = next(iter(core.owned))
    now = world.now + world.owners[name].skew_s
    successor = next(other for other in OWNERS if other != name)
    ownership_transfer.hand_over(core, server, InstanceId(successor), now)
    ledger = load(dump(core.ledger))
    decisions.replace_ledger(core, ledger, now)
    assert server not in core.owned
    claim = ledger.claims[server]
    ledger.claims[server] = claim.model_copy(update={"epoch": next_claim(claim.epoch)})
    decisions.replace_ledger(core, ledger, now)
    assert server in core.owned

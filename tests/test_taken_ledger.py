"""An owner adopts a peer's ledger while some of its own records are not yet read back."""

from collections.abc import Callable

import pytest

from spoolcrank import core as decisions
from spoolcrank import tenure
from spoolcrank.epochs import next_claim
from spoolcrank.ids import InstanceId
from spoolcrank.ledger import dump, load
from spoolcrank.records import AnyRecord, Claimed, Placed
from tests.world import OWNERS, SERVERS, World

RUN_S = 6.0
RECOVERY_S = 30.0


def _until(world: World, condition: Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        world.advance(0.25)
    raise AssertionError("condition not met within 50 s")


def _awaits_read_back(world: World, name: str, kind: type[AnyRecord]) -> bool:
    """Return whether an owner has sent a record of the kind that it has not read back yet."""
    return any(isinstance(env.record, kind) for env in world.owners[name].outbox)


def _append_then_load_peer_ledger(world: World, name: str) -> None:
    """Append an owner's records, and fail its reads until it has adopted a peer's ledger."""
    world.cut.add((name, "log"))
    world._append(world.owners[name])
    world.advance(2.0)
    world.cut.clear()


@pytest.mark.parametrize("server", SERVERS)
def test_a_claim_that_is_first_seen_in_a_peers_ledger_is_acted_on(server: str) -> None:
    """Check that an owner adopts a server if its claim arrives only through a peer's ledger.

    An owner used to adopt a server only when it read the record of its own claim. If a log read
    failed after the successor had appended its claim, the successor loaded a peer's more recent
    ledger and continued behind it, so it never read that record. The other owners saw a live
    owner, and no instance adopted the server, so tasks bound to it never ran. In three tests with
    real processes, once each under other load, jobs had not ended 60 s after an owner was killed,
    paused or partitioned; the cause was found by reading the code.
    """
    world = World()
    owner = next(name for name in OWNERS if server in world.owners[name].core.owned)
    world.submit(2, RUN_S, True)
    world.advance(1.0)
    world.crash(owner)
    successors = [name for name in OWNERS if name != owner]
    _until(world, lambda: any(_awaits_read_back(world, name, Claimed) for name in successors))
    successor = next(name for name in successors if _awaits_read_back(world, name, Claimed))
    _append_then_load_peer_ledger(world, successor)
    world.submit(2, RUN_S, True)
    world.advance(RECOVERY_S)
    assert {server_id for name in successors for server_id in world.owners[name].core.owned} == set(
        SERVERS
    )
    assert world.open_tasks() == []
    assert world.breaches() == []


def test_a_placement_that_is_first_seen_in_a_peers_ledger_keeps_no_room() -> None:
    """Check that a placement that a peer's ledger already contains no longer takes capacity.

    A placement used to count as pending until its own record was read, even if a peer's ledger
    already contained it. The capacity then stayed taken permanently, and a task that became
    pending again was not placed there. This fault was found only by reading the code.
    """
    world = World()
    world.submit(1, RUN_S, True)
    _until(world, lambda: any(_awaits_read_back(world, name, Placed) for name in OWNERS))
    owner = next(name for name in OWNERS if _awaits_read_back(world, name, Placed))
    _append_then_load_peer_ledger(world, owner)
    world.advance(RECOVERY_S)
    assert world.open_tasks() == []
    assert [
        owned.placing for owned in world.owners[owner].core.owned.values() if owned.placing
    ] == []


def test_a_placement_that_is_still_on_its_way_keeps_its_room() -> None:
    world = World()
    world.submit(1, RUN_S, True)
    _until(world, lambda: any(_awaits_read_back(world, name, Placed) for name in OWNERS))
    owner = next(name for name in OWNERS if _awaits_read_back(world, name, Placed))
    world.cut.add((owner, "log"))
    offset = world.owners[owner].core.ledger.offset
    world.submit(1, RUN_S, True)
    _until(world, lambda: world.owners[owner].core.ledger.offset > offset)
    assert any(owned.placing for owned in world.owners[owner].core.owned.values())
    world.cut.clear()
    world.advance(RECOVERY_S)
    assert world.open_tasks() == []
    assert world.breaches() == []


def test_a_placement_that_was_not_appended_keeps_no_room_and_is_made_again() -> None:
    """Check that a record rejected by a full log queue leaves no capacity taken.

    This leak, like the one above, was found by reading the code.
    """
    world = World()
    world.submit(1, RUN_S, True)
    _until(world, lambda: any(_awaits_read_back(world, name, Placed) for name in OWNERS))
    owner = world.owners[next(name for name in OWNERS if _awaits_read_back(world, name, Placed))]
    (lost,) = [env for env in owner.outbox if isinstance(env.record, Placed)]
    owner.outbox.remove(lost)
    decisions.on_not_appended(owner.core, lost.record)
    assert not any(owned.placing for owned in owner.core.owned.values())
    world.advance(RECOVERY_S)
    assert world.open_tasks() == []
    assert world.breaches() == []


def test_a_server_that_was_given_away_is_not_taken_back_by_an_older_claim() -> None:
    world = World()
    name = next(name for name in OWNERS if world.owners[name].core.owned)
    core = world.owners[name].core
    server = next(iter(core.owned))
    now = world.now + world.owners[name].skew_s
    successor = next(other for other in OWNERS if other != name)
    tenure.hand_over(core, server, InstanceId(successor), now)
    ledger = load(dump(core.ledger))
    decisions.replace_ledger(core, ledger, now)
    assert server not in core.owned
    mine = ledger.claims[server]
    ledger.claims[server] = mine.model_copy(update={"epoch": next_claim(mine.epoch)})
    decisions.replace_ledger(core, ledger, now)
    assert server in core.owned

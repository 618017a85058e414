"""Work beside servers whose owner, alone among its peers, cannot read the log.

An owner places tasks only while it reads the log, and goes on commanding its servers as long as
peers hear it. The tests guard against servers that stand idle, and jobs that nobody refuses, for
as long as one instance is cut off from the log.
"""

import pytest

from spoolcrank.fleet import Instance
from spoolcrank.ids import InstanceId
from spoolcrank.jobs import TaskState
from spoolcrank.ownership import preferred
from tests import world as worlds
from tests.world import CAPACITY, OWNERS, SERVERS, STEP_S, World

MAX_WAIT_S = 12.0
NEW_SERVER = "backend-3"


def _owner_of(world: World, server: str) -> str:
    return next(name for name in world.owners if server in world.owners[name].core.owned)


def _cut_log(world: World, name: str) -> None:
    world.cut |= {(name, "log"), ("log", name)}


def _wait_for_start_s(world: World, server: str, max_s: float) -> float:
    """Return how long a server runs nothing, in seconds, at most `max_s`."""
    began_at = world.now
    while world.now - began_at < max_s and not world.workers[server].running:
        world.advance(STEP_S)
    return world.now - began_at


@pytest.mark.parametrize("server", SERVERS)
def test_a_server_whose_owner_cannot_read_the_log_takes_work(server: str) -> None:
    """The task waited without an end: no other instance owned a server with room for it."""
    world = World()
    other = next(name for name in SERVERS if name != server)
    _cut_log(world, _owner_of(world, server))
    world.submit(2, 10_000.0, True, name="full", processors=4.0)
    waited_s = _wait_for_start_s(world, server, 60.0)
    assert waited_s <= MAX_WAIT_S
    assert world.workers[other].running
    world.advance(20.0)
    assert world.breaches() == []


def _instances() -> list[Instance]:
    listed = worlds._instances()
    return [*listed, listed[-1].model_copy(update={"id": InstanceId(NEW_SERVER)})]


def test_a_new_server_is_claimed_beside_an_instance_that_cannot_read_the_log() -> None:
    """Nobody claimed it, as the hash preferred the instance without the log."""
    world = World()
    owner = preferred(NEW_SERVER, [InstanceId(name) for name in OWNERS])
    assert owner is not None
    _cut_log(world, owner)
    world.advance(1.0)
    world.start_worker(NEW_SERVER)
    for entry in world.owners.values():
        now = world.now + entry.skew_s
        worlds.membership.on_list(entry.core.members, _instances(), now)
    world.submit(3, 10_000.0, True, processors=4.0)
    assert _wait_for_start_s(world, NEW_SERVER, 60.0) <= MAX_WAIT_S


def test_an_owner_gets_its_servers_back_once_it_reads_the_log() -> None:
    world = World()
    before = {server: _owner_of(world, server) for server in SERVERS}
    for name in set(before.values()):
        _cut_log(world, name)
        world.advance(MAX_WAIT_S)
        assert not world.owners[name].core.owned
        world.heal()
        world.advance(MAX_WAIT_S)
        assert {server: _owner_of(world, server) for server in SERVERS} == before


def test_owners_keep_their_servers_while_nobody_reads_the_log() -> None:
    world = World()
    before = {server: _owner_of(world, server) for server in SERVERS}
    epochs = [
        world.owners[before[server]].core.owned[InstanceId(server)].epoch for server in SERVERS
    ]
    world.log_up = False
    world.advance(40.0)
    assert {server: _owner_of(world, server) for server in SERVERS} == before
    owned = [world.owners[before[server]].core.owned[InstanceId(server)] for server in SERVERS]
    assert [each.epoch for each in owned] == epochs


@pytest.mark.parametrize("name", OWNERS)
def test_a_job_that_fits_nowhere_is_refused_beside_an_instance_without_the_log(name: str) -> None:
    """Its job stayed pending, as the hash left the refusal to the instance without the log."""
    world = World()
    _cut_log(world, name)
    world.advance(1.0)
    for _ in range(9):
        world.submit(1, 1.0, True, processors=2 * CAPACITY.processors)
    world.advance(MAX_WAIT_S)
    reader = next(other for other in OWNERS if other != name)
    tasks = world.owners[reader].core.ledger.tasks.values()
    assert {task.state for task in tasks} == {TaskState.REFUSED}

"""An owner that is cut off from its peers does not give up work that they keep."""

import pytest

from tests.world import OWNERS, World

LAPSE_S = 8.0


# Guards against work in two places: an owner that reads the log gives up the work of a server that
# peers without the log, which it does not hear, hold in interim.
@pytest.mark.parametrize("peers_end", [False, True], ids=["peers-live-on", "peers-replaced"])
def test_an_owner_does_not_give_up_work_that_unheard_peers_keep(peers_end: bool) -> None:
    world = World()
    world.submit(1, 60.0, True)
    world.advance(3.0)
    server = next(name for name, worker in world.workers.items() if worker.running)
    first = next(name for name, owner in world.owners.items() if server in owner.core.owned)
    peers = [name for name in OWNERS if name != first]
    world.cut |= {(first, server), *((peer, "log") for peer in peers)}
    world.cut |= {(first, peer) for peer in peers} | {(peer, first) for peer in peers}
    world.advance(7.0)
    if peers_end:
        world.cut = {(name, server) for name in OWNERS}
        for peer in peers:
            world.crash(peer)
            world.start_owner(peer)
    world.advance(LAPSE_S + 9.0)
    assert world.breaches() == []

"""Work on a server that is lost while its owners are killed one after the other."""

import pytest

from tests.world import OWNERS, SERVERS, STEP_S, World

LAPSE_S = 8.0
MAX_WAIT_S = LAPSE_S + 4.0


def _wait_s(term_s: float | None) -> float:
    world = World()
    world.submit(1, 2.0, True)
    busy = ""
    while not busy:
        world.advance(STEP_S)
        busy = next((name for name, worker in world.workers.items() if worker.running), "")
    task = next(iter(world.workers[busy].running))
    world.cut |= {(name, busy) for name in OWNERS}
    began_at = killed_at = world.now
    while world.now - began_at < 60.0:
        world.advance(STEP_S)
        others = [worker for name, worker in world.workers.items() if name != busy]
        if any(task in worker.running for worker in others):
            return world.now - began_at
        if term_s is not None and world.now - killed_at >= term_s:
            for name in [n for n, each in world.owners.items() if busy in each.core.owned]:
                world.crash(name)
                world.start_owner(name)
                killed_at = world.now
    return world.now - began_at


# Guards against work on a lost server that waits anew for its leases after each killed owner.
@pytest.mark.parametrize("term_s", [None, 5.0, 7.0])
def test_killed_owners_do_not_delay_work_on_a_lost_server(term_s: float | None) -> None:
    assert len(SERVERS) == 2
    assert _wait_s(term_s) <= MAX_WAIT_S


# Guards against work on a lost server that waits anew after each pause of its owner.
def test_pauses_of_an_owner_do_not_delay_work_on_a_lost_server() -> None:
    world = World()
    world.submit(1, 2.0, True)
    busy = ""
    while not busy:
        world.advance(STEP_S)
        busy = next((name for name, worker in world.workers.items() if worker.running), "")
    task = next(iter(world.workers[busy].running))
    world.cut |= {(name, busy) for name in OWNERS}
    began_at = world.now

    def runs_elsewhere() -> bool:
        others = [worker for name, worker in world.workers.items() if name != busy]
        return any(task in worker.running for worker in others)

    while world.now - began_at < 60.0 and not runs_elsewhere():
        world.advance(5.0)
        for owner in world.owners.values():
            owner.paused = busy in owner.core.owned
        world.advance(1.25)
        for owner in world.owners.values():
            owner.paused = False
    assert world.now - began_at <= 2 * MAX_WAIT_S


# Guards against an owner that wakes and counts on though another renewed leases meanwhile and died.
def test_an_owner_counts_anew_if_another_may_have_commanded_its_server() -> None:
    world = World()
    world.submit(1, 600.0, True)
    world.advance(3.0)
    busy = next(name for name, worker in world.workers.items() if worker.running)
    name = next(name for name in OWNERS if busy in world.owners[name].core.owned)
    world.log_up = False
    world.owners[name].paused = True
    world.advance(5.0)
    interim = next(o for o in OWNERS if o != name and busy in world.owners[o].core.owned)
    world.cut |= {(other, busy) for other in OWNERS}
    world.crash(interim)
    world.start_owner(interim)
    world.log_up = True
    world.owners[name].paused = False
    world.advance(20.0)
    assert world.breaches() == []
    others = [worker for other, worker in world.workers.items() if other != busy]
    assert any(worker.running for worker in others)

"""Faults of a simulated fleet of mixed runners, and plays of them drawn by seed.

Each fault returns a function that heals it.
"""

from collections.abc import Callable

from spoolcrank.ids import JobId
from tests.fleet_runners import Runner
from tests.mixed_fleet import Play

FINISH_S = 14.0
"""Time after the last fault, in seconds, from which no work may wait beside idle capacity."""

WATCH_S = 6.0
"""Time for which that is watched, in seconds."""

MIN_MILLICORES = 8_000
Undo = Callable[[], None]


def _nothing() -> None:
    return None


def _kill_instance(play: Play) -> Undo:
    names = sorted(play.world.instances)
    if len(names) < 2:
        return _nothing
    leader = play.world.leader()
    name = leader.name if leader is not None and play.chance.random() < 0.5 else None
    name = name or play.chance.choice(names)
    play.log(f"kill {name}")
    play.world.instances[name].kill()
    return lambda: play.world.add_instance(name, play.powers[name]) and None


def _all_lose_power(play: Play) -> Undo:
    """All runners and all instances lose power; at times a job was accepted just before."""
    if play.chance.random() < 0.5:
        job = play.submit()
        for _ in range(2000):
            if job in play.world.accepted:
                break
            play.world.run(0.001)
    names = sorted(play.world.instances)
    play.log(f"power lost: {names} and all runners")
    for name in names:
        play.world.instances[name].kill()
    _crash(play, play.alive(), play.chance.random(), play.chance.choice((0.0, 0.0, 0.2)))
    delay_s = play.chance.uniform(0.8, 2.5)
    renamed = play.chance.random() < 0.3
    for name in names:
        again = play.chance.uniform(0.0, 0.4)
        next_name = f"{name}'" if renamed else name
        play.powers[next_name] = play.powers[name]
        play.world.at(delay_s + again, lambda name=next_name: _start_instance(play, name))
    play.world.run(delay_s + 0.5)
    return _nothing


def _start_instance(play: Play, name: str) -> None:
    play.world.add_instance(name, play.powers[name])


def _crash(play: Play, runners: list[Runner], keeps_id: float, gone: float = 0.0) -> None:
    """Crash runners; some come back under their ids, elsewhere, smaller, or never."""
    world, chance = play.world, play.chance
    world.keeps_id_share = keeps_id
    world.restarts_at_new_address = chance.random() < 0.2
    delay_s = chance.uniform(1.0, 5.0)
    shrunk = chance.random() < 0.15
    play.log(
        f"crash {len(runners)} keeps id {keeps_id:.2f} elsewhere {world.restarts_at_new_address}"
        f" back after {delay_s:.1f} shrunk {shrunk} gone {gone}"
    )
    for runner in runners:
        if shrunk and chance.random() < 0.5:
            address = runner.name.rstrip("'")
            place = world.places[address]
            smaller = max(MIN_MILLICORES, place.millicores // 2)
            world.places[address] = place._replace(millicores=smaller)
        if chance.random() < gone and len(play.alive()) > 6:
            runner.crash()
            world.at(1.2, lambda runner=runner: world.store.entries.put(runner.id, b""))
        else:
            world.crash(runner, delay_s + chance.uniform(0.0, 0.5))
    world.keeps_id_share = 0.0
    world.restarts_at_new_address = False


def _crash_some(play: Play) -> Undo:
    chance = play.chance
    share, spells = chance.choice((0.2, 0.45)), chance.randint(1, 4)
    for spell in range(spells):
        alive = play.alive()
        _crash(play, chance.sample(alive, round(share * len(alive))), chance.random(), 0.02)
        if spell < spells - 1:
            play.world.run(chance.uniform(3.0, 5.0))
    return _nothing


def _crash_group(play: Play) -> Undo:
    """Crash a rack, a zone, or all runners."""
    chance = play.chance
    group = chance.choice(("rack", "zone", "all"))
    if not play.alive():
        return _nothing
    chosen = chance.choice(play.alive())
    rack = chosen.name.split(".")[2]
    runners = [
        runner for runner in play.alive() if group == "all" or runner.name.split(".")[2] == rack
    ]
    play.log(f"{group} of {chosen.name}")
    _crash(play, runners, chance.choice((0.0, 1.0, chance.random())))
    return _nothing


def _reborn_behind_cut(play: Play) -> Undo:
    world, chance = play.world, play.chance
    runners = chance.sample(play.alive(), round(0.3 * len(play.alive())))
    pairs = {(name, runner.name) for name in play.powers for runner in runners}
    play.log(f"cut and reborn {len(runners)}")
    world.unreachable |= pairs
    if chance.random() < 0.7:
        _crash(play, runners, 1.0)

    def undo() -> None:
        world.unreachable -= pairs

    return undo


def _one_way(play: Play) -> Undo:
    world, chance = play.world, play.chance
    names = [runner.name for runner in play.alive() if chance.random() < 0.4]
    share = chance.choice((0.3, 0.5, 1.0))
    play.log(f"lossy {share} to {len(names)}")
    world.lossy_links.update(dict.fromkeys(names, share))
    return lambda: world.lossy_links.clear()


def _split(play: Play) -> Undo:
    """Cut some instances off from some runners."""
    world, chance = play.world, play.chance
    names = [name for name in play.powers if chance.random() < 0.5]
    runners = [runner.name for runner in play.alive() if chance.random() < 0.5]
    pairs = {(name, runner) for name in names for runner in runners}
    play.log(f"split {names} from {len(runners)} runners")
    world.unreachable |= pairs

    def undo() -> None:
        world.unreachable -= pairs

    return undo


def _refuse(play: Play) -> Undo:
    world, chance = play.world, play.chance
    names = {name for name in play.powers if chance.random() < 0.4}
    leader = world.leader()
    if leader is not None and chance.random() < 0.5:
        names = {leader.name}
    play.log(f"store refuses {sorted(names)}")
    world.store.refused_instances |= names
    return lambda: world.store.refused_instances.clear()


def _silence_store(play: Play) -> Undo:
    """The store is silent for a while; at times entries lapse, and come back after its return."""
    world, chance = play.world, play.chance
    lapsed = [runner for runner in play.alive() if chance.random() < 0.5]
    lapsed = lapsed if chance.random() < 0.6 else []
    play.log(f"store silent, {len(lapsed)} entries lapse")
    world.store.silent = True
    for runner in lapsed:
        world.store.entries.put(runner.id, b"")

    def undo() -> None:
        world.store.silent = False
        for runner in lapsed:
            if chance.random() < 0.95:
                world.at(chance.uniform(0.0, 1.9), lambda runner=runner: _relist(play, runner))

    return undo


def _relist(play: Play, runner: Runner) -> None:
    if runner.alive and play.world.runners[runner.id] is runner:
        play.world.store.entries.put(runner.id, b"ready")


def _lose_appends(play: Play) -> Undo:
    store = play.world.store
    play.log("appends lost and late")
    store.lost_append_answer_share, store.late_append_share = 0.3, 0.15

    def undo() -> None:
        store.lost_append_answer_share = store.late_append_share = 0.0

    return undo


def _delay_orders(play: Play) -> Undo:
    play.log("late orders")
    play.world.late_order_share = 0.15

    def undo() -> None:
        play.world.late_order_share = 0.0

    return undo


def _cancel_some(play: Play) -> Undo:
    """Cancel some jobs, whose runs then end."""
    world, chance = play.world, play.chance
    for job in sorted(world.accepted):
        if chance.random() < 0.2 and world.instances:
            instance = world.instances[chance.choice(sorted(world.instances))]
            play.log(f"cancel {job}")
            instance.intake.cancel(JobId(job), lambda outcome: None)
    return _nothing


def _change_capacity(play: Play) -> Undo:
    """Runners restart under their ids, half of them smaller, while the leader is away."""
    leader = play.world.leader()
    play.log("leader killed, runners change")
    runners = play.chance.sample(play.alive(), len(play.alive()) // 2)
    _crash(play, runners, 1.0)
    if leader is not None and len(play.world.instances) > 1:
        leader.kill()
        return lambda: _start_instance(play, leader.name)
    return _nothing


def _freeze(play: Play) -> Undo:
    leader = play.world.leader() or next(iter(play.world.instances.values()), None)
    if leader is not None:
        seconds = play.chance.uniform(0.5, 6.0)
        play.log(f"freeze {leader.name} {seconds:.1f}")
        leader.freeze(seconds)
    return _nothing


def _drain(play: Play) -> Undo:
    """Entries say draining for a while, or go, and come back."""
    world, chance = play.world, play.chance
    runners = [runner for runner in play.alive() if chance.random() < 0.4]
    value = chance.choice((b"draining", b""))
    play.log(f"{len(runners)} entries become {value!r}")
    for runner in runners:
        world.store.entries.put(runner.id, value)

    def undo() -> None:
        for runner in runners:
            _relist(play, runner)

    return undo


FAULTS = (
    _kill_instance,
    _all_lose_power,
    _crash_some,
    _crash_group,
    _reborn_behind_cut,
    _one_way,
    _split,
    _refuse,
    _silence_store,
    _lose_appends,
    _delay_orders,
    _freeze,
    _drain,
    _cancel_some,
    _change_capacity,
)


def play_faults(seed: int, finish_s: float = FINISH_S, with_deadly_tasks: bool = False) -> Play:
    """Play jobs and faults, then watch the fleet; return the play with its check.

    Args:
        seed: seed of everything that is drawn.
        finish_s: time from the last fault until the fleet is watched, in seconds.
        with_deadly_tasks: whether some tasks crash the runners that start them.
    """
    play = Play(seed, with_deadly_tasks)
    chance, world = play.chance, play.world
    undos: list[Undo] = []
    for _ in range(chance.randint(1, 4)):
        for _ in range(chance.randint(1, 8)):
            if world.instances:
                play.submit()
        world.run(chance.uniform(0.1, 1.5))
        undos.append(chance.choice(FAULTS)(play))
        world.run(chance.uniform(0.1, 4.0))
        if undos and chance.random() < 0.5:
            undos.pop(chance.randrange(len(undos)))()
    if world.instances and chance.random() < 0.5:
        play.submit()
    for undo in undos:
        undo()
    if chance.random() < 0.4:
        world.run(chance.uniform(0.0, 2.0))
        if world.instances:
            _all_lose_power(play)
    play.log("healed")
    last_back_s = max((each.frozen_until for each in world.instances.values()), default=0.0)
    world.run(max(0.0, last_back_s - world.now))
    world.run(finish_s)
    play.log("watched")
    play.check.watching = True
    world.run(WATCH_S)
    return play

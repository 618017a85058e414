"""What goes wrong: each fault is set at once and undone later; several may hold at a time."""

import random
import signal
import time
from collections.abc import Callable

from bench.proxy import Fault, Rule
from tests.soak.fleet import Fleet, Instance, Life, Program

Undo = Callable[[], None]
Inflict = Callable[[Fleet, random.Random], Undo]


def _instance(fleet: Fleet, chance: random.Random) -> Instance:
    return chance.choice(fleet.instances)


def _runner(fleet: Fleet, chance: random.Random) -> Life:
    return chance.choice(fleet.alive())


def _freeze(program: Program) -> Undo:
    program.signal(signal.SIGSTOP)
    program.frozen = True

    def undo() -> None:
        program.signal(signal.SIGCONT)
        program.frozen = False

    return undo


def kill_instance(fleet: Fleet, chance: random.Random) -> Undo:
    one = _instance(fleet, chance)
    one.kill()
    return one.restart


def kill_all_instances(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.lose_power()

    def undo() -> None:
        for one in fleet.instances:
            one.restart()

    return undo


def freeze_instance(fleet: Fleet, chance: random.Random) -> Undo:
    program = _instance(fleet, chance).program
    return _freeze(program)


def stop_instance(fleet: Fleet, chance: random.Random) -> Undo:
    one = _instance(fleet, chance)
    one.stop()
    return one.restart


def reload_instance(fleet: Fleet, chance: random.Random) -> Undo:
    _instance(fleet, chance).program.signal(signal.SIGHUP)
    return lambda: None


def kill_runner(fleet: Fleet, chance: random.Random) -> Undo:
    life = _runner(fleet, chance)
    fleet.crash(life)
    return lambda: fleet.add_runner(life.place) and None


def freeze_runner(fleet: Fleet, chance: random.Random) -> Undo:
    program = _runner(fleet, chance).program
    return _freeze(program)


def store_busy(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.faults(busy=True)
    return fleet.faults


def store_slow(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.faults(slow_s=chance.uniform(0.1, 0.4))
    return fleet.faults


def store_loses_answers(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.faults(lose=0.3)
    return fleet.faults


def store_forgets(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.faults(forget=True)
    return lambda: None


def _link(source: str, target: str, fleet: Fleet, rule: Rule) -> Undo:
    fleet.harm(source, target, rule)
    return lambda: fleet.harm(source, target, Rule())


def turned_away(fleet: Fleet, chance: random.Random) -> Undo:
    return _link(_instance(fleet, chance).name, "store", fleet, Rule(Fault.CUT))


def store_falls_silent(fleet: Fleet, chance: random.Random) -> Undo:
    return _link("*", "store", fleet, Rule(Fault.BLACKHOLE))


def one_way_to_the_store(fleet: Fleet, chance: random.Random) -> Undo:
    return _link(_instance(fleet, chance).name, "store", fleet, Rule(Fault.ONE_WAY))


def runner_cut(fleet: Fleet, chance: random.Random) -> Undo:
    return _link("*", _runner(fleet, chance).place, fleet, Rule(Fault.CUT))


def runner_falls_silent(fleet: Fleet, chance: random.Random) -> Undo:
    return _link("*", _runner(fleet, chance).place, fleet, Rule(Fault.BLACKHOLE))


def runner_answers_late(fleet: Fleet, chance: random.Random) -> Undo:
    rule = Rule(delay_s=chance.uniform(0.3, 1.5))
    return _link("*", _runner(fleet, chance).place, fleet, rule)


def orders_come_after_a_takeover(fleet: Fleet, chance: random.Random) -> Undo:
    """Hold orders up on their way, and kill whoever sent them."""
    held_up = _link("any", "*", fleet, Rule(delay_s=chance.uniform(2.5, 6.0)))
    time.sleep(0.6)
    restart = kill_all_instances(fleet, chance)
    held_up()
    restart()
    return lambda: None


UNREADABLE = (b"\xff\xfe", b"{", b"[]", b"[" * 5_000)


def entries_of_another_writer(fleet: Fleet, chance: random.Random) -> Undo:
    """Write what names no runner, for good, and a configuration that cannot be read."""
    whole = fleet.entry(_runner(fleet, chance).address)
    strange = [{"address": ""}, {"address": "10.0.0.1:x"}, {"state": "?"}, {"service": "unheard"}]
    values = [*UNREADABLE, *({**whole, **one} for one in strange)]
    for _ in range(3):
        fleet.put("servers", f"i-other-{chance.getrandbits(32):08x}", chance.choice(values))
    fleet.put("op", "config", chance.choice(UNREADABLE))
    return lambda: fleet.configure(int(time.monotonic() * 1000))


def another_entry_at_a_runners_address(fleet: Fleet, chance: random.Random) -> Undo:
    """Write it, for good, and let the runner's own entry lapse or be written over."""
    life = _runner(fleet, chance)
    other = f"i-other-{chance.getrandbits(32):08x}"
    fleet.put("servers", other, fleet.entry(life.address))
    time.sleep(chance.uniform(0.0, 0.3))
    fleet.put("servers", life.id, chance.choice([b"", b"{"]))
    return lambda: fleet.list_runner(life) if life.killed_at is None else None


def configuration_changes(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.configure(int(time.monotonic() * 1000))
    return lambda: None


ALL: tuple[Inflict, ...] = (
    kill_instance,
    kill_all_instances,
    freeze_instance,
    stop_instance,
    reload_instance,
    kill_runner,
    freeze_runner,
    store_busy,
    store_slow,
    store_loses_answers,
    store_forgets,
    turned_away,
    store_falls_silent,
    one_way_to_the_store,
    runner_cut,
    runner_falls_silent,
    runner_answers_late,
    orders_come_after_a_takeover,
    configuration_changes,
    entries_of_another_writer,
    another_entry_at_a_runners_address,
)

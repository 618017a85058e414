"""The faults of the soak test: each function injects one and returns a function that undoes it.

Several faults may be active at the same time.
"""

import random
import signal
import time
from collections.abc import Callable

from bench.proxy import Fault, Rule
from tests.soak.fleet import Fleet, Instance, Program, RunnerIncarnation

Undo = Callable[[], None]
FaultFunction = Callable[[Fleet, random.Random], Undo]


def _random_instance(fleet: Fleet, chance: random.Random) -> Instance:
    return chance.choice(fleet.instances)


def _random_runner(fleet: Fleet, chance: random.Random) -> RunnerIncarnation:
    return chance.choice(fleet.alive())


def _freeze(program: Program) -> Undo:
    program.signal(signal.SIGSTOP)
    program.frozen = True

    def undo() -> None:
        program.signal(signal.SIGCONT)
        program.frozen = False

    return undo


def kill_instance(fleet: Fleet, chance: random.Random) -> Undo:
    instance = _random_instance(fleet, chance)
    instance.kill()
    return instance.restart


def kill_all_instances(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.lose_power()

    def undo() -> None:
        for instance in fleet.instances:
            instance.restart()

    return undo


def freeze_instance(fleet: Fleet, chance: random.Random) -> Undo:
    program = _random_instance(fleet, chance).program
    return _freeze(program)


def stop_instance(fleet: Fleet, chance: random.Random) -> Undo:
    instance = _random_instance(fleet, chance)
    instance.stop()
    return instance.restart


def reload_instance(fleet: Fleet, chance: random.Random) -> Undo:
    _random_instance(fleet, chance).program.signal(signal.SIGHUP)
    return lambda: None


def kill_runner(fleet: Fleet, chance: random.Random) -> Undo:
    incarnation = _random_runner(fleet, chance)
    fleet.crash(incarnation)
    return lambda: fleet.add_runner(incarnation.place) and None


def freeze_runner(fleet: Fleet, chance: random.Random) -> Undo:
    program = _random_runner(fleet, chance).program
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


def _set_link_fault(source: str, target: str, fleet: Fleet, rule: Rule) -> Undo:
    fleet.set_link_fault(source, target, rule)
    return lambda: fleet.set_link_fault(source, target, Rule())


def turned_away(fleet: Fleet, chance: random.Random) -> Undo:
    return _set_link_fault(_random_instance(fleet, chance).name, "store", fleet, Rule(Fault.CUT))


def store_falls_silent(fleet: Fleet, chance: random.Random) -> Undo:
    return _set_link_fault("*", "store", fleet, Rule(Fault.BLACKHOLE))


def one_way_to_the_store(fleet: Fleet, chance: random.Random) -> Undo:
    return _set_link_fault(
        _random_instance(fleet, chance).name, "store", fleet, Rule(Fault.ONE_WAY)
    )


def runner_cut(fleet: Fleet, chance: random.Random) -> Undo:
    return _set_link_fault("*", _random_runner(fleet, chance).place, fleet, Rule(Fault.CUT))


def runner_falls_silent(fleet: Fleet, chance: random.Random) -> Undo:
    return _set_link_fault("*", _random_runner(fleet, chance).place, fleet, Rule(Fault.BLACKHOLE))


def runner_answers_late(fleet: Fleet, chance: random.Random) -> Undo:
    rule = Rule(delay_s=chance.uniform(0.3, 1.5))
    return _set_link_fault("*", _random_runner(fleet, chance).place, fleet, rule)


def orders_come_after_a_takeover(fleet: Fleet, chance: random.Random) -> Undo:
    """Delay orders in flight and kill the instances that sent them."""
    end_delay = _set_link_fault("any", "*", fleet, Rule(delay_s=chance.uniform(2.5, 6.0)))
    time.sleep(0.6)
    restart = kill_all_instances(fleet, chance)
    end_delay()
    restart()
    return lambda: None


UNREADABLE_VALUES = (b"\xff\xfe", b"{", b"[]", b"[" * 5_000)


def entries_of_another_writer(fleet: Fleet, chance: random.Random) -> Undo:
    """Write malformed runner entries, which stay, and an unreadable configuration until undone."""
    valid_entry = fleet.entry(_random_runner(fleet, chance).address)
    malformed_entries = [
        {"address": ""},
        {"address": "10.0.0.1:x"},
        {"state": "?"},
        {"service": "unheard"},
    ]
    values = [*UNREADABLE_VALUES, *({**valid_entry, **fields} for fields in malformed_entries)]
    for _ in range(3):
        fleet.put("servers", f"i-other-{chance.getrandbits(32):08x}", chance.choice(values))
    fleet.put("op", "config", chance.choice(UNREADABLE_VALUES))
    return lambda: fleet.configure(int(time.monotonic() * 1000))


def another_entry_at_a_runners_address(fleet: Fleet, chance: random.Random) -> Undo:
    """Write a second entry, which stays, and remove or overwrite the runner's own until undone."""
    incarnation = _random_runner(fleet, chance)
    other = f"i-other-{chance.getrandbits(32):08x}"
    fleet.put("servers", other, fleet.entry(incarnation.address))
    time.sleep(chance.uniform(0.0, 0.3))
    fleet.put("servers", incarnation.id, chance.choice([b"", b"{"]))
    return lambda: fleet.list_runner(incarnation) if incarnation.killed_at is None else None


def configuration_changes(fleet: Fleet, chance: random.Random) -> Undo:
    fleet.configure(int(time.monotonic() * 1000))
    return lambda: None


ALL: tuple[FaultFunction, ...] = (
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

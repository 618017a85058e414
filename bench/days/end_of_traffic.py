"""Write days with losses up to the end of the traffic: end_of_traffic.py FOLDER COUNT SEED [AIM].

When the traffic ends, each accepted job must still run. Planned work, full runners and lasting
tasks come before the final fault. After it, up to the last seconds of the traffic, runners and
instances are lost, and leaders are killed one after the other.
"""

import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import NamedTuple

LENGTH_S = 30.0
"""Time of the final fault, seconds from the start of traffic."""

TRAFFIC_END_S = 47.0
"""Time at which the traffic ends, about 17 s after the final fault, seconds."""

RUNNER_LOSSES = (
    'kind = "srv_crash", how = "dark across all", share = 1.0',
    'kind = "srv_crash", how = "dark across all", share = 0.8',
    'kind = "srv_crash", how = "across", share = 0.6',
    'kind = "srv_crash", how = "rack", share = 0.5',
    'kind = "srv_crash", how = "gone", share = 0.25',
    'kind = "srv_cut", how = "reborn", share = 0.6',
    'kind = "srv_cut", how = "one_way", share = 0.6',
    'kind = "srv_cut", how = "some lossy", share = 0.5, x = 0.5',
    'kind = "srv_grey", how = "mute", share = 0.3, x = 1.0',
    'kind = "srv_grey", how = "hang", share = 0.3, x = 1.0',
    'kind = "applied_late", how = "all", x = 0.4',
    'kind = "node_cut", how = "servers", share = 0.4',
    'kind = "zone_cut", how = "drop"',
    'kind = "scale_in", how = "spot", share = 0.2, x = 1.0',
    'kind = "scale_in", how = "reclaim dry", share = 0.3, x = 2.0',
)

INSTANCE_LOSSES = (
    'kind = "herd_kill", on = "core", share = 1.0, how = "off"',
    'kind = "herd_kill", on = "core", share = 1.0, how = "taken all"',
    'kind = "herd_kill", share = 1.0, how = "power"',
    'kind = "after_ack_kill", how = "taken", count = 3',
    'kind = "after_ack_kill", how = "timed", count = 2',
    'kind = "node_freeze", how = "renewed", count = 1',
    'kind = "core_cut", how = "leader race"',
    'kind = "core_cut", how = "split"',
    'kind = "core_cut", how = "both"',
    'kind = "node_kill", on = "core", count = 1, how = "leader race drain"',
)

STORE_TROUBLES = (
    'kind = "platform_down", how = "nodes reset revoke meet", share = 0.4',
    'kind = "platform_down", how = "nodes leader silent", share = 0.35',
    'kind = "platform_down", how = "silent lapse"',
    'kind = "platform_lost", how = "late", x = 0.4',
    'kind = "platform_compact", how = "drain", x = 5.0',
    'kind = "platform_compact", how = "keyed", x = 5.0',
    'kind = "platform_compact", how = "rebalance rewind", x = 5.0',
    'kind = "platform_slow", x = 60.0',
)

JOB_TROUBLES = (
    'kind = "poison", how = "long", share = 0.15, x = 4.0',
    'kind = "poison", share = 0.15',
    'kind = "poison", how = "deadly", class = "renewal-reprice", share = 0.05',
    'kind = "give_up", how = "prompt", share = 0.4, x = 300.0',
    'kind = "burst", class = "renewal-reprice", x = 2.5',
    'kind = "burst", x = 2.0',
    'kind = "burst", class = "rating-feed", x = 12.0',
)

PLANNED_WORK = (
    'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.3, how = "busy"',
    'kind = "roll_term", share = 0.8, x = 2.0, gap_s = 1.0, how = "starter"',
    'kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.5, how = "remove"',
    'kind = "roll_term", share = 0.8, x = 1.0, gap_s = 1.2, how = "leader"',
    'kind = "release", share = 0.6, x = 2.0, gap_s = 0.8',
    'kind = "hup", share = 1.0, gap_s = 0.5',
    'kind = "config_storm", gap_s = 0.4',
    'kind = "config_change", how = "route"',
    'kind = "config_change", how = "tenant"',
    'kind = "big_config", count = 350',
    'kind = "add_nodes", share = 0.7',
    'kind = "scale_out", share = 0.25, gap_s = 1.0',
    'kind = "scale_in", share = 0.15',
    'kind = "replace_core", how = "planned", x = 2.0',
)

CLOSINGS = (
    'kind = "power_off_all", down_s = 1.0, how = "taken"',
    'kind = "power_off_all", down_s = 2.5, how = "timed"',
    'kind = "power_off_all", down_s = 3.5, how = "all"',
    'kind = "kill_all", down_s = 1.0, how = "taken"',
    'kind = "wipe_after_ack", down_s = 2.0',
)

LEADER_KILL = 'kind = "node_kill", on = "core", count = 1, how = "leader hard power"'

DEADLY_TASKS = (
    'kind = "poison", how = "deadly", class = "renewal-reprice", share = 0.4',
    'kind = "poison", how = "deadly", class = "quote-price", share = 0.4',
)

LATE_ORDERS = 'kind = "applied_late", how = "all", x = 0.9'

CUTS = (
    'kind = "zone_cut", how = "drop"',
    'kind = "core_cut", how = "split"',
    'kind = "core_cut", how = "leader race"',
    'kind = "core_cut", how = "one_way", count = 2',
    'kind = "srv_cut", how = "one_way", share = 0.8',
    'kind = "node_cut", how = "servers", share = 0.8',
)

AIMS = (
    "any",
    "before-end",
    "leaders",
    "lasting",
    "deadly",
    "until-end",
    "late-orders",
    "cuts",
)
"""What a day is aimed at: all, losses before the end, leaders killed until after it, lasting tasks,
tasks that crash their runners, leaders killed until the end, orders carried out after it, cuts."""


class Entry(NamedTuple):
    """One disturbance of a day: its time, seconds, and the rest of its entry."""

    at_s: float
    text: str
    for_s: float

    def write(self) -> str:
        """Return the entry as it stands in a day."""
        return f"{{ at = {self.at_s:.1f}, {self.text}, for_s = {self.for_s:.1f} }}"


def draw(
    rnd: Random, texts: Sequence[str], count: int, begin_s: float, end_s: float
) -> list[Entry]:
    """Draw different entries that begin within a span; each lasts 1.5 to 8 s."""
    drawn = rnd.sample(texts, count)
    return [Entry(rnd.uniform(begin_s, end_s), text, rnd.uniform(1.5, 8.0)) for text in drawn]


def kills(rnd: Random, since_s: float) -> list[Entry]:
    """Kill the leader again and again within 9 s."""
    gaps = [rnd.uniform(1.0, 3.5) for _ in range(rnd.randint(2, 4))]
    times = [since_s + sum(gaps[: number + 1]) for number in range(len(gaps))]
    return [Entry(at_s, LEADER_KILL, rnd.uniform(1.0, 4.0)) for at_s in times]


def last_losses(rnd: Random) -> list[Entry]:
    """Lose runners, and shortly after them instances, in the last seconds of the traffic."""
    at_s = rnd.uniform(TRAFFIC_END_S - 8.0, TRAFFIC_END_S - 1.0)
    runners = rnd.choice(RUNNER_LOSSES[:8])
    instances = rnd.choice(INSTANCE_LOSSES)
    after_s = at_s + rnd.uniform(-1.0, 2.0)
    lost = Entry(at_s, runners, rnd.uniform(1.5, 6.0))
    return [lost, Entry(after_s, instances, rnd.uniform(1.5, 6.0))]


def aimed_faults(rnd: Random, aim: str) -> list[Entry]:
    """Return the entries that only days with this aim have."""
    end_s = TRAFFIC_END_S
    match aim:
        case "leaders":
            return kills(rnd, end_s - 2.0)
        case "deadly":
            return draw(rnd, DEADLY_TASKS, 2, end_s - 9.0, end_s - 4.0)
        case "until-end":
            lost = draw(rnd, RUNNER_LOSSES[:4], 2, end_s - 7.0, end_s - 3.0)
            return lost + [entry for entry in kills(rnd, end_s - 6.0) if entry.at_s < end_s]
        case "late-orders":
            delayed = Entry(end_s - 8.0, LATE_ORDERS, 9.0)
            return [delayed, *draw(rnd, [LEADER_KILL], 1, end_s - 5.0, end_s)]
        case "cuts":
            return draw(rnd, CUTS, 3, end_s - 7.0, end_s - 1.0)
    return []


def faults_of(rnd: Random, aim: str) -> list[Entry]:
    """Return the unplanned entries of a day."""
    entries = draw(rnd, JOB_TROUBLES, rnd.randint(1, 3), 12.0, 40.0)
    entries += draw(rnd, RUNNER_LOSSES, rnd.randint(1, 2), LENGTH_S - 5.0, LENGTH_S + 0.5)
    entries += draw(rnd, STORE_TROUBLES, rnd.randint(0, 2), LENGTH_S - 8.0, TRAFFIC_END_S - 4.0)
    if aim == "leaders" or rnd.random() < 0.5:
        entries += kills(rnd, LENGTH_S + rnd.uniform(1.0, 5.0))
    if aim in ("before-end", "leaders") or rnd.random() < 0.6:
        entries += last_losses(rnd)
    return entries + aimed_faults(rnd, aim)


def traffic_of(aim: str) -> list[str]:
    """Return traffic with many lasting tasks if the day is aimed at them."""
    if aim != "lasting":
        return []
    rates = {"riga-kengarags": 3.5, "riga-purvciems": 4.4, "riga-ziepniekk": 4.6}
    mix = "mix = { quote-price = 5.0, renewal-reprice = 5.0, rating-feed = 1.5 }"
    shape = 'shape = { kind = "wave", swing = 0.15, period_s = 11.0, phase = 0.5 }'
    rows = [
        f'  {{ zone = "{zone}", {mix}, per_s = {rate}, clients = 12, users = 1, {shape} }},'
        for zone, rate in rates.items()
    ]
    return ["traffic = [", *rows, "]"]


def write_list(name: str, entries: Sequence[Entry]) -> str:
    """Return a list of entries by their time as one field of a day."""
    rows = "".join(f"  {entry.write()},\n" for entry in sorted(entries))
    return f"{name} = [\n{rows}]"


def day(seed: int, number: int, aim: str) -> str:
    """Return one day as text."""
    rnd = Random(f"end/{seed}/{number}/{aim}")
    plan = draw(rnd, PLANNED_WORK, rnd.randint(1, 3), 14.0, TRAFFIC_END_S - 4.0)
    lines = [
        f'name = "end-{aim}-{seed}-{number}"',
        'slot = "trouble"',
        f"length_s = {LENGTH_S}",
        f"closing = {{ {rnd.choice(CLOSINGS)} }}",
        write_list("plan", plan),
        write_list("faults", faults_of(rnd, aim)),
        *traffic_of(aim),
    ]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write the days that the arguments ask for."""
    folder, count, seed = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    aim = sys.argv[4] if len(sys.argv) > 4 else AIMS[0]
    folder.mkdir(parents=True, exist_ok=True)
    for number in range(count):
        path = folder / f"end-{aim}-{seed}-{number}.toml"
        path.write_text(day(seed, number, aim))


if __name__ == "__main__":
    main()

"""Draw what happens around the stops of one round, by the seed."""

import random
from enum import Enum
from typing import NamedTuple


class StopKind(Enum):
    """Which processes are told to stop, and when."""

    ONE = "one"
    SERIES = "series"
    TWICE = "twice"
    RELOADED = "reloaded"
    EARLY = "early"


class StoreKind(Enum):
    """How the store answers for a while around the stop."""

    QUICK = "quick"
    SLOW = "slow"
    SILENT = "silent"
    LOSING = "losing"
    AWAY = "away"


class Span(NamedTuple):
    """A span of time, in seconds after the signal."""

    begin: float
    end: float


class Scenario(NamedTuple):
    """What happens around the stops of one round.

    Attributes:
        store_span: while the store is as `store` says.
        change_interval_s: mean time between two configurations.
        connections: number of connections over which the first request comes after the signal.
        neighbours: number of busy processes on the processor of the first process that stops.
    """

    kind: StopKind
    store: StoreKind
    store_span: Span
    change_interval_s: float
    connections: int
    neighbours: int
    crashes_runner: bool

    def text(self) -> str:
        """Return the round in one line."""
        span = f"{self.store_span.begin:.1f} to {self.store_span.end:.1f} s"
        return (
            f"{self.kind.value}, store {self.store.value} {span}, "
            f"configurations each {self.change_interval_s} s, {self.connections} connections, "
            f"{self.neighbours} neighbours, crash {self.crashes_runner}"
        )


class StopScript(NamedTuple):
    """What is done to one process, in seconds after its SIGTERM."""

    terms: list[float]
    reloads: list[float]
    freezes: list[Span]


class StopPlan(NamedTuple):
    """One stop of a round.

    Attributes:
        target: number of the instance.
        delay_s: time from the begin of the round, in seconds.
        seed: of its clients.
    """

    target: int
    delay_s: float
    script: StopScript
    seed: int


class Round(NamedTuple):
    """One round; the seed is that of the changes around the stops."""

    scenario: Scenario
    seed: int
    stops: list[StopPlan]

    def text(self) -> str:
        """Return the round in one line."""
        freezes = [
            f"{span.begin:.2f} to {span.end:.2f}"
            for plan in self.stops
            for span in plan.script.freezes
        ]
        return f"{self.scenario.text()}, frozen {freezes}"


class Fixed(NamedTuple):
    """What is not drawn by the seed."""

    kind: StopKind | None = None
    store: StoreKind | None = None
    freeze: Span | None = None


NOTHING_FIXED = Fixed()


def draw_round(chance: random.Random, instances: int, fixed: Fixed) -> Round:
    """Draw the next round with this number of instances."""
    scenario = draw_scenario(chance)
    scenario = scenario._replace(
        kind=fixed.kind or scenario.kind, store=fixed.store or scenario.store
    )
    targets = chance.sample(range(instances), instances)
    if scenario.kind is not StopKind.SERIES:
        targets = targets[:1]
    stops = []
    delay_s = 0.0
    for target in targets:
        script = draw_script(scenario, chance)
        if fixed.freeze is not None:
            script = script._replace(freezes=[fixed.freeze])
        stops.append(StopPlan(target, delay_s, script, chance.getrandbits(32)))
        delay_s += chance.uniform(0.2, 1.5)
    return Round(scenario, chance.getrandbits(32), stops)


def draw_scenario(chance: random.Random) -> Scenario:
    """Draw what happens around the stops of a round."""
    begin = chance.choice([chance.uniform(-0.4, 3.0), chance.uniform(2.0, 3.2)])
    return Scenario(
        chance.choice(list(StopKind)),
        chance.choice(list(StoreKind)),
        Span(begin, begin + chance.uniform(1.0, 6.0)),
        chance.choice([0.1, 0.4, 1.5]),
        300 if chance.random() < 0.25 else 40,
        chance.choice([1, 2]) if chance.random() < 0.3 else 0,
        chance.random() < 0.3,
    )


def draw_script(scenario: Scenario, chance: random.Random) -> StopScript:
    """Draw what is done to one of the processes that stop."""
    terms = [0.0]
    if scenario.kind is StopKind.TWICE:
        terms.append(chance.uniform(0.0, 4.0))
    reloads: list[float] = []
    if scenario.kind is StopKind.RELOADED:
        reloads = sorted(chance.uniform(-0.4, 4.0) for _ in range(3))
    freezes: list[Span] = []
    if chance.random() < 0.4:
        # Over the time at which a stopping process reads no more.
        freezes.append(Span(chance.uniform(2.3, 4.69), chance.uniform(4.71, 5.2)))
    at = freezes[-1].end + 0.1 if freezes else chance.uniform(-0.2, 5.0)
    while at < 5.2 and len(freezes) < 3 and chance.random() < 0.6:
        freezes.append(Span(at, at + chance.choice([0.1, 0.3, chance.uniform(0.1, 2.5)])))
        at = freezes[-1].end + chance.uniform(0.1, 3.0)
    return StopScript(terms, reloads, freezes)

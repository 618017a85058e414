"""A simulated fleet of mixed runners, and jobs for it, drawn by seed."""

import random
from typing import Any

from spoolcrank.workflow import Step
from tests.fleet_runners import Runner
from tests.idle_capacity import IdleCapacityCheck, Place, SizedWorld

ZONES = ("a", "b", "c")
RACK_SIZE = 8
MILLICORES = (8_000, 16_000, 24_000, 32_000)
IMAGES = ("red", "green", "blue")


class Play:
    """One play: the fleet, its jobs, and the faults that are not healed yet."""

    def __init__(self, seed: int, with_deadly_tasks: bool = False) -> None:
        self.with_deadly_tasks = with_deadly_tasks
        self.chance = random.Random(seed)
        self.world = SizedWorld(seed)
        self.world.late_orders_outlive_restart = False
        self.powers: dict[str, float] = {}
        self.hopeless: set[str] = set()
        self.deadly: set[str] = set()
        self.trace: list[str] = []
        self.jobs = 0
        self._make_runners()
        for number in range(self.chance.choice((3, 5, 5, 9))):
            name = f"entry-{number}"
            self.powers[name] = self.chance.choice((1.0, 1.0, 2.0, 0.5))
            self.world.add_instance(name, self.powers[name])
        self.check = IdleCapacityCheck(self.world)
        self.world.run_until(lambda: self.world.leader() is not None)
        self.world.run(0.5)

    def _make_runners(self) -> None:
        chance = self.chance
        count = chance.choice((8, 12, 24, 24))
        for number in range(count):
            rack = number // RACK_SIZE
            labels = {f"rack-{rack}"} | ({"big"} if chance.random() < 0.3 else set())
            name = f"10.0.{rack}.{number}:80"
            self.world.places[name] = Place(
                ZONES[rack % 3],
                frozenset(labels),
                chance.choice(MILLICORES),
                chance.choice((16_000, 32_000, 64_000)),
            )
            self.world.add_runner(name)

    def log(self, text: str) -> None:
        self.trace.append(f"{self.world.now:.2f} {text}")

    def alive(self) -> list[Runner]:
        return [runner for runner in self.world.runners.values() if runner.alive]

    def submit(self) -> str:
        chance, world = self.chance, self.world
        job = f"{self.jobs:04x}"
        self.jobs += 1
        steps, work_s = self._steps()
        if not steps[0].lasting:
            kind = chance.random()
            if kind < 0.08:
                self.hopeless.add(job)
                world.failing[job] = chance.uniform(0.05, 0.8)
            elif kind < 0.1 and self.with_deadly_tasks:
                self.deadly.add(job)
                world.crashing[job] = chance.uniform(0.2, 2.0)
        if steps[0].lasting:
            world.lasting_jobs.add(job)
        if any(step.gang for step in steps):
            world.gang_jobs.add(job)
        attempts = chance.choice((3, 4, 9))
        world.attempts[job] = attempts
        instance = chance.choice(sorted(world.instances))
        priority = chance.choice((0, 1, 1, 2))
        self.log(f"submit {job} {steps} {work_s:.2f} s prio {priority} attempts {attempts}")
        world.submit(instance, job, *steps, work_s=work_s, max_attempts=attempts, priority=priority)
        return job

    def _steps(self) -> tuple[tuple[Step, ...], float]:
        chance = self.chance
        estimate_ms = chance.choice((300, 600, 1500, 3000))
        work_s = estimate_ms * chance.uniform(0.7, 1.4) / 1000.0
        fields: dict[str, Any] = {
            "millicores": chance.choice((1000, 2000, 3000, 4000, 6000)),
            "memory_mb": chance.choice((100, 1000, 4000, 8000)),
            "estimate_ms": estimate_ms,
            "image": chance.choice(IMAGES),
            "label": "big" if chance.random() < 0.15 else "",
            "max_per_instance": chance.choice((0, 0, 0, 1, 2)),
        }
        if chance.random() < 0.15:
            may_miss = chance.choice((-1, 1))
            count = chance.choice((1, 2, 3, 6))
            return (Step(count, lasting=True, may_be_away=may_miss, **fields),), work_s
        if chance.random() < 0.3:
            fields["fills"] = True
        steps = [Step(chance.choice((1, 1, 2, 3, 5, 8, 16, 24, 36)), **fields)]
        if not fields.get("fills") and chance.random() < 0.1:
            steps = [Step(chance.choice((2, 3, 4)), gang=True, **fields)]
        for number in range(chance.choice((0, 0, 1, 2))):
            after = tuple(sorted(chance.sample(range(number + 1), chance.randint(1, number + 1))))
            steps.append(Step(chance.choice((1, 1, 2, 4, 8)), after=after, **fields))
        return tuple(steps), work_s

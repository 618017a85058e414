"""One of eight runners crashes for good; does the count of waiting submissions stay right?

The rule (MIXED): of the submissions without times that were accepted over visible_ms + 2 s before
and haven't begun, a machine in touch gives under half as `waiting`.
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from platform_standins import run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 8
VISIBLE_S = 3.0
STEP = [{"count": 1, "cpu": 4000, "memMb": 256, "estimateMs": 640}]


async def ask(world, daemon, accepted, broken):
    """Ask one daemon for the count, and compare it with the submissions that haven't begun."""
    asked_at = world.record.now()
    count = await world.waiting(daemon)
    known = [
        name
        for name, at in accepted.items()
        if at < asked_at - VISIBLE_S - 2.0 and name not in world.begun
    ]
    world.record.write("count", daemon=daemon, waiting=count, not_begun=known)
    if known and count is not None and count < len(known) / 2:
        broken.append((round(asked_at, 2), daemon, count, known))


async def play(world, temporary):
    """Play the case; return what broke the rule."""
    await world.start(temporary, runners=RUNNERS)
    daemons = list(world.fronts)
    fronts = list(world.fronts.values())
    for number in range(8):
        await world.submit(fronts[number % 3], f"{0xA000 + number:016x}", STEP, 0.3)
    await asyncio.sleep(5.0)
    if TROUBLE:
        victim = world.runners[3]
        world.keep(world.lose(victim))
    accepted = {}
    for number in range(16):
        name = f"{0xB000 + number:016x}"
        if await world.submit(fronts[number % 3], name, STEP, 0.6) == 200:
            accepted[name] = world.record.now()
    broken = []
    while world.record.now() < max(accepted.values()) + 14.0:
        for daemon in daemons:
            await ask(world, daemon, accepted, broken)
        await asyncio.sleep(0.25)
    for name in accepted:
        await world.state(fronts[0], name)
    if not broken:
        return ""
    return f"{len(broken)} counts were wrong, the first at {broken[0]}"


run_case(HERE, play)

"""Runners crash one after the other; is a sound gang shown as `failed`?

The rule (LOST): an accepted submission is shown without cause as `failed` (only ends `failed` count
as attempts).
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
ORDER = (0, 2, 4, 6, 1, 3, 5, 7)
DOWN_S = 4.5
EVERY_S = 8.0
MAX_ATTEMPTS = 4
GANG = {
    "count": 6,
    "cpu": 4000,
    "memMb": 4096,
    "estimateMs": 12000,
    "gang": True,
    "antiAffinity": 1,
}
WORK_S = 12.0
NAME = f"{0xA11:016x}"


async def crash_in_turn(world):
    """Let one runner after the other crash; each is back before the next one goes.

    In this order the first crashes hit a different member of the gang each.
    """
    for number in ORDER:
        await asyncio.sleep(EVERY_S - DOWN_S)
        await world.crash(number, DOWN_S)


async def play(world, temporary):
    """Play the case; return what broke the rule."""
    await world.start(temporary, runners=RUNNERS)
    await asyncio.sleep(5.0)
    front = next(iter(world.fronts.values()))
    status = await world.submit(front, NAME, [GANG], WORK_S)
    if status != 200:
        raise RuntimeError(f"the submission was answered with {status}")
    if TROUBLE:
        world.keep(crash_in_turn(world))
    state = "pending"
    until = world.record.now() + EVERY_S * len(ORDER) + 30.0
    while world.record.now() < until and state not in ("completed", "failed", "cancelled"):
        await asyncio.sleep(0.5)
        state = await world.state(front, NAME)
    if state == "failed" and world.failed_ends < MAX_ATTEMPTS:
        return f"shown as failed after {world.failed_ends} ends `failed`"
    if state != "completed":
        raise RuntimeError(f"the submission is still {state}")
    return ""


run_case(HERE, play)

"""A submission is cancelled whose record reaches the store late; does it run all the same?

The rule (UNASKED): a machine in touch starts a task more than cancel_ms after ack of the
submission's cancelling.
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from platform_standins import run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CANCEL_S = 3.0
CONTACT_S = 3.0
LOST_FOR_S = 1.5
LATE_S = 5.5
MAX_LOST_SHARE = 0.35
STEP = {"count": 1, "cpu": 4000, "memMb": 256, "estimateMs": 3000}
WORK_S = 3.0
NAME = f"{0xCA11:016x}"


async def others(world, fronts):
    """Hand in other submissions all the time, at the other daemons."""
    number = 0
    while True:
        await world.submit(fronts[1 + number % 2], f"{0xB000 + number:016x}", [STEP], 0.3)
        number += 1
        await asyncio.sleep(0.05)


async def lose_answers(world):
    """Lose the answers of the writes that hold this submission; they are done late."""
    store = world.store
    writes_before = store.writes
    store.late = lambda records: LATE_S if any(NAME in key for key, _ in records) else None
    world.record.write("answers are lost")
    await asyncio.sleep(LOST_FOR_S)
    store.late = None
    writes = store.writes - writes_before
    world.record.write("answers are lost no more", writes=writes, lost=store.lost_writes)
    world.calm_from = world.record.now()
    if store.lost_writes > MAX_LOST_SHARE * writes:
        raise RuntimeError(f"{store.lost_writes} of {writes} writes were lost")


async def cancel(world, front):
    """Cancel the submission; return when that was acknowledged."""
    while True:
        status, _ = await world.call(front, "DELETE", world.PREFIX + NAME)
        world.record.write("cancelled", id=NAME, status=status)
        if status in (200, 410):
            return world.record.now()
        await asyncio.sleep(0.2)


async def play(world, temporary):
    """Play the case; return what broke the rule."""
    await world.start(temporary)
    fronts = list(world.fronts.values())
    world.keep(others(world, fronts))
    await asyncio.sleep(4.0)
    world.calm_from = 0.0
    trouble = asyncio.ensure_future(lose_answers(world)) if TROUBLE else None
    # The consumer gives up when it gets no success, and cancels at another daemon.
    await world.submit(fronts[0], NAME, [STEP], WORK_S)
    await asyncio.sleep(0.1)
    acknowledged_at = await cancel(world, fronts[1])
    if trouble is not None:
        await trouble
    await asyncio.sleep(10.0)
    state = await world.state(fronts[2], NAME)
    starts = [at for at, task in world.starts if task.startswith(NAME)]
    for at in starts:
        in_touch = at - world.calm_from > CONTACT_S
        if at > acknowledged_at + CANCEL_S and in_touch:
            after_s = round(at - acknowledged_at, 2)
            return f"a task began {after_s} s after the ack of the cancelling; it is {state}"
    return ""


run_case(HERE, play)

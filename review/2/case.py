"""A consumer leaves and cancels what a frozen daemon has not read yet; does it run all the same?

The rule (UNASKED): a machine in touch starts a task more than cancel_ms after ack of the
submission's cancelling.

With VARIANT=lost no daemon is frozen. Instead the store loses the answers of the writes that hold
the submission, and does them late.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from platform_standins import run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VARIANT = os.environ.get("VARIANT", "freeze")
CANCEL_S = 3.0
CONTACT_S = 3.0
FROZEN_S = 4.0
LEAVES_AFTER_S = 0.125
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
        await world.submit(fronts[number % 2], f"{0xB000 + number:016x}", [STEP], 0.3)
        number += 1
        await asyncio.sleep(0.05)


async def freeze(world, daemon):
    """Freeze a daemon for a while."""
    world.record.write("freezes", daemon=daemon)
    world.daemons[daemon].send_signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    world.daemons[daemon].send_signal(signal.SIGCONT)
    world.record.write("wakes", daemon=daemon)


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
    world.core_stable_from = world.record.now() + CONTACT_S
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
    await asyncio.sleep(2.0)
    leader = world.leader()
    daemon = next(name for name in world.fronts if name != leader)
    fronts = [front for name, front in world.fronts.items() if name != daemon]
    world.keep(others(world, fronts))
    await asyncio.sleep(3.0)
    world.core_stable_from = 0.0
    trouble = None
    if TROUBLE:
        trouble = freeze(world, daemon) if VARIANT == "freeze" else lose_answers(world)
        trouble = asyncio.ensure_future(trouble)
        await asyncio.sleep(0.05)
    # In the variant the consumer waits for its answer, which is 504.
    wait_s = LEAVES_AFTER_S if VARIANT == "freeze" else 3.0
    await world.submit(world.fronts[daemon], NAME, [STEP], WORK_S, wait_s)
    acknowledged_at = await cancel(world, fronts[0])
    if trouble is not None:
        await trouble
    await asyncio.sleep(8.0)
    state = await world.state(fronts[1], NAME)
    # No machine but the frozen one is ever disturbed, and that one doesn't lead.
    if world.leader() != leader:
        raise RuntimeError("the leader has changed")
    for at, task in world.starts:
        late_s = round(at - acknowledged_at, 2)
        if task.startswith(NAME) and late_s > CANCEL_S and at > world.core_stable_from:
            return f"a task began {late_s} s after the ack of the cancelling; it is {state}"
    return ""


run_case(HERE, play)

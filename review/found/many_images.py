"""With some hundreds of images of fillers the record of what is learnt outgrows the store's limit.

No case: the leader then changes every few seconds, which by itself breaks no rule. Exits with 1 if
a leader without any disturbance lost its lead.
"""

import asyncio
import hashlib
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from platform_standins import run_case  # noqa: E402

SERVING = 6
RUNNERS = 8
SECONDS = 70.0


def image(name):
    """Return the name of an image as registries give it: by digest."""
    digest = hashlib.sha256(name.encode()).hexdigest()
    return f"registry.claims.example:5000/month-settle/step@sha256:{digest}"


async def play(world, temporary):
    """Run serving tasks on all runners, and fillers with an image of their own each."""
    await world.start(temporary, runners=RUNNERS)
    await asyncio.sleep(3.0)
    leader = world.leader()
    fronts = list(world.fronts.values())
    for number in range(SERVING):
        lasting = {
            "count": RUNNERS,
            "cpu": 2000,
            "memMb": 10,
            "estimateMs": 500,
            "longRunning": True,
            "antiAffinity": 1,
            "image": image(f"serving {number}"),
            "target_ms": 40,
        }
        await world.submit(fronts[0], f"{0xF000 + number:016x}", [lasting], 9999.0)
    until = world.record.now() + SECONDS
    number, leaders = 0, [leader]
    while world.record.now() < until:
        filler = {
            "count": 1,
            "cpu": 3000,
            "memMb": 100,
            "estimateMs": 1500,
            "image": image(f"filler {number}"),
            "fills": True,
            "savesProgress": True,
        }
        await world.submit(fronts[number % 3], f"{0x10000 + number:016x}", [filler], 1.5)
        if world.leader() != leaders[-1]:
            leaders.append(world.leader())
            world.record.write("leader", leader=leaders[-1], images=number)
        number += 1
        await asyncio.sleep(0.08)
    return f"the leader changed {len(leaders) - 1} times" if len(leaders) > 1 else ""


run_case(HERE, play)

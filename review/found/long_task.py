"""A long task without an estimate is stopped as hung again and again, with no disruption at all.

No case: it breaks no rule within two minutes. Exits with 1 if a task was stopped.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from platform_standins import run_case  # noqa: E402

WORK_S = 130.0


async def play(world, temporary):
    """Hand in two long tasks; return how often they were begun."""
    await world.start(temporary, runners=8)
    await asyncio.sleep(3.0)
    front = next(iter(world.fronts.values()))
    step = {"count": 1, "cpu": 1000, "memMb": 10}
    await world.submit(front, f"{1:016x}", [step], WORK_S)
    await world.submit(front, f"{2:016x}", [{**step, "estimateMs": 1000}], WORK_S)
    await asyncio.sleep(25.0)
    begun = len(world.starts)
    return f"two tasks of {WORK_S} s were begun {begun} times in 25 s" if begun > 2 else ""


run_case(HERE, play)

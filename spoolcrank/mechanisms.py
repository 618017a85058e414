"""Name the leader's mechanisms that can be switched off to measure what each is worth.

A daemon reads the names from SPOOLCRANK_WITHOUT, by commas. Nothing that a promise rests on can be
switched off.
"""

import os
from collections.abc import Mapping
from enum import Enum

from spoolcrank.errors import ErrorKind, Refusal, SettingsError

VARIABLE = "SPOOLCRANK_WITHOUT"


class Mechanism(Enum):
    """One that can be switched off."""

    REGROUPING = "regrouping"
    MOVING = "moving"
    MAKING_WAY = "making-way"
    FREEING = "freeing"
    CLAIMS = "claims"
    RESERVE = "reserve"
    GATHERING = "gathering"
    TIMES = "times"
    HANGS = "hangs"
    PREASSIGNING = "preassigning"


def switched_off(environment: Mapping[str, str] = os.environ) -> frozenset[Mechanism]:
    """Return what the environment switches off; raises SettingsError naming an unknown one."""
    names = [name for name in environment.get(VARIABLE, "").split(",") if name]
    known = {one.value: one for one in Mechanism}
    wrong = [name for name in names if name not in known]
    if wrong:
        detail = f"{VARIABLE}: {wrong[0]!r} is none of {', '.join(known)}"
        raise SettingsError(Refusal(ErrorKind.BAD_SETTINGS, detail))
    return frozenset(known[name] for name in names)

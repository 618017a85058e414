"""Define the mechanisms that can be switched off to measure the effect of each.

A daemon reads the names from SPOOLCRANK_WITHOUT, separated by commas. Mechanisms on which an
invariant depends cannot be switched off.
"""

import os
from collections.abc import Mapping
from enum import Enum

from spoolcrank.errors import ErrorKind, Refusal, SettingsError

WITHOUT_VARIABLE = "SPOOLCRANK_WITHOUT"


class Mechanism(Enum):
    """A mechanism that can be switched off, by the name used in SPOOLCRANK_WITHOUT.

    Attributes:
        REGROUPING: move serving tasks so that runners tolerate more fillers.
        MOVING: stop slow fillers that can resume elsewhere without doing harm.
        YIELDING: slow fillers down before a serving task starts beside them.
        FREEING: restore full pace for fillers that are likely harmless.
        CLAIMS: leave the next place of a kind to the waiting job of better prospect.
        RESERVE: reserve capacity for short tasks.
        WIDE_TASKS: keep whole runners for short tasks that are too wide for that reserve.
        LASTING_BATCHES: let new lasting jobs wait so that they are placed together, by image.
        TIMES: learn the run times of tasks.
        HANGS: detect hung tasks other than fillers and gang members sooner than those.
        PREASSIGNING: preassign waiting tasks so that they start during a store outage.
        FORWARDING: forward requests to a peer while the store is slow or out of contact.
        GANG_JITTER: let a gang that lost a run to a crash wait for a random time.
    """

    REGROUPING = "regrouping"
    MOVING = "moving"
    YIELDING = "making-way"
    FREEING = "freeing"
    CLAIMS = "claims"
    RESERVE = "reserve"
    WIDE_TASKS = "wide-tasks"
    LASTING_BATCHES = "gathering"
    TIMES = "times"
    HANGS = "hangs"
    PREASSIGNING = "preassigning"
    FORWARDING = "forwarding"
    GANG_JITTER = "gang-jitter"


def switched_off(environment: Mapping[str, str] = os.environ) -> frozenset[Mechanism]:
    """Return the mechanisms that the environment switches off.

    Raises:
        SettingsError: a name is unknown.
    """
    names = [name for name in environment.get(WITHOUT_VARIABLE, "").split(",") if name]
    mechanisms = {mechanism.value: mechanism for mechanism in Mechanism}
    unknown = [name for name in names if name not in mechanisms]
    if unknown:
        detail = f"{WITHOUT_VARIABLE}: {unknown[0]!r} is not one of {', '.join(mechanisms)}"
        raise SettingsError(Refusal(ErrorKind.BAD_SETTINGS, detail))
    return frozenset(mechanisms[name] for name in names)

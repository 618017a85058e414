"""Compare rendezvous hashing with a ring of virtual nodes for the choice of owners.

The ring gives each owner random tokens, as the paper "Virtual nodes strategies" does.
"""

import bisect
import statistics
from collections import Counter
from typing import Any

import xxhash

from spoolcrank.ids import InstanceId
from spoolcrank.ownership import preferred

SERVERS = 24
OWNERS = 9
TOKENS_PER_OWNER = 32
TRIALS = 200


def _hash(text: str) -> int:
    return int(xxhash.xxh64_intdigest(text.encode()))


def ring_owner(server: str, owners: list[InstanceId]) -> InstanceId:
    """Return the owner on a ring with `TOKENS_PER_OWNER` random tokens for each owner."""
    ring = sorted(
        (_hash(f"{owner}#{token}"), owner) for owner in owners for token in range(TOKENS_PER_OWNER)
    )
    index = bisect.bisect([position for position, _ in ring], _hash(server))
    return ring[index % len(ring)][1]


def _max_to_mean(assigned: dict[str, InstanceId], owners: list[InstanceId]) -> float:
    counts = Counter(assigned.values())
    return max(counts.values()) / (SERVERS / len(owners))


def measure() -> list[dict[str, Any]]:
    """Compare both methods by needless moves and by uneven load, as means over all trials.

    Needless moves are changes of owner, when one owner leaves, beyond those of its own servers.
    Uneven load is the largest number of servers of one owner, divided by the mean.
    """
    moved: dict[str, list[float]] = {"ring": [], "rendezvous": []}
    spread: dict[str, list[float]] = {"ring": [], "rendezvous": []}
    for trial in range(TRIALS):
        owners = [InstanceId(f"entry-{trial}-{number}") for number in range(OWNERS)]
        servers = [f"backend-{trial}-{number}" for number in range(SERVERS)]
        for name, choose in (("ring", ring_owner), ("rendezvous", preferred)):
            before = {server: choose(server, owners) for server in servers}
            after = {server: choose(server, owners[1:]) for server in servers}
            moved_servers = sum(before[server] != after[server] for server in servers)
            orphaned_servers = sum(owner == owners[0] for owner in before.values())
            moved[name].append(float(moved_servers - orphaned_servers))
            spread[name].append(_max_to_mean(before, owners))  # type: ignore[arg-type]
    return [
        _result("servers moved beyond need when an owner goes", "servers", moved),
        _result("fullest owner over the mean", "ratio", spread),
    ]


def _result(measure_name: str, unit: str, values: dict[str, list[float]]) -> dict[str, Any]:
    ring = statistics.mean(values["ring"])
    rendezvous = statistics.mean(values["rendezvous"])
    return {
        "measure": f"owners: {measure_name}, rendezvous beside a ring",
        "unit": unit,
        "better": "lower",
        "baseline": round(ring, 3),
        "policy": round(rendezvous, 3),
        "ratio": round(rendezvous / ring, 3) if ring else None,
        "runs": TRIALS,
    }

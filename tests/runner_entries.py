"""Entries of runners as they write them, with changes."""

import json
from typing import Any

from tests.fleet_world import SERVICE


def entry(**changes: Any) -> bytes:
    """Return an entry in the form that runners write, with changes; None omits a field."""
    whole = {
        "service": SERVICE,
        "address": "10.0.9.9:80",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 64_000, "gpu": 0},
        "labels": ["rack-1"],
        **changes,
    }
    return json.dumps({name: value for name, value in whole.items() if value is not None}).encode()

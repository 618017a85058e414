"""Write eliot messages as JSON lines."""

import sys
from typing import Any

import eliot

_enabled = False


def write_to(path: str) -> None:
    """Write log lines to a file, or to standard error for `-`; an empty path disables logging."""
    global _enabled
    if not path:
        return
    stream = sys.stderr if path == "-" else open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    eliot.to_file(stream)
    _enabled = True


def log(name: str, **fields: Any) -> None:
    """Write one line if logging is enabled; the fields hold the ids of the objects concerned."""
    if _enabled:
        eliot.log_message(message_type=name, **fields)

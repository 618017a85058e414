"""Parse the arguments that start the platform's daemon, without the command line's libraries."""

from typing import NamedTuple

SERVE = "serve"
METRICS_FLAG = "--metrics-port"
PEERS_FLAG = "--peers"
DEFAULT_METRICS_PORT = 9464
"""Default port on which the daemon serves its metrics."""


class ServeArgs(NamedTuple):
    """The arguments of a `serve` command line.

    Attributes:
        metrics_port: port on which the daemon serves its metrics.
        peers: value of `--peers`; empty if it is not given.
    """

    metrics_port: int = DEFAULT_METRICS_PORT
    peers: str = ""


def serve_args(args: list[str]) -> ServeArgs | None:
    """Return the arguments of a plain `serve` command line; None for any other command."""
    if args[:1] != [SERVE] or len(args) % 2 == 0:
        return None
    parsed = ServeArgs()
    for flag, value in zip(args[1::2], args[2::2], strict=True):
        if flag == METRICS_FLAG and value.isdigit():
            parsed = parsed._replace(metrics_port=int(value))
        elif flag == PEERS_FLAG:
            parsed = parsed._replace(peers=value)
        else:
            return None
    return parsed

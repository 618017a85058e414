"""Parse the arguments that start the platform's daemon, without the command line's libraries."""

SERVE = "serve"
METRICS_FLAG = "--metrics-port"
DEFAULT_METRICS_PORT = 9464
"""Default port on which the daemon serves its metrics."""


def metrics_port(args: list[str]) -> int | None:
    """Return the metrics port of a `serve` command line; None for any other command."""
    if args == [SERVE]:
        return DEFAULT_METRICS_PORT
    if len(args) == 3 and args[:2] == [SERVE, METRICS_FLAG] and args[2].isdigit():
        return int(args[2])
    return None

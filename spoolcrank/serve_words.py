"""Read the words that start the platform's daemon, without the command line's libraries."""

SERVE = "serve"
METRICS_FLAG = "--metrics-port"
METRICS_PORT = 9464
"""Where the daemon tells its figures unless the flag says otherwise."""


def metrics_port(words: list[str]) -> int | None:
    """Return the port that the words after the program ask for; None for any other command."""
    if words == [SERVE]:
        return METRICS_PORT
    if len(words) == 3 and words[:2] == [SERVE, METRICS_FLAG] and words[2].isdigit():
        return int(words[2])
    return None

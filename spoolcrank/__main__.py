"""Run the program as a module.

The daemon of the platform starts without the command line's libraries: a replaced instance
is of use only after its start, and these take half of it.
"""

import sys

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


def main() -> None:
    """Run the daemon for `serve`, the whole command line for anything else."""
    port = metrics_port(sys.argv[1:])
    if port is not None:
        from spoolcrank.platform.daemon import run

        run(port)
    else:
        from spoolcrank.cli import main as command_line

        command_line()


if __name__ == "__main__":
    main()

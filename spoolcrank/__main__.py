"""Run the program as a module.

The daemon of the platform starts without the command line's libraries: a replaced instance
is of use only after its start, and these take half of it.
"""

import sys

SERVE = "serve"
METRICS_PORT = 9464
"""Where the daemon tells its figures; the deploy file names the same port."""


def main() -> None:
    """Run the daemon for `serve`, the whole command line for anything else."""
    if sys.argv[1:] == [SERVE]:
        from spoolcrank.platform.daemon import run

        run(METRICS_PORT)
    else:
        from spoolcrank.cli import main as command_line

        command_line()


if __name__ == "__main__":
    main()

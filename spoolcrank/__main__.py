"""Run the program as a module.

The daemon of the platform starts without the command line's libraries: a replaced instance
is of use only after its start, and these take half of it.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

from spoolcrank.serve_words import metrics_port


@contextmanager
def without_pkg_resources() -> Iterator[None]:
    """Import circuits without setuptools' resources.

    circuits declares its namespace by them, which nothing here needs, and they take 77 of the
    190 ms that the daemon's imports take (measured with `-X importtime`).
    """
    name = "pkg_resources"
    if name in sys.modules:
        yield
        return
    stand_in = ModuleType(name)
    stand_in.declare_namespace = lambda package: None  # type: ignore[attr-defined]
    sys.modules[name] = stand_in
    try:
        yield
    finally:
        del sys.modules[name]


def main() -> None:
    """Run the daemon for `serve`, the whole command line for anything else."""
    port = metrics_port(sys.argv[1:])
    if port is not None:
        with without_pkg_resources():
            from spoolcrank.platform.daemon import run
        run(port)
    else:
        from spoolcrank.cli import main as command_line

        command_line()


if __name__ == "__main__":
    main()

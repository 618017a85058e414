"""Run the program as a module.

The platform's daemon starts without the libraries of the command line: their import takes half of
the start-up time, during which a replaced instance cannot serve.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

from spoolcrank.compiled_import import DecisionCode, read_setting, use_compiled
from spoolcrank.errors import EXIT_BAD_SETTINGS, SettingsError
from spoolcrank.serve_args import serve_args


@contextmanager
def without_pkg_resources() -> Iterator[None]:
    """Replace `pkg_resources` by an empty module while circuits is imported.

    circuits uses it only to declare its namespace package, which this program does not need. Its
    import would take a large part of the time of the daemon's imports.
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


def _decision_code() -> DecisionCode:
    """Import the compiled modules if they can be used; a wrong setting ends the process."""
    try:
        return use_compiled(read_setting())
    except SettingsError as exc:
        sys.stderr.write(f"spoolcrank: {exc}\n")
        sys.exit(EXIT_BAD_SETTINGS)


def main() -> None:
    """Run the daemon for `serve`, or the full command line for any other command."""
    args = serve_args(sys.argv[1:])
    if args is not None:
        with without_pkg_resources():
            code = _decision_code()
            from spoolcrank.platform.daemon import run
        run(args.metrics_port, args.peers, code)
    else:
        from spoolcrank.cli import main as command_line

        command_line()


if __name__ == "__main__":
    main()

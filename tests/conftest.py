"""Pass over the tests that KNOWN-RED.txt lists, and print them: real faults that are not mended.

Each line gives a test's id, the cause and the issue, by tabs. A listed test that passes fails the
run, so that it comes off the list with its mend. A fault that only a longer play shows stands there
with its command in place of a test, and is printed.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


class Known(NamedTuple):
    test: str
    cause: str
    issue: str


def known_red() -> list[Known]:
    if not LIST.exists():
        return []
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return [Known(*line.split("\t")) for line in lines if line.strip()]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    causes = {one.test: f"{one.cause} ({one.issue})" for one in known_red()}
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for one in known_red():
        terminalreporter.write_line(f"known red: {one.test}: {one.cause} ({one.issue})")

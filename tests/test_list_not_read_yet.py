"""Answers of an instance that has not read the platform's list of instances yet."""

import pytest

from tests.entry_api import EntryApi


@pytest.mark.parametrize("command", ["drain backend-a1", "declare-lost backend-a1"])
def test_no_instance_is_denied_before_the_first_list(command: str) -> None:
    """Guards against a final 404 from an instance that has only just started."""
    assert EntryApi().command(command).status == 503

"""What `spoolcrank why --logs` finds."""

from spoolcrank.log_search import lines_about

TEXTS = [
    ' 3.1 entry-2 {"task":["ab12",0,1,2],"message_type":"run-ended","timestamp":5.5,"how":"done"}',
    '{"job":"ab12","message_type":"job-accepted","timestamp":1.5,"instance":"entry-1"}',
    '{"job":"cd34","message_type":"job-accepted","timestamp":1.6,"instance":"entry-1"}',
    '{"path":"/q/ab12","message_type":"refused","timestamp":1.0,"kind":"not-ready"}',
    "no line of ours",
    '{"cut off',
]


def test_lines_of_all_instances_are_joined_in_order() -> None:
    found = lines_about("ab12", TEXTS)
    assert [line.event for line in found] == ["refused", "job-accepted", "run-ended"]
    assert "how=done" in found[2].text()


def test_nothing_is_found_of_an_unknown_id() -> None:
    assert lines_about("ef56", TEXTS) == []

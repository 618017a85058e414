"""`spoolcrank why --logs` finds the log lines about an id."""

from spoolcrank.log_search import lines_about

TEXTS = [
    ' 3.1 entry-2 {"task":["ab12",0,1,2],"message_type":"run-ended","timestamp":5.5,"how":"done"}',
    '{"job":"ab12","message_type":"job-accepted","timestamp":1.5,"instance":"entry-1"}',
    '{"job":"cd34","message_type":"job-accepted","timestamp":1.6,"instance":"entry-1"}',
    '{"path":"/q/ab12","message_type":"refused","timestamp":1.0,"kind":"not-ready"}',
    "not a log line",
    '{"cut off',
]


def test_lines_of_all_instances_are_joined_in_order() -> None:
    lines = lines_about("ab12", TEXTS)
    assert [line.event for line in lines] == ["refused", "job-accepted", "run-ended"]
    assert "how=done" in lines[2].text()


def test_an_unknown_id_has_no_lines() -> None:
    assert lines_about("ef56", TEXTS) == []

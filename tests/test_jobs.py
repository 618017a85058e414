"""Parsing of job descriptions.

The tests guard against refusals that do not name the invalid field, and against error kinds
without a defined answer.
"""

import json

import pytest
from returns.result import Failure, Success

from spoolcrank.errors import ANSWERS, ErrorKind
from spoolcrank.jobs import JobClass, parse_job


def test_parses_a_job_with_defaults() -> None:
    match parse_job(b'{"name": "settle", "class": "watcher", "tasks": 3}'):
        case Success(spec):
            assert spec.job_class is JobClass.WATCHER
            assert spec.tasks == 3
            assert spec.repeatable
        case other:
            pytest.fail(str(other))


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"tasks": 0}, "tasks"),
        ({"tasks": 10**9}, "tasks"),
        ({"size": {"processors": -1}}, "size.processors"),
        ({"size": {"memory_mb": 1e300}}, "size.memory_mb"),
        ({"urgency": 10}, "urgency"),
        ({"repeatable": "perhaps"}, "repeatable"),
        ({"colour": "red"}, "colour"),
        ({"class": "daemon"}, "class"),
        ({"deadline_s": -5}, "deadline_s"),
    ],
)
def test_names_the_invalid_field(change: dict[str, object], field: str) -> None:
    match parse_job(json.dumps({"name": "settle"} | change).encode()):
        case Failure(refusal):
            assert refusal.kind is ErrorKind.BAD_FIELD
            assert refusal.field == field
            assert field in refusal.detail
        case other:
            pytest.fail(str(other))


def test_reports_a_body_that_is_not_json() -> None:
    match parse_job(b'{"name": '):
        case Failure(refusal):
            assert refusal.kind is ErrorKind.BAD_JSON
        case other:
            pytest.fail(str(other))


def test_every_error_kind_has_an_answer() -> None:
    assert set(ANSWERS) == set(ErrorKind)

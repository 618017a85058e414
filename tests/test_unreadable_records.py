"""Malformed configurations and records of the scheduler: each is ignored, the others stay valid.

One error that left the callback of a read ended all further reads, so that nothing was placed
although an instance led.
"""

import json
from types import ModuleType
from typing import Any

import pytest

from spoolcrank import dispatcher, periodic_work
from spoolcrank.ids import JobId
from spoolcrank.keyed_log import cancel_key, job_key, progress_key
from spoolcrank.platform.documents import decode_configuration
from spoolcrank.workflow import Step
from tests.fleet_jobs import QUICK, phase, settle
from tests.fleet_world import small_world
from tests.runner_entries import entry

LONG = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=60_000)
OTHER = "i-other"


# The operator's configuration


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[" * 50_000,
        b'{"version": 3, "routes": [{"name": "a", "host": "h", "pathPrefix": "/a/"}]}',
        b'{"version": 3, "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "service": ""}]}',
        json.dumps(
            {
                "version": 3,
                "routes": [
                    {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s"},
                    {"name": "a", "host": "h", "pathPrefix": "/b/", "service": "s"},
                ],
            }
        ).encode(),
    ],
    ids=["no text", "nested without end", "no service", "an empty service", "a name twice"],
)
def test_a_partly_valid_configuration_is_refused_with_a_value_error(
    value: bytes,
) -> None:
    with pytest.raises(ValueError):
        decode_configuration(value)


# The scheduler's own records

MALFORMED_RECORDS = {
    "a claim": ("leader", b"{"),
    "a claim of another shape": ("leader", b'{"term": 9}'),
    "an offer": ("offer", b"\xff"),
    "a job": (job_key(JobId("f1")), b"no job"),
    "a job without steps": (
        job_key(JobId("f1")),
        b'{"route":"quotes","service":"pricing","priority":0,"max_attempts":1,"objective_ms":1,'
        b'"stretch":1,"workflow":{"payload":"","steps":[]}}',
    ),
    "a cancel of a job never seen": (cancel_key(JobId("f2")), b"\xff"),
    "progress of a job never seen": (progress_key(JobId("f3")), b"?\x00"),
    "what was learnt": ("learnt", b"\x00"),
    "an unknown key": ("x/1", b"\xff"),
    "no key": ("", b"x"),
}


@pytest.mark.parametrize(("key", "value"), MALFORMED_RECORDS.values(), ids=MALFORMED_RECORDS)
def test_an_unreadable_record_stops_no_work(key: str, value: bytes) -> None:
    world = small_world()
    world.instances["entry-0"].submit("a1", QUICK)
    world.run(0.2)
    world.store.jobs.put(key, value)
    world.instances["entry-1"].submit("a2", QUICK)
    settle(world, "a1", "a2")
    leader = world.leader()
    assert leader is not None
    leader.kill()
    world.store.jobs.put(key, value)
    world.add_instance("entry-9")
    world.run_until(lambda: world.leader() is not None)
    world.instances["entry-9"].submit("a3", QUICK)
    settle(world, "a3")
    assert phase(world, "f1") is None
    assert world.violations == []


def test_all_instances_restart_despite_an_unreadable_claim() -> None:
    """No instance knew the newest term, and the store refused every claim of term 1 forever."""
    world = small_world()
    for term in range(3):
        leader = world.leader()
        assert leader is not None
        leader.kill()
        world.add_instance(f"entry-{7 + term}")
        world.run_until(lambda: world.leader() is not None)
        world.run(0.5)
    for instance in list(world.instances.values()):
        instance.kill()
    world.store.jobs.put("leader", b"{")
    world.add_instance("entry-x")
    world.run_until(lambda: world.leader() is not None, 8.0)
    world.instances["entry-x"].submit("a1", QUICK)
    settle(world, "a1")


def test_a_job_with_unreadable_progress_is_not_run() -> None:
    """If such a job counted as new, its completed tasks would run again."""
    world = small_world(instances=1)
    world.instances["entry-0"].submit("a1", QUICK, LONG)
    world.run(1.2)
    begun = {key: len(starts) for key, starts in world.starts.items()}
    world.instances["entry-0"].kill()
    world.store.jobs.put(progress_key(JobId("a1")), b"r\x00")
    world.add_instance("entry-9")
    world.run_until(lambda: world.leader() is not None)
    world.instances["entry-9"].submit("a2", QUICK)
    settle(world, "a2")
    world.run(12.0)
    assert {key: len(world.starts[key]) for key in begun} == begun
    assert world.violations == []


@pytest.mark.parametrize("part", ["index", "dispatcher"])
def test_an_error_of_a_record_handler_does_not_end_reading(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = small_world()
    failing = world.instances["entry-0"]
    failing.logged.expected = True

    def fail_once(*args: Any) -> None:
        monkeypatch.undo()
        raise ZeroDivisionError

    owner, name = (
        (failing.index, "apply_record")
        if part == "index"
        else (failing.dispatcher, "on_log_records")
    )
    monkeypatch.setattr(owner, name, fail_once)
    world.instances["entry-1"].submit("a1", QUICK)
    world.run(1.0)
    world.instances["entry-1"].submit("a2", QUICK)
    settle(world, "a2")
    assert failing.index.phase(JobId("a2")) is not None
    assert [name for name, _ in failing.logged.lines].count("internal-error") == 1


@pytest.mark.parametrize(
    ("module", "decision"),
    [
        (periodic_work, "tick"),
        (periodic_work, "forecast"),
        (dispatcher, "on_batch_stored"),
        (dispatcher, "list_runners"),
        (dispatcher, "place"),
    ],
)
def test_an_error_of_a_decision_ends_the_term_wherever_it_is_made(
    module: ModuleType, decision: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader continued in part: decisions after timers or stored records were not guarded."""
    world = small_world()
    leader = world.leader()
    assert leader is not None
    leader.logged.expected = True

    def fail_once(*args: Any) -> None:
        monkeypatch.undo()
        raise ZeroDivisionError

    monkeypatch.setattr(module, decision, fail_once)
    world.store.entries.put(OTHER, entry())
    world.instances["entry-0"].submit("a1", QUICK)
    world.run(0.5)
    assert [name for name, _ in leader.logged.lines].count("stepped-down") == 1
    settle(world, "a1")
    assert world.violations == []

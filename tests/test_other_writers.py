"""Malformed records, entries and answers of other writers: each is ignored, the others stay valid.

The tests guard against two failures. First, nothing was placed although an instance led, and no
other instance claimed the leadership: one entry in the list of runners was unreadable, the error of
the strict decoder left the callback of the read, and no further read of the list was sent. The
leader's heartbeat does not depend on the list. The tests with one such entry each failed on the
former code.

Second, a task ran twice at the same time: an entry of another id named the address of a live runner
whose own entry had expired. A second entry at an address counted as proof that the first runner
had ended. The test of this case failed on the former code without any other fault.
"""

import json
from types import ModuleType
from typing import Any

import pytest

from spoolcrank import dispatcher, periodic_work
from spoolcrank.ids import Address, JobId
from spoolcrank.keyed_log import KeyedRecord, cancel_key, job_key, progress_key
from spoolcrank.orders import EndKind, OrderResult, Poll, Start, Stop, Target
from spoolcrank.platform.documents import decode_configuration, decode_runner_entry
from spoolcrank.platform.runners import PlatformRunners
from spoolcrank.platform.store import StoreLog
from spoolcrank.runner_port import PollResult
from spoolcrank.scheduler import RoutePolicy
from spoolcrank.store_port import Append, Appended, AppendOutcome, NewestPage, Records
from spoolcrank.workflow import JobPhase, RunnerId, Step, TaskKey
from tests.fleet_world import ROUTE, SERVICE, World, small_world
from tests.test_platform import STORE, RecordingHttp, answer

QUICK = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
LASTING = Step(count=4, millicores=1000, memory_mb=100, lasting=True)
LONG = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=60_000)
OTHER = "i-other"


def entry(**changes: Any) -> bytes:
    """Return an entry in the form that runners write, with changes; None omits a field."""
    whole = {
        "service": SERVICE,
        "address": "10.0.9.9:80",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 64_000, "gpu": 0},
        "labels": ["rack-1"],
        **changes,
    }
    return json.dumps({name: value for name, value in whole.items() if value is not None}).encode()


UNREADABLE = {
    "bytes that are no text": b"\xff\xfe\x00",
    "no json": b"{",
    "another shape": b"[1, 2]",
    "null": b"null",
    "nested without end": b'{"later":' + b"[" * 20_000 + b"]" * 20_000 + b"}",
    "an enormous value": entry(labels=["x" * 100] * 2_000),
    "no service": entry(service=None),
    "an empty service": entry(service=""),
    "a service of another type": entry(service=7),
    "no address": entry(address=None),
    "an empty address": entry(address=""),
    "an address without a port": entry(address="10.0.9.9"),
    "an address with an empty port": entry(address="10.0.9.9:"),
    "a port of words": entry(address="10.0.9.9:http"),
    "a port out of range": entry(address="10.0.9.9:65536"),
    "port 0": entry(address="10.0.9.9:0"),
    "a negative port": entry(address="10.0.9.9:-1"),
    "a host by name": entry(address="runner.example:80"),
    "an address of another type": entry(address=["10.0.9.9:80"]),
    "no state": entry(state=None),
    "an unknown state": entry(state="resting"),
    "a state of another type": entry(state=True),
    "a capacity of another type": entry(capacity="all"),
    "a negative capacity": entry(capacity={"cpu": -1, "memMb": 1}),
    "a huge capacity": entry(capacity={"cpu": 10**30, "memMb": 1}),
    "a capacity that is no number": entry().replace(b"8000", b"NaN"),
    "a capacity beyond all numbers": entry().replace(b"8000", b"1e999"),
    "labels of another type": entry(labels=[1, None]),
    "labels that are no list": entry(labels="rack-1"),
}


def with_routes(world: World) -> World:
    for instance in world.instances.values():
        instance.dispatcher.set_routes({ROUTE: RoutePolicy(SERVICE, 0, 3)})
    return world


def phase(world: World, job: str) -> JobPhase | None:
    instance = next(iter(world.instances.values()))
    return instance.index.phase(JobId(job))


def settle(world: World, *jobs: str, limit_s: float = 30.0) -> float:
    return world.run_until(
        lambda: all(phase(world, job) is JobPhase.COMPLETED for job in jobs), limit_s
    )


def lines(world: World, name: str) -> list[dict[str, Any]]:
    logged = [instance.logged.lines for instance in world.instances.values()]
    return [fields for entries in logged for event, fields in entries if event == name]


def hang(world: World) -> None:
    for runner in world.runners.values():
        runner.work_s = 1000.0


# The list of runners


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_an_unreadable_entry_is_ignored_and_the_others_stay_valid(value: bytes) -> None:
    world = with_routes(small_world(runners=1))
    world.store.entries.put(OTHER, value)
    world.run(1.0)
    later = world.add_runner("10.0.0.8:80")
    world.run(1.0)
    world.instances["entry-0"].submit("a1", Step(count=12, millicores=1000, memory_mb=100))
    settle(world, "a1")
    assert later.ends > 0
    assert OTHER not in world.asked
    logged = [line for line in lines(world, "entry-unreadable") if line["runner"] == OTHER]
    assert len(logged) == 1
    assert world.violations == []


def test_an_address_that_never_answered_is_polled_rarely() -> None:
    """Such an entry stays listed and each poll has a cost; it was polled every 0.4 s forever."""
    world = with_routes(small_world())
    world.store.entries.put(OTHER, entry())
    world.run(30.0)
    before = world.asked[OTHER]
    world.run(30.0)
    assert 5 <= world.asked[OTHER] - before <= 20


def test_an_entry_of_a_service_that_no_queue_names_is_not_polled_until_one_does() -> None:
    world = with_routes(small_world())
    world.store.entries.put(OTHER, entry(service="unheard"))
    world.run(3.0)
    leader = world.leader()
    assert leader is not None
    assert leader.dispatcher.scheduler is not None
    assert OTHER not in leader.dispatcher.scheduler.runners
    assert OTHER not in world.asked
    policies = {ROUTE: RoutePolicy(SERVICE, 0, 3), "more": RoutePolicy("unheard", 0, 3)}
    leader.dispatcher.set_routes(policies)  # type: ignore[arg-type]
    world.run(0.5)
    assert OTHER in world.asked


def test_a_job_of_a_service_that_no_queue_names_any_more_keeps_its_runners() -> None:
    world = small_world()
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    leader = world.leader()
    assert leader is not None
    leader.dispatcher.set_routes({ROUTE: RoutePolicy("unheard", 0, 3)})  # type: ignore[arg-type]
    world.run(3.0)
    assert sum(len(runner.tasks) for runner in world.runners.values()) == LONG.count
    assert all(len(starts) == 1 for starts in world.starts.values())


def test_an_entry_at_a_live_runners_address_frees_none_of_its_runs() -> None:
    world = small_world()
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    world.store.entries.put(OTHER, entry(address=runner.name))
    world.run(1.0)
    world.store.entries.put(runner.id, b"")
    world.run(5.0)
    assert world.violations == []
    assert sum(len(candidate.tasks) for candidate in world.runners.values()) == LONG.count
    assert all(len(starts) == 1 for starts in world.starts.values())


def test_an_entry_without_an_address_frees_no_run_of_an_earlier_leader() -> None:
    """No entry, and no empty address, tells that an unlisted runner ended."""
    world = small_world(instances=1)
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    world.instances["entry-0"].kill()
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    world.store.entries.put(runner.id, b"")
    world.store.entries.put(OTHER, entry(address=""))
    world.add_instance("entry-9")
    world.run(6.0)
    assert world.leader() is not None
    assert world.violations == []


@pytest.mark.parametrize("old_entry", [b"", b"ready"], ids=["went", "stands"])
def test_a_crashed_runners_runs_are_free_once_another_incarnation_answers(old_entry: bytes) -> None:
    world = small_world()
    hang(world)
    world.instances["entry-0"].submit("a1", LONG)
    world.run(1.0)
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    moved = list(runner.tasks)
    runner.crash()
    world.run(0.5)
    world.add_runner(runner.name)
    world.store.entries.put(runner.id, old_entry)
    world.run_until(lambda: all(len(world.starts[key]) == 2 for key in moved), 2.0)
    assert world.violations == []


OVERWRITTEN = {
    "no json": b"{",
    "an unknown state": entry(address="10.0.0.0:80", state="resting"),
    "another service": entry(address="10.0.0.0:80", service="unheard"),
    "another address": entry(address="10.0.0.1:80"),
}


@pytest.mark.parametrize("value", OVERWRITTEN.values(), ids=OVERWRITTEN)
def test_an_overwritten_runner_entry_moves_no_task_at_once(value: bytes) -> None:
    world = with_routes(small_world())
    world.lasting_jobs = {"b1"}
    world.instances["entry-0"].submit("b1", LASTING, LASTING, LASTING)
    world.run(1.0)
    runner = next(
        candidate for candidate in world.runners.values() if candidate.name == "10.0.0.0:80"
    )
    assert runner.tasks
    world.store.entries.put(runner.id, value)
    world.run(1.5)
    world.store.entries.put(runner.id, b"ready")
    world.run(5.0)
    assert all(len(starts) == 1 for starts in world.starts.values())
    assert world.violations == []


def test_a_known_runner_whose_entry_stays_unreadable_counts_as_leaving() -> None:
    world = with_routes(small_world())
    world.lasting_jobs = {"b1"}
    world.instances["entry-0"].submit("b1", LASTING, LASTING, LASTING)
    world.run(1.0)
    runner = next(candidate for candidate in world.runners.values() if candidate.tasks)
    world.store.entries.put(runner.id, b"{")
    world.run(6.0)
    assert not runner.tasks
    assert sum(len(candidate.tasks) for candidate in world.runners.values()) == 3 * LASTING.count
    assert world.violations == []


def test_an_entry_is_decoded_once_for_each_offset() -> None:
    world = with_routes(small_world())
    world.store.entries.put(OTHER, b"{")
    world.run(1.0)
    known = next(iter(world.runners))
    before = world.decoded.count(known), world.decoded.count(OTHER)
    for number in range(20):
        world.store.entries.put(f"i-more-{number}", entry())
        world.run(0.4)
    assert (world.decoded.count(known), world.decoded.count(OTHER)) == before
    assert len(lines(world, "entry-unreadable")) == 1


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


# Answers of the store


def _append(result: Any) -> Appended:
    results: list[Appended] = []
    StoreLog(RecordingHttp(result), STORE, "jobs").append(
        Append([KeyedRecord("k", b"v")]), results.append
    )
    return results[0]


@pytest.mark.parametrize(
    "result",
    [
        answer(409, {"reason": "unheard"}),
        answer(409, b"\xff"),
        answer(409, {"reason": 3}),
        answer(200, b"<html>"),
        answer(200, {"offset": "first"}),
    ],
)
def test_an_append_with_an_unreadable_answer_has_an_unknown_outcome(result: Any) -> None:
    assert _append(result).outcome is AppendOutcome.UNKNOWN


def _newest(body: Any) -> NewestPage:
    results: list[NewestPage] = []
    StoreLog(RecordingHttp(answer(200, body)), STORE, "servers").newest("", results.append)
    return results[0]


@pytest.mark.parametrize(
    "item",
    [
        {"key": None, "value": "b25l", "offset": 5},
        {"key": "b", "value": "not base64!", "offset": 5},
        {"key": "b", "value": "b25l", "offset": "five"},
        {"value": "b25l", "offset": 5},
        "an item",
        None,
    ],
)
def test_an_item_that_cannot_be_read_does_not_lose_its_page(item: Any) -> None:
    first = {"key": "a", "value": "b25l", "offset": 4}
    last = {"key": "c", "value": "b25l", "offset": 6}
    page = _newest({"items": [first, item, last], "more": True, "end": 7})
    assert page.ok
    assert [record.key for record in page.records] == ["a", "c"]
    assert page.more


@pytest.mark.parametrize("body", [b"\xff", b"[]", {"items": 3}, {"items": [], "end": "x"}], ids=str)
def test_a_page_that_cannot_be_read_is_asked_for_again(body: Any) -> None:
    page = _newest(body)
    assert not page.ok
    assert page.detail


def _read(framed: bytes) -> Records:
    results: list[Records] = []
    body = (20).to_bytes(8, "big") + (3).to_bytes(8, "big") + framed
    StoreLog(RecordingHttp(answer(200, body)), STORE, "servers").read(10, 0, results.append)
    return results[0]


def frame(raw: bytes) -> bytes:
    return len(raw).to_bytes(4, "big") + raw


@pytest.mark.parametrize(
    "raw", [b"\x02\xff\xfevalue", b"", b"\x09ab", b"\x00value"], ids=["no text", "", "cut", "none"]
)
def test_a_record_under_a_key_that_is_no_text_keeps_its_offset(raw: bytes) -> None:
    read_result = _read(frame(b"\x01aone") + frame(raw) + frame(b"\x01btwo"))
    assert [record.offset for record in read_result.records] == [10, 11, 12]
    assert read_result.records[0] == KeyedRecord("a", b"one", 10)
    assert read_result.records[2] == KeyedRecord("b", b"two", 12)
    assert read_result.records[1].key not in ("a", "b", "ab")


def test_a_truncated_record_is_ignored() -> None:
    read_result = _read(frame(b"\x01aone") + frame(b"\x01btwo")[:-1])
    assert read_result.records == (KeyedRecord("a", b"one", 10),)


# Answers of runners

TARGET = Target(RunnerId("i-1"), Address("10.0.0.1:80"), 4)
TASK = TaskKey(JobId("ab"), 0, 1, 2)


def _poll(body: Any) -> PollResult:
    results: list[PollResult] = []
    PlatformRunners(RecordingHttp(answer(200, body))).poll(
        Poll(TARGET, 57, 486000, 1000), results.append
    )
    assert len(results) == 1
    return results[0]


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"[]",
        {},
        {"clockMs": "late"},
        {"clockMs": 1e300},
        {"clockMs": -5},
        {"clockMs": 1, "running": 3},
        {"clockMs": 1, "ended": {"a": 1}},
    ],
    ids=str,
)
def test_a_runner_whose_report_cannot_be_read_counts_as_silent(body: Any) -> None:
    poll_result = _poll(body)
    assert poll_result.result is OrderResult.UNKNOWN
    assert poll_result.report is None


@pytest.mark.parametrize(
    "row",
    [
        ["no-task", 1, "", 3],
        ["ab.0.x.1", 1, "", 3],
        ["ab.0.1.1", "1", "", 3],
        ["ab.0.1.1"],
        7,
        None,
    ],
)
def test_a_running_row_that_cannot_be_read_does_not_lose_the_others(row: Any) -> None:
    rows = [["ab.0.1.16", 2, "", 41], row, ["ab.0.1.17", 2, "00bb", 41, 12.5]]
    poll_result = _poll({"clockMs": 5, "running": rows})
    assert poll_result.report is not None
    assert [run.task.number for run in poll_result.report.running] == [16, 17]


@pytest.mark.parametrize(
    "row",
    [
        [59, "ab.0.1.9", 1, "vanished", ""],
        [59, "no-task", 1, "done", ""],
        [59, "ab.0.1.9", None, "done", ""],
        [59],
        ["x", "ab.0.1.9", 1, "done", ""],
        [10**30, "ab.0.1.9", 1, "done", ""],
        None,
    ],
)
def test_an_ended_row_that_cannot_be_read_does_not_lose_the_others(row: Any) -> None:
    rows = [[58, "ab.0.1.8", 1, "done", ""], row, [60, "ab.0.1.10", 1, "failed", ""]]
    poll_result = _poll({"clockMs": 5, "ended": rows})
    assert poll_result.report is not None
    assert [(end.number, end.how) for end in poll_result.report.ended] == [
        (58, EndKind.DONE),
        (60, EndKind.FAILED),
    ]


def test_an_end_that_cannot_be_read_is_forgotten_by_its_runner_like_any_other() -> None:
    """Otherwise each poll returns it again, so that no long poll ever waits."""
    world = small_world(runners=1)
    runner = next(iter(world.runners.values()))
    hang(world)
    world.instances["entry-0"].submit("a1", QUICK)
    world.run(1.0)
    asked: list[int] = []
    poll = runner.poll

    def with_unreadable_end(order: Poll) -> PollResult:
        asked.append(order.seen)
        poll_result = poll(order)
        if order.seen >= 40 or poll_result.report is None:
            return poll_result
        return PollResult(OrderResult.DONE, poll_result.report._replace(unreadable_ends=(40,)))

    runner.poll = with_unreadable_end  # type: ignore[method-assign]
    world.run(4.0)
    assert asked[-1] == 40


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (answer(200, b"\xff"), OrderResult.DONE),
        (answer(200, {"clockMs": "late"}), OrderResult.DONE),
        (answer(409, b"\xff"), OrderResult.REJECTED),
        (answer(409, {"reason": ["room"]}), OrderResult.REJECTED),
    ],
)
def test_an_order_whose_answer_cannot_be_read_goes_by_its_status(
    result: Any, expected: OrderResult
) -> None:
    results: list[Any] = []
    PlatformRunners(RecordingHttp(result)).start(
        Start(TARGET, TASK, 3, "text", "", 900), results.append
    )
    PlatformRunners(RecordingHttp(result)).stop(Stop(TARGET, TASK, 3), results.append)
    assert [order_result.result for order_result in results] == [expected, expected]


def test_a_runners_entry_as_it_is_written_is_read() -> None:
    assert decode_runner_entry(OTHER, entry()).room.millicores == 8000
    assert decode_runner_entry(OTHER, entry(state="draining")).leaving

"""The answer to a client whose queue is missing from the configuration that was read."""

import json
from collections.abc import Callable
from typing import Any

from spoolcrank._web import HttpReply, HttpRequest
from spoolcrank.errors import ErrorKind
from spoolcrank.platform.clients import ClientApi
from spoolcrank.platform.documents import decode_configuration
from spoolcrank.prometheus_metrics import PrometheusMetrics
from spoolcrank.routes import RouteTable
from tests.fleet_world import World, small_world

Done = Callable[[ErrorKind | None], None]
AGE_S = 1.7


class _Lines:
    def log(self, name: str, important: bool = False, **fields: Any) -> None:
        """Ignore the line."""


def _table(version: int, *prefixes: str) -> RouteTable:
    routes = [
        {
            "name": prefix,
            "host": "a",
            "pathPrefix": prefix,
            "service": "s",
            "maxAttempts": 4,
            "sloMs": 1,
        }
        for prefix in prefixes
    ]
    return decode_configuration(json.dumps({"version": version, "routes": routes}).encode())


def _ask(confirm: Callable[[Done], None], tables: list[RouteTable]) -> list[HttpReply]:
    """Request the count of a queue that exists only in a second configuration."""
    world = small_world(instances=1, runners=1)
    intake = world.instances["entry-0"].intake
    lines: Any = _Lines()
    api = ClientApi(intake, lambda: tables[0], confirm, lines, PrometheusMetrics())
    replies: list[HttpReply] = []
    api.answer(HttpRequest("GET", "/new/", {}, {"host": "a"}, b"", ""), replies.append)
    return replies


def test_a_possibly_outdated_configuration_denies_no_queue() -> None:
    """An instance answered 404 from a configuration that it had last read nine seconds ago."""
    (answer,) = _ask(lambda done: done(ErrorKind.LOG_UNAVAILABLE), [_table(63, "/old/")])
    assert answer.status == 503
    assert "Retry-After" in answer.headers


def test_a_queue_that_certainly_does_not_exist_is_denied_at_once() -> None:
    (answer,) = _ask(lambda done: done(None), [_table(63, "/old/")])
    assert answer.status == 404


def test_a_queue_is_found_in_a_configuration_that_is_read_just_then() -> None:
    tables = [_table(63, "/old/")]

    def confirm(done: Done) -> None:
        tables[0] = _table(86, "/old/", "/new/")
        done(None)

    (answer,) = _ask(confirm, tables)
    assert answer.status == 200


def _confirmed(world: World) -> list[bool]:
    results: list[bool] = []
    world.instances["entry-1"].follower.confirm(AGE_S, results.append)
    return results


def test_a_copy_is_confirmed_by_its_age_by_one_more_read_or_not_at_all() -> None:
    world = small_world(instances=3)
    assert _confirmed(world) == [True]
    follower = world.instances["entry-1"].follower
    follower.copy.read_at = world.now - 2 * AGE_S
    results = _confirmed(world)
    assert results == []
    world.run(0.1)
    assert results == [True]
    world.store.refused_instances.add("entry-1")
    world.run(AGE_S + 2.0)
    assert _confirmed(world) == [False]

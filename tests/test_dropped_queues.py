"""Queues that a newer configuration has dropped or moved, at an instance that has not read it."""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.job_intake import MAX_ANSWER_S
from spoolcrank.keyed_log import job_key
from spoolcrank.log_follower import READ_WAIT_MS, RETRY_DELAY_S
from spoolcrank.platform.daemon import MAX_CONFIGURATION_AGE_S
from spoolcrank.workflow import decode_job
from tests.queue_clients import QueueClients, ReadFault, queue_clients

LOST = [ReadFault.REFUSED, ReadFault.SILENT]
LONG_S = 6.0
"""Time for which the reads of the operator's log fail, seconds."""

SHORT_S = 0.05
"""Time within which a read that needs not wait is answered, seconds."""


def _drop_unread(fault: ReadFault) -> QueueClients:
    """Return the clients of an instance that has not read that the queue /old/ was dropped."""
    clients = queue_clients("/old/", "/kept/")
    assert clients.answer("POST", "/old/aa").status == 200
    _lose_reads(clients, fault)
    clients.publish(2, "/kept/")
    clients.world.run(LONG_S)
    return clients


def _lose_reads(clients: QueueClients, fault: ReadFault) -> None:
    clients.log.fault = fault
    clients.world.run(READ_WAIT_MS / 1000 + SHORT_S)


def _run_until_old(clients: QueueClients) -> None:
    """Run until the configuration is too old, while the store still counts as answering."""
    clients.world.run_until(lambda: not clients.configuration.is_fresh(MAX_CONFIGURATION_AGE_S))
    assert clients.configuration.contact


@pytest.mark.parametrize("fault", LOST)
@pytest.mark.parametrize("path", ["/old/", "/kept/"])
def test_no_count_is_told_from_an_old_configuration(fault: ReadFault, path: str) -> None:
    """An instance that had lost the operator's log told the count of a dropped queue."""
    clients = _drop_unread(fault)
    answer = clients.answer("GET", path)
    assert answer.status == 503
    assert "Retry-After" in answer.headers


@pytest.mark.parametrize("fault", LOST)
def test_no_job_is_accepted_by_an_old_configuration(fault: ReadFault) -> None:
    """An instance whose appends were served accepted jobs of a dropped queue."""
    clients = _drop_unread(fault)
    answer = clients.answer("POST", "/old/bb")
    assert answer.status == 503
    assert "Retry-After" in answer.headers
    assert answer.headers["Spoolcrank-Outcome"] == "not-run"
    clients.world.run(MAX_ANSWER_S)
    stored = {record.key for record in clients.world.store.jobs.records}
    assert job_key(JobId("aa")) in stored
    assert job_key(JobId("bb")) not in stored


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/old/"), ("POST", "/old/bb"), ("GET", "/old/aa"), ("DELETE", "/old/aa")],
)
def test_a_dropped_queue_is_denied_once_one_more_read_shows_it(method: str, path: str) -> None:
    """The waiting read hangs on a connection that went silent; a new read is answered."""
    clients = queue_clients("/old/", "/kept/")
    assert clients.answer("POST", "/old/aa").status == 200
    _lose_reads(clients, ReadFault.WAITING_READS_SILENT)
    clients.publish(2, "/kept/")
    _run_until_old(clients)
    assert clients.answer(method, path).status == 404


def test_a_path_below_a_queue_is_not_called_wrong_by_an_old_configuration() -> None:
    """A new queue below the prefix of another one looked like a wrong id, which is final."""
    clients = queue_clients("/old/")
    clients.log.fault = ReadFault.REFUSED
    clients.publish(2, "/old/", "/old/new/")
    clients.world.run(LONG_S)
    assert clients.answer("POST", "/old/new/ab").status == 503
    clients.log.fault = ReadFault.NONE
    clients.world.run(1.0)
    assert clients.answer("POST", "/old/new/ab").status == 200


@pytest.mark.parametrize("fault", LOST)
def test_an_accepted_job_is_answered_whatever_the_configuration(fault: ReadFault) -> None:
    """A zone that is cut off goes on: the job exists even if its queue does not any more."""
    clients = _drop_unread(fault)
    assert clients.answer("GET", "/old/aa").status == 200
    assert clients.answer("POST", "/old/aa").status == 200
    assert clients.answer("DELETE", "/old/aa").status == 200


def test_a_job_of_a_moved_queue_is_accepted_for_the_new_service() -> None:
    clients = queue_clients("/old/")
    _lose_reads(clients, ReadFault.WAITING_READS_SILENT)
    clients.publish(2, "/old/", service="other")
    _run_until_old(clients)
    assert clients.answer("POST", "/old/ab").status == 200
    records = clients.world.store.jobs.records
    (stored,) = [record for record in records if record.key == job_key(JobId("ab"))]
    assert decode_job(stored.value).service == "other"


def test_a_job_that_was_refused_while_the_configuration_was_read_is_not_stored() -> None:
    """Its client was told that it has not run, so it must never run."""
    clients = queue_clients("/old/")
    _lose_reads(clients, ReadFault.WAITING_READS_SILENT)
    _run_until_old(clients)
    answers = clients.ask("POST", "/old/ab")
    assert answers == []
    clients.give_up()
    assert [answer.status for answer in answers] == [503]
    clients.world.run(MAX_ANSWER_S)
    assert job_key(JobId("ab")) not in {record.key for record in clients.world.store.jobs.records}


@pytest.mark.parametrize("lost_s", [2.0 + 0.1 * step for step in range(8)])
def test_jobs_are_accepted_as_soon_as_the_operators_log_answers_again(lost_s: float) -> None:
    """A read that waited for a record left the store silent, as it seemed, for 0.7 s more."""
    clients = queue_clients("/old/")
    clients.log.fault = ReadFault.REFUSED
    clients.world.run(lost_s)
    assert clients.answer("POST", "/old/aa").status == 503
    clients.log.fault = ReadFault.NONE
    clients.world.run(RETRY_DELAY_S + SHORT_S)
    assert clients.answer("POST", "/old/aa").status == 200


REQUEST_INTERVAL_S = 0.01
WATCHED_S = 8.0


def _reads(asked: bool, published_at_s: float | None) -> list[int]:
    """Return the waits of the reads of the operator's log in `WATCHED_S`, beside requests."""
    clients = queue_clients("/old/")
    clients.log.reads.clear()
    if published_at_s is not None:
        clients.world.at(published_at_s, lambda: clients.publish(2, "/old/"))
    for number in range(round(WATCHED_S / REQUEST_INTERVAL_S)):
        if asked:
            answers = clients.ask("POST" if number % 2 else "GET", f"/old/{'ab' * (number % 2)}")
            assert answers or number % 2
        clients.world.run(REQUEST_INTERVAL_S)
    return clients.log.reads


def test_requests_cost_no_reads_of_the_operators_log_in_normal_operation() -> None:
    assert _reads(asked=True, published_at_s=None) == _reads(asked=False, published_at_s=None)


@pytest.mark.parametrize("published_at_s", [0.1 * step for step in range(1, 15)])
def test_a_new_configuration_costs_no_further_reads(published_at_s: float) -> None:
    asked = _reads(asked=True, published_at_s=published_at_s)
    assert asked == _reads(asked=False, published_at_s=published_at_s)


def test_a_configuration_that_ends_a_read_in_its_last_moment_costs_at_most_one_more() -> None:
    """The copy is as old as allowed then: two waits and the pause after records."""
    asked = _reads(asked=True, published_at_s=2.22)
    assert len(asked) <= 1 + len(_reads(asked=False, published_at_s=2.22))

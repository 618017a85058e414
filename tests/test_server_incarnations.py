"""Test that backend servers refuse late commands that were meant for an earlier incarnation."""

from typing import get_args

import pytest

from spoolcrank._standin_worker import WorkerModel
from spoolcrank.ids import Epoch, Incarnation, InstanceId, TaskId
from spoolcrank.jobs import JobClass, Size, TaskClass
from spoolcrank.owned_server import OwnedServer
from spoolcrank.policy import Policy
from spoolcrank.resources import Resources
from spoolcrank.server_commands import fence
from spoolcrank.worker import Adopt, Command, Refused, Renew, Report, Start

OWNER = Incarnation("entry-1-a")
EARLIER, LATER = Incarnation("server-1-a"), Incarnation("server-1-b")
CAPACITY = Resources(8.0, 8000.0, 0)
TASK = TaskId("job-1.0")
NOW = 100.0
FIELDS = {
    "task": TASK,
    "attempt": 1,
    "size": Size(),
    "job_class": JobClass.BATCH,
    "task_class": TaskClass("batch"),
    "lease_s": 10.0,
    "share": 0.5,
}
"""Values for the fields of all commands; each takes those that it has."""

COMMANDS: tuple[type[Command], ...] = get_args(Command)


def _adopted(worker: WorkerModel) -> OwnedServer:
    """Return a server as its owner knows it after the first report."""
    owned = OwnedServer(InstanceId("server-1"), OWNER, Epoch(1), NOW)
    report = worker.execute(Adopt(owner=OWNER, epoch=owned.epoch, seq=owned.next_seq()), NOW)
    assert isinstance(report, Report)
    owned.report, owned.contacted_at = report, NOW
    return owned


def _command(kind: type[Command], owned: OwnedServer) -> Command:
    fields = {name: value for name, value in FIELDS.items() if name in kind.model_fields}
    return kind(**fence(owned, Policy(), NOW), **fields)


@pytest.mark.parametrize("kind", [kind for kind in COMMANDS if kind is not Adopt])
def test_a_command_to_an_earlier_incarnation_is_refused(kind: type[Command]) -> None:
    late = _command(kind, _adopted(WorkerModel(EARLIER, CAPACITY)))
    restarted = WorkerModel(LATER, CAPACITY)
    answer = restarted.execute(late, NOW)
    assert isinstance(answer, Refused)
    assert answer.reason == "meant for another incarnation"
    assert restarted.running == {}
    assert restarted.owner != OWNER


@pytest.mark.parametrize("kind", [kind for kind in COMMANDS if kind is not Adopt])
def test_the_same_command_is_carried_out_by_the_incarnation_meant(kind: type[Command]) -> None:
    worker = WorkerModel(EARLIER, CAPACITY)
    answer = worker.execute(_command(kind, _adopted(worker)), NOW)
    assert isinstance(answer, Report)
    assert (TASK in worker.running) is (kind is Start)


def test_the_only_command_without_an_incarnation_starts_nothing() -> None:
    restarted = WorkerModel(LATER, CAPACITY)
    _adopted(restarted)
    assert restarted.running == {}
    assert not set(Adopt.model_fields) - set(Renew.model_fields)

"""Ends that a backend server reports to an owner whose ledger is behind, or to a later owner.

They guard against a server that forgets an end before the log has it, and against ends that no
owner records.
"""

from collections.abc import Callable

import pytest

from spoolcrank import servers
from spoolcrank.ids import Incarnation, InstanceId, TaskId
from spoolcrank.jobs import TaskState
from spoolcrank.ledger import Ledger, Task
from spoolcrank.owned_server import Append, LogStatus, OwnedServer, Phase, Send
from spoolcrank.policy import DEFAULT
from spoolcrank.records import Ended
from spoolcrank.worker import AttemptRef, EndedTask, Renew, Report
from tests.world import OWNERS, World

TASK = TaskId("job-1.0")
RUN_S = 4.0
ONCE = AttemptRef(task=TASK, attempt=1)


def _task(world: World) -> Task:
    return next(iter(world.owners.values())).core.ledger.tasks[TASK]


def _started(world: World) -> tuple[str, str]:
    """Start a task that may not be repeated; return its server and that server's owner."""
    world.submit(1, RUN_S, repeatable=False)
    world.advance(1.5)
    server = _task(world).server
    assert server is not None
    owner = next(name for name in OWNERS if server in world.owners[name].core.owned)
    return server, owner


def _advance_until(world: World, condition: Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        world.advance(0.25)
    raise AssertionError("not within 50 s")


def _has_pending_end(world: World, name: str) -> bool:
    return any(isinstance(envelope.record, Ended) for envelope in world.owners[name].outbox)


def _check_finished_once(world: World) -> None:
    world.advance(15.0)
    assert _task(world).state is TaskState.FINISHED
    assert not any(worker.ended for worker in world.workers.values())
    assert world.breaches() == []


def test_an_end_is_acknowledged_only_once_the_ledger_has_it() -> None:
    """The ledger of the owner lacks the attempt, has it running, has its end, or lacks the job."""
    world = World()
    _started(world)
    ledger = next(iter(world.owners.values())).core.ledger
    running = ledger.tasks[TASK].model_copy()
    assert running.server is not None
    end = EndedTask(task=TASK, attempt=1, how="finished")
    owned = OwnedServer(running.server, Incarnation("me"), running.epoch, world.now)
    owned.phase, owned.report = Phase.READY, _report_of(owned, end)
    log_status = LogStatus(True, world.now)

    ledger.tasks[TASK] = running.model_copy(update={"state": TaskState.PENDING, "attempt": 0})
    assert servers.reconcile(owned, ledger, log_status, DEFAULT, world.now) == []
    assert _acknowledged(owned, ledger, world) == []

    ledger.tasks[TASK] = running
    (action,) = servers.reconcile(owned, ledger, log_status, DEFAULT, world.now)
    assert isinstance(action, Append) and isinstance(action.record, Ended)
    assert _acknowledged(owned, ledger, world) == []

    ledger.tasks[TASK] = running.model_copy(update={"state": TaskState.FINISHED})
    assert _acknowledged(owned, ledger, world) == [ONCE]

    assert _acknowledged(owned, Ledger(), world) == []


def _report_of(owned: OwnedServer, end: EndedTask) -> Report:
    return Report(
        incarnation=Incarnation("server"), owner=owned.me, epoch=owned.epoch, clock=1.0, ended=[end]
    )


def _acknowledged(owned: OwnedServer, ledger: Ledger, world: World) -> list[AttemptRef]:
    owned.next_poll_at = float("-inf")
    (action,) = servers.poll(owned, ledger, DEFAULT, world.now)
    assert isinstance(action, Send) and isinstance(action.command, Renew)
    return action.command.acks


def _lose_the_record(world: World) -> None:
    _, owner = _started(world)
    _advance_until(world, lambda: _has_pending_end(world, owner))
    world.owners[owner].outbox.clear()


def test_an_end_whose_record_is_lost_is_recorded_again() -> None:
    world = World()
    _lose_the_record(world)
    _check_finished_once(world)


def test_an_acknowledgement_before_the_record_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the check of the ledger the server forgets an end whose record is lost."""
    monkeypatch.setattr(servers, "is_settled", lambda ledger, ended, owned: True)
    world = World()
    _lose_the_record(world)
    with pytest.raises(AssertionError):
        _check_finished_once(world)


def test_an_end_recorded_under_an_epoch_that_is_over_is_recorded_by_the_next_owner() -> None:
    """The record of the old owner reaches the log after the claim of the next one, and is void."""
    world = World()
    server, owner = _started(world)
    _advance_until(world, lambda: _has_pending_end(world, owner))
    late = list(world.owners[owner].outbox)
    world.crash(owner)
    heirs = [name for name in OWNERS if name != owner]
    _advance_until(
        world, lambda: any(InstanceId(server) in world.owners[name].core.owned for name in heirs)
    )
    (heir,) = [name for name in heirs if InstanceId(server) in world.owners[name].core.owned]
    assert _task(world).state is TaskState.RUNNING
    world.log += late
    _check_finished_once(world)
    ends = [env for env in world.log if isinstance(env.record, Ended)]
    assert {env.writer for env in ends} > {late[0].writer}
    assert world.owners[heir].core.ledger.void >= 1


def test_an_end_reported_to_an_interim_owner_is_recorded_once_the_log_is_back() -> None:
    """The log is down as the owner stops acting, so that a peer adopts the server without it."""
    world = World()
    server, owner = _started(world)
    world.log_up = False
    world.owners[owner].paused = True
    world.advance(RUN_S)
    heirs = [name for name in OWNERS if name != owner]
    assert any(InstanceId(server) in world.owners[name].core.owned for name in heirs)
    assert [end.how for end in world.workers[server].ended.values()] == ["finished"]
    world.heal()
    _check_finished_once(world)

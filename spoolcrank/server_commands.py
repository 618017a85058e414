"""Build the commands of an owner to one of its backend servers."""

from typing import TypedDict

from spoolcrank.ids import Epoch, Incarnation, TaskId
from spoolcrank.ledger import Ledger, Task
from spoolcrank.owned_server import OwnedServer, Send
from spoolcrank.policy import Policy
from spoolcrank.worker import Adopt, Evict, Start, Stop, Throttle


class FenceFields(TypedDict):
    """The fields that every command but `Adopt` begins with."""

    owner: Incarnation
    epoch: Epoch
    seq: int
    incarnation: Incarnation
    expires: float


def fence(owned: OwnedServer, policy: Policy, now: float) -> FenceFields:
    """Return what tells a worker who commands, and until when the command holds."""
    return FenceFields(
        owner=owned.me,
        epoch=owned.epoch,
        seq=owned.next_seq(),
        incarnation=owned.incarnation,
        expires=owned.expiry(policy, now),
    )


def adopt(owned: OwnedServer) -> Send:
    """Ask a server to obey us and to list everything."""
    return Send(owned.server, Adopt(owner=owned.me, epoch=owned.epoch, seq=owned.next_seq()))


def stop(owned: OwnedServer, task: TaskId, attempt: int, policy: Policy, now: float) -> Send:
    """Stop an attempt without a checkpoint."""
    command = Stop(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
    )
    return Send(owned.server, command)


def start(owned: OwnedServer, ledger: Ledger, task: Task, policy: Policy, now: float) -> Send:
    """Start the attempt that the log binds to a server."""
    spec = ledger.spec(task)
    owned.starts[task.id] = now
    command = Start(
        **fence(owned, policy, now),
        task=task.id,
        attempt=task.attempt,
        size=task.size,
        job_class=spec.job_class,
        task_class=spec.task_class,
        lease_s=policy.leases.lease_s,
        payload=spec.payload,
        checkpoint=task.checkpoint,
    )
    return Send(owned.server, command)


def evict(owned: OwnedServer, task: TaskId, attempt: int, policy: Policy, now: float) -> Send:
    """Checkpoint and stop an attempt."""
    command = Evict(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
    )
    return Send(owned.server, command)


def throttle(
    owned: OwnedServer, task: TaskId, attempt: int, share: float, policy: Policy, now: float
) -> Send:
    """Let an attempt run at a share of its speed."""
    command = Throttle(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
        share=share,
    )
    return Send(owned.server, command)

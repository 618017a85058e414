"""Build the commands that an owner sends to one of its backend servers."""

from typing import TypedDict

from spoolcrank.ids import Epoch, Incarnation, TaskId
from spoolcrank.ledger import Ledger, Task
from spoolcrank.owned_server import OwnedServer, Send
from spoolcrank.policy import Policy
from spoolcrank.worker import Adopt, Evict, Start, Stop, Throttle


class FenceFields(TypedDict):
    """The fields that every command except `Adopt` begins with."""

    owner: Incarnation
    epoch: Epoch
    seq: int
    incarnation: Incarnation
    expires: float


def fence(owned: OwnedServer, policy: Policy, now: float) -> FenceFields:
    """Return the fields that identify the commanding owner and limit a command's validity."""
    return FenceFields(
        owner=owned.me,
        epoch=owned.epoch,
        seq=owned.next_seq(),
        incarnation=owned.incarnation,
        expires=owned.expiry(policy, now),
    )


def adopt(owned: OwnedServer) -> Send:
    """Build the command that asks a server to obey us and to report everything it runs."""
    return Send(owned.server, Adopt(owner=owned.me, epoch=owned.epoch, seq=owned.next_seq()))


def stop(owned: OwnedServer, task: TaskId, attempt: int, policy: Policy, now: float) -> Send:
    """Build the command that stops an attempt without a checkpoint."""
    command = Stop(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
    )
    return Send(owned.server, command)


def start(owned: OwnedServer, ledger: Ledger, task: Task, policy: Policy, now: float) -> Send:
    """Build the command that starts the attempt bound to a server, and record when it was sent."""
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
    """Build the command that checkpoints and stops an attempt."""
    command = Evict(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
    )
    return Send(owned.server, command)


def throttle(
    owned: OwnedServer, task: TaskId, attempt: int, share: float, policy: Policy, now: float
) -> Send:
    """Build the command that limits an attempt to a share of its full speed."""
    command = Throttle(
        **fence(owned, policy, now),
        task=task,
        attempt=attempt,
        share=share,
    )
    return Send(owned.server, command)

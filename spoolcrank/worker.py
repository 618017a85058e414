"""Define the messages between an owner and a worker, and their HTTP paths.

Every command carries the owner's epoch, the worker incarnation that the owner knows and a
sequence number. A worker refuses a command with a lower epoch than it has accepted, a command
for an earlier incarnation of itself, a command that arrives after a later one, and a command
that has expired in transit: a lease must not begin after its owner has given it up.
"""

from typing import Any

from pydantic import BaseModel, ConfigDict, TypeAdapter

from spoolcrank.ids import Epoch, Incarnation, TaskClass, TaskId
from spoolcrank.jobs import JobClass, Size

PATH_ADOPT = "/worker/adopt"
PATH_RENEW = "/worker/renew"
PATH_START = "/worker/start"
PATH_EVICT = "/worker/evict"
PATH_STOP = "/worker/stop"
PATH_THROTTLE = "/worker/throttle"


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class RunningTask(_Message):
    """An attempt that holds a lease on the worker."""

    task: TaskId
    attempt: int
    size: Size
    task_class: TaskClass
    job_class: JobClass
    throttle: float = 1.0
    ran_s: float = 0.0


class EndedTask(_Message):
    """An attempt that has ended and that the owner has not acknowledged yet."""

    task: TaskId
    attempt: int
    how: str
    checkpoint: dict[str, Any] | None = None
    reason: str = ""


class Usage(_Message):
    """The measured resource use of a task, reported with a delay of some seconds."""

    task: TaskId
    task_class: TaskClass
    processors: float
    memory_mb: float


class Report(_Message):
    """The complete state of a worker: its attempts, their resource use and its current owner."""

    incarnation: Incarnation
    owner: Incarnation
    epoch: Epoch
    clock: float
    running: list[RunningTask] = []
    ended: list[EndedTask] = []
    usage: list[Usage] = []


class Fence(_Message):
    """The fencing data of a command: its owner, epoch, sequence number and addressed incarnation.

    An empty `incarnation` means any; only `adopt` may leave it empty. `seq` counts the
    owner's commands to this worker under this epoch. If `expires` is given, the worker must not
    carry the command out after that time on its own clock, which its reports contain.
    """

    owner: Incarnation
    epoch: Epoch
    seq: int
    incarnation: Incarnation = Incarnation("")
    expires: float | None = None


class AttemptRef(_Message):
    """A reference to one attempt of one task."""

    task: TaskId
    attempt: int


class Adopt(Fence):
    """Take over the worker and request a full report."""


class Renew(Fence):
    """Renew the leases of `tasks`, acknowledge the ended attempts `acks` and request a report."""

    tasks: list[AttemptRef] = []
    acks: list[AttemptRef] = []
    lease_s: float


class Start(Fence):
    """Start an attempt under a lease."""

    task: TaskId
    attempt: int
    size: Size
    job_class: JobClass
    task_class: TaskClass
    lease_s: float
    payload: dict[str, Any] = {}
    checkpoint: dict[str, Any] | None = None


class Evict(Fence):
    """Checkpoint an attempt and stop it."""

    task: TaskId
    attempt: int


class Stop(Fence):
    """Stop an attempt without a checkpoint."""

    task: TaskId
    attempt: int


class Throttle(Fence):
    """Limit an attempt to a share of its full speed."""

    task: TaskId
    attempt: int
    share: float


Command = Adopt | Renew | Start | Evict | Stop | Throttle

COMMAND_PATHS: dict[type[Command], str] = {
    Adopt: PATH_ADOPT,
    Renew: PATH_RENEW,
    Start: PATH_START,
    Evict: PATH_EVICT,
    Stop: PATH_STOP,
    Throttle: PATH_THROTTLE,
}
ADAPTERS_BY_PATH: dict[str, TypeAdapter[Any]] = {
    path: TypeAdapter(cls) for cls, path in COMMAND_PATHS.items()
}


class Refused(_Message):
    """A worker's refusal, with its incarnation and the epoch and owner that it accepts."""

    incarnation: Incarnation
    owner: Incarnation
    epoch: Epoch
    reason: str

"""Define the records that the system stores in the platform's log.

All records go to one stream, so that claims, starts, results, keys and commands share one
order, and every reader treats a record written by a superseded owner as void.
"""

from typing import Annotated, Any, Literal, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from spoolcrank.errors import ErrorKind, Outcome
from spoolcrank.ids import (
    Caller,
    CommandId,
    Epoch,
    Incarnation,
    InstanceId,
    JobId,
    RequestId,
    ServiceName,
    TaskId,
)
from spoolcrank.jobs import JobSpec, Size
from spoolcrank.lost_tasks import Crash

CONTROL_STREAM = "spoolcrank"
CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "spoolcrank-snapshots"


class _Base(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore", populate_by_name=True)


class JobAccepted(_Base):
    """A caller's job is accepted."""

    kind: Literal["job"] = "job"
    job: JobId
    spec: JobSpec


class JobsCancelled(_Base):
    """An operator or a caller cancels jobs."""

    kind: Literal["cancel"] = "cancel"
    jobs: list[JobId]
    command: CommandId
    by: str = ""


class JobRefused(_Base):
    """A job that fits on no instance, or whose deadline passed while it waited, is refused."""

    kind: Literal["refuse"] = "refuse"
    job: JobId
    reason: str


class Claimed(_Base):
    """An entry instance takes ownership of a backend server."""

    kind: Literal["claim"] = "claim"
    server: InstanceId
    owner: InstanceId
    incarnation: Incarnation
    epoch: Epoch


class Placed(_Base):
    """The owner of a server binds the next attempt of a task to that server."""

    kind: Literal["place"] = "place"
    task: TaskId
    attempt: int
    server: InstanceId
    server_incarnation: Incarnation
    epoch: Epoch
    size: Size


class Ended(_Base):
    """The end of an attempt, as reported by its server or concluded by the server's owner.

    `how` is one of finished, failed, evicted, stopped, lapsed, refused and lost. `crash` is set
    if the attempt was lost because its server crashed.
    """

    kind: Literal["end"] = "end"
    task: TaskId
    attempt: int
    server: InstanceId
    epoch: Epoch
    how: str
    checkpoint: dict[str, Any] | None = None
    reason: str = ""
    crash: Crash | None = None


class KeyTaken(_Base):
    """A request with an idempotency key is about to run on the instance `holder`."""

    kind: Literal["key"] = "key"
    key: str
    request: RequestId
    holder: InstanceId
    incarnation: Incarnation


class KeyDone(_Base):
    """The outcome of a request with an idempotency key."""

    kind: Literal["key-done"] = "key-done"
    key: str
    request: RequestId
    outcome: Outcome
    status: int = 0
    error: ErrorKind | None = None
    content_type: str = ""
    body: str | None = None


class Drained(_Base):
    """An operator takes an instance or a rack out of use, or returns it to use."""

    kind: Literal["drain"] = "drain"
    target: str
    on: bool
    command: CommandId
    by: str = ""


class DeclaredLost(_Base):
    """An operator declares that a server is lost and no longer runs any task."""

    kind: Literal["lost"] = "lost"
    server: InstanceId
    command: CommandId
    by: str = ""


Record = Annotated[
    JobAccepted
    | JobsCancelled
    | JobRefused
    | Claimed
    | Placed
    | Ended
    | KeyTaken
    | KeyDone
    | Drained
    | DeclaredLost,
    Field(discriminator="kind"),
]

AnyRecord = (
    JobAccepted
    | JobsCancelled
    | JobRefused
    | Claimed
    | Placed
    | Ended
    | KeyTaken
    | KeyDone
    | Drained
    | DeclaredLost
)


class Envelope(_Base):
    """A record with its writer's identity and time.

    Attributes:
        writer: the incarnation of the writing process, which changes at every start.
        seq: the writer's record count from 1; readers use it to drop repeated appends.
        at: the time on the writer's clock, in Unix seconds.
        record: the record itself.
    """

    writer: Incarnation
    seq: int
    at: float
    record: Record


class ConfigRecord(_Base):
    """A published configuration; its version is its offset plus one.

    Attributes:
        toml: the complete configuration.
        if_version: the version it is based on; None replaces any version.
    """

    toml: str
    if_version: int | None = None
    command: CommandId = CommandId("")
    by: str = ""


class Entry(NamedTuple):
    """A record as read back from the log, with its offset."""

    offset: int
    envelope: Envelope


_ENVELOPE: TypeAdapter[Envelope] = TypeAdapter(Envelope)


def parse_envelope(value: Any) -> Envelope:
    """Return the envelope of a JSON value.

    Raises:
        pydantic.ValidationError: if the value is not a valid envelope.
    """
    return _ENVELOPE.validate_python(value)


def dump(model: BaseModel) -> dict[str, Any]:
    """Return a record or envelope as plain JSON values, under its field aliases."""
    return model.model_dump(mode="json", by_alias=True, exclude_defaults=False)


def join_key(service: ServiceName, caller: Caller, key: str) -> str:
    """Return an idempotency key qualified by its service and caller."""
    return "\x1f".join((service, caller, key))

"""Define the records that the system keeps on the platform's log.

All of them go on one stream, so that one order covers claims, starts, results, keys and
commands: a record written by a superseded owner is void for every reader alike.
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
    """A caller's job is taken on."""

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
    """A job that fits on no instance is refused."""

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
    """The owner of a server gives a task its next attempt there."""

    kind: Literal["place"] = "place"
    task: TaskId
    attempt: int
    server: InstanceId
    server_incarnation: Incarnation
    epoch: Epoch
    size: Size


class Ended(_Base):
    """An attempt ended, as the server's own list of ended attempts shows.

    `how` is one of finished, failed, evicted, stopped, lapsed, refused and lost. `crash` stands
    where it was lost as its server crashed.
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
    """A request with an idempotency key is about to run at its holder."""

    kind: Literal["key"] = "key"
    key: str
    request: RequestId
    holder: InstanceId
    incarnation: Incarnation


class KeyDone(_Base):
    """What became of a request with an idempotency key."""

    kind: Literal["key-done"] = "key-done"
    key: str
    request: RequestId
    outcome: Outcome
    status: int = 0
    error: ErrorKind | None = None
    content_type: str = ""
    body: str | None = None


class Drained(_Base):
    """An operator takes an instance or a rack out of use, or back into it."""

    kind: Literal["drain"] = "drain"
    target: str
    on: bool
    command: CommandId
    by: str = ""


class DeclaredLost(_Base):
    """An operator states that a server is gone and runs nothing any more."""

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
    """One record with its writer's identity and time.

    Attributes:
        writer: the writing process; a new one each start.
        seq: the writer's own count from 1, by which readers drop repeated appends.
        at: the writer's clock, in Unix seconds.
        record: the record itself.
    """

    writer: Incarnation
    seq: int
    at: float
    record: Record


class ConfigRecord(_Base):
    """One published configuration; its version is its offset plus one.

    Attributes:
        toml: the whole configuration.
        if_version: the version it was made from; None replaces any.
    """

    toml: str
    if_version: int | None = None
    command: CommandId = CommandId("")
    by: str = ""


class Entry(NamedTuple):
    """One record as read back from the log."""

    offset: int
    envelope: Envelope


_ENVELOPE: TypeAdapter[Envelope] = TypeAdapter(Envelope)


def parse_envelope(value: Any) -> Envelope:
    """Return the envelope of a JSON value; raises pydantic.ValidationError."""
    return _ENVELOPE.validate_python(value)


def dump(model: BaseModel) -> dict[str, Any]:
    """Return a record or envelope as plain JSON values, by its outside names."""
    return model.model_dump(mode="json", by_alias=True, exclude_defaults=False)


def join_key(service: ServiceName, caller: Caller, key: str) -> str:
    """Return the key of a request in the scope of its service and caller."""
    return "\x1f".join((service, caller, key))

"""Define the jobs that callers submit and the states of their tasks."""

from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from spoolcrank.errors import ErrorKind, Refusal
from spoolcrank.ids import TaskClass, Team
from spoolcrank.resources import Resources

MAX_TASKS = 2000
MAX_PROCESSORS = 1024
MAX_MEMORY_MB = 16_777_216
MAX_ACCELERATORS = 64
MAX_DEADLINE_S = 31 * 86400
MAX_URGENCY = 9


class JobClass(Enum):
    """How the tasks of a job are treated.

    Service tasks are latency-critical, batch tasks use the remaining capacity, and repeatable
    watcher tasks are restarted whenever they end.
    """

    SERVICE = "service"
    BATCH = "batch"
    WATCHER = "watcher"


class TaskState(Enum):
    """The state of a task."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


ENDED = frozenset(
    {
        TaskState.FINISHED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.REFUSED,
        TaskState.UNKNOWN,
    }
)


class Size(BaseModel):
    """The declared size of one task."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    processors: float = Field(default=1.0, ge=0, le=MAX_PROCESSORS, allow_inf_nan=False)
    memory_mb: float = Field(default=256.0, ge=0, le=MAX_MEMORY_MB, allow_inf_nan=False)
    accelerators: int = Field(default=0, ge=0, le=MAX_ACCELERATORS)

    @property
    def resources(self) -> Resources:
        """Return the size as an amount of resources."""
        return Resources(self.processors, self.memory_mb, self.accelerators)


class JobSpec(BaseModel):
    """The specification of a job as its caller submits it."""

    model_config = ConfigDict(frozen=True, extra="forbid", populate_by_name=True)

    name: str = Field(min_length=1, max_length=200)
    job_class: JobClass = Field(default=JobClass.BATCH, alias="class")
    urgency: int = Field(default=0, ge=0, le=MAX_URGENCY, strict=True)
    tasks: int = Field(default=1, ge=1, le=MAX_TASKS, strict=True)
    size: Size = Size()
    repeatable: bool = Field(default=True, strict=True)
    team: Team = Field(default=Team("default"), min_length=1, max_length=100)
    deadline_s: float | None = Field(default=None, gt=0, le=MAX_DEADLINE_S, allow_inf_nan=False)
    payload: dict[str, Any] = {}

    @property
    def task_class(self) -> TaskClass:
        """Return the class under which resource use and interference are learned."""
        return TaskClass(str(self.payload.get("task_class") or self.name))


def refusal_of(exc: ValidationError, kind: ErrorKind = ErrorKind.BAD_FIELD) -> Refusal:
    """Return a refusal that names every invalid field of a failed validation."""
    problems = [
        (".".join(str(part) for part in error["loc"]) or "body", error["msg"])
        for error in exc.errors()
    ]
    if any(error["type"] == "json_invalid" for error in exc.errors()):
        kind = ErrorKind.BAD_JSON
    detail = "; ".join(f"{name}: {message}" for name, message in problems)
    return Refusal(kind, detail, field=problems[0][0])


def parse_job(raw: bytes) -> Result[JobSpec, Refusal]:
    """Parse a job from JSON, or return a refusal that names the invalid fields."""
    try:
        return Success(JobSpec.model_validate_json(raw))
    except ValidationError as exc:
        return Failure(refusal_of(exc))

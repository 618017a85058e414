"""Define the types of the identifiers that modules share."""

from typing import NewType
from uuid import uuid4

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", str)
AvailabilityZone = NewType("AvailabilityZone", str)
Rack = NewType("Rack", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
TaskClass = NewType("TaskClass", str)
Team = NewType("Team", str)
RequestId = NewType("RequestId", str)
Caller = NewType("Caller", str)
ServiceName = NewType("ServiceName", str)
CommandId = NewType("CommandId", str)
Address = NewType("Address", str)
Epoch = NewType("Epoch", int)
Offset = NewType("Offset", int)
ConfigVersion = NewType("ConfigVersion", int)

NO_EPOCH = Epoch(0)
NO_INCARNATION = Incarnation("")
NO_CONFIG = ConfigVersion(0)
_RANDOM_HEX_DIGITS = 12


def unique(prefix: str) -> str:
    """Return a new random identifier with the given prefix."""
    return f"{prefix}-{uuid4().hex[:_RANDOM_HEX_DIGITS]}"


def task_id(job: JobId, index: int) -> TaskId:
    """Return the id of the task at `index` in the job, counted from zero."""
    return TaskId(f"{job}.{index}")


def job_of(task: TaskId) -> JobId:
    """Return the id of the job that a task belongs to."""
    return JobId(task.rpartition(".")[0])

"""Hold what the log says: jobs, tasks, owners, keys, drains and commands.

Every instance applies the same records in the same order, so every instance holds the
same ledger at the same offset. Nothing in here reads a clock: where age matters, the
writers' times in the records decide.
"""

from collections.abc import Iterator
from typing import Any

from pydantic import BaseModel, Field

from spoolcrank.errors import ErrorKind, Outcome
from spoolcrank.ids import (
    NO_EPOCH,
    CommandId,
    Epoch,
    Incarnation,
    InstanceId,
    JobId,
    RequestId,
    TaskId,
    Team,
)
from spoolcrank.jobs import JobSpec, Size, TaskState
from spoolcrank.lost_tasks import Crash
from spoolcrank.records import (
    KeyDone,
)


class Task(BaseModel):
    """One task and its current attempt."""

    id: TaskId
    job: JobId
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    server: InstanceId | None = None
    server_incarnation: Incarnation = Incarnation("")
    epoch: Epoch = NO_EPOCH
    size: Size = Size()
    checkpoint: dict[str, Any] | None = None
    reason: str = ""
    since: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    evictions: int = 0
    failed_on: list[InstanceId] = []
    crashes: list[Crash] = []


class Job(BaseModel):
    """One job and the ids of its tasks."""

    id: JobId
    spec: JobSpec
    at: float
    tasks: list[TaskId]
    open: int
    cancelled_by: CommandId | None = None
    reason: str = ""


class Claim(BaseModel):
    """Who owns a backend server by the log, from which time by the writer's clock."""

    owner: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    at: float = 0.0


class Key(BaseModel):
    """A request's idempotency key and what became of its first request."""

    request: RequestId
    holder: InstanceId
    incarnation: Incarnation
    at: float
    done: KeyDone | None = None


class Drain(BaseModel):
    """Who took an instance or a rack out of use."""

    command: CommandId
    by: str
    at: float


class Verdict(BaseModel):
    """What a command came to, the same on every instance."""

    ok: bool
    detail: str
    at: float


class Writer(BaseModel):
    """The last record seen of a writer."""

    seq: int
    at: float


class Ledger(BaseModel):
    """The state that the control stream adds up to."""

    offset: int = 0
    latest: float = 0.0
    jobs: dict[JobId, Job] = {}
    tasks: dict[TaskId, Task] = {}
    claims: dict[InstanceId, Claim] = {}
    keys: dict[str, Key] = {}
    drains: dict[str, Drain] = {}
    verdicts: dict[CommandId, Verdict] = {}
    writers: dict[Incarnation, Writer] = {}
    pending: dict[TaskId, None] = Field(default={}, exclude=True)
    by_server: dict[InstanceId, dict[TaskId, None]] = Field(default={}, exclude=True)
    by_team: dict[Team, float] = Field(default={}, exclude=True)
    void: int = 0

    def index(self) -> None:
        """Build the indexes anew, as after a snapshot was read."""
        self.pending.clear()
        self.by_server.clear()
        self.by_team.clear()
        for task in self.tasks.values():
            self._enter(task)

    def placed_at(self, server: InstanceId) -> list[Task]:
        """Return the tasks that the log binds to `server`."""
        return [self.tasks[task] for task in self.by_server.get(server, {})]

    def waiting(self) -> Iterator[Task]:
        """Yield the tasks that wait for a place."""
        return (self.tasks[task] for task in self.pending)

    def epoch(self, server: InstanceId) -> Epoch:
        """Return the epoch of the server's owner by the log."""
        claim = self.claims.get(server)
        return claim.epoch if claim else NO_EPOCH

    def spec(self, task: Task) -> JobSpec:
        """Return the declaration of the task's job."""
        return self.jobs[task.job].spec

    def _enter(self, task: Task) -> None:
        if task.state is TaskState.PENDING:
            self.pending[task.id] = None
        if task.server is not None:
            self.by_server.setdefault(task.server, {})[task.id] = None
            team = self.spec(task).team
            self.by_team[team] = self.by_team.get(team, 0.0) + task.size.processors

    def _leave(self, task: Task) -> None:
        self.pending.pop(task.id, None)
        if task.server is not None:
            self.by_server.get(task.server, {}).pop(task.id, None)
            team = self.spec(task).team
            self.by_team[team] = self.by_team.get(team, 0.0) - task.size.processors


def key_error(key: Key, holder_alive: bool) -> ErrorKind | None:
    """Return the error for a repeated key whose first answer cannot be given, if any."""
    if key.done is None:
        return ErrorKind.KEY_IN_PROGRESS if holder_alive else ErrorKind.KEY_OUTCOME_UNKNOWN
    if key.done.outcome is Outcome.UNKNOWN:
        return ErrorKind.KEY_OUTCOME_UNKNOWN
    if key.done.error is None and key.done.body is None:
        return ErrorKind.KEY_ANSWER_DROPPED
    return None


def job_state(ledger: Ledger, job: Job) -> TaskState:
    """Return the one state that sums up a job's tasks."""
    states = {ledger.tasks[task].state for task in job.tasks}
    for state in (
        TaskState.RUNNING,
        TaskState.PENDING,
        TaskState.UNKNOWN,
        TaskState.FAILED,
        TaskState.REFUSED,
        TaskState.CANCELLED,
    ):
        if state in states:
            return state
    return TaskState.FINISHED


def dump(ledger: Ledger) -> str:
    """Return the ledger as JSON for a snapshot."""
    return ledger.model_dump_json(by_alias=True)


def load(text: str) -> Ledger:
    """Return the ledger of a snapshot; raises pydantic.ValidationError."""
    ledger = Ledger.model_validate_json(text)
    ledger.index()
    return ledger

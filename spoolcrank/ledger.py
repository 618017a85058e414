"""Hold the state that the log describes: jobs, tasks, owners, keys, drains and commands.

Every instance applies the same records in the same order, so every instance has the
same ledger at the same offset. This module never reads a clock: ages are computed from the
writers' timestamps in the records.
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
from spoolcrank.records import KeyDone


class Task(BaseModel):
    """A task and its current attempt."""

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
    """A job and the ids of its tasks; `open` counts the tasks that have not ended."""

    id: JobId
    spec: JobSpec
    at: float
    tasks: list[TaskId]
    open: int
    cancelled_by: CommandId | None = None
    reason: str = ""


class Claim(BaseModel):
    """The owner of a backend server by the log; `at` is the time on the writer's clock."""

    owner: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    at: float = 0.0


class Key(BaseModel):
    """An idempotency key and the outcome of the first request that used it."""

    request: RequestId
    holder: InstanceId
    incarnation: Incarnation
    at: float
    done: KeyDone | None = None


class Drain(BaseModel):
    """The command that took an instance or a rack out of use, and the operator's name."""

    command: CommandId
    by: str
    at: float


class Verdict(BaseModel):
    """The result of a command, which is the same on every instance."""

    ok: bool
    detail: str
    at: float


class Writer(BaseModel):
    """The sequence number and time of the last record applied from a writer."""

    seq: int
    at: float


class Ledger(BaseModel):
    """The state that results from applying the control stream.

    `pending`, `by_server` and `by_team` are indexes over `tasks`; they are left out of snapshots.
    `void` counts the records that had no effect; `latest` is the latest time in a record.
    """

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

    def rebuild_indexes(self) -> None:
        """Rebuild the indexes, which a snapshot does not contain."""
        self.pending.clear()
        self.by_server.clear()
        self.by_team.clear()
        for task in self.tasks.values():
            self._add_to_indexes(task)

    def tasks_on(self, server: InstanceId) -> list[Task]:
        """Return the tasks that are bound to `server` according to the log."""
        return [self.tasks[task] for task in self.by_server.get(server, {})]

    def waiting(self) -> Iterator[Task]:
        """Yield the tasks that wait to be placed on a server."""
        return (self.tasks[task] for task in self.pending)

    def epoch(self, server: InstanceId) -> Epoch:
        """Return the epoch of the server's owner according to the log."""
        claim = self.claims.get(server)
        return claim.epoch if claim else NO_EPOCH

    def spec(self, task: Task) -> JobSpec:
        """Return the specification of the task's job."""
        return self.jobs[task.job].spec

    def _add_to_indexes(self, task: Task) -> None:
        if task.state is TaskState.PENDING:
            self.pending[task.id] = None
        if task.server is not None:
            self.by_server.setdefault(task.server, {})[task.id] = None
            team = self.spec(task).team
            self.by_team[team] = self.by_team.get(team, 0.0) + task.size.processors

    def _remove_from_indexes(self, task: Task) -> None:
        self.pending.pop(task.id, None)
        if task.server is not None:
            self.by_server.get(task.server, {}).pop(task.id, None)
            team = self.spec(task).team
            self.by_team[team] = self.by_team.get(team, 0.0) - task.size.processors


def key_error(key: Key, holder_alive: bool) -> ErrorKind | None:
    """Return the error for a repeated key, or None if the first answer can be returned."""
    if key.done is None:
        return ErrorKind.KEY_IN_PROGRESS if holder_alive else ErrorKind.KEY_OUTCOME_UNKNOWN
    if key.done.outcome is Outcome.UNKNOWN:
        return ErrorKind.KEY_OUTCOME_UNKNOWN
    if key.done.error is None and key.done.body is None:
        return ErrorKind.KEY_ANSWER_DROPPED
    return None


def job_state(ledger: Ledger, job: Job) -> TaskState:
    """Return the state of a job: the first state, in the order below, that any task is in."""
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
    """Return the ledger of a snapshot.

    Raises:
        pydantic.ValidationError: if the text is not a valid snapshot.
    """
    ledger = Ledger.model_validate_json(text)
    ledger.rebuild_indexes()
    return ledger

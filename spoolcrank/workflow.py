"""Define jobs of several steps: the submitted form and the stored form.

Amounts are whole numbers so that sums over an instance are exact: processors in thousandths
of a core, memory in megabytes.
"""

import zlib
from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from spoolcrank.decoding import raises_unreadable
from spoolcrank.ids import JobId, ServiceName

RunnerId = NewType("RunnerId", str)
RouteName = NewType("RouteName", str)
MAX_ROUNDS = 1000


class Demand(NamedTuple):
    """The resources that one task uses on its instance: millicores, megabytes, accelerators."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a workflow: equal tasks that become ready together.

    Attributes:
        count: number of tasks.
        millicores, memory_mb, accelerators: resources of each task.
        estimate_ms: rough estimate of a task's run time.
        after: numbers of the earlier steps that must have finished.
        checkpoints: whether a task can resume from its last checkpoint.
        gang: whether the tasks make progress only while all of them run.
        same_rack: whether the gang is slow when it spans more than one rack.
        label: label that the instance must have, empty for any instance.
        data_rack: rack that holds the input data, where the tasks run faster; empty for any.
        max_per_instance: limit on tasks of the step on one instance, 0 for no limit.
        copies: whether copies of one task may run at the same time.
        lasting: whether the tasks run until the job is cancelled.
        image: name of the program; tasks with the same image behave alike.
        target_ms: limit on the tail latency of a serving task, 0 for none.
        fills: whether the task is a filler: its processors do not count, and it uses those
            that other tasks leave idle.
        may_be_away: limit on tasks of a lasting step that the scheduler may interrupt at the
            same time, -1 if unset.
    """

    count: int
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_instance: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_be_away: int = -1

    @property
    def demand(self) -> Demand:
        """Return the resources that count against the instance's capacity."""
        return Demand(0 if self.fills else self.millicores, self.memory_mb, self.accelerators)


class Workflow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job of several steps in its submitted form.

    Attributes:
        payload: passed to the runners unchanged.
        steps: in the submitted order; `after` of a step names earlier steps only.
        rounds: number of times the steps run; 0 to run them once, immediately.
        first_at_ms: time at which round 0 is due, milliseconds since the Unix epoch.
        interval_ms: time between the due times of two rounds.
    """

    payload: str
    steps: tuple[Step, ...]
    rounds: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0

    def problem(self) -> str:
        """Return why the workflow must be rejected, or an empty string."""
        if not self.steps:
            return "steps: at least one is needed"
        for number, step in enumerate(self.steps):
            if step.count < 1:
                return f"steps.{number}.count: must be at least 1"
            if any(not 0 <= earlier < number for earlier in step.after):
                return f"steps.{number}: may wait for earlier steps only"
        if not 0 <= self.rounds <= MAX_ROUNDS:
            return f"rounds: must be from 0 to {MAX_ROUNDS}"
        return ""


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored record of an accepted job, written before the submission is acknowledged.

    Attributes:
        route: queue to which the job was submitted.
        service: service whose runners were configured for the queue at submission.
        priority: 0 is the highest.
        max_attempts: number of failed runs of one task after which the job fails.
        objective_ms: fixed part of the time within which the job should finish.
        stretch: factor of the job's critical path that is added to the objective.
        workflow: steps to run.
        accepted_ms: time of submission, milliseconds since the Unix epoch; used only to order
            waiting tasks after a takeover.
    """

    route: RouteName
    service: ServiceName
    priority: int
    max_attempts: int
    objective_ms: int
    stretch: float
    workflow: Workflow
    accepted_ms: int = 0


class StepKey(NamedTuple):
    """One step of one round of a job."""

    job: JobId
    round: int
    step: int


class TaskKey(NamedTuple):
    """One task of a job: round, step and the number of the task in its step, all from 0."""

    job: JobId
    round: int
    step: int
    number: int

    @property
    def step_key(self) -> StepKey:
        """Return the key of the step to which the task belongs."""
        return StepKey(self.job, self.round, self.step)


class Phase(Enum):
    """The state of one task."""

    WAITING = 0
    BOUND = 1
    DONE = 2


class JobPhase(Enum):
    """The state of a whole job, as reported to clients."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class CrashEvidence(msgspec.Struct, array_like=True, omit_defaults=True, frozen=True):
    """The stored evidence that a runner crashed, or may have crashed, during a run of a task.

    Attributes:
        runner: incarnation of the runner.
        address: address at which the runner accepted orders; empty if unknown.
        lived_ms: upper limit on the age of the run at the crash; 0 if unknown.
        alone: whether no other task on the runner is likely to have caused the crash.
        proved: whether the incarnation is known to have ended.
        shared: whether other runners failed with it from a common cause, which makes the crash
            almost no evidence against the task.
        run: number of the run; 0 if unknown.
        members: numbers of the gang's tasks that ran on the runner; empty if the task is not of a
            gang, or if they are unknown.
        runners: number of runners on which the run was, all of them for a gang.
        lost: number of those that crashed.
    """

    runner: str
    address: str = ""
    lived_ms: int = 0
    alone: bool = False
    proved: bool = True
    shared: bool = False
    run: int = 0
    members: tuple[int, ...] = ()
    runners: int = 1
    lost: int = 1


class StoredTask(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored state of one task that has left its initial state.

    Attributes:
        index: number of the task in its step.
        phase: a `Phase` value.
        run: number of the newest run, 0 before the first.
        runner: runner to which the task is bound; empty unless bound.
        saved: newest checkpoint.
        failures: number of failed runs.
        crashes: evidence of runner crashes during the newest runs.
    """

    index: int
    phase: int
    run: int = 0
    runner: str = ""
    saved: str = ""
    failures: int = 0
    crashes: tuple[CrashEvidence, ...] = ()


class StoredStep(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored state of one step of one round; `done` means that all tasks are done."""

    round: int
    step: int
    done: bool = False
    tasks: tuple[StoredTask, ...] = ()


MAX_ABANDONED_RUNS = 16
"""Maximum number of abandoned runs stored for one task, the newest. A run on a silent runner is
given up after a lease at least, so that 16 of them take about two minutes."""


class AbandonedRuns(msgspec.Struct, array_like=True, frozen=True):
    """The stored runs of one task that were given up before their ends were known.

    Attributes:
        round, step, number: the task; the first one of a gang, for all its members.
        runs: numbers of the runs, rising, at most MAX_ABANDONED_RUNS.
        counted_run: newest run of a gang whose failure was counted; 0 if none.
    """

    round: int
    step: int
    number: int
    runs: tuple[int, ...] = ()
    counted_run: int = 0


class Progress(msgspec.Struct, array_like=True, omit_defaults=True):
    """The complete stored state of one job, written by the leader only.

    Attributes:
        phase: a `JobPhase` value.
        steps: steps that have left their initial state.
        rounds_done: number of leading rounds that are done; `steps` omits them.
        abandoned: runs that were given up before their ends were known; not written if empty.
    """

    phase: str
    steps: tuple[StoredStep, ...] = ()
    rounds_done: int = 0
    abandoned: tuple[AbandonedRuns, ...] = ()


encode = msgspec.json.Encoder().encode
_decode_job = msgspec.json.Decoder(JobRecord).decode
_decode_progress = msgspec.json.Decoder(Progress).decode

PROGRESS_LEVEL = 1
"""The zlib compression level of stored progress; the fastest one, as the leader compresses every
record. Every instance reads every record, some over links of 5 Mbit/s."""

_PHASE_CODES = {phase.value: code for phase, code in zip(JobPhase, b"prcfx", strict=True)}
_PHASES = {code: JobPhase(value) for value, code in _PHASE_CODES.items()}


def encode_progress(progress: Progress) -> bytes:
    """Return the stored form: one letter for the phase, then the compressed progress."""
    code = bytes((_PHASE_CODES[progress.phase],))
    fields = msgspec.structs.astuple(progress)
    if not progress.abandoned:
        fields = fields[:-1]
    return code + zlib.compress(encode(fields), PROGRESS_LEVEL)


COMPRESSED_PREFIX = b"z"
"""The first byte of a job's record whose remaining bytes are compressed. This version reads such
records but writes none, because instances of the previous version cannot read them."""

MAX_JOB_BYTES = 4 << 20
"""The size limit of a decompressed job record, bytes: four times the largest request body that
clients may submit."""


@raises_unreadable
def decode_job(value: bytes) -> JobRecord:
    """Decode the stored form of a job, compressed or not; raise Unreadable if it is malformed."""
    if value.startswith(COMPRESSED_PREFIX):
        value = zlib.decompressobj().decompress(value[1:], MAX_JOB_BYTES)
    record = _decode_job(value)
    problem = record.workflow.problem()
    if problem:
        raise ValueError(problem)
    return record


@raises_unreadable
def decode_progress(value: bytes) -> Progress:
    """Decode the stored progress of a job; raise Unreadable if it is malformed."""
    return _decode_progress(zlib.decompress(value[1:]))


@raises_unreadable
def decode_phase(value: bytes) -> JobPhase:
    """Decode only the phase, which every instance needs of every record.

    Raise Unreadable if the value is malformed.
    """
    return _PHASES[value[0]]

"""Model a platform worker: leases, epochs, checkpoints, throttling and late usage reports.

The model does no I/O and takes the current time as an argument, so that the stand-in process and
the state-machine tests can use the same worker.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from spoolcrank.ids import NO_EPOCH, NO_INCARNATION, Epoch, Incarnation, TaskId
from spoolcrank.jobs import JobClass
from spoolcrank.resources import NO_RESOURCES, Resources, total
from spoolcrank.worker import (
    Adopt,
    Command,
    EndedTask,
    Evict,
    Fence,
    Refused,
    Renew,
    Report,
    RunningTask,
    Start,
    Stop,
    Throttle,
    Usage,
)

_ENDLESS_WORK_S = 1e12
"""Work of a task that never finishes by itself, seconds."""

_MIN_SPEED = 0.05
"""Minimum speed of the tasks, however overloaded the worker is, relative to the standard kind."""


class Run(NamedTuple):
    """One interval in which an attempt ran; `start` and `end` are in Unix seconds."""

    task: str
    attempt: int
    epoch: int
    start: float
    end: float | None
    how: str
    work_done_s: float
    processors: float
    memory_mb: float
    accelerators: int
    job_class: str


class Overcommit(NamedTuple):
    """A moment at which the allocated resources exceeded the capacity of the worker."""

    at: float
    processors: float
    memory_mb: float
    accelerators: int


@dataclass
class _Attempt:
    start: Start
    epoch: Epoch
    started_at: float
    lease_until: float
    work_s: float
    done_s: float
    uses: Resources
    throttle: float = 1.0
    resumed_from_s: float = 0.0
    updated_at: float = 0.0


@dataclass
class WorkerModel:
    """The state of one worker.

    Attributes:
        incarnation: Id of the process, which changes with each restart.
        capacity: The resources that the worker can allocate.
        speed: Speed of its processors relative to the standard kind.
        report_lag_s: Delay of the usage reports, in seconds.
        fail_all: Whether every attempt fails soon after its start.
        overuse_s: Time in which the actual usage exceeded the capacity, in seconds.
        service_usage: The resources that the runner on the same instance uses.
    """

    incarnation: Incarnation
    capacity: Resources
    speed: float = 1.0
    report_lag_s: float = 1.0
    fail_all: bool = False
    owner: Incarnation = NO_INCARNATION
    epoch: Epoch = NO_EPOCH
    seq: int = 0
    running: dict[TaskId, _Attempt] = field(default_factory=dict)
    ended: dict[TaskId, EndedTask] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    overcommits: list[Overcommit] = field(default_factory=list)
    overuse_s: float = 0.0
    service_usage: Resources = NO_RESOURCES
    _usage: deque[tuple[float, list[Usage]]] = field(default_factory=deque)
    _sampled_at: float = 0.0
    _advanced_at: float = 0.0

    def execute(self, cmd: Command, now: float) -> Report | Refused:
        """Execute one command and return a report, or refuse an outdated or misdirected command."""
        self.advance(now)
        refusal = self._fence(cmd, now)
        if refusal is not None:
            return refusal
        self.owner = cmd.owner
        self.epoch = cmd.epoch
        self.seq = cmd.seq
        match cmd:
            case Renew():
                self._renew(cmd, now)
            case Start():
                self._start(cmd, now)
            case Evict():
                self._end(cmd.task, cmd.attempt, "evicted", now)
            case Stop():
                self._end(cmd.task, cmd.attempt, "stopped", now)
            case Throttle():
                self._throttle(cmd)
            case Adopt():
                pass
        return self.report(now)

    def _fence(self, cmd: Fence, now: float) -> Refused | None:
        reason = ""
        if not isinstance(cmd, Adopt) and cmd.incarnation != self.incarnation:
            reason = "meant for another incarnation"
        elif cmd.epoch < self.epoch:
            reason = "lower epoch"
        elif cmd.epoch == self.epoch and self.owner and cmd.owner != self.owner:
            reason = "epoch taken by another owner"
        elif cmd.epoch == self.epoch and cmd.seq <= self.seq:
            reason = "overtaken by a later command"
        elif cmd.expires is not None and now > cmd.expires:
            reason = "too long on its way"
        if not reason:
            return None
        return Refused(
            incarnation=self.incarnation, owner=self.owner, epoch=self.epoch, reason=reason
        )

    def _renew(self, cmd: Renew, now: float) -> None:
        for ref in cmd.tasks:
            attempt = self.running.get(ref.task)
            if attempt is not None and attempt.start.attempt == ref.attempt:
                attempt.lease_until = now + cmd.lease_s
                attempt.epoch = cmd.epoch
        for ref in cmd.acks:
            ended = self.ended.get(ref.task)
            if ended is not None and ended.attempt == ref.attempt:
                del self.ended[ref.task]

    def _start(self, cmd: Start, now: float) -> None:
        if cmd.task in self.running:
            return
        ended = self.ended.get(cmd.task)
        if ended is not None and ended.attempt == cmd.attempt and ended.how != "evicted":
            return
        self.ended.pop(cmd.task, None)
        done_s = float((cmd.checkpoint or {}).get("work_done_s", 0.0))
        self.running[cmd.task] = _Attempt(
            start=cmd,
            epoch=cmd.epoch,
            started_at=now,
            lease_until=now + cmd.lease_s,
            work_s=_work_s(cmd),
            done_s=done_s,
            uses=_uses(cmd),
            resumed_from_s=done_s,
            updated_at=now,
        )
        allocated = total(attempt.start.size.resources for attempt in self.running.values())
        if not allocated.fits_in(self.capacity):
            self.overcommits.append(Overcommit(now, *allocated))

    def _throttle(self, cmd: Throttle) -> None:
        attempt = self.running.get(cmd.task)
        if attempt is not None and attempt.start.attempt == cmd.attempt:
            attempt.throttle = max(0.0, min(1.0, cmd.share))

    def _end(
        self, task: TaskId, attempt_number: int, how: str, now: float, reason: str = ""
    ) -> None:
        attempt = self.running.get(task)
        if attempt is None or attempt.start.attempt != attempt_number:
            return
        del self.running[task]
        has_checkpoint = how in ("evicted", "lapsed")
        self.ended[task] = EndedTask(
            task=task,
            attempt=attempt_number,
            how=how,
            checkpoint={"work_done_s": attempt.done_s} if has_checkpoint else None,
            reason=reason,
        )
        self.runs.append(_run(task, attempt, now, how))

    def advance(self, now: float) -> None:
        """Advance to the current time: progress work, expire leases, and end attempts."""
        speed = self._speed()
        elapsed = max(0.0, now - self._advanced_at)
        if not self._actual_usage().fits_in(self.capacity):
            self.overuse_s += elapsed
        self._advanced_at = now
        for task, attempt in list(self.running.items()):
            until = min(now, attempt.lease_until)
            ran_s = max(0.0, until - attempt.updated_at)
            attempt.done_s = min(attempt.work_s, attempt.done_s + ran_s * speed * attempt.throttle)
            attempt.updated_at = now
            if self._fails(attempt, now):
                self._end(task, attempt.start.attempt, "failed", now, "exit status 1")
            elif attempt.done_s >= attempt.work_s:
                self._end(task, attempt.start.attempt, "finished", now)
            elif now > attempt.lease_until:
                self._end(task, attempt.start.attempt, "lapsed", now, "lease lapsed")
        self._sample(now)

    def _fails(self, attempt: _Attempt, now: float) -> bool:
        if self.fail_all:
            return True
        return bool(attempt.start.payload.get("fails")) and attempt.done_s >= attempt.work_s

    def _actual_usage(self) -> Resources:
        return total([self.service_usage, *(attempt.uses for attempt in self.running.values())])

    def _speed(self) -> float:
        demand = self._actual_usage().processors
        share = 1.0 if demand <= self.capacity.processors else self.capacity.processors / demand
        if self._actual_usage().memory_mb > self.capacity.memory_mb:
            share *= 0.5
        return max(_MIN_SPEED, self.speed * share)

    def _sample(self, now: float) -> None:
        if now - self._sampled_at < 1.0:
            return
        self._sampled_at = now
        usage = [
            Usage(
                task=task,
                task_class=attempt.start.task_class,
                processors=attempt.uses.processors,
                memory_mb=attempt.uses.memory_mb,
            )
            for task, attempt in self.running.items()
        ]
        self._usage.append((now, usage))

    def _late_usage(self, now: float) -> list[Usage]:
        latest: list[Usage] = []
        while self._usage and self._usage[0][0] <= now - self.report_lag_s:
            _, latest = self._usage.popleft()
        return latest

    def report(self, now: float) -> Report:
        """Return a report of the running and ended attempts, and of the delayed usage."""
        return Report(
            incarnation=self.incarnation,
            owner=self.owner,
            epoch=self.epoch,
            clock=now,
            running=[
                RunningTask(
                    task=task,
                    attempt=attempt.start.attempt,
                    size=attempt.start.size,
                    task_class=attempt.start.task_class,
                    job_class=attempt.start.job_class,
                    throttle=attempt.throttle,
                    ran_s=round(now - attempt.started_at, 3),
                )
                for task, attempt in self.running.items()
            ],
            ended=list(self.ended.values()),
            usage=self._late_usage(now),
        )

    def slowdown(self, factor_of: Callable[[str], float]) -> float:
        """Return the factor by which the running tasks lengthen the service time of the runner.

        `factor_of` returns the slowdown that a task class adds at full speed.
        """
        added_slowdown = sum(
            factor_of(attempt.start.task_class) * attempt.throttle
            for attempt in self.running.values()
        )
        return 1.0 + added_slowdown

    def journal(self, now: float) -> list[Run]:
        """Return every interval in which an attempt ran, including the open ones."""
        open_runs = [_run(task, attempt, None, "running") for task, attempt in self.running.items()]
        return [*self.runs, *open_runs]


def _run(task: TaskId, attempt: _Attempt, end: float | None, how: str) -> Run:
    size = attempt.start.size
    return Run(
        task=task,
        attempt=attempt.start.attempt,
        epoch=attempt.epoch,
        start=attempt.started_at,
        end=end,
        how=how,
        work_done_s=round(attempt.done_s - attempt.resumed_from_s, 4),
        processors=size.processors,
        memory_mb=size.memory_mb,
        accelerators=size.accelerators,
        job_class=attempt.start.job_class.value,
    )


def _work_s(cmd: Start) -> float:
    default = 1.0 if cmd.job_class is JobClass.BATCH else _ENDLESS_WORK_S
    return float(cmd.payload.get("run_s", default))


def _uses(cmd: Start) -> Resources:
    uses: dict[str, Any] = cmd.payload.get("uses") or {}
    return Resources(
        float(uses.get("processors", cmd.size.processors)),
        float(uses.get("memory_mb", cmd.size.memory_mb)),
        cmd.size.accelerators,
    )

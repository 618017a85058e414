"""Hold the state of each task of a job, and convert it to and from the stored progress."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from spoolcrank.contention import StepLoad
from spoolcrank.decoding import Unreadable
from spoolcrank.ids import JobId
from spoolcrank.workflow import (
    AbandonedRuns,
    CrashEvidence,
    JobPhase,
    JobRecord,
    Phase,
    Progress,
    RunnerId,
    Step,
    StoredStep,
    StoredTask,
    TaskKey,
)

NO_RUNNER = RunnerId("")


@dataclass(slots=True)
class TaskState:
    """State of one task: phase, newest run, checkpoint, failures and crashes of runners.

    Attributes:
        phase: whether it waits, is bound or is done; stored in the progress.
        run: number of the newest run, 0 before the first.
        runner: the runner it is bound to; empty unless bound.
        last_runner: runner of its newest run; empty if unknown.
        saved: newest checkpoint.
        failures: number of failed runs.
        crashes: evidence of runners that crashed during its newest runs.
        saved_run: run that reported `saved`, in this leader's term; 0 if unknown.
        refused_by: runner of the last failure; a retry prefers another.
        abnormal_ends: number of runs that were refused, hung or failed, in this leader's term.
        hung_runs: number of runs that counted as hung, in this leader's term.
        abnormal_end_runners: runners to which those ends were attributed, in this leader's term.
        not_before: earliest time of the next start, monotonic seconds.
        isolation_wanted_since: time since when it waits for an exclusive runner, or None.
        move_destination: runner to which it moves; empty if it does not move.
        move_until: time until which it waits for free capacity there, monotonic seconds.
        preassigned: runner to which the records assign its next run.
        preassigned_stored: whether the store has confirmed the record of `preassigned`.
    """

    phase: Phase = Phase.WAITING
    run: int = 0
    runner: RunnerId = NO_RUNNER
    last_runner: RunnerId = NO_RUNNER
    saved: str = ""
    failures: int = 0
    crashes: tuple[CrashEvidence, ...] = ()
    saved_run: int = 0
    refused_by: RunnerId = NO_RUNNER
    abnormal_ends: int = 0
    hung_runs: int = 0
    abnormal_end_runners: tuple[RunnerId, ...] = ()
    not_before: float = 0.0
    isolation_wanted_since: float | None = None
    move_destination: RunnerId = NO_RUNNER
    move_until: float = 0.0
    preassigned: RunnerId = NO_RUNNER
    preassigned_stored: bool = False

    @property
    def needs_no_record(self) -> bool:
        """Return whether the task has no state that must be stored."""
        return self.phase is Phase.WAITING and self.run == 0 and self.preassigned == NO_RUNNER

    def record_checkpoint(self, saved: str, run: int) -> None:
        """Record a checkpoint of a run, if there is one; that of an older run changes nothing."""
        if saved and run >= self.saved_run:
            self.saved, self.saved_run = saved, run


@dataclass
class StepState:
    """State of one step of one round.

    Attributes:
        spec: the step as submitted.
        tasks: states by task number.
        waiting: indices of the waiting tasks, in order.
        done: number of tasks that are done.
        load: common load of its tasks, if they are serving tasks.
    """

    spec: Step
    tasks: list[TaskState]
    waiting: dict[int, None]
    done: int = 0
    load: StepLoad = field(default_factory=StepLoad)

    @staticmethod
    def fresh(spec: Step) -> "StepState":
        """Return a step without any started task."""
        tasks = [TaskState() for _ in range(spec.count)]
        return StepState(spec, tasks, dict.fromkeys(range(spec.count)))

    @property
    def finished(self) -> bool:
        """Return whether every task is done."""
        return self.done == len(self.tasks)

    def accountable(self, number: int) -> TaskState:
        """Return the task that records the failures of a run.

        A gang fails, and is given up, as a whole, so that its first task records them.
        """
        return self.tasks[0 if self.spec.gang else number]

    def finish_all(self) -> None:
        """Mark every task as done; the end of one task of a gang counts for all."""
        for task in self.tasks:
            task.phase = Phase.DONE
            task.runner = NO_RUNNER
            task.crashes = ()
        self.done = len(self.tasks)
        self.waiting.clear()

    def per_runner(self) -> dict[RunnerId, int]:
        """Return the number of tasks of the step that are bound to each runner."""
        counts: dict[RunnerId, int] = {}
        for task in self.tasks:
            if task.phase is Phase.BOUND:
                counts[task.runner] = counts.get(task.runner, 0) + 1
        return counts


@dataclass
class RoundState:
    """State of one round of a job's steps."""

    number: int
    steps: list[StepState]

    @property
    def finished(self) -> bool:
        """Return whether every step is done."""
        return all(step.finished for step in self.steps)

    def ready(self) -> Iterator[tuple[int, StepState]]:
        """Yield the steps with waiting tasks whose earlier steps are all done."""
        for number, step in enumerate(self.steps):
            if not step.waiting:
                continue
            if all(self.steps[earlier].finished for earlier in step.spec.after):
                yield number, step


@dataclass
class JobState:
    """State of one job of the leader.

    Attributes:
        id: id chosen by the submitter.
        order: offset of its record in the store; jobs submitted earlier have lower ones.
        rounds: rounds that are due and not done, by number.
        rounds_done: number of rounds, from the first on, that are done and removed.
        ever_bound: whether any task was ever bound to a runner; its phase is pending until a runner
            began one.
        accepted_at: time of acceptance, monotonic seconds of this process.
        started_at: time when this leader last bound one of its tasks; before the first, when the
            leader added the job.
        idle_since: time when a run of it last ended or was ordered to stop; before the first, when
            the leader added the job or opened its first due round.
        passed_over_at: time of its last turn in which none of its tasks could start.
        held_search_at: time of the last search for runners for its held fillers.
        objective_s: time from `accepted_at` within which it should finish.
        abandoned: runs that were given up before their ends were known, by accountable task; stored
            in the progress.
    """

    id: JobId
    record: JobRecord
    order: int
    phase: JobPhase = JobPhase.PENDING
    rounds: dict[int, RoundState] = field(default_factory=dict)
    rounds_done: int = 0
    ever_bound: bool = False
    accepted_at: float = 0.0
    started_at: float = 0.0
    idle_since: float = 0.0
    passed_over_at: float = -math.inf
    held_search_at: float = -math.inf
    objective_s: float = 0.0
    abandoned: dict[TaskKey, AbandonedRuns] = field(default_factory=dict)

    @property
    def lasting(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.record.workflow.steps)

    @property
    def total_rounds(self) -> int:
        """Return the number of rounds; a job without a schedule has one."""
        return max(1, self.record.workflow.rounds)

    def drop_preassigned(self) -> None:
        """Clear the preassigned runners of all tasks."""
        for round_state in self.rounds.values():
            for step in round_state.steps:
                for task in step.tasks:
                    task.preassigned, task.preassigned_stored = NO_RUNNER, False

    def open_round(self, number: int) -> RoundState:
        """Return a round; create it if it is not open."""
        round_state = self.rounds.get(number)
        if round_state is None:
            steps = [StepState.fresh(step) for step in self.record.workflow.steps]
            round_state = self.rounds[number] = RoundState(number, steps)
        return round_state

    def open_due(self, time_of_day_ms: float) -> None:
        """Open every round whose scheduled time has come, given the time of day in ms."""
        flow = self.record.workflow
        if not flow.rounds:
            if not self.rounds_done:
                self.open_round(0)
            return
        for number in range(self.rounds_done, flow.rounds):
            if flow.first_at_ms + number * flow.interval_ms > time_of_day_ms:
                return
            self.open_round(number)

    def close_rounds(self) -> None:
        """Remove the rounds that are done, from the first up to one that is not."""
        while self.rounds_done in self.rounds and self.rounds[self.rounds_done].finished:
            del self.rounds[self.rounds_done]
            self.rounds_done += 1

    @property
    def all_done(self) -> bool:
        """Return whether every round is done."""
        return self.rounds_done >= self.total_rounds

    def task(self, key: TaskKey) -> TaskState:
        """Return the state of a task, whose round must be open."""
        return self.rounds[key.round].steps[key.step].tasks[key.number]

    def is_gang(self, key: TaskKey) -> bool:
        """Return whether a task belongs to a gang."""
        return self.record.workflow.steps[key.step].gang

    def accountable_key(self, key: TaskKey) -> TaskKey:
        """Return the key of the task that records the failures of a run."""
        return key._replace(number=0) if self.is_gang(key) else key

    def accountable(self, key: TaskKey) -> TaskState:
        """Return the task that records the failures of a run; its round must be open."""
        return self.rounds[key.round].steps[key.step].accountable(key.number)

    def has(self, key: TaskKey) -> bool:
        """Return whether a task belongs to an open round of this job."""
        round_state = self.rounds.get(key.round)
        if round_state is None or not 0 <= key.step < len(round_state.steps):
            return False
        return 0 <= key.number < len(round_state.steps[key.step].tasks)

    def bound(self) -> Iterator[tuple[TaskKey, TaskState]]:
        """Yield the bound tasks, which may be on a runner."""
        for number, round_state in self.rounds.items():
            for step_number, step in enumerate(round_state.steps):
                for index, task in enumerate(step.tasks):
                    if task.phase is Phase.BOUND:
                        yield TaskKey(self.id, number, step_number, index), task

    def progress(self) -> Progress:
        """Return the progress of the job to be stored."""
        stored_steps = []
        for number, round_state in self.rounds.items():
            for step_number, step in enumerate(round_state.steps):
                stored_step = _stored_step(number, step_number, step)
                if stored_step is not None:
                    stored_steps.append(stored_step)
        abandoned = tuple(self.abandoned.values())
        return Progress(self.phase.value, tuple(stored_steps), self.rounds_done, abandoned)

    def restore(self, progress: Progress) -> None:
        """Load the progress that an earlier leader stored.

        Raises:
            Unreadable: the progress does not match the steps of this job.
        """
        try:
            self._restore(progress)
        except (LookupError, ValueError) as exc:
            raise Unreadable(f"stored progress does not match the job: {exc!r}") from exc

    def _restore(self, progress: Progress) -> None:
        self.phase = JobPhase(progress.phase)
        self.rounds_done = progress.rounds_done
        for stored_step in progress.steps:
            step = self.open_round(stored_step.round).steps[stored_step.step]
            if stored_step.done:
                step.finish_all()
            for stored_task in stored_step.tasks:
                _restore_task(step, stored_task)
        for entry in progress.abandoned:
            key = TaskKey(self.id, entry.round, entry.step, entry.number)
            self.abandoned[key] = entry
        stored_tasks = (task for stored_step in progress.steps for task in stored_step.tasks)
        has_run = self.phase is not JobPhase.PENDING
        self.ever_bound = has_run or any(task.run for task in stored_tasks)


def _stored_step(number: int, step_number: int, step: StepState) -> StoredStep | None:
    if step.finished:
        return StoredStep(number, step_number, True)
    tasks = tuple(
        _stored_task(index, task)
        for index, task in enumerate(step.tasks)
        if not task.needs_no_record
    )
    return StoredStep(number, step_number, False, tasks) if tasks else None


def _stored_task(index: int, task: TaskState) -> StoredTask:
    """Return the stored form of a task; a preassigned one is stored as bound to that runner."""
    phase, run, runner = task.phase, task.run, task.runner
    if phase is Phase.WAITING and task.preassigned != NO_RUNNER:
        phase, run, runner = Phase.BOUND, task.run + 1, task.preassigned
    return StoredTask(index, phase.value, run, runner, task.saved, task.failures, task.crashes)


def _restore_task(step: StepState, stored_task: StoredTask) -> None:
    task = step.tasks[stored_task.index]
    task.phase = Phase(stored_task.phase)
    task.run = stored_task.run
    task.runner = task.last_runner = RunnerId(stored_task.runner)
    task.saved = stored_task.saved
    task.failures = stored_task.failures
    task.crashes = stored_task.crashes
    if task.phase is not Phase.WAITING:
        step.waiting.pop(stored_task.index, None)
    if task.phase is Phase.DONE:
        step.done += 1


def find_task(jobs: Mapping[JobId, JobState], key: TaskKey) -> TaskState | None:
    """Return a task, or None if its job is unknown or its round is not open."""
    job = jobs.get(key.job)
    return job.task(key) if job is not None and job.has(key) else None

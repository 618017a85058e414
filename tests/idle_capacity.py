"""An independent check of a simulated fleet: no work that could run waits beside idle capacity.

The check knows the runners as they are, and of each job what the store keeps. It does not ask the
leader, which it only quotes to explain a violation.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.job_state import JobState, StepState
from spoolcrank.keyed_log import RecordKind, job_of_key, kind_of
from spoolcrank.workflow import (
    FINAL,
    JobPhase,
    Phase,
    Step,
    TaskKey,
    decode_job,
    decode_progress,
)
from tests.fleet_runners import Runner
from tests.fleet_world import World

MAX_IDLE_S = 3.0
"""Longest time, in seconds, for which a job may have nothing running beside idle capacity."""

LASTING_GRACE_S = 6.0
"""Time after its last run, in seconds, from which a lasting task is checked by itself."""

MAX_USED_SHARE = 0.5
"""Share of the capacity in use from which work may wait."""

SAMPLE_S = 0.1
"""Interval between two samples, in seconds."""


class Place(NamedTuple):
    """A machine on which runners start, one after the other."""

    zone: str
    labels: frozenset[str]
    millicores: int
    memory_mb: int


class SizedRunner(Runner):
    """A runner that counts the demand of its tasks."""

    def __init__(self, world: "SizedWorld", name: str, runner_name: str, place: Place) -> None:
        super().__init__(world, name, runner_name, place.millicores)
        self.sizes = world
        self.place = place
        self.zone = place.zone

    def used(self) -> tuple[int, int]:
        """Return the millicores and the memory in use; fillers take no counted millicores."""
        steps = [self.sizes.step_of(key) for key in self.tasks]
        demands = [step.demand for step in steps]
        return (
            sum(demand.millicores for demand in demands),
            sum(demand.memory_mb for demand in demands),
        )

    def busy_millicores(self) -> int:
        """Return the millicores that all tasks want, fillers included."""
        return sum(self.sizes.step_of(key).millicores for key in self.tasks)

    def has_room(self, key: TaskKey) -> bool:
        """Return whether one more task fits."""
        return self.copies_that_fit(self.sizes.step_of(key)) >= 1

    def copies_that_fit(self, step: Step) -> int:
        """Return how many more tasks of a step fit, at most two."""
        used_millicores, used_memory_mb = self.used()
        free_millicores = self.place.millicores - used_millicores
        free_memory_mb = self.place.memory_mb - used_memory_mb
        copies = 2
        if step.demand.millicores:
            copies = min(copies, free_millicores // step.demand.millicores)
        if step.demand.memory_mb:
            copies = min(copies, free_memory_mb // step.demand.memory_mb)
        return max(0, copies)

    def _begin(self, key: TaskKey, order: Any) -> None:
        super()._begin(key, order)
        self.tasks[key].work_s = self.sizes.work_s.get(key.job, self.work_s)


class SizedWorld(World):
    """A fleet whose runners have zones, labels and sizes, and whose jobs' tasks have demands.

    Attributes:
        places: machines by address.
        steps: steps by job.
        work_s: run time of a task by job, in seconds.
        accepted: jobs whose acceptance was reported.
    """

    def __init__(self, seed: int) -> None:
        self.places: dict[str, Place] = {}
        self.steps: dict[str, tuple[Step, ...]] = {}
        self.work_s: dict[str, float] = {}
        self.accepted: set[str] = set()
        super().__init__(seed)

    def step_of(self, key: TaskKey) -> Step:
        """Return the step of a task."""
        return self.steps[key.job][key.step]

    def add_runner(
        self, name: str, runner_name: str | None = None, entry_lag_s: float = 0.0, **fields: Any
    ) -> Runner:
        """Start a runner on the machine of an address; its size is the machine's."""
        place = self.places[name.rstrip("'")]
        runner = SizedRunner(self, name, runner_name or f"i-{next(self._id_numbers)}", place)
        self.runners[runner.id] = runner
        if entry_lag_s:
            self.at(entry_lag_s, lambda: self._write_entry(runner))
        else:
            self._write_entry(runner)
        return runner

    def read_entry(self, key: str, value: bytes) -> Any:
        """Decode an entry, with the zone, labels and size of its runner's machine."""
        entry = super().read_entry(key, value)
        runner = self.runners.get(key)
        if not isinstance(runner, SizedRunner):
            return entry
        demand = entry.room._replace(
            millicores=runner.place.millicores, memory_mb=runner.place.memory_mb
        )
        return entry._replace(room=demand, labels=runner.place.labels)

    def submit(self, instance: str, job: str, *steps: Step, work_s: float, **fields: Any) -> None:
        """Submit a job to an instance; it counts as accepted once its outcome says so."""
        self.steps[job], self.work_s[job] = steps, work_s
        world = self

        class Outcomes(list[Any]):
            def append(self, outcome: Any) -> None:
                super().append(outcome)
                if outcome.value == "kept":
                    world.accepted.add(job)

        self.instances[instance].submit(job, *steps, outcomes=Outcomes(), **fields)

    def sized_runners(self) -> list[SizedRunner]:
        """Return the runners that are alive."""
        return [
            runner
            for runner in self.runners.values()
            if isinstance(runner, SizedRunner) and runner.alive
        ]


class Violation(NamedTuple):
    """Work that waited beside idle capacity, or a job that an instance does not know."""

    what: str
    at: float
    why: str


class IdleCapacityCheck:
    """Samples a fleet, and collects the work that waits although it could run.

    Attributes:
        violations: first violation of each job or lasting task.
        watching: whether samples count; the last runs of tasks are noted before, too.
    """

    def __init__(self, world: SizedWorld, exempt: frozenset[str] = frozenset()) -> None:
        self.world = world
        self.exempt = exempt
        self.watching = False
        self.violations: dict[str, Violation] = {}
        self.jobs: dict[str, JobState] = {}
        self.cancelled: set[str] = set()
        self._progress: dict[str, bytes] = {}
        self._read_to = 0
        self._idle_since: dict[str, float] = {}
        self._last_ran: dict[TaskKey, float] = {}
        self._sample()

    def _sample(self) -> None:
        self.world.at(SAMPLE_S, self._sample)
        self._read_records()
        running = {key for runner in self.world.sized_runners() for key in runner.tasks}
        # A run may begin and end between two samples.
        since = self.world.now - SAMPLE_S
        running |= {key for key, starts in self.world.starts.items() if starts[-1:] >= [since]}
        for key in running:
            self._last_ran[key] = self.world.now
        if self.watching:
            self._check(running)

    def _read_records(self) -> None:
        records = self.world.store.jobs.records
        for record in records[self._read_to :]:
            kind, job = kind_of(record.key), job_of_key(record.key)
            if kind is RecordKind.JOB and record.value and job not in self.jobs:
                self.jobs[job] = JobState(job, decode_job(record.value), record.offset)
                self.jobs[job].open_due(0.0)
            elif kind is RecordKind.CANCEL and record.value:
                self.cancelled.add(job)
            elif kind is RecordKind.PROGRESS and record.value:
                self._progress[job] = record.value
        self._read_to = len(records)
        for job, value in self._progress.items():
            state = JobState(JobId(job), self.jobs[job].record, self.jobs[job].order)
            state.restore(decode_progress(value))
            if state.phase not in FINAL:
                state.open_due(0.0)
            self.jobs[job] = state
        self._progress.clear()

    def unfinished(self) -> list[str]:
        """Return the accepted jobs that have not ended and are not cancelled."""
        return [
            job
            for job in sorted(self.world.accepted)
            if job not in self.cancelled
            and (job not in self.jobs or self.jobs[job].phase not in FINAL)
        ]

    def failed(self) -> list[str]:
        """Return the accepted jobs that are kept as failed."""
        failed = JobPhase.FAILED
        return [job for job in sorted(self.world.accepted) if self.jobs[job].phase is failed]

    def _check(self, running: set[TaskKey]) -> None:
        subjects = dict(self._idle_subjects(running))
        for subject in [subject for subject in self._idle_since if subject not in subjects]:
            del self._idle_since[subject]
        for subject, keys in subjects.items():
            since = self._idle_since.setdefault(subject, self.world.now)
            if self.world.now - since >= MAX_IDLE_S and subject not in self.violations:
                why = "\n".join(explain(self.world, key) for key in keys[:3])
                self._add(subject, f"{len(keys)} tasks could run\n{why}")
        self._check_known()

    def _add(self, subject: str, why: str) -> None:
        self.violations[subject] = Violation(subject, self.world.now, why)

    def _check_known(self) -> None:
        for job in self.world.accepted:
            for instance in self.world.instances.values():
                known = instance.index.phase(JobId(job)) is not None
                if instance.follower.copy.loaded and not known and job not in self.violations:
                    self._add(job, f"unknown at {instance.name}")

    def _idle_subjects(self, running: set[TaskKey]) -> Iterator[tuple[str, list[TaskKey]]]:
        """Yield each job, or lasting task, that has nothing running, and its tasks that could."""
        runners = self.world.sized_runners()
        used = sum(runner.busy_millicores() for runner in runners)
        if used >= MAX_USED_SHARE * sum(runner.place.millicores for runner in runners):
            return
        running_jobs = {key.job for key in running}
        listed = self._listed(runners)
        for job in self.unfinished():
            if job not in self.jobs or job in self.exempt:
                continue
            startable = [
                (key, step)
                for key, step in _due_tasks(self.jobs[job])
                if key not in running and self._could_start(key, step.spec, listed)
            ]
            short = [key for key, step in startable if not step.spec.lasting]
            if short and job not in running_jobs:
                yield job, short
            for key, step in startable:
                last_ran = self._last_ran.get(key, 0.0)
                if step.spec.lasting and self.world.now - last_ran >= LASTING_GRACE_S:
                    yield str(key), [key]

    def _listed(self, runners: list[SizedRunner]) -> list[SizedRunner]:
        newest = {record.key: record.value for record in self.world.store.entries.records}
        return [runner for runner in runners if newest.get(runner.id) == b"ready"]

    def _could_start(self, key: TaskKey, step: Step, runners: list[SizedRunner]) -> bool:
        """Return whether there is capacity for a task twice over; for a gang, for all of it."""
        copies = 0
        for runner in runners:
            if step.label and step.label not in runner.place.labels:
                continue
            fit = runner.copies_that_fit(step)
            if step.fills:
                idle = runner.place.millicores - runner.busy_millicores()
                fit = min(fit, max(0, idle) // step.millicores)
            if step.max_per_instance:
                there = sum(1 for other in runner.tasks if other[:3] == key[:3])
                fit = min(fit, max(0, step.max_per_instance - there))
            copies += fit
        return copies >= 2 * (step.count if step.gang else 1)


def _due_tasks(job: JobState) -> Iterator[tuple[TaskKey, StepState]]:
    """Yield the tasks that are not done and whose earlier steps are all done."""
    for number, round_state in job.rounds.items():
        for step_number, step in enumerate(round_state.steps):
            if not all(round_state.steps[earlier].finished for earlier in step.spec.after):
                continue
            for index, task in enumerate(step.tasks):
                if task.phase is not Phase.DONE:
                    yield TaskKey(job.id, number, step_number, index), step


def explain(world: World, key: TaskKey) -> str:
    """Return what the leader knows of a task and of what may hold it."""
    leader = world.leader()
    state = leader.dispatcher.scheduler if leader is not None else None
    if leader is None or state is None:
        return f"{key}: nobody leads; instances {sorted(world.instances)}"
    job = state.jobs.get(JobId(key.job))
    if job is None or not job.has(key):
        return f"{key}: unknown to the leader {leader.name}"
    now, task, spec = world.now, job.task(key), job.rounds[key.round].steps[key.step].spec
    runner = state.runners.get(task.runner)
    runner_facts = (
        f"adopted {runner.adopted} gone {runner.gone} listed {runner.listed} address"
        f" {runner.entry.address} answered {runner.answered_at:.1f} silent {runner.silent_since}"
        f" run {runner.runs.get(key)}"
        if runner is not None
        else ""
    )
    counts = {
        "usable": sum(1 for other in state.runners.values() if other.usable(now)),
        "isolated": sum(1 for other in state.runners.values() if other.isolated_for is not None),
        "own": [other.id for other in state.runners.values() if other.isolated_for == key],
        "quarantined": sum(1 for other in state.runners.values() if now < other.quarantined_until),
        "fits": [other.id for other in state.runners.values() if other.fits(spec.demand)][:5],
    }
    return (
        f"{key} {spec}\n  leader {leader.name} term {state.term} since {state.began_at:.1f},"
        f" earlier wrote {state.predecessor_wrote_at:.1f}, now {now:.1f}; phase {task.phase.name}"
        f" run {task.run} runner {task.runner} not before {task.not_before:.1f} crashes"
        f" {task.crashes} isolation since {task.isolation_wanted_since} refused by"
        f" {task.refused_by} moves to {task.move_destination} until {task.move_until:.1f}"
        f" ready {key.job in state.ready} reserve {state.reserve}\n  starts held"
        f" {state.starts.held_back} waiting {len(state.starts.waiting)} silent zones"
        f" {sorted(state.starts.silent_zones(now))} block {leader.dispatcher._monitor.block.value}"
        f" refusals {state.filler_refusals}\n"
        f"  runners {counts}\n  {runner_facts}"
    )

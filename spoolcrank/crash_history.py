"""Keep the crashes of runners that one leader knows, and the rate at which runners crash."""

from collections import deque
from collections.abc import Collection, Hashable, Iterable, Iterator
from typing import NamedTuple

from spoolcrank.ids import Address
from spoolcrank.job_state import JobState, TaskState
from spoolcrank.workflow import RunnerId, StepKey, TaskKey

CRASH_WINDOW_S = 30.0
"""Period of which the crashes determine the crash rate of runners, in seconds."""

ASSUMED_CRASHES = 5.0
"""Crashes within ASSUMED_RUNNER_S that a new leader assumes before it has observed any: each runner
crashes every 20 s, as in a period of frequent ordinary crashes. With too low a rate tasks
that cause no crashes are given up; too high a rate costs one more start."""

ASSUMED_RUNNER_S = 100.0
"""Total running time of the runners to which ASSUMED_CRASHES applies, in seconds."""

MAX_UNCONFIRMED_CRASHES = 1000
"""Maximum number of unconfirmed crashes in memory; some runners never return, so that their
crashes are never confirmed or refuted."""


class RunnerFailure(NamedTuple):
    """Failure of a runner: the runner, its groups and the time span in which it failed.

    Attributes:
        last_answered_at: time at which the last answered call was sent, in monotonic seconds.
        first_missed_at: time of the first call that it did not answer.
        groups: its service, its zone and its labels.
        recent_steps: steps of which a task had begun there shortly before.
        had_runs: whether it had any runs.
    """

    runner: RunnerId
    last_answered_at: float
    first_missed_at: float
    groups: frozenset[Hashable]
    recent_steps: frozenset[StepKey]
    had_runs: bool


class CommonCause(NamedTuple):
    """Cause that made most runners of a group fail at one moment.

    Attributes:
        group: group of these runners.
        since: start of the time span in which the cause occurred, in monotonic seconds.
        until: end of that time span.
        suspect: the only step of which a task had just begun on each of the runners, or None.
    """

    group: Hashable
    since: float
    until: float
    suspect: StepKey | None


class CrashRate(NamedTuple):
    """Rate at which runners crash, as the crashes of a task are compared with it.

    Attributes:
        per_runner_s: crashes of one runner, per second.
        counted: number of observed crashes that it includes.
        left_out: number of those that it does not include, because the task ran there.
    """

    per_runner_s: float
    counted: int
    left_out: int


class Crash(NamedTuple):
    """Crash of a runner, with the tasks that were there; the first one stands for a gang."""

    at: float
    runner: RunnerId
    tasks: frozenset[TaskKey]


class UnconfirmedCrash(NamedTuple):
    """Possible crash of a runner: its address has not answered since. Contains the tasks there."""

    address: Address
    tasks: tuple[TaskKey, ...]


class CrashHistory:
    """Crashes known to one leader, besides the stored evidence of the tasks.

    The history is limited in age and in number.

    Attributes:
        unconfirmed: runners whose runs were given up before it was known what had happened to
            them.
        recent_failures: failures of runners within the last CRASH_WINDOW_S.
        common_causes: common causes within the last CRASH_WINDOW_S.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._crashes: deque[Crash] = deque()
        self.unconfirmed: dict[RunnerId, UnconfirmedCrash] = {}
        self.recent_failures: deque[RunnerFailure] = deque()
        self.common_causes: deque[CommonCause] = deque()

    def record_failure(self, failure: RunnerFailure, now: float) -> None:
        """Record the failure of a runner and drop failures and causes older than CRASH_WINDOW_S."""
        self.recent_failures.append(failure)
        while (
            self.recent_failures and now - self.recent_failures[0].first_missed_at > CRASH_WINDOW_S
        ):
            self.recent_failures.popleft()
        while self.common_causes and now - self.common_causes[0].until > CRASH_WINDOW_S:
            self.common_causes.popleft()

    def remove(self, runner: RunnerId) -> frozenset[TaskKey]:
        """Remove the crash of a runner; return the tasks against which it counted.

        It is called for a crash that turns out to have a common cause with others.
        """
        tasks = frozenset[TaskKey]().union(*(c.tasks for c in self._crashes if c.runner == runner))
        self._crashes = deque(crash for crash in self._crashes if crash.runner != runner)
        return tasks

    def add_crash(self, crash: Crash) -> None:
        """Record a crash and drop those older than CRASH_WINDOW_S."""
        self._crashes.append(crash)
        self._drop_old(crash.at)

    def _drop_old(self, now: float) -> None:
        while self._crashes and now - self._crashes[0].at > CRASH_WINDOW_S:
            self._crashes.popleft()

    def forget_task(self, task: TaskKey) -> None:
        """Remove the crashes that a given-up task caused: they say nothing about the runners."""
        self._crashes = deque(crash for crash in self._crashes if task not in crash.tasks)

    def rate_beside(self, task: TaskKey, runners: int, now: float) -> CrashRate:
        """Return the crash rate without the crashes of runners on which the task ran."""
        self._drop_old(now)
        return self._rate(
            [crash for crash in self._crashes if task not in crash.tasks], runners, now
        )

    def rate(self, runners: int, now: float) -> CrashRate:
        """Return the crash rate with the crashes of all runners.

        A gang is on so many runners that hardly a crash would be left without its own.
        """
        self._drop_old(now)
        return self._rate(self._crashes, runners, now)

    def _rate(self, counted: Collection[Crash], runners: int, now: float) -> CrashRate:
        observed_runner_s = min(CRASH_WINDOW_S, now - self._since) * runners
        per_runner_s = (ASSUMED_CRASHES + len(counted)) / (ASSUMED_RUNNER_S + observed_runner_s)
        return CrashRate(per_runner_s, len(counted), len(self._crashes) - len(counted))

    def restore(self, job: JobState) -> None:
        """Restore the unconfirmed crashes from the crash evidence of a job."""
        for key, task in _tasks_with_evidence(job):
            for evidence in task.crashes:
                if not evidence.proved:
                    self.add_unconfirmed(
                        RunnerId(evidence.runner), Address(evidence.address), (key,)
                    )

    def add_unconfirmed(self, runner: RunnerId, address: Address, tasks: Iterable[TaskKey]) -> None:
        """Record that a runner may have crashed while some tasks ran there."""
        present = self.unconfirmed.get(runner)
        known = present.tasks if present is not None else ()
        self.unconfirmed[runner] = UnconfirmedCrash(address, (*known, *tasks))
        while len(self.unconfirmed) > MAX_UNCONFIRMED_CRASHES:
            del self.unconfirmed[next(iter(self.unconfirmed))]


def _tasks_with_evidence(job: JobState) -> Iterator[tuple[TaskKey, TaskState]]:
    for number, round_state in job.rounds.items():
        for step_number, step in enumerate(round_state.steps):
            for index, task in enumerate(step.tasks):
                if task.crashes:
                    yield TaskKey(job.id, number, step_number, index), task

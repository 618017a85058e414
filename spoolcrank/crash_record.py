"""Judge from crashes of runners whether one task brings them down.

Everything on a runner that crashes is suspected, and one task at most is guilty. What tells them
apart is how long each run had lived: a guilty one takes runner after runner with it soon after its
starts, also where nothing else began there lately. Sound ones meet crashes at any age, as often
as runners crash anyway.
"""

import math
from collections import deque
from collections.abc import Hashable, Iterable, Iterator, Sequence
from typing import NamedTuple

from spoolcrank.ids import Address
from spoolcrank.job_state import JobState, TaskState
from spoolcrank.workflow import CrashMark, RunnerId, StepKey, TaskKey

MOST_MARKS = 6
"""Crashes that are kept for one task, the newest; five are enough to give it up."""

LEAST_CRASHES = 3
"""No task is given up after fewer, as whatever it was started beside may have been the cause."""

LEAST_ALONE = 2
"""Of these so many with nothing else there that could have been the cause."""

UNLIKELY = 1e-4
"""A task is given up where plain crashes would hit so few sound ones as often, so soon."""

SURELY_CRASHES = 5
"""After so many, none of them known to be late after the start, it is given up at any rate of
plain crashes: a spell of guilty tasks raises that rate too. Callers count the sixth start."""

SOON_S = 2.5
"""A run that lived no longer died soon after its start, s: a runner that falls silent is found out
up to 1.6 s late."""

SHARED_SOON_S = 1.2
"""A run that died with many others counts towards these only where it lived no longer, s: few sound
ones are that young at one loss of power, and hardly any at five."""

LEAST_LIVED_S = 0.05
"""Below it the age of a run says nothing more, s: the way of an order and of its answer."""

WINDOW_S = 30.0
"""Crashes of so long tell how often runners crash, s."""

USUAL_CRASHES = 5.0
USUAL_RUNNER_S = 100.0
"""What a new leader takes runners for, until it has seen them: each crashes every 20 s, as in a
spell of plain crashes. Too low a rate gives up sound work, too high a one costs a start."""

APART_AFTER = 2
"""Crashes after which a task has a runner for itself; at once would stop more sound work than it
saves, as most of what is on a runner that crashes is sound."""

MOST_DOUBTS = 1000
"""Runners remembered as perhaps crashed; some never come back, and nothing settles them."""

OUTLIVES = 2.0
OUTLIVES_BY_S = 1.0
"""A run clears its task once it lived so many times, and so much, longer than any that its runner
crashed under: well past the moment, also at half the pace."""


class Fall(NamedTuple):
    """When and where a runner fell.

    Attributes:
        stood_at: when the last call that it answered was sent, monotonic seconds.
        missed_at: when the first was missed.
        groups: its service, its zone, its labels.
        young: steps of which a task had begun there shortly before.
        had_runs: something was there.
    """

    runner: RunnerId
    stood_at: float
    missed_at: float
    groups: frozenset[Hashable]
    young: frozenset[StepKey]
    had_runs: bool


class CommonCause(NamedTuple):
    """What took most runners of a group at one moment.

    Attributes:
        group: of whom.
        since, until: between them it came, monotonic seconds.
        suspect: the one step of which a task had just begun on each of them, if there is one.
    """

    group: Hashable
    since: float
    until: float
    suspect: StepKey | None


class Crash(NamedTuple):
    """A runner that crashed, and what was there."""

    at: float
    runner: RunnerId
    tasks: frozenset[TaskKey]


class Doubt(NamedTuple):
    """A runner that may have crashed: nobody has answered at its address since."""

    address: Address
    tasks: tuple[TaskKey, ...]


class CrashRecord:
    """What one leader knows of crashes beside the marks of the tasks; bounded in time and number.

    Attributes:
        doubts: runners whose runs were given up before anyone knew what had become of them.
        falls: runners that fell lately.
        common_causes: found lately.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._crashes: deque[Crash] = deque()
        self.doubts: dict[RunnerId, Doubt] = {}
        self.falls: deque[Fall] = deque()
        self.common_causes: deque[CommonCause] = deque()

    def fell(self, fall: Fall, now: float) -> None:
        """Take note of a runner that fell."""
        self.falls.append(fall)
        while self.falls and now - self.falls[0].missed_at > WINDOW_S:
            self.falls.popleft()
        while self.common_causes and now - self.common_causes[0].until > WINDOW_S:
            self.common_causes.popleft()

    def withdraw(self, runner: RunnerId) -> frozenset[TaskKey]:
        """Leave out a crash that had a cause of its own; returns what it was counted against."""
        tasks = frozenset[TaskKey]().union(*(c.tasks for c in self._crashes if c.runner == runner))
        self._crashes = deque(one for one in self._crashes if one.runner != runner)
        return tasks

    def add(self, crash: Crash) -> None:
        """Take note of a crash."""
        self._crashes.append(crash)
        self._drop_old(crash.at)

    def _drop_old(self, now: float) -> None:
        while self._crashes and now - self._crashes[0].at > WINDOW_S:
            self._crashes.popleft()

    def forget(self, task: TaskKey) -> None:
        """Leave out what a task that was given up has caused: it says nothing of the runners."""
        self._crashes = deque(one for one in self._crashes if task not in one.tasks)

    def per_runner_s(self, task: TaskKey, runners: int, now: float) -> float:
        """Return how often a runner crashes, a second, by what did not happen under a task."""
        self._drop_old(now)
        others = sum(1 for one in self._crashes if task not in one.tasks)
        seen_s = min(WINDOW_S, now - self._since) * runners
        return (USUAL_CRASHES + others) / (USUAL_RUNNER_S + seen_s)

    def restore(self, job: JobState) -> None:
        """Take the doubts that stand in the marks of a job."""
        for key, task in _with_marks(job):
            for mark in task.crashes:
                if not mark.proved:
                    self.doubt(RunnerId(mark.runner), Address(mark.address), (key,))

    def doubt(self, runner: RunnerId, address: Address, tasks: Iterable[TaskKey]) -> None:
        """Take note that a runner may have crashed under some tasks."""
        held = self.doubts.get(runner)
        known = held.tasks if held is not None else ()
        self.doubts[runner] = Doubt(address, (*known, *tasks))
        while len(self.doubts) > MOST_DOUBTS:
            del self.doubts[next(iter(self.doubts))]


def _with_marks(job: JobState) -> Iterator[tuple[TaskKey, TaskState]]:
    for number, held in job.rounds.items():
        for step_number, step in enumerate(held.steps):
            for index, task in enumerate(step.tasks):
                if task.crashes:
                    yield TaskKey(job.id, number, step_number, index), task


def with_mark(marks: Sequence[CrashMark], mark: CrashMark) -> tuple[CrashMark, ...]:
    """Return the marks with one more, one for each runner."""
    kept = [*(one for one in marks if one.runner != mark.runner), mark]
    while len(kept) > MOST_MARKS:
        kept.remove(next((one for one in kept if one.shared), kept[0]))
    return tuple(kept)


def own_marks(marks: Sequence[CrashMark]) -> list[CrashMark]:
    """Return the crashes that had no common cause with others."""
    return [one for one in marks if not one.shared]


def starts_apart(marks: Sequence[CrashMark]) -> bool:
    """Tell whether the next run of a task is to have a runner for itself."""
    return len(own_marks(marks)) >= APART_AFTER


def clears_after_s(marks: Sequence[CrashMark]) -> float:
    """Return how long a run has to live until the marks count no more, s."""
    return OUTLIVES * max(one.lived_ms for one in marks) / 1000.0 + OUTLIVES_BY_S


def is_guilty(marks: Sequence[CrashMark], crashes_per_s: float) -> bool:
    """Tell whether a task is proved to bring runners down.

    Args:
        marks: of the task.
        crashes_per_s: how often one runner crashes, without the task.
    """
    own = own_marks(marks)
    soon = [one for one in marks if one.shared and 0 < one.lived_ms <= SHARED_SOON_S * 1000.0]
    all_soon = all(one.lived_ms <= SOON_S * 1000.0 for one in own)
    if all_soon and own and len(own) + len(soon) >= SURELY_CRASHES:
        return True
    alone = [one for one in own if one.alone]
    if len(own) < LEAST_CRASHES or len(alone) < LEAST_ALONE:
        return False
    if len({one.address for one in alone}) < LEAST_ALONE:
        # What crashes again and again on one machine may be the machine.
        return False
    # All that are known count: a run is the more often alone the shorter it has lived.
    lived_s = [max(LEAST_LIVED_S, one.lived_ms / 1000.0) for one in own if one.lived_ms]
    return chance_of(len(lived_s), crashes_per_s * sum(lived_s)) <= UNLIKELY


def chance_of(crashes: int, expected: float) -> float:
    """Return how likely so many crashes, or more, are where some are expected, at most."""
    return min(1.0, math.pow(expected, crashes) / math.factorial(crashes))

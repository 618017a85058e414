"""Take note of runners that crashed, and count it against what ran there.

A crash is the end of an incarnation without notice. It is proved once another incarnation answers
at its address. One that fell silent until every lease had passed, and whose entry went, counts too
until it answers again: it may be back elsewhere, or never. Who drained and left, or lives and was
only cut off, has not crashed.
"""

from collections.abc import Iterable

import msgspec

from spoolcrank.common_cause import fall_of, find_cause
from spoolcrank.crash_record import (
    Crash,
    Fall,
    clears_after_s,
    is_guilty,
    own_marks,
    starts_apart,
    with_mark,
)
from spoolcrank.job_state import JobState, TaskState
from spoolcrank.runner_ids import name_of
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, CrashMark, Phase, RunnerId, StepKey, TaskKey

SETTLED_S = 1.0
"""A run that was there so much longer than another, s, is not what brought the runner down just
after the other one's start."""

PAUSES_S = (0.0, 1.0, 2.0)
"""Before the next start of a task under which one, two, more runners crashed, s. Each crash takes a
runner away for seconds with all that it runs. A job with nothing at work for 3 s counts as lost."""

SERVES_ON_S = 1.5
"""A runner whose entry goes before a planned end serves on for longer, s: for two by the platform's
word, and its entry may be read late."""

UNSEEN_S = 2.5
"""How long a run lived is known where its runner was heard of so shortly before it was missed, s; a
leader that was held up itself notices much later."""

Counted = tuple[TaskKey, CrashMark]


def lose_runner(state: Scheduler, runner: RunnerState, why: str, now: float) -> None:
    """Take note that an incarnation of a runner is over and nothing runs on it."""
    known = runner.answered_at >= 0.0 or bool(runner.runs)
    crashed = known and not runner.gone and not _planned(runner, now)
    counted: list[Counted] = []
    fall = fall_of(runner, now)
    if not runner.gone:
        runner.gone = True
        state.note("runner-gone", runner=runner.id, why=why, runs=len(runner.runs), crashed=crashed)
    if crashed:
        counted = _against_tasks(state, runner, fall, now, proved=True)
    for key in list(runner.runs):
        state.release(key, runner, "runner gone", now)
    for key, mark in counted:
        _count(state, key, mark, now)
    prove(state, runner.id, now)


def leases_passed(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Release what was on a runner that nobody has heard of until every lease had passed."""
    # One that keeps its entry in the list lives, and is only cut off from us.
    over = not runner.listed and not _planned(runner, now)
    fall = fall_of(runner, now)
    doubted = _against_tasks(state, runner, fall, now, proved=False) if over else []
    for key in list(runner.runs):
        state.release(key, runner, "every lease has passed", now)
    for key, mark in doubted:
        _count(state, key, mark, now)
    if doubted:
        state.crashes.doubt(runner.id, runner.entry.address, (key for key, _ in doubted))


def runner_answers(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Settle doubts that an answer settles: it lives, or another one stands in its place.

    Another in its place has its address, or is a later incarnation of the same runner.
    """
    if not state.crashes.doubts:
        return
    if runner.id in state.crashes.doubts:
        _clear_doubt(state, runner.id)
    address, name = runner.entry.address, name_of(runner.id)
    over = [
        one
        for one, held in state.crashes.doubts.items()
        if held.address == address or name_of(one) == name
    ]
    for other in over:
        prove(state, other, now)


def prove(state: Scheduler, runner: RunnerId, now: float) -> None:
    """Count a crash that was only suspected, now that its incarnation is known to be over."""
    doubt = state.crashes.doubts.pop(runner, None)
    if doubt is None:
        return
    for key in doubt.tasks:
        task = _accountable(state, key)
        for mark in task.crashes if task is not None else ():
            if mark.runner == runner and not mark.proved:
                _count(state, key, _proved(mark), now)


def _proved(mark: CrashMark) -> CrashMark:
    return msgspec.structs.replace(mark, proved=True)


def _clear_doubt(state: Scheduler, runner: RunnerId) -> None:
    doubt = state.crashes.doubts.pop(runner)
    for key in doubt.tasks:
        task = _accountable(state, key)
        if task is not None:
            task.crashes = tuple(one for one in task.crashes if one.runner != runner)
            state.unkept.change(key.job)


def outlives(state: Scheduler, key: TaskKey, run: Run, now: float) -> None:
    """Clear a task whose run lives well past the moment at which runners crashed under it."""
    task = _accountable(state, key)
    if task is None or not task.crashes:
        run.suspect = run.marked = False
        return
    lived_s = 0.0 if run.ordered_at is None else now - run.ordered_at
    if lived_s < clears_after_s(task.crashes):
        return
    state.note("suspect-cleared", task=key, run=run.number, crashes=len(task.crashes))
    task.crashes = ()
    run.suspect = run.marked = False
    state.unkept.change(key.job)
    runner = state.runners.get(task.runner)
    if runner is not None and runner.apart_for == key:
        runner.apart_for = None


# Marks


def _against_tasks(
    state: Scheduler, runner: RunnerState, fall: Fall, now: float, proved: bool
) -> list[Counted]:
    """Return what counts against each task that was there: next to nothing by a common cause."""
    state.crashes.fell(fall, now)
    found = find_cause(state, fall, now)
    marks = _marks(state, runner, now, proved)
    if found is None:
        state.crashes.add(Crash(now, runner.id, frozenset(key for key, _ in marks)))
        return marks
    cause, fallen = found
    state.note("crashed-together", runner=runner.id, runners=len(fallen), suspect=cause.suspect)
    for other in fallen:
        _share(state, other.runner, cause.suspect)
    return [(key, mark if key.of_step == cause.suspect else _shared(mark)) for key, mark in marks]


def _share(state: Scheduler, runner: RunnerId, suspect: StepKey | None) -> None:
    """Weigh less what was counted before others were known to have crashed with a runner."""
    for key in state.crashes.withdraw(runner):
        task = _accountable(state, key)
        if task is not None and key.of_step != suspect:
            marks = task.crashes
            task.crashes = tuple(_shared(one) if one.runner == runner else one for one in marks)
            state.unkept.change(key.job)


def _shared(mark: CrashMark) -> CrashMark:
    return msgspec.structs.replace(mark, shared=True)


def _planned(runner: RunnerState, now: float) -> bool:
    """Tell whether it was to end: it said so, or its entry went well before it did."""
    if (
        runner.withdrawn_at is not None
        and _down_at(runner, now) - runner.withdrawn_at >= SERVES_ON_S
    ):
        return True
    # Only the records of jobs name a runner without an address; it counts as leaving for that.
    return runner.entry.leaving and runner.entry.address != ""


def _down_at(runner: RunnerState, now: float) -> float:
    return now if runner.silent_since is None else runner.silent_since


def _marks(state: Scheduler, runner: RunnerState, now: float, proved: bool) -> list[Counted]:
    """Return what counts against each task that was started there; a gang counts once."""
    down_at = _down_at(runner, now)
    ages = {
        key: max(0.0, down_at - run.ordered_at)
        for key, run in runner.runs.items()
        if run.ordered_at is not None
    }
    found: dict[TaskKey, CrashMark] = {}
    for key, age_s in ages.items():
        job = state.jobs.get(key.job)
        if job is None or not job.has(key) or job.phase in FINAL:
            continue
        counted = _counted_at(job, key)
        if counted in found:
            continue
        found[counted] = _mark(state, runner, key, age_s, ages, proved)
    return list(found.items())


def _mark(
    state: Scheduler,
    runner: RunnerState,
    key: TaskKey,
    age_s: float,
    ages: dict[TaskKey, float],
    proved: bool,
) -> CrashMark:
    run = runner.runs[key]
    alone = all(
        there_s >= age_s + SETTLED_S and not runner.runs[other].suspect
        for other, there_s in ages.items()
        if _counted_key(state, key) != _counted_key(state, other)
    )
    seen_s = max(0.0, run.reported_at - (run.ordered_at or 0.0))
    begun = run.moved_at > 0.0 or run.reported_at > 0.0
    known = begun and not run.inherited and age_s - seen_s <= UNSEEN_S
    lived_ms = max(1, round(age_s * 1000.0)) if known else 0
    if run.inherited:
        # What had a runner for itself was not cleared yet.
        task = _accountable(state, key)
        alone = alone and task is not None and starts_apart(task.crashes)
    elif not begun:
        # The runner may have been down before its start was sent.
        alone = False
    return CrashMark(runner.id, runner.entry.address, lived_ms, alone, proved)


def _counted_key(state: Scheduler, key: TaskKey) -> TaskKey:
    job = state.jobs.get(key.job)
    return _counted_at(job, key) if job is not None and job.has(key) else key


def _counted_at(job: JobState, key: TaskKey) -> TaskKey:
    gang = job.rounds[key.round].steps[key.step].spec.gang
    return key._replace(number=0) if gang else key


def _accountable(state: Scheduler, key: TaskKey) -> TaskState | None:
    job = state.jobs.get(key.job)
    return job.accountable(key) if job is not None and job.has(key) else None


def _count(state: Scheduler, key: TaskKey, mark: CrashMark, now: float) -> None:
    """Keep a mark before the next start can leave, put that off, and give up what is proved."""
    job, task = state.jobs.get(key.job), _accountable(state, key)
    if job is None or task is None or job.phase in FINAL or task.phase is Phase.DONE:
        return
    task.crashes = with_mark(task.crashes, mark)
    crashes = len(own_marks(task.crashes))
    if not mark.shared:
        task.not_before = max(task.not_before, now + PAUSES_S[min(crashes, len(PAUSES_S)) - 1])
    state.unkept.change(key.job)
    state.note(
        "crash-counted",
        task=key,
        run=task.run,
        runner=mark.runner,
        lived_ms=mark.lived_ms,
        alone=mark.alone,
        proved=mark.proved,
        shared=mark.shared,
        crashes=crashes,
    )
    _suspect_present_run(state, key, task)
    runners = sum(1 for one in state.runners.values() if one.listed)
    if is_guilty(task.crashes, state.crashes.per_runner_s(key, runners, now)):
        _give_up(state, job, key, task.crashes, now)


def _suspect_present_run(state: Scheduler, key: TaskKey, task: TaskState) -> None:
    """Mark the run that went out before the proof came."""
    runner = state.runners.get(task.runner)
    run = runner.runs.get(key) if runner is not None else None
    if run is not None:
        run.marked = True
        run.suspect = bool(own_marks(task.crashes))


def _give_up(
    state: Scheduler, job: JobState, key: TaskKey, marks: Iterable[CrashMark], now: float
) -> None:
    state.note(
        "task-given-up",
        task=key,
        why="runners crash under it",
        runners=[one.runner for one in marks],
        lived_ms=[one.lived_ms for one in marks],
    )
    state.crashes.forget(key)
    state.give_up(job, now)

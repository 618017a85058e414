"""Tell what waiting work needs of a runner, and choose runners for all of it by turns.

A large fleet has more runners than its leader can poll all the time, so it chooses some that could
take the work that waits. Some of that work may wait for good, as a gang does that is larger than
the fleet, and it must not use up the polls of the rest.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.poll_budget import Turns
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Demand, RunnerId

MAX_NEEDS = 8
"""Maximum number of different needs considered at a time."""

MAX_JOBS = 64
"""Maximum number of waiting jobs whose needs are considered at a time."""


class Need(NamedTuple):
    """What a runner must have to take one task of a step."""

    service: ServiceName
    demand: Demand
    label: str


class Position(NamedTuple):
    """A waiting step, by its number in its job, and the number of jobs before in the same turn."""

    jobs: int
    step: int


class NeedsInTurn(NamedTuple):
    """Different needs of waiting jobs, first those of the job whose turn it is.

    Attributes:
        needs: the needs.
        first_at: for each need, the first step that has it.
        next_at: the step after those considered.
    """

    needs: tuple[Need, ...] = ()
    first_at: tuple[Position, ...] = ()
    next_at: Position = Position(0, 0)


def needs_in_turn(state: Scheduler, turns: Turns) -> NeedsInTurn:
    """Return needs of the jobs with tasks that wait for a runner, for whatever reason.

    What was tried in the last pass does not matter: a task may be held for something that only a
    runner without a recent answer can give it, such as a runner of its own.
    """
    waiting = list(state.ready)
    turns.next_job %= max(1, len(waiting))
    in_turn = [*waiting[turns.next_job :], *waiting[: turns.next_job]][:MAX_JOBS]
    first_at: dict[Need, Position] = {}
    for before, job_id in enumerate(in_turn):
        first_step = turns.next_step if before == 0 else 0
        for number, need in enumerate(_needs_of(state, state.jobs[job_id])):
            if number < first_step or need in first_at:
                continue
            position = Position(before, number)
            if len(first_at) == MAX_NEEDS:
                return NeedsInTurn(tuple(first_at), tuple(first_at.values()), position)
            first_at[need] = position
    next_at = Position(len(in_turn), 0)
    return NeedsInTurn(tuple(first_at), tuple(first_at.values()), next_at)


def _needs_of(state: Scheduler, job: JobState) -> Iterator[Need]:
    service = state.service_of(job)
    for round_state in job.rounds.values():
        for _, step in round_state.ready():
            yield Need(service, step.spec.demand, step.spec.label)


def end_turns(turns: Turns, waiting: NeedsInTurn, polls: int, limit: int) -> None:
    """Give the next turn to the first need for which no poll was sent, if each got one in turn.

    If fewer polls were sent than allowed, no runner was left that could take any of the needs.
    """
    all_served = polls < limit or polls >= len(waiting.needs)
    position = waiting.next_at if all_served else waiting.first_at[polls]
    turns.next_job += position.jobs
    turns.next_step = position.step


def could_take(runner: RunnerState, need: Need) -> bool:
    """Return whether a runner belongs to the service and has the free capacity and the label."""
    return (
        runner.entry.room.millicores >= need.demand.millicores
        and runner.entry.service == need.service
        and runner.fits(need.demand)
        and (not need.label or need.label in runner.entry.labels)
    )


def choose_by_turns(
    runners: Sequence[RunnerState], needs: Iterable[Need], limit: int
) -> dict[RunnerId, RunnerState]:
    """Return at most `limit` runners, each need in turn adding the first that could take it."""
    chosen: dict[RunnerId, RunnerState] = {}
    candidates = [_candidates(runners, need, chosen) for need in needs]
    while candidates and len(chosen) < limit:
        for found in list(candidates):
            runner = next(found, None)
            if runner is None:
                candidates.remove(found)
            elif len(chosen) < limit:
                chosen[runner.id] = runner
    return chosen


def _candidates(
    runners: Sequence[RunnerState], need: Need, chosen: dict[RunnerId, RunnerState]
) -> Iterator[RunnerState]:
    """Yield the runners that could take a need and are not chosen at that moment."""
    for runner in runners:
        if could_take(runner, need) and runner.id not in chosen:
            yield runner

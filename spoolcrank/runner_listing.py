"""Keep the leader's runners in step with the list that the store has of them."""

from collections.abc import Mapping

from spoolcrank.runner_state import RunnerEntry, RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId


def list_runners(state: Scheduler, entries: Mapping[RunnerId, RunnerEntry], now: float) -> None:
    """Take the whole list of runners as the store has it now."""
    addresses = {entry.address: entry.id for entry in entries.values()}
    for entry in entries.values():
        _list_runner(state, entry, now)
    for runner in list(state.runners.values()):
        if runner.id in entries:
            continue
        if runner.listed:
            runner.listed = False
            state.note("runner-unlisted", runner=runner.id, runs=len(runner.runs))
        if runner.entry.address in addresses:
            state.lose_runner(runner, "another incarnation at its address", now)
        elif not runner.runs and runner.silent_since is not None:
            del state.runners[runner.id]


def _list_runner(state: Scheduler, entry: RunnerEntry, now: float) -> None:
    held = state.runners.get(entry.id)
    if held is None:
        state.runners[entry.id] = RunnerState(entry)
        state.note("runner-listed", runner=entry.id, leaving=entry.leaving)
        return
    if held.entry.leaving != entry.leaving:
        state.note("runner-leaving", runner=entry.id, leaving=entry.leaving)
    held.entry = entry
    held.listed = True

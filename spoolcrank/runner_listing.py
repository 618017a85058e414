"""Update the leader's runners from the list of runners in the store."""

from collections.abc import Mapping

from spoolcrank.ids import Address
from spoolcrank.runner_directory import Listing
from spoolcrank.runner_ids import name_of
from spoolcrank.runner_state import NO_RUNNERS, RunnerEntry, RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId

MAX_RELIST_DELAY_S = 2.0
"""Time after the return of the store, in seconds, within which entries that expired during its
outage are back, as specified by the platform; a runner whose entry is still missing then counts as
leaving. An entry that another writer overwrote is back by then too, as its runner writes it again
and again."""


def list_runners(
    state: Scheduler,
    listing: Listing,
    store_back_at: float,
    now: float,
) -> None:
    """Apply the complete list of runners as the store has it now.

    Args:
        state: state of the leader.
        listing: all entries, by runner.
        store_back_at: time at which the store last began to answer, in monotonic seconds.
        now: time in monotonic seconds.
    """
    if state.stated.listed_at is None:
        state.stated.listed_at = now
    services = state.services()
    for entry in listing.entries.values():
        present = state.runners.get(entry.id)
        service_known = services is None or entry.service in services
        if service_known or (present is not None and present.runs):
            _list_runner(state, entry, now)
        elif present is not None and _belongs_to(entry, present):
            # Nothing is sent to its service any more, so it does not need to be polled either.
            del state.runners[entry.id]
    ids_at = _ids_by_address(listing.entries)
    names = {name_of(runner) for runner in listing.entries}
    for runner in list(state.runners.values()):
        current_entry = listing.entries.get(runner.id)
        if current_entry is None or not _belongs_to(current_entry, runner):
            name = name_of(runner.id)
            restarted = current_entry is None and name in names
            overwritten = current_entry is not None or restarted or name in listing.unreadable
            _record_missing_entry(state, runner, overwritten, restarted, store_back_at, now)
        # Any writer may write an entry with the address of a live runner. The answer from that
        # address shows which incarnation it is, and only that releases the runs of another one.
        runner.set_ids_at_address(ids_at.get(runner.entry.address, NO_RUNNERS) - {runner.id})


def _ids_by_address(
    entries: Mapping[RunnerId, RunnerEntry],
) -> dict[Address, frozenset[RunnerId]]:
    ids: dict[Address, frozenset[RunnerId]] = {}
    for entry in entries.values():
        ids[entry.address] = ids.get(entry.address, NO_RUNNERS) | {entry.id}
    return ids


def _belongs_to(entry: RunnerEntry, runner: RunnerState) -> bool:
    """Return whether an entry can be the runner's own.

    The address and the service of an incarnation never change.
    """
    if runner.answered_at < 0:
        return True
    known_entry = runner.entry
    return entry.address == known_entry.address and entry.service == known_entry.service


def _ended_elsewhere(entry: RunnerEntry, runner: RunnerState) -> bool:
    """Return whether a runner was taken for ended by an answer from an address not its own.

    An entry that another writer overwrote may have named that address.
    """
    asked_at = runner.entry.address
    never_answered = runner.answered_at < 0
    return runner.gone and never_answered and bool(asked_at) and entry.address != asked_at


def _list_runner(state: Scheduler, entry: RunnerEntry, now: float) -> None:
    runner = state.runners.get(entry.id)
    if runner is None or _ended_elsewhere(entry, runner):
        state.register(entry, now)
        state.log_event("runner-listed", runner=entry.id, leaving=entry.leaving)
        return
    if not _belongs_to(entry, runner):
        return
    if runner.entry.leaving != entry.leaving:
        state.log_event("runner-leaving", runner=entry.id, leaving=entry.leaving)
    runner.entry = entry
    runner.evacuated = entry.availability_zone in state.evacuated
    runner.listed = True
    runner.entry_removed_at = None
    runner.leaving_from = None


def _record_missing_entry(
    state: Scheduler,
    runner: RunnerState,
    overwritten: bool,
    restarted: bool,
    store_back_at: float,
    now: float,
) -> None:
    if runner.listed:
        runner.listed = False
        if runner.adopted and runner.silent_since is None and not restarted:
            runner.entry_removed_at = now
        runner.leaving_from = max(now, (now if overwritten else store_back_at) + MAX_RELIST_DELAY_S)
        state.log_event(
            "runner-unlisted",
            runner=runner.id,
            runs=len(runner.runs),
            written_over=overwritten,
            restarted=restarted,
            store_back_s=round(now - store_back_at, 2),
        )
    if not _is_over(runner):
        return
    if not runner.gone and state.late_starts.is_outstanding(runner.id, now):
        # It may restart under its name and is polled until then.
        state.late_starts.kept.add(runner.id)
    else:
        del state.runners[runner.id]


def drop_kept_runners(state: Scheduler, now: float) -> None:
    """Drop the runners that were kept for their late starts once none is outstanding."""
    for runner_id in list(state.late_starts.kept):
        runner = state.runners.get(runner_id)
        if runner is not None and not runner.gone and not runner.listed:
            if state.late_starts.is_outstanding(runner_id, now):
                continue
            if _is_over(runner):
                del state.runners[runner_id]
        state.late_starts.kept.discard(runner_id)
    state.late_starts.forget_old(now)


def _is_over(runner: RunnerState) -> bool:
    """Return whether a runner without an entry has no runs left and is not heard of any more."""
    return not runner.runs and (runner.silent_since is not None or runner.gone)

"""Choose what the leader writes next: a batch of records or a claim."""

from typing import NamedTuple

from spoolcrank.batching import take_batch
from spoolcrank.leadership import Leadership
from spoolcrank.pending_writes import Batch
from spoolcrank.scheduler import Scheduler
from spoolcrank.unreached_runners import claim_due, grants_due


class NextRecord(NamedTuple):
    """What to write next; nothing if there is neither a batch nor a claim.

    Attributes:
        batch: the records of decisions, taken from those that wait to be stored.
        claim: whether to write a claim, which is also the leader's heartbeat.
    """

    batch: Batch | None = None
    claim: bool = False


def next_record(state: Scheduler, leadership: Leadership, now: float) -> NextRecord:
    """Return what to write now.

    A claim that states something goes before a batch, but two of them only if no batch waits: with
    a slow store the next one is due as soon as one is stored.
    """
    stating = claim_due(state, now) or leadership.statement_due
    batch_first = state.stated.claim_was_last and not grants_due(state, now)
    state.pending_writes.add_due_begun(now)
    batch = take_batch(state) if not stating or batch_first else None
    if batch is None:
        return NextRecord(claim=stating or leadership.due_actions(now).heartbeat)
    state.stated.claim_was_last = False
    return NextRecord(batch)

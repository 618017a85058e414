"""Claim leadership for one instance, or offer to lead, through the scheduler's log.

Only the term decides between claims: the store accepts the first claim of a term, and only a claim
that is read back counts. A claimant first reads the log to its end, so that it does not treat a
leader whose newest record it has not read yet as silent. If the leader did not resign, the first
claims are also conditional on the log's end: carried out late, they would depose a leader that has
recovered. Later claims are unconditional, because arriving jobs move the log's end while no
instance leads.
"""

from collections.abc import Callable

from spoolcrank.decoding import Unreadable
from spoolcrank.keyed_log import LEADER_KEY, OFFER_KEY, KeyedRecord
from spoolcrank.leader_writer import FIRST_SEQUENCE
from spoolcrank.leadership import Claim, Leadership, Offer, decode_claim, decode_offer
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import Append, Appended, AppendOutcome, LogPort, WriterFence
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import encode

MAX_CONDITIONAL_CLAIMS = 3
"""Number of claims of a term that are conditional on the log's end, unless the leader resigned. If
the store answers within 0.1 s, each claim takes 0.2 s."""

CLAIM_RETRY_S = 0.1
"""Delay before the next claim after one that was not stored or was not answered, in seconds.
Repeating a claim is harmless, and 29 instances use at most 290 of the store's 1,200 writes per
second."""

_TERM_SEEN = (AppendOutcome.FENCED, AppendOutcome.OUT_OF_ORDER, AppendOutcome.STORED)


class Claiming:
    """The claim of one instance that is in flight, and the offers that it makes."""

    def __init__(
        self,
        leadership: Leadership,
        log: LogPort,
        follower: LogFollower,
        telemetry: Telemetry,
        clock: Callable[[], float],
    ) -> None:
        self.leadership = leadership
        self.allowed = True
        self._log = log
        self._follower = follower
        self._telemetry = telemetry
        self._clock = clock
        self._busy = False
        self._retry_at = -1.0
        self._conditional_term = 0
        self._conditional_claims_left = 0
        self._newest_offer = -1
        self._claim_offset = -1
        self._wait_logged = False
        self._generation = follower.generation

    def read_claim(self, record: KeyedRecord, now: float) -> Claim | None:
        """Return the claim in a record if it differs from the newest one read before.

        Raise Unreadable if it cannot be read.
        """
        if self._follower.generation != self._generation:
            # The claims before those of a load were not read.
            self._generation = self._follower.generation
            self.leadership.record_missed_claims()
        try:
            claim = decode_claim(record.value)
        except Unreadable:
            self.leadership.record_missed_claims()
            raise
        if not self.leadership.read_claim(claim, now):
            return None
        self._claim_offset = record.offset
        self._wait_logged = False
        return claim

    def may_take_over(self) -> bool:
        """Return whether this instance leads and has read every record up to its claim.

        A claim may be read among the newest records of a copy that is being loaded. The copy may
        then lack jobs that were accepted and begun before the claim. It also needs the last claim
        of the leader before, whose later records the store refuses: an earlier one may state
        runners as unreached that were adopted since.
        """
        if not self.leadership.leads:
            return False
        if self._follower.copy.is_complete_to(self._claim_offset):
            return True
        self._log_wait()
        return False

    def _log_wait(self) -> None:
        """Log once for each claim that taking over waits for the log."""
        if self._wait_logged:
            return
        self._wait_logged = True
        copy = self._follower.copy
        self._telemetry.log(
            "takeover-waits",
            important=True,
            term=self.leadership.claim.term,
            claim=self._claim_offset,
            offset=copy.next_offset,
            loaded=copy.loaded,
        )

    def claim_or_offer(self, now: float) -> None:
        """Claim or offer if that is due; only for an instance that does not lead."""
        if self._busy or not self.allowed or not self._follower.copy.loaded:
            return
        if now < self._retry_at:
            return
        due_actions = self.leadership.due_actions(now)
        if due_actions.claim:
            self._busy = True
            self._follower.eager = True
            self._follower.refresh(self._on_read)
        elif due_actions.offer and self._follower.contact:
            self._offer(now)

    def _on_read(self, ok: bool) -> None:
        """Claim if a claim is still due after the log was read to its end."""
        now = self._clock()
        due = ok and self.allowed and self._follower.copy.loaded
        if not due or not self.leadership.due_actions(now).claim:
            self._finish()
            return
        claim = self.leadership.next_claim(now)
        self._telemetry.log(
            "claims",
            important=True,
            term=claim.term,
            silent_s=round(now - self.leadership.last_contact_at, 2),
            has_copies=self.leadership.has_copies,
            offset=self._follower.copy.next_offset,
            read_age_s=round(now - self._follower.copy.read_at, 3),
        )
        fence = WriterFence(claim.term, FIRST_SEQUENCE)
        record = KeyedRecord(LEADER_KEY, encode(claim))
        self._log.append(Append([record], fence, self._condition(claim.term)), self._on_claimed)

    def _condition(self, term: int) -> int | None:
        """Return the log end on which a claim is conditional, or None if it is unconditional."""
        if term != self._conditional_term:
            self._conditional_term, self._conditional_claims_left = term, MAX_CONDITIONAL_CLAIMS
        if (
            self.leadership.claim.resigned
            or self.leadership.claim.term == 0
            or not self._conditional_claims_left
        ):
            return None
        self._conditional_claims_left -= 1
        return self._follower.copy.next_offset

    def _on_claimed(self, appended: Appended) -> None:
        self._telemetry.log("claim-answered", important=True, outcome=appended.outcome.value)
        if appended.outcome in _TERM_SEEN:
            self.leadership.record_unread_claim()
            # A stored claim is read back shortly; otherwise another instance claimed.
            self.leadership.defer_claim(self._clock())
        elif appended.outcome is not AppendOutcome.OFFSET_MISMATCH:
            self._retry_at = self._clock() + CLAIM_RETRY_S
        self._finish()
        if appended.outcome is AppendOutcome.OFFSET_MISMATCH:
            self.claim_or_offer(self._clock())
        else:
            self._follower.refresh(lambda ok: None)

    def _finish(self) -> None:
        self._busy = False
        if not self.leadership.leads:
            self._follower.eager = False

    def read_offer(self, record: KeyedRecord, now: float) -> Offer | None:
        """Return the offer in a record if it is new and this leader should hand over to it."""
        # Loading the log again repeats the newest offer, whose instance may have died since.
        if record.offset <= self._newest_offer:
            return None
        self._newest_offer = record.offset
        offer = decode_offer(record.value)
        return offer if self.leadership.read_offer(offer, now) else None

    def _offer(self, now: float) -> None:
        """Write an offer to lead, as this instance has many more processors than the leader."""
        offer = self.leadership.own_offer(now)
        self._telemetry.log("offers", important=True, processors=offer.processors)
        record = KeyedRecord(OFFER_KEY, encode(offer))
        self._log.append(Append([record]), lambda appended: None)

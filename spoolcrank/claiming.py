"""Claim the lead for one instance, or offer it for one, over the scheduler's log.

Nothing but the term decides between claims: the store takes the first one of a term, and only a
claim that is read back counts. A claimant reads the log up to its end first, so that no leader is
taken for silent whose newest record was not read yet. Where the leader did not resign, the first
claims rest on the log's end besides: carried out late, they would depose a leader that is back.
Later ones do not, as jobs that keep coming move the log while nobody leads.
"""

from collections.abc import Callable

from spoolcrank.keyed_log import LEADER_KEY, OFFER_KEY, KeyedRecord
from spoolcrank.leader_writer import FIRST_SEQUENCE
from spoolcrank.leadership import Leadership, Offer, decode_offer
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import Append, Appended, AppendOutcome, LogPort, WriterFence
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import encode

CAUTIOUS_CLAIMS = 3
"""So many claims of a term rest on the log's end, unless the leader resigned. With answers of 0.1 s
each takes 0.2 s."""

AGAIN_S = 0.1
"""After a claim that surely was not kept, or has no answer, the next one waits so long, s: the
repeat does no harm, and 29 instances make 290 of the store's 1,200 writes a second at most."""

_TERM_SEEN = (AppendOutcome.FENCED, AppendOutcome.OUT_OF_ORDER, AppendOutcome.KEPT)


class Claiming:
    """The claim of one instance that is on its way, and the offers that it makes."""

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
        self._again_at = -1.0
        self._term = 0
        self._cautious = 0
        self._newest_offer = -1

    def work(self, now: float) -> None:
        """Claim or offer, where that is due; only for an instance that does not lead."""
        if self._busy or not self.allowed or not self._follower.copy.loaded:
            return
        if now < self._again_at:
            return
        duty = self.leadership.duty(now)
        if duty.claim:
            self._busy = True
            self._follower.eager = True
            self._follower.refresh(self._on_read)
        elif duty.offer:
            self._offer(now)

    def _on_read(self, ok: bool) -> None:
        """Claim if the leader is still silent, or gone, by a copy read up to now."""
        now = self._clock()
        due = ok and self.allowed and self._follower.copy.loaded
        if not due or not self.leadership.duty(now).claim:
            self._end()
            return
        claim = self.leadership.next_claim(now)
        self._telemetry.log(
            "claims",
            grave=True,
            term=claim.term,
            silent_s=round(now - self.leadership.heard_at, 2),
            offset=self._follower.copy.next_offset,
            read_age_s=round(now - self._follower.copy.read_at, 3),
        )
        fence = WriterFence(claim.term, FIRST_SEQUENCE)
        record = KeyedRecord(LEADER_KEY, encode(claim))
        self._log.append(Append([record], fence, self._condition(claim.term)), self._on_claimed)

    def _condition(self, term: int) -> int | None:
        """Return where the log has to end for a claim to be kept, or None for anywhere."""
        if term != self._term:
            self._term, self._cautious = term, CAUTIOUS_CLAIMS
        if self.leadership.claim.resigned or self.leadership.claim.term == 0 or not self._cautious:
            return None
        self._cautious -= 1
        return self._follower.copy.next_offset

    def _on_claimed(self, got: Appended) -> None:
        self._telemetry.log("claim-answered", grave=True, outcome=got.outcome.value)
        if got.outcome in _TERM_SEEN:
            self.leadership.claim_ignored()
            # Kept, it is read back in a moment; else somebody claimed.
            self.leadership.put_off(self._clock())
        elif got.outcome is not AppendOutcome.MOVED:
            self._again_at = self._clock() + AGAIN_S
        self._end()
        if got.outcome is AppendOutcome.MOVED:
            self.work(self._clock())
        else:
            self._follower.refresh(lambda ok: None)

    def _end(self) -> None:
        self._busy = False
        if not self.leadership.leads:
            self._follower.eager = False

    def read_offer(self, record: KeyedRecord, now: float) -> Offer | None:
        """Return the offer in a record if it is new and this leader should hand over to it."""
        # A log that is loaded anew gives the newest offer again; who made it may be gone.
        if record.offset <= self._newest_offer:
            return None
        self._newest_offer = record.offset
        offer = decode_offer(record.value)
        return offer if self.leadership.read_offer(offer, now) else None

    def _offer(self, now: float) -> None:
        """Tell the leader that this instance is much larger than its own."""
        offer = self.leadership.own_offer(now)
        self._telemetry.log("offers", grave=True, processors=offer.processors)
        record = KeyedRecord(OFFER_KEY, encode(offer))
        self._log.append(Append([record]), lambda got: None)

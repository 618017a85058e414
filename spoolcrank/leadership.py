"""Decide which entry instance schedules: one leader at a time, claimed on the log.

A claim raises the writer's epoch on the log, so that the store refuses writes of an earlier
leader that are still in flight. Its term is the fencing token of every order to a runner. Only a
claim that is read back counts. If an instance has many more processors than the leading one, it
offers to lead, and the leader hands over to it: one process places all tasks, so the largest
instance can handle the most load.
"""

import random
from typing import NamedTuple

import msgspec

from spoolcrank.decoding import raises_unreadable
from spoolcrank.ids import Incarnation, InstanceId

HEARTBEAT_S = 0.4
"""Interval at which a leader with nothing else to write stores a heartbeat, in seconds. It is a
third of LEADER_TIMEOUT_S."""

LEADER_TIMEOUT_S = 1.3
"""Time without a record of the leader after which other instances claim, in seconds; more than
three heartbeats."""

CLAIM_JITTER_S = 0.4
"""Range of the random delay that spreads the claims of several instances, in seconds; about the
time of ten appends to the log."""

SELF_FENCE_S = 1.7
"""Time after sending its newest confirmed write for which a leader may extend leases, in seconds;
two calls to the store. Together with the lease (7.5 s) it determines how long tasks survive an
outage of the store, and how long the tasks of a runner that died with its leader have to wait
(9.5 s including clock drift; after 10 s they would count as lost)."""


LARGER_INSTANCE_RATIO = 1.5
"""Ratio to the leader's processors from which an instance offers to lead. A handover costs some
tenths of a second without starts, which a smaller difference does not justify."""

MIN_TERM_BEFORE_OFFER_S = 0.3
"""Time a leader must have led before an instance offers to lead, in seconds; the claim of another
large instance may be in flight."""

OFFER_JITTER_S = 1.0
"""Range of the random delay that spreads the offers of several instances, in seconds; the first
offer that is read makes the others unnecessary. Offers have to come soon, as a leader on a small
instance starts almost nothing on a large fleet."""

MIN_OFFER_INTERVAL_S = 3.0
"""Minimum time between two offers, whichever instances make them, in seconds. An offer that was
lost is repeated after it."""

SUCCESSOR_HEAD_START_S = 0.5
"""Extra delay of other instances' claims after a leader named its successor, in seconds."""

SMALLER_INSTANCE_DELAY_S = 0.8
"""Extra claim delay of an instance much smaller than one that led or offered to lead, in seconds.
It is the sum of the jitter (0.4), the pause of a follower that does not lead (0.3) and the tick
(0.1), so that a large instance that is alive claims first."""


MAX_UNREAD_CLAIMS = 20
"""Maximum number of unread claims that are counted. Each one doubles the step to the next term, so
that the step exceeds a million within some seconds."""

NO_SUCCESSOR = Incarnation("")


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """The record by which an instance with many more processors than the leader offers to lead."""

    instance: InstanceId
    incarnation: Incarnation
    processors: float


decode_offer = raises_unreadable(msgspec.json.Decoder(Offer).decode)


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The record that states which instance leads.

    Attributes:
        term: increases with each claim; 0 before the first.
        instance: the instance that claims.
        incarnation: the incarnation of its process.
        resigned: the leader resigned, and other instances need not wait for its timeout.
        processors: its instance's capacity, in cores of the fleet's usual speed.
        successor: the incarnation that a resigned leader hands over to; empty for any.
        unreached_ms: the runners with runs that the leader has not reached, each with the time
            from which the leases of earlier leaders there may run, as its age in ms.
        granted_nothing: its writer has granted no lease in this term, and grants none before a
            later claim without this is stored.
        lacks_copy: the leader places nothing as its copy of the list of runners or the log is old.
    """

    term: int = 0
    instance: InstanceId = InstanceId("")
    incarnation: Incarnation = Incarnation("")
    resigned: bool = False
    processors: float = 0.0
    successor: Incarnation = NO_SUCCESSOR
    unreached_ms: dict[str, int] = {}
    granted_nothing: bool = False
    lacks_copy: bool = False


decode_claim = raises_unreadable(msgspec.json.Decoder(Claim).decode)


class DueActions(NamedTuple):
    """The kinds of records about leadership that an instance should write now."""

    claim: bool = False
    heartbeat: bool = False
    offer: bool = False


class Leadership:
    """One instance's view of which instance leads; it decides when to claim or offer to lead."""

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        now: float,
        processors: float = 1.0,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.processors = processors
        self.claim = Claim()
        self.last_contact_at = now
        self.leader_wrote_at = now
        self.confirmed_at = -1.0
        self.confirmed_since = now
        self.wrote_at = -1.0
        self._term_read_at = now
        self._largest_processors = processors
        self._offered_at = -1.0
        self._offer_jitter_s = random.Random(incarnation).uniform(0.0, OFFER_JITTER_S)
        self._jitter_s = random.Random(incarnation).uniform(0.0, CLAIM_JITTER_S)
        self._unanswered_s = 0.0
        self._resigned_term = 0
        self._claimed_term = 0
        self.claimed_at = -1.0
        self._unread_claims = 0
        self._unreached_since: dict[int, dict[str, float]] = {}
        self.may_grant = False
        self._may_have_granted_at = -1.0
        self._leader_granted_nothing = False
        self._missed_claims = True
        self.lacks_copy = False
        self.leader_lacks_copy = False
        self.has_copies = False
        self._stated_lacks_copy = False
        self.may_offer = True

    @property
    def leads(self) -> bool:
        """Return whether the newest claim that was read is this process' own and not resigned."""
        return self.claim.incarnation == self.incarnation and not self.claim.resigned

    def read_claim(self, claim: Claim, now: float) -> bool:
        """Apply a claim read from the log; return whether it differs from the previous one.

        What it states about leases and copies does not count for that. Only the newest claim of a
        term counts for it: a later one withdraws what it does not state.

        A leader that has granted nothing leaves the time unchanged from which leases may run. If
        claims before it were not read, a leader before it may have written until now.
        """
        if claim.term < self.claim.term:
            return False
        self._unread_claims = 0
        if claim.term == self._resigned_term and claim.incarnation == self.incarnation:
            claim = msgspec.structs.replace(claim, resigned=True)
        self._read_unreached(claim, now)
        self._leader_granted_nothing = claim.granted_nothing
        self.leader_lacks_copy = claim.lacks_copy
        claim = msgspec.structs.replace(
            claim, unreached_ms={}, granted_nothing=False, lacks_copy=False
        )
        changed = claim != self.claim
        self._largest_processors = max(self._largest_processors, claim.processors)
        if claim.term != self.claim.term:
            self._term_read_at = now
            self.may_grant = not self._leader_granted_nothing
            if self._stated_lacks_copy:
                self.may_offer = False
            self.lacks_copy = self._stated_lacks_copy = False
        self.claim = claim
        self.last_contact_at = now
        if self._missed_claims or not (self.leads or self._leader_granted_nothing):
            self.leader_wrote_at = now
        self._missed_claims = False
        return changed

    def _read_unreached(self, claim: Claim, now: float) -> None:
        before = claim.term - 1
        inherited = self._unreached_since.get(before, {})
        stated = {runner: now - age_ms / 1000.0 for runner, age_ms in claim.unreached_ms.items()}
        self._unreached_since = {before: inherited}
        self._unreached_since[claim.term] = inherited if claim.granted_nothing else stated

    def record_missed_claims(self) -> None:
        """Record that claims were not read; they may have withdrawn what earlier ones stated."""
        self._unreached_since = {}
        self._missed_claims = True

    def record_leader_write(self, now: float) -> None:
        """Record that a record was read that only a leader writes."""
        self.last_contact_at = now
        if self._missed_claims or not self._leader_granted_nothing:
            self.leader_wrote_at = now

    def begin_to_grant(self) -> None:
        """Record that this leader may grant leases once its next claim is stored."""
        self.may_grant = True
        self._may_have_granted_at = max(self._may_have_granted_at, self.confirmed_at)

    def read_offer(self, offer: Offer, now: float) -> bool:
        """Apply an offer read from the log; return whether this leader should hand over to it."""
        self._offered_at = now
        self._largest_processors = max(self._largest_processors, offer.processors)
        return self.leads and offer.processors >= self.processors * LARGER_INSTANCE_RATIO

    def own_offer(self, now: float) -> Offer:
        """Return the offer of this instance, and record the time of making it."""
        self._offered_at = now
        return Offer(self.instance, self.incarnation, self.processors)

    def defer_claim(self, now: float) -> None:
        """Restart the wait before the next claim."""
        self.last_contact_at = now

    def record_unread_claim(self) -> None:
        """Count a claim whose term the store has seen; reading any claim resets the count."""
        self._unread_claims = min(self._unread_claims + 1, MAX_UNREAD_CLAIMS)

    def record_unanswered(self, total_s: float, now: float) -> None:
        """Record for how long in all the log has not answered, in seconds.

        The leader may have been unable to write meanwhile, so its silence does not include that
        time. Silence before and after it still counts.
        """
        self.last_contact_at = min(now, self.last_contact_at + total_s - self._unanswered_s)
        self._unanswered_s = total_s

    def record_confirmed_write(self, sent_at: float) -> None:
        """Record that a write of this leader, sent at `sent_at`, was stored."""
        if sent_at - self.confirmed_at > SELF_FENCE_S:
            self.confirmed_since = sent_at
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if self.may_grant:
            self._may_have_granted_at = self.confirmed_at

    def may_extend(self, now: float) -> bool:
        """Return whether this leader may still extend the leases of runners."""
        return self.leads and now <= self.extends_until

    @property
    def predecessor_wrote_at(self) -> float:
        """Return the time from which leases of an earlier leader may run, in monotonic seconds.

        The earlier leader may be this same process: an instance that resigns and leads again may
        have read no other leader's records since, while runs that it started are still running.
        """
        return max(self.leader_wrote_at, self._may_have_granted_at)

    def unreached_since(self, term: int) -> dict[str, float]:
        """Return the runners that the leader before a term never reached.

        Each has the time from which leases of earlier leaders may run there, in monotonic seconds.
        Only the leader of the term right before is known to have reached none of them.
        """
        return self._unreached_since.get(term - 1, {})

    @property
    def extends_until(self) -> float:
        """Return the time until which this leader may extend leases, in monotonic seconds."""
        return self.confirmed_at + SELF_FENCE_S

    def due_actions(self, now: float) -> DueActions:
        """Return what to write now; called several times a second."""
        if self.leads:
            return DueActions(heartbeat=now - self.wrote_at >= HEARTBEAT_S)
        offer = self._should_offer(now)
        claim = self.leader_lacks_copy and self.has_copies
        claim = claim or now - self.last_contact_at >= self._claim_delay_s()
        return DueActions(claim=claim, offer=offer)

    @property
    def is_smaller(self) -> bool:
        """Return whether this instance is much smaller than one that led or offered to lead."""
        return self._largest_processors >= self.processors * LARGER_INSTANCE_RATIO

    @property
    def is_larger(self) -> bool:
        """Return whether this instance has many more processors than the leader."""
        return self.processors >= self.claim.processors * LARGER_INSTANCE_RATIO

    @property
    def grants_read(self) -> bool:
        """Return whether this leader read its own claim after which it may grant leases."""
        return self.leads and not self._leader_granted_nothing

    @property
    def statement_due(self) -> bool:
        """Return whether the newest claim states wrongly whether this leader lacks a copy."""
        return self.lacks_copy is not self._stated_lacks_copy

    def _claim_delay_s(self) -> float:
        """Return how long the leader must be silent before this instance claims, in seconds."""
        claim = self.claim
        if claim.resigned and claim.successor == self.incarnation:
            return 0.0
        if claim.instance == self.instance and claim.incarnation != self.incarnation:
            # The leader was an earlier process of this instance, so it no longer runs.
            return 0.0
        delay_s = self._jitter_s
        if not claim.resigned and claim.term > 0:
            delay_s += LEADER_TIMEOUT_S
        if claim.resigned and claim.successor:
            delay_s += SUCCESSOR_HEAD_START_S
        if self.is_smaller:
            delay_s += SMALLER_INSTANCE_DELAY_S
        return delay_s

    def _should_offer(self, now: float) -> bool:
        claim = self.claim
        if claim.term == 0 or claim.resigned or not (self.is_larger and self.may_offer):
            return False
        led_s = now - self._term_read_at
        due = led_s >= MIN_TERM_BEFORE_OFFER_S + self._offer_jitter_s
        return due and (self._offered_at < 0 or now - self._offered_at >= MIN_OFFER_INTERVAL_S)

    def resign(self, term: int, successor: Incarnation = NO_SUCCESSOR) -> None:
        """Stop leading the term, even if its claim is read later; `successor` may claim first."""
        self._resigned_term = term
        if self.claim.term == term and self.claim.incarnation == self.incarnation:
            claim = self.own_claim(resigned=True, successor=successor)
            self.claim = msgspec.structs.replace(claim, granted_nothing=False)

    def own_claim(self, resigned: bool = False, successor: Incarnation = NO_SUCCESSOR) -> Claim:
        """Return the current claim as the leader writes it again."""
        claim = Claim(
            self.claim.term,
            self.instance,
            self.incarnation,
            resigned,
            self.processors,
            successor,
            granted_nothing=not self.may_grant,
        )
        if resigned:
            return claim
        self._stated_lacks_copy = self.lacks_copy
        return msgspec.structs.replace(claim, lacks_copy=self.lacks_copy)

    def next_claim(self, now: float) -> Claim:
        """Return the claim to write now; the store accepts only the first claim of a term."""
        # If the newest claim cannot be read, larger steps pass the term that the store has seen.
        term = self.claim.term + 2**self._unread_claims
        if self._claimed_term != term:
            self._claimed_term = term
            self.claimed_at = now
        return Claim(
            term,
            self.instance,
            self.incarnation,
            processors=self.processors,
            granted_nothing=True,
        )

"""Decide which entry instance schedules: one leader at a time, claimed on the log.

A claim raises the writer's epoch on the log, so that nothing an earlier leader still has on
its way is taken, and its term is the fence of every order to a runner. Only a claim that is
read back counts. An instance with many more processors than the leader's offers itself, and the
leader hands over to it: one process places everything, so the largest instance carries most.
"""

import random
from typing import NamedTuple

import msgspec

from spoolcrank.ids import Incarnation, InstanceId
from spoolcrank.reading import reader

HEARTBEAT_S = 0.4
"""A leader with nothing to write says so often that it lives, s; a third of SILENT_S."""

SILENT_S = 1.3
"""Without a record of the leader for so long others claim, s; over three heartbeats."""

JITTER_S = 0.4
"""Claims of several instances are spread over so long, s; about ten appends of the log."""

SELF_FENCE_S = 1.7
"""A leader whose newest write was confirmed longer ago extends no lease, s: two calls of the store.
With the lease (7.5 s) it says for how long tasks live through an outage of the store, and for how
long those of a runner that died with its leader have to wait (9.5 s with the clocks' drift; after
10 s they would count as lost)."""


MUCH_LARGER = 1.5
"""An instance with so many times the leader's processors offers itself; a handover costs some
tenths of a second without starts, which a smaller difference does not earn."""

OFFER_AFTER_S = 0.3
"""No offer before a leader has led for so long, s: another large one may be on its way."""

OFFER_SPREAD_S = 1.0
"""Offers of several instances are spread over so long, s; the first that is read ends the others. A
small leader of 350 runners started next to nothing for the 3 to 4.6 s that it led."""

OFFER_EVERY_S = 3.0
"""Between two offers, whoever makes them, s; one that was lost is made again."""

HEIR_S = 0.5
"""Others wait so long for the one that a leader hands over to, s."""

SMALLER_S = 0.8
"""An instance much smaller than one that led or offered itself waits so much longer to claim, s:
the jitter (0.4), the pause of a follower that does not lead (0.3) and of the loop (0.1) together:
a large one that lives comes first. With the jitter alone small ones led after 9 of 16 ends of
a leader while jobs kept coming, and one of a third of a core starts nothing over 350 runners."""


MOST_REFUSALS = 20
"""Claims of which none was read count up to here; each doubles the step to the next term, which so
passes a million within some seconds."""

NO_HEIR = Incarnation("")


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """The record of an instance that would lead better than the present leader."""

    instance: InstanceId
    incarnation: Incarnation
    processors: float


decode_offer = reader(msgspec.json.Decoder(Offer).decode)


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The record of who leads.

    Attributes:
        term: rises with each claim; 0 before the first.
        instance: who claims.
        incarnation: of its process.
        resigned: the leader gave up and any other may claim at once.
        processors: of its instance, in cores of the fleet's usual speed.
        heir: the incarnation that a resigned leader hands over to; empty for any.
    """

    term: int = 0
    instance: InstanceId = InstanceId("")
    incarnation: Incarnation = Incarnation("")
    resigned: bool = False
    processors: float = 0.0
    heir: Incarnation = NO_HEIR


decode_claim = reader(msgspec.json.Decoder(Claim).decode)


class Duty(NamedTuple):
    """What an instance should do about the leadership now."""

    claim: bool = False
    heartbeat: bool = False
    offer: bool = False


class Leadership:
    """What one instance knows about who leads."""

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
        self.heard_at = now
        self.leader_wrote_at = now
        self.confirmed_at = -1.0
        self.wrote_at = -1.0
        self._term_read_at = now
        self._largest = processors
        self._offered_at = -1.0
        self._offer_jitter_s = random.Random(incarnation).uniform(0.0, OFFER_SPREAD_S)
        self._jitter_s = random.Random(incarnation).uniform(0.0, JITTER_S)
        self._lost_contact = True
        self._given_up = 0
        self._claims_term = 0
        self.claimed_at = -1.0
        self._refusals = 0

    @property
    def leads(self) -> bool:
        """Tell whether the newest claim that was read is this process' own."""
        return self.claim.incarnation == self.incarnation and not self.claim.resigned

    def read_claim(self, claim: Claim, now: float) -> bool:
        """Take a claim read from the log; returns whether who leads has changed."""
        if claim.term < self.claim.term:
            return False
        self._refusals = 0
        if claim.term == self._given_up and claim.incarnation == self.incarnation:
            claim = msgspec.structs.replace(claim, resigned=True)
        changed = claim != self.claim
        self._largest = max(self._largest, claim.processors)
        if claim.term != self.claim.term:
            self._term_read_at = now
        self.claim = claim
        self.heard_at = now
        if not self.leads:
            self.leader_wrote_at = now
        return changed

    def heard(self, now: float) -> None:
        """Take note of any record that only the leader writes."""
        self.heard_at = now
        self.leader_wrote_at = now

    def read_offer(self, offer: Offer, now: float) -> bool:
        """Take an offer read from the log; returns whether this leader should hand over to it."""
        self._offered_at = now
        self._largest = max(self._largest, offer.processors)
        return self.leads and offer.processors >= self.processors * MUCH_LARGER

    def own_offer(self, now: float) -> Offer:
        """Return the offer that this instance makes now."""
        self._offered_at = now
        return Offer(self.instance, self.incarnation, self.processors)

    def put_off(self, now: float) -> None:
        """Wait again before the next claim."""
        self.heard_at = now

    def claim_ignored(self) -> None:
        """Take note that the store has seen this term; void once any claim is read."""
        self._refusals = min(self._refusals + 1, MOST_REFUSALS)

    def lost_contact(self) -> None:
        """Take note that the log did not answer: silence of the leader means nothing."""
        self._lost_contact = True

    def in_contact(self, now: float) -> None:
        """Take note of an answer of the log."""
        if self._lost_contact:
            self._lost_contact = False
            self.heard_at = max(self.heard_at, now - SILENT_S / 2)

    def confirmed(self, sent_at: float) -> None:
        """Take note that a write of this leader, sent at `sent_at`, was taken."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def may_extend(self, now: float) -> bool:
        """Tell whether this leader may still extend leases of runners."""
        return self.leads and now <= self.extends_until

    @property
    def predecessor_wrote_at(self) -> float:
        """Return from when on leases that an earlier leader extended may count, monotonic seconds.

        That leader may have been this very process: an instance that gives the lead up and leads
        again has read nothing of anyone else since, and its own runs are at work all the same.
        """
        return max(self.leader_wrote_at, self.confirmed_at)

    @property
    def extends_until(self) -> float:
        """Return until when this leader may extend leases, by its newest confirmed write."""
        return self.confirmed_at + SELF_FENCE_S

    def duty(self, now: float) -> Duty:
        """Return what to do now; asked several times a second."""
        if self.leads:
            return Duty(heartbeat=now - self.wrote_at >= HEARTBEAT_S)
        if self._lost_contact:
            return Duty()
        offer = self._should_offer(now)
        return Duty(claim=now - self.heard_at >= self._patience_s(), offer=offer)

    def _patience_s(self) -> float:
        """Return how long a leader may be silent before this instance claims."""
        claim = self.claim
        if claim.resigned and claim.heir == self.incarnation:
            return 0.0
        if claim.instance == self.instance and claim.incarnation != self.incarnation:
            # The leader was this instance's last process: it is surely gone.
            return 0.0
        wait_s = self._jitter_s
        if not claim.resigned and claim.term > 0:
            wait_s += SILENT_S
        if claim.resigned and claim.heir:
            wait_s += HEIR_S
        if self._largest >= self.processors * MUCH_LARGER:
            wait_s += SMALLER_S
        return wait_s

    def _should_offer(self, now: float) -> bool:
        claim = self.claim
        if claim.term == 0 or claim.resigned:
            return False
        if self.processors < claim.processors * MUCH_LARGER:
            return False
        led_s = now - self._term_read_at
        due = led_s >= OFFER_AFTER_S + self._offer_jitter_s
        return due and (self._offered_at < 0 or now - self._offered_at >= OFFER_EVERY_S)

    def give_up(self, term: int, heir: Incarnation = NO_HEIR) -> None:
        """Stop leading the term, whatever the log will say of it; an heir may claim first."""
        self._given_up = term
        if self.claim.term == term and self.claim.incarnation == self.incarnation:
            self.claim = self.own_claim(resigned=True, heir=heir)

    def own_claim(self, resigned: bool, heir: Incarnation = NO_HEIR) -> Claim:
        """Return the present claim as its holder writes it again."""
        return Claim(
            self.claim.term, self.instance, self.incarnation, resigned, self.processors, heir
        )

    def next_claim(self, now: float) -> Claim:
        """Return the claim that this instance writes now; the first of a term is the one kept."""
        # Where the newest claim cannot be read, the term that the store has seen is tried for.
        term = self.claim.term + 2**self._refusals
        if self._claims_term != term:
            self._claims_term = term
            self.claimed_at = now
        return Claim(term, self.instance, self.incarnation, processors=self.processors)

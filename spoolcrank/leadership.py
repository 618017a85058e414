"""Decide which entry instance schedules: one leader at a time, claimed on the log.

A claim raises the writer's epoch on the log, so that nothing an earlier leader still has on
its way is taken, and its term is the fence of every order to a runner. Only a claim that is
read back counts.
"""

import random
from typing import NamedTuple

import msgspec

from spoolcrank.ids import Incarnation, InstanceId

HEARTBEAT_S = 0.4
"""A leader with nothing to write says so often that it lives, s; a third of SILENT_S."""

SILENT_S = 1.3
"""Without a record of the leader for so long others claim, s; over three heartbeats."""

JITTER_S = 0.4
"""Claims of several instances are spread over so long, s; about ten appends of the log."""

SELF_FENCE_S = 4.0
"""A leader whose newest write was confirmed longer ago extends no lease, s. With the lease it
says for how long tasks live through an outage of the store (7 s), and for how long those of a
runner that died with its leader have to wait (9 s; after 10 s they would count as lost)."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The record of who leads.

    Attributes:
        term: rises with each claim; 0 before the first.
        instance: who claims.
        incarnation: of its process.
        resigned: the leader gave up and any other may claim at once.
    """

    term: int = 0
    instance: InstanceId = InstanceId("")
    incarnation: Incarnation = Incarnation("")
    resigned: bool = False


decode_claim = msgspec.json.Decoder(Claim).decode


class Duty(NamedTuple):
    """What an instance should do about the leadership now."""

    claim: bool = False
    heartbeat: bool = False


class Leadership:
    """What one instance knows about who leads."""

    def __init__(self, instance: InstanceId, incarnation: Incarnation, now: float) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.claim = Claim()
        self.heard_at = now
        self.leader_wrote_at = now
        self.confirmed_at = -1.0
        self.wrote_at = -1.0
        self._jitter_s = random.Random(incarnation).uniform(0.0, JITTER_S)
        self._lost_contact = True
        self._given_up = 0

    @property
    def leads(self) -> bool:
        """Tell whether the newest claim that was read is this process' own."""
        return self.claim.incarnation == self.incarnation and not self.claim.resigned

    def read_claim(self, claim: Claim, now: float) -> bool:
        """Take a claim read from the log; returns whether who leads has changed."""
        if claim.term < self.claim.term:
            return False
        if claim.term == self._given_up and claim.incarnation == self.incarnation:
            claim = self.own_claim(resigned=True)
        changed = claim != self.claim
        self.claim = claim
        self.heard_at = now
        if not self.leads:
            self.leader_wrote_at = now
        return changed

    def heard(self, now: float) -> None:
        """Take note of any record that only the leader writes."""
        self.heard_at = now
        self.leader_wrote_at = now

    def put_off(self, now: float) -> None:
        """Wait again before the next claim."""
        self.heard_at = now

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
        return self.leads and now - self.confirmed_at <= SELF_FENCE_S

    def duty(self, now: float) -> Duty:
        """Return what to do now; asked several times a second."""
        if self.leads:
            return Duty(heartbeat=now - self.wrote_at >= HEARTBEAT_S)
        if self._lost_contact:
            return Duty()
        wait_s = self._jitter_s
        if not self.claim.resigned and self.claim.term > 0:
            wait_s += SILENT_S
        return Duty(claim=now - self.heard_at >= wait_s)

    def give_up(self, term: int) -> None:
        """Stop leading the term, whatever the log will say of it."""
        self._given_up = term
        if self.claim.term == term and self.claim.incarnation == self.incarnation:
            self.claim = self.own_claim(resigned=True)

    def own_claim(self, resigned: bool) -> Claim:
        """Return the present claim as its holder writes it again."""
        return Claim(self.claim.term, self.instance, self.incarnation, resigned)

    def next_claim(self) -> Claim:
        """Return the claim that this instance would write now."""
        return Claim(self.claim.term + 1, self.instance, self.incarnation)

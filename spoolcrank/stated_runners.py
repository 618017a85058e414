"""Remember which runners the stored claims of one leader may state as not reached."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from spoolcrank.runner_ids import RunnerName, name_of
from spoolcrank.workflow import RunnerId


@dataclass
class StatedRunners:
    """What the claims of one leader state about leases, and the runners that it inherited.

    Attributes:
        grants_claimed: whether a claim was sent after which leases may be granted.
        granting: whether such a claim is stored, so that leases are granted and runs started.
        listed_at: time at which the list of runners was read first, monotonic seconds.
        inherited_since: the runners that the leader before never reached, each with the time from
            which leases of earlier leaders may run there, monotonic seconds.
        sent_at: time at which the last claim was sent, monotonic seconds.
        claim_was_last: whether the last record written was a claim.
        names: the names in every claim that may be the newest one stored; no answer of them counts.
        silent_at_first: the names that the first claim after which leases may be granted stated.
        reached: the names that have answered this leader; no further claim states them as never
            reached.
        answered: the names that have answered since a claim stated them; no claim states them again
            before one without them is stored.
    """

    grants_claimed: bool = True
    granting: bool = True
    listed_at: float | None = 0.0
    inherited_since: dict[RunnerId, float] = field(default_factory=dict)
    sent_at: float = -1.0
    claim_was_last: bool = False
    names: frozenset[RunnerName] = frozenset()
    silent_at_first: frozenset[RunnerName] = frozenset()
    reached: set[RunnerName] = field(default_factory=set)
    answered: set[RunnerName] = field(default_factory=set)

    def record_sent(self, runners: Iterable[RunnerId], now: float) -> None:
        """Record a claim that states some runners, before it is sent."""
        self.sent_at = now
        self.claim_was_last = True
        self.names |= {name_of(runner) for runner in runners}

    def record_stored(self, runners: Iterable[str]) -> frozenset[RunnerName]:
        """Record that a claim is stored, the newest one; return the names that it withdraws."""
        stated = frozenset(name_of(RunnerId(runner)) for runner in runners)
        withdrawn = self.names - stated
        self.names = stated
        self.answered -= withdrawn
        return withdrawn

"""Keep what the leader knows of one runner: its clock, its lease, its room, its runs.

A runner may be silent, late or replaced at any time. Everything here is written so that a
task counts as possibly running until the runner itself, or the passing of every lease that
was ever granted to it, says otherwise.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import Address, AvailabilityZone, ServiceName
from spoolcrank.runs import Run, RunStage
from spoolcrank.workflow import Demand, RunnerId, TaskKey

LEASE_MS = 7500
"""What one order grants, ms, where the runners allow it. Tasks live on behind a cut for so long,
less the time since the last poll (1 s): zones are cut off for 5.3 to 6.3 s in the users' days, and
with 5 s every task there lapsed just before the end. What dies with its runner waits as long."""

CLOCK_DRIFT = 0.02
"""A runner's clock may be so much slower than ours; stated by the platform."""

FRESH_S = 2.5
"""A runner that has not answered for so long gets no new work, s; two polls and a pause."""

DISTRUST_S = 4.0
"""A runner that failed oddly gets no new work for so long, s; doubled up to MAX_DISTRUST_S."""

SERVING_USE = 0.5
"""Share of its declared processors that a serving task is taken to use: the users' site files
say a load of 0.48 that swings; it was not measured. What it needs beyond that, fillers lose."""

UNKNOWN_PACE = 50
"""What a filler is taken to work at when its pace may or may not have been set, percent: after
an order without an answer, and after a takeover. It is set anew as soon as the tails allow."""

REPORT_LAG_S = 0.8
"""A report covers the last half second, and comes up to that later, s."""

MAX_DISTRUST_S = 16.0
"""Upper bound of the distrust, s; a runner that mends is tried again within it."""


class RunnerEntry(NamedTuple):
    """What a runner says of itself in the platform's store.

    Attributes:
        id: of this incarnation of the runner.
        address: where it takes orders.
        availability_zone: where it stands.
        service: whose work it runs.
        room: what it can hold in all.
        labels: its kind, its rack and the like.
        leaving: it takes no new work.
    """

    id: RunnerId
    address: Address
    availability_zone: AvailabilityZone
    service: ServiceName
    room: Demand
    labels: frozenset[str]
    leaving: bool


NOBODY: frozenset[RunnerId] = frozenset()


def unlisted(runner: RunnerId, service: ServiceName) -> RunnerEntry:
    """Return the entry of a runner that only the records of a job still name."""
    nowhere = Address("")
    return RunnerEntry(
        runner, nowhere, AvailabilityZone(""), service, Demand(), frozenset(), leaving=True
    )


class Promise(NamedTuple):
    """Room that is kept for a task on its way from another runner, until a monotonic time."""

    demand: Demand
    until: float


class FillerRoom(NamedTuple):
    """What one runner's serving tasks leave to one more filler, worked out at a time.

    Attributes:
        at: when, monotonic seconds.
        over: one of them is over its target.
        left: per serving image, by how much the logarithm of its tail may still rise.
    """

    at: float
    over: bool
    left: tuple[tuple[str, float], ...]


@dataclass
class RunnerState:
    """One incarnation of a runner as the leader sees it.

    Attributes:
        adopted: it has answered under this leader's fence, so older orders are void there.
        gone: it does not exist any more; nothing runs on it.
        rank: among the incarnations of its name that this leader met; part of its fence.
        met_at: when this leader met it.
        listed: its entry stands in the store.
        lease_ms: what one order grants here.
        gone_from: its entry is missing, and from then on it counts as leaving; None if listed.
        granted_ms: the latest time, on the runner's clock, that any order may keep it alive to.
        granted_known: whether `granted_ms` covers what earlier leaders granted too.
        seen: ends up to this number are recorded and may be forgotten by the runner.
        seen_next: as `seen`, once what is being recorded now is kept.
        silent_since: when it stopped answering; None while it answers.
        rivals: ids of other entries at its address that it was asked about.
        emptied: the operator wants nothing more to start in its zone.
        apart_for: the suspect that has it for itself for a while; nothing else starts there.
        apart_since: when it was set aside for that.
        withdrawn_at: when its entry went while it still answered, as before a planned end.
        serving: how many of its tasks that serve are of each image.
        serving_images: those images; kept, as each choice of a runner looks it up.
    """

    entry: RunnerEntry
    rank: int = 0
    met_at: float = 0.0
    adopted: bool = False
    gone: bool = False
    listed: bool = True
    lease_ms: int = LEASE_MS
    gone_from: float | None = None
    clock_ms: float = 0.0
    clock_at: float = -1.0
    answered_at: float = -1.0
    granted_ms: float = 0.0
    granted_known: bool = False
    seen: int = 0
    seen_next: int = 0
    silent_since: float | None = None
    rivals: frozenset[RunnerId] = NOBODY
    emptied: bool = False
    apart_for: TaskKey | None = None
    apart_since: float = 0.0
    withdrawn_at: float | None = None
    polling: bool = False
    polled_at: float = -1.0
    learnt_at: float = -1.0
    filler_room: FillerRoom | None = None
    distrusted_until: float = -1.0
    distrust_s: float = 0.0
    odd_failures: int = 0
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    promised: dict[TaskKey, Promise] = field(default_factory=dict)
    used_millicores: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    filled_millicores: int = 0
    serving_millicores: int = 0
    serving: dict[str, int] = field(default_factory=dict)
    serving_images: frozenset[str] = frozenset()

    @property
    def id(self) -> RunnerId:
        """Return the id of this incarnation."""
        return self.entry.id

    def heard(self, clock_ms: float, asked_at: float, now: float) -> None:
        """Take the runner's clock from an answer to a call sent at `asked_at`."""
        if self.clock_at < 0 or clock_ms >= self.clock_lower(now):
            self.clock_ms = clock_ms
            self.clock_at = now
        self.answered_at = max(self.answered_at, asked_at)
        self.silent_since = None

    def missed(self, now: float) -> None:
        """Take note that a call got no answer."""
        if self.silent_since is None:
            self.silent_since = now

    def ask_whether(self, rivals: frozenset[RunnerId]) -> None:
        """Let the next poll go out at once where entries that are new name this address too."""
        if rivals - self.rivals:
            self.polled_at = -1.0
        self.rivals = rivals

    def clock_lower(self, now: float) -> float:
        """Return what the runner's clock shows at least, ms."""
        return self.clock_ms + (now - self.clock_at) * 1000.0 * (1.0 - CLOCK_DRIFT)

    def grant(self, now: float) -> int:
        """Return until when, on the runner's clock, an order sent now may grant; notes it.

        While the runner is silent nothing more is granted, so that its runs surely end.
        """
        if self.silent_since is None:
            self.granted_ms = max(
                self.granted_ms, float(int(self.clock_lower(now)) + self.lease_ms)
            )
        return int(self.granted_ms)

    def surely_ended(self, now: float) -> bool:
        """Tell whether every lease ever granted to this incarnation has passed."""
        if self.gone:
            return True
        if self.clock_at < 0 or not self.granted_known:
            return False
        return self.clock_lower(now) > self.granted_ms

    def leaves(self, now: float) -> bool:
        """Tell whether it is about to end: it says so, or its entry went and did not come back."""
        return self.entry.leaving or (self.gone_from is not None and now >= self.gone_from)

    def usable(self, now: float) -> bool:
        """Tell whether new work should go there: reachable, and trusted."""
        return now >= self.distrusted_until and self.reachable(now)

    def reachable(self, now: float) -> bool:
        """Tell whether new work may go there, though it may have failed oddly a moment ago."""
        return self.apart_for is None and not self.emptied and self.answers(now)

    def answers(self, now: float) -> bool:
        """Tell whether it is well known to answer, and to stay."""
        return (
            self.adopted
            and self.listed
            and not self.gone
            and not self.entry.leaving
            and (self.gone_from is None or now < self.gone_from)
            and self.silent_since is None
            and now - self.answered_at <= FRESH_S
        )

    def distrust(self, now: float) -> None:
        """Give the runner no work for a while, longer each time."""
        if now < self.distrusted_until:
            return
        self.distrust_s = min(MAX_DISTRUST_S, max(DISTRUST_S, self.distrust_s * 2))
        self.distrusted_until = now + self.distrust_s

    def trust(self) -> None:
        """Take note of work done well."""
        self.distrust_s = 0.0
        self.odd_failures = 0

    def set_pace(self, run: Run, pace: int, now: float) -> None:
        """Take note of a filler's new pace."""
        self.filler_room = None
        run.worked_before_s = run.worked_s(now)
        run.paced_at = now
        self.filled_millicores -= run.paced_millicores
        run.pace = pace
        self.filled_millicores += run.paced_millicores

    def add(self, key: TaskKey, run: Run) -> None:
        """Count a run against the room."""
        self.runs[key] = run
        self._count(run, 1)

    def remove(self, key: TaskKey) -> Run | None:
        """Free what a run took; returns the run."""
        if self.apart_for == key:
            self.apart_for = None
        run = self.runs.pop(key, None)
        if run is not None:
            self._count(run, -1)
        return run

    def _count(self, run: Run, sign: int) -> None:
        self.filler_room = None
        self.used_millicores += sign * run.demand.millicores
        self.used_memory_mb += sign * run.demand.memory_mb
        self.used_accelerators += sign * run.demand.accelerators
        if run.fills:
            self.filled_millicores += sign * run.paced_millicores
        if run.serves:
            self.serving_millicores += sign * run.demand.millicores
            held = self.serving.get(run.image, 0) + sign
            if held:
                self.serving[run.image] = held
            else:
                self.serving.pop(run.image, None)
            self.serving_images = frozenset(self.serving)

    def fits(self, demand: Demand, task: TaskKey | None = None) -> bool:
        """Tell whether a demand fits into the room that is left and not promised to others."""
        room = self.entry.room
        if not self.promised:
            return (
                self.used_millicores + demand.millicores <= room.millicores
                and self.used_memory_mb + demand.memory_mb <= room.memory_mb
                and self.used_accelerators + demand.accelerators <= room.accelerators
            )
        promised = [one.demand for key, one in self.promised.items() if key != task]
        asked = [demand, *promised]
        return (
            self.used_millicores + sum(one.millicores for one in asked) <= room.millicores
            and self.used_memory_mb + sum(one.memory_mb for one in asked) <= room.memory_mb
            and self.used_accelerators + sum(one.accelerators for one in asked) <= room.accelerators
        )

    def drop_promises(self, now: float) -> None:
        """Forget promises whose time is over."""
        if self.promised:
            self.promised = {key: one for key, one in self.promised.items() if one.until > now}

    @property
    def idle_millicores(self) -> int:
        """Return what is likely left for one more filler; below 0 when fillers share."""
        unused = int(self.serving_millicores * (1.0 - SERVING_USE))
        counted = self.used_millicores - unused
        return self.entry.room.millicores - counted - self.filled_millicores

    def share(self, millicores: float) -> float:
        """Return an amount of processors as a share of the room."""
        return millicores / max(1, self.entry.room.millicores)

    def filler_shares(self, now: float) -> dict[str, float]:
        """Return what fillers of each image use, as shares of the room.

        One that began less than REPORT_LAG_S ago counts with all that it wants.
        """
        shares: dict[str, float] = {}
        for run in self.runs.values():
            if run.fills:
                young = now - run.since < REPORT_LAG_S or run.stage is not RunStage.RUNNING
                used = run.paced_millicores if young else run.used_millicores
                shares[run.image] = shares.get(run.image, 0.0) + self.share(used)
        return shares

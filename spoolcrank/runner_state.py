"""State of one runner as the leader knows it: clock, lease, capacity and runs.

A runner may stop answering, answer late or be replaced at any time. A task counts as possibly
running until the runner itself reports its end, or until every lease that was ever granted to the
runner has expired.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import Address, AvailabilityZone, ServiceName
from spoolcrank.reservation import Reservation
from spoolcrank.runs import Run, RunStage
from spoolcrank.workflow import Demand, RunnerId, TaskKey

LEASE_MS = 7500
"""Lease that one order grants where the runners allow it, in ms. Behind a partition, tasks keep
running for this time less the time since the last poll (1 s), which outlasts usual partitions of a
zone. The cost is that tasks lost with their runner also wait for this time."""

CLOCK_DRIFT = 0.02
"""Fraction by which a runner's clock may run slower than the leader's; specified by the
platform."""

MAX_ANSWER_AGE_S = 2.5
"""Age of the last answer, in seconds, above which a runner gets no new work. It covers two
polls and the pause between them."""

QUARANTINE_S = 4.0
"""Time for which a runner gets no new work after abnormal failures, in seconds. It doubles with
each quarantine, up to MAX_QUARANTINE_S."""

SERVING_USE_SHARE = 0.5
"""Share of its declared processors that a serving task is assumed to use. When serving tasks need
more than this, the fillers yield."""

ASSUMED_PACE_PERCENT = 50
"""Pace, in percent, that is assumed for a filler whose pace may or may not have been set: after
an order without an answer, and after a takeover. The pace is set again as soon as the tail
latencies allow it."""

REPORT_LAG_S = 0.8
"""Maximum delay between a change of use and a report that shows it, in seconds. A report covers
the last half second and arrives up to that much later."""

MAX_QUARANTINE_S = 16.0
"""Maximum quarantine, in seconds; a runner that has recovered is tried again within this time."""


class RunnerEntry(NamedTuple):
    """Entry that a runner publishes about itself in the platform's store.

    Attributes:
        id: id of this incarnation of the runner.
        address: address at which it accepts orders.
        availability_zone: zone in which it is located.
        service: service whose tasks it runs.
        room: total capacity.
        labels: its kind, its rack and similar properties.
        leaving: whether it accepts no new work.
    """

    id: RunnerId
    address: Address
    availability_zone: AvailabilityZone
    service: ServiceName
    room: Demand
    labels: frozenset[str]
    leaving: bool


NO_RUNNERS: frozenset[RunnerId] = frozenset()


def unlisted_entry(runner: RunnerId, service: ServiceName) -> RunnerEntry:
    """Return an entry for a runner that only the records of a job still name."""
    no_address = Address("")
    return RunnerEntry(
        runner, no_address, AvailabilityZone(""), service, Demand(), frozenset(), leaving=True
    )


class FillerHeadroom(NamedTuple):
    """Headroom that the serving tasks of one runner leave for one more filler.

    Attributes:
        at: time of the computation, in monotonic seconds.
        over: whether one of the serving tasks is over its target tail latency.
        left: for each serving image, the amount by which the logarithm of its tail latency may
            still rise.
    """

    at: float
    over: bool
    left: tuple[tuple[str, float], ...]


@dataclass
class RunnerState:
    """State of one incarnation of a runner as the leader sees it.

    Attributes:
        adopted: whether it has answered under this leader's fence, which makes older orders void
            there.
        gone: whether it no longer exists, so that nothing runs on it.
        rank: rank among the incarnations of its name that this leader has registered; part of its
            fence.
        first_seen_at: time at which this leader first registered it.
        listed: whether its entry is in the store.
        lease_ms: lease that one order grants here.
        leaving_from: time from which it counts as leaving because its entry is missing; None if
            listed.
        clock_ms: latest time that the runner's clock showed.
        clock_at: time at which `clock_ms` was received; -1 before the first answer.
        answered_at: time at which the latest answered call was sent; -1 if none was answered.
        granted_ms: latest time, on the runner's clock, to which any order may have extended its
            lease.
        earlier_grants_known: whether `granted_ms` also covers the grants of earlier leaders.
        seen: number of the last end that is stored; the runner may forget its ends up to it.
        last_handled_end: number of the last end that was handled.
        lists_ends: whether its latest answer lists ends, which it does until it may forget them.
        first_withheld_end: number of the first end that the runner must not forget, because its job
            cannot be read; 0 if there is none.
        silent_since: time at which it stopped answering; None while it answers.
        ids_at_address: ids of other entries with its address, about which it has been polled.
        evacuated: whether its zone is evacuated, so that nothing more may start there.
        isolated_for: suspect that has the runner to itself for a while; nothing else starts there.
        isolated_since: time at which that isolation began.
        polling: whether a poll is in flight.
        lease_sent: whether a poll of this leader has extended its lease.
        polled_at: time of the latest poll; -1 makes the next poll due at once.
        entry_removed_at: time at which its entry disappeared while it still answered, as before a
            planned end.
        filled_millicores: processors that its fillers can use at their pace.
        serving_millicores: processors that its serving tasks demand.
        serving: number of serving tasks per image.
        serving_images: keys of `serving`, precomputed because each choice of a runner looks them
            up.
    """

    entry: RunnerEntry
    rank: int = 0
    first_seen_at: float = 0.0
    adopted: bool = False
    gone: bool = False
    listed: bool = True
    lease_ms: int = LEASE_MS
    leaving_from: float | None = None
    clock_ms: float = 0.0
    clock_at: float = -1.0
    answered_at: float = -1.0
    granted_ms: float = 0.0
    earlier_grants_known: bool = False
    seen: int = 0
    last_handled_end: int = 0
    lists_ends: bool = False
    first_withheld_end: int = 0
    silent_since: float | None = None
    ids_at_address: frozenset[RunnerId] = NO_RUNNERS
    evacuated: bool = False
    isolated_for: TaskKey | None = None
    isolated_since: float = 0.0
    entry_removed_at: float | None = None
    polling: bool = False
    lease_sent: bool = False
    polled_at: float = -1.0
    learned_at: float = -1.0
    filler_headroom: FillerHeadroom | None = None
    quarantined_until: float = -1.0
    quarantine_s: float = 0.0
    abnormal_failures: int = 0
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    reservations: dict[TaskKey, Reservation] = field(default_factory=dict)
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

    def record_answer(self, clock_ms: float, asked_at: float, now: float) -> None:
        """Record an answer, with the runner's clock, to a call sent at `asked_at`."""
        if self.clock_at < 0 or clock_ms >= self.clock_lower(now):
            self.clock_ms = clock_ms
            self.clock_at = now
        self.answered_at = max(self.answered_at, asked_at)
        self.silent_since = None

    def record_no_answer(self, now: float) -> None:
        """Record that a call got no answer."""
        if self.silent_since is None:
            self.silent_since = now

    def set_ids_at_address(self, ids_at_address: frozenset[RunnerId]) -> None:
        """Record the other ids with this address; if one is new, make the next poll due at once."""
        if ids_at_address - self.ids_at_address:
            self.polled_at = -1.0
        self.ids_at_address = ids_at_address

    @property
    def acknowledgeable_end(self) -> int:
        """Return the value of `seen` once the pending writes are stored."""
        if not self.first_withheld_end:
            return self.last_handled_end
        return min(self.last_handled_end, self.first_withheld_end - 1)

    def withhold_end(self, number: int) -> None:
        """Have the runner keep an end, and with it all later ones."""
        self.first_withheld_end = self.first_withheld_end or number

    def clock_lower(self, now: float) -> float:
        """Return the lowest time that the runner's clock may show, in ms."""
        return self.clock_ms + (now - self.clock_at) * 1000.0 * (1.0 - CLOCK_DRIFT)

    def grant(self, now: float) -> int:
        """Return the time, on the runner's clock, to which an order sent now extends its lease.

        The time is recorded in `granted_ms`. While the runner is silent, its lease is not extended,
        so that its runs are sure to end.
        """
        if self.silent_since is None:
            self.granted_ms = max(
                self.granted_ms, float(int(self.clock_lower(now)) + self.lease_ms)
            )
        return int(self.granted_ms)

    def surely_ended(self, now: float) -> bool:
        """Return whether every lease ever granted to this incarnation has expired."""
        if self.gone:
            return True
        if self.clock_at < 0 or not self.earlier_grants_known:
            return False
        return self.clock_lower(now) > self.granted_ms

    def is_leaving(self, now: float) -> bool:
        """Return whether the runner is about to end.

        It is if its entry says so, or if its entry disappeared and did not return in time.
        """
        return self.entry.leaving or (self.leaving_from is not None and now >= self.leaving_from)

    def usable(self, now: float) -> bool:
        """Return whether new work should go there: it is reachable and not quarantined."""
        return now >= self.quarantined_until and self.reachable(now)

    def reachable(self, now: float) -> bool:
        """Return whether new work may go there, even if it is quarantined."""
        return self.isolated_for is None and not self.evacuated and self.answers(now)

    def answers(self, now: float) -> bool:
        """Return whether it answered this leader recently and is not about to end."""
        recently = now - self.answered_at <= MAX_ANSWER_AGE_S
        return self.adopted and recently and self.counts_as_capacity(now)

    def counts_as_capacity(self, now: float) -> bool:
        """Return whether nothing shows that it is silent, gone or about to end.

        A leader of a large fleet asks only some of the runners without runs regularly.
        """
        return (
            self.listed
            and not self.gone
            and not self.entry.leaving
            and (self.leaving_from is None or now < self.leaving_from)
            and self.silent_since is None
        )

    def quarantine(self, now: float) -> None:
        """Quarantine the runner, for a longer time at each call; no effect during a quarantine."""
        if now < self.quarantined_until:
            return
        self.quarantine_s = min(MAX_QUARANTINE_S, max(QUARANTINE_S, self.quarantine_s * 2))
        self.quarantined_until = now + self.quarantine_s

    def record_success(self) -> None:
        """Record a run that succeeded, which resets the quarantine time and the failure count."""
        self.quarantine_s = 0.0
        self.abnormal_failures = 0

    def set_pace(self, run: Run, pace: int, now: float) -> None:
        """Set the pace of a filler, and update its work done and the use of all fillers."""
        self.filler_headroom = None
        run.worked_before_s = run.worked_s(now)
        run.paced_at = now
        self.filled_millicores -= run.paced_millicores
        run.pace = pace
        self.filled_millicores += run.paced_millicores

    def add(self, key: TaskKey, run: Run) -> None:
        """Add a run and count its demand against the capacity."""
        self.runs[key] = run
        self._count(run, 1)

    def has_run(self, key: TaskKey, number: int) -> bool:
        """Return whether the leader has this run of a task here."""
        run = self.runs.get(key)
        return run is not None and run.number == number

    def remove(self, key: TaskKey) -> Run | None:
        """Remove a run, free its capacity and return it; None if there is no such run."""
        if self.isolated_for == key:
            self.isolated_for = None
        run = self.runs.pop(key, None)
        if run is not None:
            self._count(run, -1)
        return run

    def _count(self, run: Run, sign: int) -> None:
        self.filler_headroom = None
        self.used_millicores += sign * run.demand.millicores
        self.used_memory_mb += sign * run.demand.memory_mb
        self.used_accelerators += sign * run.demand.accelerators
        if run.fills:
            self.filled_millicores += sign * run.paced_millicores
        if run.serves:
            self.serving_millicores += sign * run.demand.millicores
            count = self.serving.get(run.image, 0) + sign
            if count:
                self.serving[run.image] = count
            else:
                self.serving.pop(run.image, None)
            self.serving_images = frozenset(self.serving)

    def fits(self, demand: Demand, task: TaskKey | None = None) -> bool:
        """Return whether a demand fits into the free capacity that others have not reserved."""
        room = self.entry.room
        if not self.reservations:
            return (
                self.used_millicores + demand.millicores <= room.millicores
                and self.used_memory_mb + demand.memory_mb <= room.memory_mb
                and self.used_accelerators + demand.accelerators <= room.accelerators
            )
        free = self.free(task)
        return (
            demand.millicores <= free.millicores
            and demand.memory_mb <= free.memory_mb
            and demand.accelerators <= free.accelerators
        )

    def free(self, task: TaskKey | None = None) -> Demand:
        """Return the free capacity not reserved by others; a part is negative if overused."""
        room = self.entry.room
        free = Demand(
            room.millicores - self.used_millicores,
            room.memory_mb - self.used_memory_mb,
            room.accelerators - self.used_accelerators,
        )
        reserved = [other.demand for key, other in self.reservations.items() if key != task]
        if not reserved:
            return free
        return Demand(
            free.millicores - sum(part.millicores for part in reserved),
            free.memory_mb - sum(part.memory_mb for part in reserved),
            free.accelerators - sum(part.accelerators for part in reserved),
        )

    def drop_expired_reservations(self, now: float) -> None:
        """Drop the reservations that have expired."""
        if self.reservations:
            self.reservations = {
                key: reservation
                for key, reservation in self.reservations.items()
                if reservation.until > now
            }

    @property
    def idle_millicores(self) -> int:
        """Return the processors likely to be free for one more filler.

        The result is negative when fillers share processors.
        """
        unused = int(self.serving_millicores * (1.0 - SERVING_USE_SHARE))
        counted = self.used_millicores - unused
        return self.entry.room.millicores - counted - self.filled_millicores

    def share(self, millicores: float) -> float:
        """Return an amount of processors as a share of the capacity."""
        return millicores / max(1, self.entry.room.millicores)

    def filler_shares(self, now: float) -> dict[str, float]:
        """Return the use of the fillers of each image, as shares of the capacity.

        A run that began less than REPORT_LAG_S ago counts with all the processors that it wants.
        """
        shares: dict[str, float] = {}
        for run in self.runs.values():
            if run.fills:
                too_recent = now - run.since < REPORT_LAG_S or run.stage is not RunStage.RUNNING
                used = run.paced_millicores if too_recent else run.used_millicores
                shares[run.image] = shares.get(run.image, 0.0) + self.share(used)
        return shares

"""Define what an owner knows of one of its backend servers, and the actions it requests."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from spoolcrank.ids import Epoch, Incarnation, InstanceId, TaskId
from spoolcrank.policy import Policy
from spoolcrank.records import AnyRecord, Placed
from spoolcrank.slot_use import SlotUse
from spoolcrank.worker import AttemptRef, Command, Report

_TRANSIT_MARGIN_SHARE = 0.75
"""Share of the lease margin, which covers clocks and messages, that a command may spend in
transit."""


class Phase(Enum):
    """Whether an owner is still adopting a server, has its report, or gets no answer from it."""

    ADOPTING = "adopting"
    READY = "ready"
    SILENT = "silent"


class Append(NamedTuple):
    """An action: append a record to the control stream."""

    record: AnyRecord


class Send(NamedTuple):
    """An action: send a command to a server."""

    server: InstanceId
    command: Command


Action = Append | Send


@dataclass
class OwnedServer:
    """A backend server that this instance owns.

    Times are of the owner's monotonic clock, in seconds.

    Attributes:
        adopted_at: When the server last became ready or was found restarted; infinite while it is
            not ready.
        next_poll_at: When the next adopt or renew command is due.
        waiting: Number of commands that the server has not answered.
        inherited_slots: Number of runner slots that the previous owner's requests may still use.
        inherited_until: Until when `inherited_slots` are counted as busy.
        starts: When we last sent the start command of each task.
        ends: When we last appended the end of each attempt.
        placing: Placements that we have appended but not yet read back from the log.
        evicted_for_drain: Tasks that we evict because the server is being drained.
    """

    server: InstanceId
    me: Incarnation
    epoch: Epoch
    claimed_at: float
    phase: Phase = Phase.ADOPTING
    report: Report | None = None
    report_sent_at: float = float("-inf")
    adopted_at: float = float("inf")
    contacted_at: float | None = None
    previous_contact_at: float | None = None
    last_renew_at: float = float("-inf")
    next_poll_at: float = float("-inf")
    seq: int = 0
    waiting: int = 0
    inherited_until: float = 0.0
    inherited_slots: int = 0
    runner_use: SlotUse | None = None
    starts: dict[TaskId, float] = field(default_factory=dict)
    ends: dict[AttemptRef, float] = field(default_factory=dict)
    placing: dict[TaskId, Placed] = field(default_factory=dict)
    evicted_for_drain: set[TaskId] = field(default_factory=set)

    @property
    def incarnation(self) -> Incarnation:
        """Return the worker's incarnation as last reported."""
        return self.report.incarnation if self.report else Incarnation("")

    def expiry(self, policy: Policy, now: float) -> float:
        """Return the time, by the worker's clock, from which it must ignore a command issued now.

        The worker read its clock before its report arrived, so the result is never too late.
        """
        if self.report is None or self.contacted_at is None:
            return 0.0
        return (
            self.report.clock
            + (now - self.contacted_at)
            + policy.leases.margin_s * _TRANSIT_MARGIN_SHARE
        )

    def next_seq(self) -> int:
        """Return the sequence number of the next command; each call returns a new one."""
        self.seq += 1
        return self.seq


class LogStatus(NamedTuple):
    """The present state of the log as an owner sees it.

    Attributes:
        log_ok: Whether the log answers.
        read_at: The last time at which the log had been read to its end.
    """

    log_ok: bool
    read_at: float

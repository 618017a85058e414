"""Hold what the leader knows of one run of a task on a runner."""

from dataclasses import dataclass, field
from enum import Enum

from spoolcrank.contention import StepLoad
from spoolcrank.workflow import Demand


class RunStage(Enum):
    """How far the order of one run has come."""

    RECORDED = "recorded"
    ORDERED = "ordered"
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Run:
    """One run that may be on a runner.

    Attributes:
        number: rises with each start of the task.
        stage: how far its order has come.
        demand: what counts against the room.
        wanted_millicores: what it would use if it could, counted or not.
        since: when the stage began, monotonic seconds.
        percent: newest progress or pace, -1 before the first report.
        moved_at: when `percent` last changed.
        reported_at: when its runner last listed it.
        tries: orders sent so far in this stage.
        tail_ms: newest tail latency of a task that serves, 0 if unknown.
        over_since: since when every report had the tail over its target; None if not.
        load: of its step, where it serves; shared by all tasks of the step.
        used_millicores: newest use of any other task, 0 if unknown.
        pace: percent at which it may work.
        paced_at: when that was set last.
        worked_before_s: seconds at full pace that it had worked by then.
        resumed: it began from a checkpoint, or before this leader saw it.
        slow_since: since when it works at half its pace or less; None at more.
        bound_at: when it was bound, or taken over by this leader.
        ordered_at: when its start was first sent, or it was taken over; None before.
        inherited: an earlier leader bound it, so that its age is not known.
        marked: a runner crashed under an earlier run of its task, and this one has not outlived
            the moment yet.
        suspect: so it is, and that crash had no common cause with others.
    """

    number: int
    stage: RunStage
    demand: Demand
    wanted_millicores: int
    since: float
    image: str = ""
    fills: bool = False
    target_ms: float = 0.0
    lasting: bool = False
    checkpoints: bool = False
    percent: int = -1
    moved_at: float = 0.0
    reported_at: float = 0.0
    tries: int = 0
    tail_ms: float = 0.0
    over_since: float | None = None
    load: StepLoad = field(default_factory=StepLoad)
    used_millicores: float = 0.0
    pace: int = 100
    paced_at: float = 0.0
    worked_before_s: float = 0.0
    resumed: bool = False
    slow_since: float | None = None
    in_flight: bool = False
    bound_at: float = 0.0
    ordered_at: float | None = None
    inherited: bool = False
    marked: bool = False
    suspect: bool = False

    def worked_s(self, now: float) -> float:
        """Return for how long it has been at work, in seconds at full pace."""
        return self.worked_before_s + max(0.0, now - max(self.since, self.paced_at)) * (
            self.pace / 100.0
        )

    @property
    def paced_millicores(self) -> int:
        """Return what it uses at its pace if it can."""
        return self.wanted_millicores * self.pace // 100

    @property
    def serves(self) -> bool:
        """Tell whether it has users of its own and a target for them."""
        return self.target_ms > 0

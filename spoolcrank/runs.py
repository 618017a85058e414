"""State of one run of a task on a runner, as the leader knows it."""

from dataclasses import dataclass, field
from enum import Enum

from spoolcrank.contention import StepLoad
from spoolcrank.workflow import Demand


class RunStage(Enum):
    """Progress of the start or stop order of one run."""

    RECORDED = "recorded"
    ORDERED = "ordered"
    UNCONFIRMED = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Run:
    """State of one run that may be on a runner.

    Attributes:
        number: number of the run; it rises with each start of the task.
        stage: progress of its order.
        demand: demand that counts against the capacity of the runner.
        wanted_millicores: processors that the run would use if it could, counted or not.
        since: time at which the stage began, in monotonic seconds.
        started_at: time at which its runner is first known to run it; None before.
        image: image that it runs.
        fills: whether it is a filler.
        target_ms: target of the tail latency of a serving task; 0 for any other task.
        lasting: whether its task is a lasting task.
        checkpoints: whether its task can resume from a checkpoint.
        percent: latest progress or pace that its runner reported; -1 before the first report.
        progress_changed_at: time of the last change of `percent`.
        reported_at: time at which the runner last listed the run.
        tries: number of starts or stops sent so far in this stage.
        tail_ms: latest tail latency of a serving task; 0 if unknown.
        over_target_since: time at which the tail latency went over its target; None once a report
            shows it clearly below.
        load: load of the step of a serving task; shared by all tasks of the step.
        used_millicores: latest processor use of a task that is not a serving task; 0 if unknown.
        pace: percentage of full speed at which it may run; below 100 only for fillers.
        paced_at: time at which the pace was last set.
        worked_before_s: seconds of work, at full pace, that were done before the pace was last
            set.
        resumed: whether it began from a checkpoint, or before this leader saw it.
        slow_since: time since which its pace has been half or less; None at a higher pace.
        bound_at: time at which it was bound, or taken over by this leader.
        in_flight: whether a start or stop of it was sent and is not answered yet.
        ordered_at: time at which its start was first sent, or at which it was taken over; None
            before.
        start_fence: fence of the newest order to start it; 0 if an earlier leader ordered it.
        inherited: whether an earlier leader bound it, so that its age is not known.
        has_crash_evidence: whether runners crashed during earlier runs of its task and this run has
            not yet lived much longer than those.
        suspect: whether it has crash evidence of a crash without a common cause with others.
        starts_slowly: whether its pace has to be ordered as soon as it runs, because it is a filler
            that was refused for its effect on serving tasks.
    """

    number: int
    stage: RunStage
    demand: Demand
    wanted_millicores: int
    since: float
    started_at: float | None = None
    image: str = ""
    fills: bool = False
    target_ms: float = 0.0
    lasting: bool = False
    checkpoints: bool = False
    percent: int = -1
    progress_changed_at: float = 0.0
    reported_at: float = 0.0
    tries: int = 0
    tail_ms: float = 0.0
    over_target_since: float | None = None
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
    start_fence: int = 0
    inherited: bool = False
    has_crash_evidence: bool = False
    suspect: bool = False
    starts_slowly: bool = False

    def begin_work(self, now: float) -> None:
        """Record that its runner runs it."""
        self.stage = RunStage.RUNNING
        self.since = now
        if self.started_at is None:
            self.started_at = now

    def start_s(self, now: float) -> float:
        """Return the time from its binding to its start, in seconds; to `now` before its start."""
        return max(0.0, (now if self.started_at is None else self.started_at) - self.bound_at)

    def worked_s(self, now: float) -> float:
        """Return the time that the run has worked, in seconds at full pace."""
        return self.worked_before_s + max(0.0, now - max(self.since, self.paced_at)) * (
            self.pace / 100.0
        )

    @property
    def paced_millicores(self) -> int:
        """Return the processors that it can use at its pace."""
        return self.wanted_millicores * self.pace // 100

    @property
    def serves(self) -> bool:
        """Return whether this is a serving task, which has a target for its tail latency."""
        return self.target_ms > 0

"""Leave the next place for fillers of a kind to the waiting job of better prospect."""

from collections.abc import Sequence

from spoolcrank.job_state import JobState
from spoolcrank.mechanisms import Mechanism
from spoolcrank.objective import Prospect
from spoolcrank.placing_pass import Kind, PlacingPass
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler

MAX_LEAVING_S = 1.0
"""Time without a start for which a job leaves places to others although most processors are free,
seconds. A job counts as lost once it has had nothing running for 3 s while there is free capacity
for it."""


def claim(state: Scheduler, current: PlacingPass, kind: Kind, prospect: Prospect) -> None:
    """Leave the next place of a kind to jobs of this prospect or a better one."""
    if state.uses(Mechanism.CLAIMS):
        current.claimed.setdefault(kind, prospect)


def leaves_place(
    current: PlacingPass,
    kind: Kind,
    job: JobState,
    prospect: Prospect,
    runners: Sequence[RunnerState],
    now: float,
) -> bool:
    """Return whether a job's filler leaves the next place of its kind to one of better prospect.

    While most processors are free, that one waits for something else than the end of others, and
    may fit nowhere. A job then leaves its places for a short time only.
    """
    if current.claimed.get(kind, prospect) >= prospect:
        return False
    if now - job.started_at < MAX_LEAVING_S:
        return True
    service = kind[0]
    if service not in current.busy:
        current.busy[service] = is_busy(runners)
    return current.busy[service]


def is_busy(runners: Sequence[RunnerState]) -> bool:
    """Return whether runs have taken at least half of the processors of some runners."""
    taken = sum(runner.used_millicores + runner.filled_millicores for runner in runners)
    return 2 * taken >= sum(runner.entry.room.millicores for runner in runners)

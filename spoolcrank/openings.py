"""Know which waiting tasks fit on no runner, so that a pass need not try each of them.

Trying all of a long queue costs more than finding a runner one pass later. A task that found no
runner shows only that tasks at least as large fit nowhere under the same constraints. For others,
the openings show it: what each runner can still take.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from spoolcrank.contention import ContentionModel
from spoolcrank.ids import ServiceName
from spoolcrank.packing import largest_by_idle, largest_filler
from spoolcrank.runner_state import RunnerState
from spoolcrank.workflow import Demand, Step


class Scope(NamedTuple):
    """What decides, besides its size, on which runners a task may start.

    The limit of a step on one instance, the rack of a gang, and the reserve that lasting tasks
    leave are not part of it.

    Attributes:
        service: the service whose runners may execute the task.
        label: label that the runner must have; empty for any runner.
        fills: whether the task is a filler.
        image: the image of a filler, which decides what it may harm; empty for other tasks.
        quarantined: whether quarantined runners may take the task too.
    """

    service: ServiceName
    label: str
    fills: bool
    image: str
    quarantined: bool = False


Openings = tuple[Demand, ...]
"""The largest tasks that some runner can take, without those smaller in every part than another."""


@dataclass(slots=True)
class Shortage:
    """What a task that found no runner shows of others of its scope.

    Attributes:
        missed: the size of the task; None if it may have found no runner for another reason.
        openings: the openings since; None until a task comes of which `missed` says nothing.
    """

    missed: Demand | None
    openings: Openings | None = None

    def rules_out(self, size: Demand) -> bool:
        """Return whether what is known shows that no task of a size fits."""
        if self.missed is not None and covers(size, self.missed):
            return True
        return self.openings is not None and not is_covered(size, self.openings)


def scope_of(service: ServiceName, step: Step, quarantined: bool = False) -> Scope:
    """Return the scope of a step's tasks; `quarantined` includes quarantined runners."""
    image = step.image if step.fills else ""
    return Scope(service, step.label, step.fills, image, quarantined)


def size_of(step: Step) -> Demand:
    """Return the size of a step's tasks, with the processors that fillers want."""
    return Demand(step.millicores, step.memory_mb, step.accelerators)


def fits_nowhere(
    step: Step,
    scope: Scope,
    shortage: Shortage,
    runners: Iterable[RunnerState],
    contention: ContentionModel,
    now: float,
) -> bool:
    """Return whether a shortage shows that a step's tasks fit on no runner."""
    size = size_of(step)
    if shortage.openings is None and not shortage.rules_out(size):
        shortage.openings = find_openings(scope, runners, contention, now)
    return shortage.rules_out(size)


def find_openings(
    scope: Scope, runners: Iterable[RunnerState], contention: ContentionModel, now: float
) -> Openings:
    """Return the openings for tasks of a scope."""
    largest: list[Demand] = []
    for runner in runners:
        if scope.label and scope.label not in runner.entry.labels:
            continue
        opening = _free(scope, runner)
        if not _adds(opening, largest):
            continue
        if scope.fills:
            # Only where it matters, as this costs more than the rest.
            millicores = largest_filler(scope.image, runner, contention, now)
            opening = Demand(millicores, opening.memory_mb, opening.accelerators)
            if not _adds(opening, largest):
                continue
        largest = [other for other in largest if not covers(opening, other)]
        largest.append(opening)
    return tuple(largest)


def _free(scope: Scope, runner: RunnerState) -> Demand:
    """Return the free capacity of a runner; for fillers, the processors that are likely idle."""
    free = runner.free()
    if scope.fills and free.millicores >= 0:
        return Demand(largest_by_idle(runner), free.memory_mb, free.accelerators)
    return free


def _adds(opening: Demand, openings: Sequence[Demand]) -> bool:
    millicores, memory_mb, accelerators = opening
    if millicores < 0 or memory_mb < 0 or accelerators < 0:
        return False
    return not is_covered(opening, openings)


def covers(larger: Demand, smaller: Demand) -> bool:
    """Return whether a demand is at least as large as another in every part."""
    return (
        smaller.millicores <= larger.millicores
        and smaller.memory_mb <= larger.memory_mb
        and smaller.accelerators <= larger.accelerators
    )


def is_covered(size: Demand, openings: Sequence[Demand]) -> bool:
    """Return whether a task of a size fits in some opening."""
    return any(covers(opening, size) for opening in openings)

"""A daemon with one mechanism taken out, to show that the soak finds it.

`python -m tests.soak.mutant NAME --metrics-port PORT`; names are those of MUTATIONS.
"""

import argparse
from collections.abc import Callable
from typing import Any

from spoolcrank import job_intake, run_control
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.orders import Target
from spoolcrank.platform.daemon import run
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler


def _fence() -> None:
    def target(self: Scheduler, runner: RunnerState) -> Target:
        return Target(runner.id, runner.entry.address, 1)

    Scheduler.target = target  # type: ignore[method-assign]


def _record_before_forgetting() -> None:
    take_end = run_control._take_end

    def forget(state: Any, runner: Any, row: Any, now: float) -> None:
        take_end(state, runner, row, now)
        runner.seen = runner.seen_next

    run_control._take_end = forget


def _unknown_append() -> None:
    def refuse(self: Any, batch: Any, got: Any) -> None:
        for one in batch:
            one.done(IntakeOutcome.NOT_KEPT)

    job_intake.JobIntake._try_again = refuse  # type: ignore[method-assign]


def _leases() -> None:
    RunnerState.surely_ended = lambda self, now: True  # type: ignore[method-assign]


MUTATIONS: dict[str, Callable[[], None]] = {
    "fence": _fence,
    "record-before-forgetting": _record_before_forgetting,
    "unknown-append": _unknown_append,
    "leases": _leases,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=sorted(MUTATIONS))
    parser.add_argument("--metrics-port", type=int, required=True)
    args = parser.parse_args()
    MUTATIONS[args.name]()
    run(args.metrics_port)


if __name__ == "__main__":
    main()

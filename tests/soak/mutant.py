"""A daemon from which one mechanism is removed, to check that the soak test detects this.

Usage: `python -m tests.soak.mutant NAME --metrics-port PORT`, with a NAME out of MUTATIONS.
"""

import argparse
from collections.abc import Callable
from typing import Any

from spoolcrank import job_intake, run_control
from spoolcrank._web import WebServer
from spoolcrank._web_sockets import AcceptResult
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.orders import Target
from spoolcrank.platform.clients import ClientApi
from spoolcrank.platform.daemon import run
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler


def _replace(owner: Any, name: str, value: Any) -> None:
    """Set an existing attribute; raise AttributeError if the owner lacks it.

    Without this check a mutation whose target was renamed would change nothing.
    """
    if not hasattr(owner, name):
        raise AttributeError(f"the target of the mutation, {owner.__name__}.{name}, does not exist")
    setattr(owner, name, value)


def _fence() -> None:
    def target(self: Scheduler, runner: RunnerState) -> Target:
        return Target(runner.id, runner.entry.address, 1)

    _replace(Scheduler, "target", target)


def _record_before_forgetting() -> None:
    handle_end = run_control._handle_end

    def forget(state: Any, runner: RunnerState, row: Any, now: float) -> None:
        handle_end(state, runner, row, now)
        runner.seen = runner.last_handled_end

    _replace(run_control, "_handle_end", forget)


def _unknown_append() -> None:
    def refuse(self: Any, batch: Any, appended: Any) -> None:
        for waiting in batch:
            waiting.done(IntakeOutcome.NOT_STORED)

    _replace(job_intake.JobIntake, "_try_again", refuse)


def _leases() -> None:
    _replace(RunnerState, "surely_ended", lambda self, now: True)


def _end_of_reading() -> None:
    _replace(WebServer, "stop_reading", lambda self: None)


def _end_of_intake() -> None:
    """Serve as usual until the end of the stop, with the listener open."""
    _replace(job_intake.JobIntake, "end", lambda self: None)
    _replace(WebServer, "stop_listening", lambda self: AcceptResult(0))


def _answers_before_the_end() -> None:
    _replace(ClientApi, "give_up", lambda self: 0)


MUTATIONS: dict[str, Callable[[], None]] = {
    "fence": _fence,
    "record-before-forgetting": _record_before_forgetting,
    "unknown-append": _unknown_append,
    "leases": _leases,
    "end-of-reading": _end_of_reading,
    "end-of-intake": _end_of_intake,
    "answers-before-the-end": _answers_before_the_end,
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

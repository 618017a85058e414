"""Run a state machine of the simulated fleet with the same examples in each run."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_examples(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            print_blob=False,
            report_multiple_bugs=False,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )

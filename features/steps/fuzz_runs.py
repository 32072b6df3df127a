"""Runner of the suite's state machines, with the same histories each time."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def run_histories(machine, count, steps):
    """Run `count` histories of up to `steps` steps.

    A failing history is not shrunk, because shrinking delays the report of the
    failure by minutes.
    """
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            phases=[Phase.generate],
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )

"""How every state machine of the suite is run: the same histories each time."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def run_histories(machine, count, steps):
    """Run `count` histories of up to `steps` steps; a failing one is not shrunk.

    Shrinking takes minutes before a failing run says so.
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

"""Settings and runners shared by the stateful fuzz tests."""

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
import pytest

# Deterministic and without a time limit, so that the result does not depend on
# the load of the machine.
SETTINGS = settings(
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
_NO_SHRINK = (Phase.explicit, Phase.generate)
# The search ends at the first failure, so a high bound costs little.
_MAX_SEARCH_EXAMPLES = 5_000


def run(machine, examples: int, steps: int) -> None:
    """Runs a state machine and fails if an assertion of it fails.

    Args:
        machine: Class of the state machine.
        examples: Number of runs.
        steps: Maximum number of steps per run.
    """
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            SETTINGS, max_examples=examples, stateful_step_count=steps
        ),
    )


def expect_failure(machine, steps: int) -> None:
    """Runs a state machine on flawed code; fails if it does not find the flaw.

    Args:
        machine: Class of the state machine.
        steps: Maximum number of steps per run.
    """
    try:
        stateful.run_state_machine_as_test(
            machine,
            settings=settings(
                SETTINGS,
                max_examples=_MAX_SEARCH_EXAMPLES,
                stateful_step_count=steps,
                report_multiple_bugs=False,
                phases=_NO_SHRINK,
            ),
        )
    except AssertionError:
        return
    pytest.fail("the machine did not find the flaw", pytrace=False)

"""What the stateful fuzz tests share."""

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
import pytest

# Nothing here depends on chance or on the time that a run takes: the verdict
# is the same beside load.
SETTINGS = settings(
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
_NO_SHRINK = (Phase.explicit, Phase.generate)
# The search ends with the first failure, so a high bound costs little.
_MAX_SEARCH_EXAMPLES = 5_000


def run(machine, examples: int, steps: int) -> None:
    """Runs a machine.

    Args:
        machine: The machine.
        examples: Number of runs.
        steps: Steps in each, at most.
    """
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            SETTINGS, max_examples=examples, stateful_step_count=steps
        ),
    )


def expect_failure(machine, steps: int) -> None:
    """Runs a machine over flawed code and fails if it finds nothing.

    Args:
        machine: The machine.
        steps: Steps in each run, at most.
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

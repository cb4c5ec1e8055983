"""Summary of waiting requests for the lease holder."""

from tanagerloft.coordination import targets
from tanagerloft.gateway import wait_queue

_REQUIREMENT = targets.Requirement("s", "m", "")


class _Waiter:
    objective_at_ms = 1_600
    caller_timeout_at_ms = 3_400

    def try_send(self) -> bool:
        return False


def test_waiting_requests_are_summarized():
    queue = wait_queue.WaitQueue()
    queue.add(_REQUIREMENT, _Waiter())
    (reported,) = queue.summary(1_000)
    assert (reported.service, reported.model) == ("s", "m")
    assert reported.objectives_left_ms == [600]
    assert reported.caller_timeouts_left_ms == [2_400]


def test_the_summary_of_many_requests_is_bounded():
    queue = wait_queue.WaitQueue()
    for _ in range(1_000):
        queue.add(_REQUIREMENT, _Waiter())
    (reported,) = queue.summary(1_000)
    assert (
        len(reported.objectives_left_ms)
        == len(reported.caller_timeouts_left_ms)
        == 16
    )
    assert queue.count() == 1_000

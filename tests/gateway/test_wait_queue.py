"""What the holder is reported of waiting requests."""

from tanagerloft.gateway import wait_queue

_REQUIREMENT = wait_queue.Requirement("s", "m", "")


class _Waiter:
    objective_at_ms = 1_600
    caller_timeout_at_ms = 3_400

    def try_send(self) -> bool:
        return False


def test_who_waits_is_told():
    queue = wait_queue.WaitQueue()
    queue.add(_REQUIREMENT, _Waiter())
    (reported,) = queue.summary(1_000)
    assert (reported.service, reported.model) == ("s", "m")
    assert reported.aims_left_ms == [600]
    assert reported.patience_left_ms == [2_400]


def test_a_crowd_stays_a_short_message():
    queue = wait_queue.WaitQueue()
    for _ in range(1_000):
        queue.add(_REQUIREMENT, _Waiter())
    (reported,) = queue.summary(1_000)
    assert len(reported.aims_left_ms) == len(reported.patience_left_ms) == 16
    assert queue.count() == 1_000

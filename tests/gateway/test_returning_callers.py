"""Tests of tanagerloft.gateway.returning_callers."""

from tanagerloft.coordination import messages
from tanagerloft.coordination import targets
from tanagerloft.fleet import types
from tanagerloft.gateway import returning_callers

_ROUTE = types.Route(
    name="r",
    host="h",
    prefix="/",
    kind=types.RouteKind.STREAM,
    resumable=True,
    timeout_ms=20_000,
    latency_objective_ms=2_000,
    gap_ms=300,
    max_targets=1,
    priority=0,
    open=False,
    splits=(),
)
_NEEDED = targets.Requirement("s", "m", "")


def _refuse(callers, retry_after_ms, deadline_ms, now_ms, name="a"):
    callers.record(name, _NEEDED, _ROUTE, retry_after_ms, deadline_ms, now_ms)


def test_a_refused_caller_counts_until_it_comes_back():
    callers = returning_callers.ReturningCallers()
    _refuse(callers, 30_000, deadline_ms=21_000, now_ms=1_000)
    _refuse(callers, 3_000, deadline_ms=21_000, now_ms=1_000, name="b")
    # It comes back after a third of its time, and waits 8 s for an event.
    (told,) = callers.summary(2_000)
    assert told == messages.ReturningCallers("s", "m", [13_666, 10_000])
    assert callers.summary(5_000)[0].caller_timeouts_left_ms == [10_666]
    assert not callers.summary(7_700)


def test_a_caller_that_has_come_back_does_not_count_again():
    callers = returning_callers.ReturningCallers()
    _refuse(callers, 30_000, deadline_ms=21_000, now_ms=7_700)
    assert not callers.summary(7_700)

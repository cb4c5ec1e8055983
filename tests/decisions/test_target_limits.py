"""Limits named by targets, in responses that overtake each other."""

import math

from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_notices

_INCARNATION = target_notices.TargetIncarnation("t1", 5)
_NEXT_INCARNATION = target_notices.TargetIncarnation("t1", 6)


def _limit(limits: target_limits.TargetLimits) -> float:
    notice = limits.get(_INCARNATION)
    return math.inf if notice is None else notice.limit_per_s


def test_a_limit_holds_until_a_later_response_names_none():
    limits = target_limits.TargetLimits()
    assert limits.record_response(_INCARNATION, 2.0, 0, 10)
    assert limits.count() == 1
    assert not limits.record_response(_INCARNATION, 2.0, 20, 30)
    assert limits.record_response(_INCARNATION, math.inf, 31, 40)
    assert (_limit(limits), limits.count()) == (math.inf, 0)


def test_the_stricter_of_overlapping_responses_counts():
    limits = target_limits.TargetLimits()
    limits.record_response(_INCARNATION, 2.0, 0, 100)
    assert not limits.record_response(_INCARNATION, math.inf, 50, 120)
    assert not limits.record_response(_INCARNATION, 5.0, 100, 130)
    assert _limit(limits) == 2.0
    assert limits.record_response(_INCARNATION, 1.0, 90, 140)
    assert limits.record_response(_INCARNATION, 5.0, 141, 150)


def test_a_response_to_an_older_request_changes_nothing():
    limits = target_limits.TargetLimits()
    limits.record_response(_INCARNATION, 2.0, 0, 10)
    limits.record_response(_INCARNATION, math.inf, 20, 30)
    assert not limits.record_response(_INCARNATION, 1.0, 5, 15)
    assert _limit(limits) == math.inf


def test_another_incarnation_of_a_target_has_no_limit():
    limits = target_limits.TargetLimits()
    limits.record_response(_INCARNATION, 2.0, 0, 10)
    assert limits.get(_NEXT_INCARNATION) is None


def test_targets_without_a_limit_take_no_memory():
    limits = target_limits.TargetLimits()
    assert not limits.record_response(_INCARNATION, math.inf, 0, 10)
    assert limits.get(_INCARNATION) is None
    for number in range(5_000):
        limits.record_response(
            target_notices.TargetIncarnation(f"t{number}", 1), 1.0, 0, 10
        )
    assert limits.count() < 2_000


def test_a_notice_shared_again_is_the_same_notice():
    first = target_limits.TargetLimits("here")
    second = target_limits.TargetLimits("there")
    first.record_response(_INCARNATION, 2.0, 0, 10)
    assert second.on_shared_limits(first.limits_to_share(20), 20) == [
        _INCARNATION
    ]
    # Delayed on the way back, it does not become a later notice.
    assert not first.on_shared_limits(second.limits_to_share(30), 5_000)
    assert first.record_response(_INCARNATION, math.inf, 40, 50)
    assert not first.on_shared_limits(second.limits_to_share(60), 6_000)
    assert _limit(first) == math.inf


def test_the_end_of_a_limit_is_shared_for_a_while():
    first = target_limits.TargetLimits("here")
    second = target_limits.TargetLimits("there")
    first.record_response(_INCARNATION, 2.0, 0, 10)
    second.on_shared_limits(first.limits_to_share(20), 20)
    first.record_response(_INCARNATION, math.inf, 30, 40)
    assert second.on_shared_limits(first.limits_to_share(50), 50) == [
        _INCARNATION
    ]
    assert _limit(second) == math.inf
    assert first.limits_to_share(10**6) == []


def test_a_target_without_a_permit_is_blocked_until_its_limit_changes():
    limits = target_limits.TargetLimits()
    limits.record_response(_INCARNATION, 2.0, 0, 10)
    limits.block(_INCARNATION, 500)
    assert limits.blocked_ms(_INCARNATION, 100) == 400
    limits.record_response(_INCARNATION, 5.0, 100, 110)
    assert limits.blocked_ms(_INCARNATION, 120) == 0

"""Limits that targets name, by answers that overtake each other."""

import math

from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_notices

_LIFE = target_notices.TargetIncarnation("t1", 5)
_NEXT_LIFE = target_notices.TargetIncarnation("t1", 6)


def _limit(limits: target_limits.TargetLimits) -> float:
    notice = limits.get(_LIFE)
    return math.inf if notice is None else notice.limit_per_s


def test_a_limit_holds_until_a_later_answer_names_none():
    limits = target_limits.TargetLimits()
    assert limits.record_answer(_LIFE, 2.0, 0, 10)
    assert limits.count() == 1
    assert not limits.record_answer(_LIFE, 2.0, 20, 30)
    assert limits.record_answer(_LIFE, math.inf, 31, 40)
    assert (_limit(limits), limits.count()) == (math.inf, 0)


def test_of_answers_that_overlap_the_stricter_one_counts():
    limits = target_limits.TargetLimits()
    limits.record_answer(_LIFE, 2.0, 0, 100)
    assert not limits.record_answer(_LIFE, math.inf, 50, 120)
    assert not limits.record_answer(_LIFE, 5.0, 100, 130)
    assert _limit(limits) == 2.0
    assert limits.record_answer(_LIFE, 1.0, 90, 140)
    assert limits.record_answer(_LIFE, 5.0, 141, 150)


def test_an_answer_to_an_older_request_changes_nothing():
    limits = target_limits.TargetLimits()
    limits.record_answer(_LIFE, 2.0, 0, 10)
    limits.record_answer(_LIFE, math.inf, 20, 30)
    assert not limits.record_answer(_LIFE, 1.0, 5, 15)
    assert _limit(limits) == math.inf


def test_another_life_of_a_target_has_no_limit():
    limits = target_limits.TargetLimits()
    limits.record_answer(_LIFE, 2.0, 0, 10)
    assert limits.get(_NEXT_LIFE) is None


def test_targets_without_a_limit_take_no_memory():
    limits = target_limits.TargetLimits()
    assert not limits.record_answer(_LIFE, math.inf, 0, 10)
    assert limits.get(_LIFE) is None
    for number in range(5_000):
        limits.record_answer(
            target_notices.TargetIncarnation(f"t{number}", 1), 1.0, 0, 10
        )
    assert limits.count() < 2_000


def test_what_others_tell_is_the_same_notice_however_often_it_is_told():
    here = target_limits.TargetLimits("here")
    there = target_limits.TargetLimits("there")
    here.record_answer(_LIFE, 2.0, 0, 10)
    assert there.on_shared_limits(here.limits_to_share(20), 20) == [_LIFE]
    # Held up on its way back, it does not become a later one.
    assert not here.on_shared_limits(there.limits_to_share(30), 5_000)
    assert here.record_answer(_LIFE, math.inf, 40, 50)
    assert not here.on_shared_limits(there.limits_to_share(60), 6_000)
    assert _limit(here) == math.inf


def test_the_end_of_a_limit_is_told_for_a_while():
    here = target_limits.TargetLimits("here")
    there = target_limits.TargetLimits("there")
    here.record_answer(_LIFE, 2.0, 0, 10)
    there.on_shared_limits(here.limits_to_share(20), 20)
    here.record_answer(_LIFE, math.inf, 30, 40)
    assert there.on_shared_limits(here.limits_to_share(50), 50) == [_LIFE]
    assert _limit(there) == math.inf
    assert here.limits_to_share(10**6) == []


def test_a_target_without_a_permit_is_closed_until_its_limit_changes():
    limits = target_limits.TargetLimits()
    limits.record_answer(_LIFE, 2.0, 0, 10)
    limits.block(_LIFE, 500)
    assert limits.blocked_ms(_LIFE, 100) == 400
    limits.record_answer(_LIFE, 5.0, 100, 110)
    assert limits.blocked_ms(_LIFE, 120) == 0

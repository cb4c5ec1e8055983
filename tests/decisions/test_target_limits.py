"""Limits that targets name, by answers that overtake each other."""

import math

from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_notices

_LIFE = target_notices.Life("t1", 5)
_NEXT_LIFE = target_notices.Life("t1", 6)


def _limit(limits: target_limits.TargetLimits) -> float:
    notice = limits.get(_LIFE)
    return math.inf if notice is None else notice.limit_per_s


def test_a_limit_holds_until_a_later_answer_names_none():
    limits = target_limits.TargetLimits()
    assert limits.note(_LIFE, 2.0, 0, 10)
    assert limits.count() == 1
    assert not limits.note(_LIFE, 2.0, 20, 30)
    assert limits.note(_LIFE, math.inf, 31, 40)
    assert (_limit(limits), limits.count()) == (math.inf, 0)


def test_of_answers_that_overlap_the_stricter_one_counts():
    limits = target_limits.TargetLimits()
    limits.note(_LIFE, 2.0, 0, 100)
    assert not limits.note(_LIFE, math.inf, 50, 120)
    assert not limits.note(_LIFE, 5.0, 100, 130)
    assert _limit(limits) == 2.0
    assert limits.note(_LIFE, 1.0, 90, 140)
    assert limits.note(_LIFE, 5.0, 141, 150)


def test_an_answer_to_an_older_request_changes_nothing():
    limits = target_limits.TargetLimits()
    limits.note(_LIFE, 2.0, 0, 10)
    limits.note(_LIFE, math.inf, 20, 30)
    assert not limits.note(_LIFE, 1.0, 5, 15)
    assert _limit(limits) == math.inf


def test_another_life_of_a_target_has_no_limit():
    limits = target_limits.TargetLimits()
    limits.note(_LIFE, 2.0, 0, 10)
    assert limits.get(_NEXT_LIFE) is None


def test_targets_without_a_limit_take_no_memory():
    limits = target_limits.TargetLimits()
    assert not limits.note(_LIFE, math.inf, 0, 10)
    assert limits.get(_LIFE) is None
    for number in range(5_000):
        limits.note(target_notices.Life(f"t{number}", 1), 1.0, 0, 10)
    assert limits.count() < 2_000

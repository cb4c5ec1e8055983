"""Notices of targets in their answers."""

from tanagerloft.decisions import target_notices

_LIFE = target_notices.TargetIncarnation("t1", 5)
_NEXT_LIFE = target_notices.TargetIncarnation("t1", 6)


def test_a_leaving_target_takes_nothing_more():
    notices = target_notices.TargetNotices()
    assert notices.accepts_requests(_LIFE, 0)
    assert notices.record_leaving(_LIFE)
    assert not notices.record_leaving(_LIFE)
    assert not notices.accepts_requests(_LIFE, 10**9)
    assert notices.leaving_to_share() == [_LIFE]


def test_another_life_under_the_same_name_takes_requests():
    notices = target_notices.TargetNotices()
    notices.record_leaving(_LIFE)
    notices.record_backoff(_LIFE, 5_000, 0)
    assert notices.accepts_requests(_NEXT_LIFE, 0)


def test_a_target_that_backs_off_takes_requests_again_later():
    notices = target_notices.TargetNotices()
    notices.record_backoff(_LIFE, 2_000, 1_000)
    assert notices.backoff_ms(_LIFE, 1_500) == 1_500
    assert not notices.accepts_requests(_LIFE, 2_999)
    assert notices.accepts_requests(_LIFE, 3_000)


def test_a_shorter_time_does_not_end_a_longer_one():
    notices = target_notices.TargetNotices()
    notices.record_backoff(_LIFE, 5_000, 0)
    notices.record_backoff(_LIFE, 100, 1_000)
    assert notices.backoff_ms(_LIFE, 2_000) == 3_000


def test_what_others_tell_is_a_hint_only():
    notices = target_notices.TargetNotices()
    notices.update_reported_leaving(frozenset([_LIFE]))
    assert notices.is_reported_leaving(_LIFE)
    assert notices.accepts_requests(_LIFE, 0)
    notices.update_reported_leaving(frozenset())
    assert not notices.is_reported_leaving(_LIFE)


def test_only_so_many_are_remembered():
    notices = target_notices.TargetNotices()
    for number in range(5_000):
        life = target_notices.TargetIncarnation(f"t{number}", 1)
        notices.record_leaving(life)
        notices.record_backoff(life, 1_000, 0)
    assert not notices.accepts_requests(
        target_notices.TargetIncarnation("t4999", 1), 0
    )
    assert notices.accepts_requests(
        target_notices.TargetIncarnation("t0", 1), 0
    )
    assert len(notices.leaving_to_share()) < 100

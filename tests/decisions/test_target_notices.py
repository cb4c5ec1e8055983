"""Notices of targets in their responses."""

from tanagerloft.decisions import target_notices

_INCARNATION = target_notices.TargetIncarnation("t1", 5)
_NEXT_INCARNATION = target_notices.TargetIncarnation("t1", 6)


def test_a_leaving_target_accepts_no_more_requests():
    notices = target_notices.TargetNotices()
    assert notices.accepts_requests(_INCARNATION, 0)
    assert notices.record_leaving(_INCARNATION)
    assert not notices.record_leaving(_INCARNATION)
    assert not notices.accepts_requests(_INCARNATION, 10**9)
    assert notices.leaving_to_share() == [_INCARNATION]


def test_another_incarnation_of_the_same_name_accepts_requests():
    notices = target_notices.TargetNotices()
    notices.record_leaving(_INCARNATION)
    notices.record_backoff(_INCARNATION, 5_000, 0)
    assert notices.accepts_requests(_NEXT_INCARNATION, 0)


def test_a_target_that_backs_off_accepts_requests_again_later():
    notices = target_notices.TargetNotices()
    notices.record_backoff(_INCARNATION, 2_000, 1_000)
    assert notices.backoff_ms(_INCARNATION, 1_500) == 1_500
    assert not notices.accepts_requests(_INCARNATION, 2_999)
    assert notices.accepts_requests(_INCARNATION, 3_000)


def test_a_shorter_backoff_does_not_end_a_longer_one():
    notices = target_notices.TargetNotices()
    notices.record_backoff(_INCARNATION, 5_000, 0)
    notices.record_backoff(_INCARNATION, 100, 1_000)
    assert notices.backoff_ms(_INCARNATION, 2_000) == 3_000


def test_a_shutdown_reported_by_others_is_only_a_hint():
    notices = target_notices.TargetNotices()
    notices.update_reported_leaving(frozenset([_INCARNATION]))
    assert notices.is_reported_leaving(_INCARNATION)
    assert notices.accepts_requests(_INCARNATION, 0)
    notices.update_reported_leaving(frozenset())
    assert not notices.is_reported_leaving(_INCARNATION)


def test_the_number_of_remembered_notices_is_bounded():
    notices = target_notices.TargetNotices()
    for number in range(5_000):
        incarnation = target_notices.TargetIncarnation(f"t{number}", 1)
        notices.record_leaving(incarnation)
        notices.record_backoff(incarnation, 1_000, 0)
    assert not notices.accepts_requests(
        target_notices.TargetIncarnation("t4999", 1), 0
    )
    assert notices.accepts_requests(
        target_notices.TargetIncarnation("t0", 1), 0
    )
    assert len(notices.leaving_to_share()) < 100

"""Notices of targets in their answers."""

from tanagerloft.decisions import target_notices

_LIFE = target_notices.Life("t1", 5)
_NEXT_LIFE = target_notices.Life("t1", 6)


def test_a_leaving_target_takes_nothing_more():
    notices = target_notices.TargetNotices()
    assert notices.takes(_LIFE, 0)
    assert notices.note_leaving(_LIFE)
    assert not notices.note_leaving(_LIFE)
    assert not notices.takes(_LIFE, 10**9)
    assert notices.told() == [_LIFE]


def test_another_life_under_the_same_name_takes_requests():
    notices = target_notices.TargetNotices()
    notices.note_leaving(_LIFE)
    notices.note_back_off(_LIFE, 5_000, 0)
    assert notices.takes(_NEXT_LIFE, 0)


def test_a_target_that_backs_off_takes_requests_again_later():
    notices = target_notices.TargetNotices()
    notices.note_back_off(_LIFE, 2_000, 1_000)
    assert notices.back_off_ms(_LIFE, 1_500) == 1_500
    assert not notices.takes(_LIFE, 2_999)
    assert notices.takes(_LIFE, 3_000)


def test_a_shorter_time_does_not_end_a_longer_one():
    notices = target_notices.TargetNotices()
    notices.note_back_off(_LIFE, 5_000, 0)
    notices.note_back_off(_LIFE, 100, 1_000)
    assert notices.back_off_ms(_LIFE, 2_000) == 3_000


def test_what_others_tell_is_a_hint_only():
    notices = target_notices.TargetNotices()
    notices.on_hints(frozenset([_LIFE]))
    assert notices.is_hinted(_LIFE)
    assert notices.takes(_LIFE, 0)
    notices.on_hints(frozenset())
    assert not notices.is_hinted(_LIFE)


def test_only_so_many_are_remembered():
    notices = target_notices.TargetNotices()
    for number in range(5_000):
        life = target_notices.Life(f"t{number}", 1)
        notices.note_leaving(life)
        notices.note_back_off(life, 1_000, 0)
    assert not notices.takes(target_notices.Life("t4999", 1), 0)
    assert notices.takes(target_notices.Life("t0", 1), 0)
    assert len(notices.told()) < 100

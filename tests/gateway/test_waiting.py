"""What the holder is told of waiting requests."""

from tanagerloft.gateway import waiting

_SUBJECT = waiting.Subject("s", "m", "")


class _Waiter:
    aim_ms = 1_600
    patience_ms = 3_400

    def try_send(self) -> bool:
        return False


def test_who_waits_is_told():
    room = waiting.WaitingRoom()
    room.add(_SUBJECT, _Waiter())
    (told,) = room.summary(1_000)
    assert (told.service, told.model) == ("s", "m")
    assert told.aims_left_ms == [600]
    assert told.patience_left_ms == [2_400]


def test_a_crowd_stays_a_short_message():
    room = waiting.WaitingRoom()
    for _ in range(1_000):
        room.add(_SUBJECT, _Waiter())
    (told,) = room.summary(1_000)
    assert len(told.aims_left_ms) == len(told.patience_left_ms) == 16
    assert room.count() == 1_000

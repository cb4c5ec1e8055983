"""Relay of streams that another target resumes."""

from tanagerloft.gateway import stream_relay
from tests.support.users_platform import event


def test_events_are_forwarded_whole_and_once():
    relay = stream_relay.StreamRelay(None)
    assert relay.feed(event(1) + event(2)[:5], 0) == (True, event(1))
    relay.restart()
    assert relay.feed(event(1) + event(2), 10) == (True, event(2))
    assert relay.last_event_id == 2
    assert relay.events == 2


def test_events_that_the_caller_has_are_skipped():
    relay = stream_relay.StreamRelay(5)
    assert relay.feed(event(5) + event(6), 0) == (True, event(6))


def test_the_longest_gap_is_recorded():
    relay = stream_relay.StreamRelay(None)
    for number, at_ms in enumerate((0, 40, 400, 450), 1):
        relay.feed(event(number), at_ms)
    assert relay.longest_gap_ms == 360


def test_bytes_after_the_last_event_are_kept():
    relay = stream_relay.StreamRelay(None)
    relay.feed(event(1) + b"id: 2", 0)
    assert relay.rest() == b"id: 2"

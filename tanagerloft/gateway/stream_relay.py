"""Relays a stream of events from targets to the caller."""

from __future__ import annotations

from tanagerloft.gateway import events as events_lib

# Bounds on the size of one event, and of all events of a stream without an id.
_MAX_EVENT_BYTES = 1_048_576
_MAX_BYTES_WITHOUT_ID = 65_536


class StreamRelay:
    """Forwards each event once, also if another target resumes the stream.

    Args:
        last_event_id: Last event that the caller has, None for none.

    Attributes:
        last_event_id: Last event forwarded, None for none.
        events: Number of events forwarded.
        longest_gap_ms: Longest time between two of them.
    """

    def __init__(self, last_event_id: int | None):
        self._splitter = events_lib.EventSplitter()
        self._last_event_ms = 0
        self._bytes_without_id = 0
        self.last_event_id = last_event_id
        self.events = 0
        self.longest_gap_ms = 0

    def restart(self) -> None:
        """Discards partial data before the response of another target."""
        self._splitter = events_lib.EventSplitter()

    @property
    def malformed(self) -> bool:
        """Whether the data exceeds the bounds of a stream of events."""
        return (
            len(self._splitter.rest()) > _MAX_EVENT_BYTES
            or self._bytes_without_id > _MAX_BYTES_WITHOUT_ID
        )

    def feed(self, data: bytes, now_ms: int) -> tuple[bool, bytes]:
        """Adds a piece of the response body.

        Returns:
            Whether it completed an event, and the bytes for the caller.
        """
        completed = self._splitter.feed(data)
        new_events = [event for event in completed if self._is_new(event)]
        if new_events:
            self._record_gap(now_ms)
            self.events += len(new_events)
        return bool(completed), b"".join(event.data for event in new_events)

    def log_fields(self) -> dict[str, int]:
        """Returns the fields of log lines about the stream."""
        return {"events": self.events, "longest_gap_ms": self.longest_gap_ms}

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event is not whole."""
        return self._splitter.is_inside_event

    def rest(self) -> bytes:
        """Returns the bytes after the last whole event."""
        return self._splitter.rest()

    def _is_new(self, event: events_lib.Event) -> bool:
        event_id, last_id = event.event_id, self.last_event_id
        if event_id is None:
            self._bytes_without_id += len(event.data)
            return not self.malformed
        if last_id is not None and event_id <= last_id:
            return False
        self.last_event_id = event_id
        return True

    def _record_gap(self, now_ms: int) -> None:
        if self.events:
            gap_ms = now_ms - self._last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_event_ms = now_ms

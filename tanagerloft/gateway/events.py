"""Splits a stream of server-sent events into whole events."""

import re
from typing import NamedTuple

_END = b"\n\n"
_ID = b"id:"
_NUMBER = re.compile(rb"[0-9]{1,15}")


class Event(NamedTuple):
    """A whole event.

    Attributes:
        data: Its bytes, with the empty line that ends it.
        event_id: Its id, None if it has none or one that is not a number.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Assembles events from pieces of a stream."""

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds a piece; returns the events that it completes."""
        self._rest += data
        if _END not in self._rest:
            return []
        *blocks, self._rest = self._rest.split(_END)
        return [Event(block + _END, _event_id(block)) for block in blocks]

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event is not whole."""
        is_whole = self._rest.endswith(b"\r\n\r\n")
        return bool(self._rest.strip()) and not is_whole

    def rest(self) -> bytes:
        """Returns the bytes after the last whole event."""
        return self._rest


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if _NUMBER.fullmatch(text) else None
    return None

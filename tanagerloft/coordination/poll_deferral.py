"""How long the holder's word spares an instance its own reading of the store.

A holder that is cut off from the store must not keep others from what they
could read: its word counts only while it is as young as that of a holder that
reaches the store, and for a time worked out from the bound on the reading.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tanagerloft.util import loops


class PollDeferral:
    """The holder's last word on one table.

    Args:
        bound_ms: Time in which this instance must know of a change.
        max_age_ms: Age up to which the word counts.
        margin_ms: Left of the bound for the own reading.
        now_ms: Clock.

    Attributes:
        read_now: Set when the word tells of something new.
    """

    def __init__(
        self,
        bound_ms: int,
        max_age_ms: int,
        margin_ms: int,
        now_ms: Callable[[], int],
    ):
        self._max_age_ms = max_age_ms
        self._deferral_ms = bound_ms - max_age_ms - margin_ms
        self._now_ms = now_ms
        self._last_status_ms = 0
        self.read_now = asyncio.Event()

    @property
    def deferred_until_ms(self) -> int:
        """Until when it spares this instance its own reading."""
        return self._last_status_ms + self._deferral_ms

    def on_status(self, age_ms: int, asked_ms: int) -> bool:
        """Takes in a word; returns whether it is young enough to count.

        Args:
            age_ms: Age of the holder's knowledge.
            asked_ms: When this instance asked.
        """
        counts = age_ms <= self._max_age_ms
        if counts:
            self._last_status_ms = asked_ms
        return counts

    async def wait(self) -> None:
        """Waits for as long as it spares the reading and tells nothing new."""
        while not self.read_now.is_set():
            left_ms = self.deferred_until_ms - self._now_ms()
            if left_ms <= 0:
                return
            await loops.wait(self.read_now, left_ms)

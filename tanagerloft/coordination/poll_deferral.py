"""Defers polls of the store while the lease holder's copy of it is current.

A holder that is cut off from the store must not keep other instances from
changes that they could read: its status defers a poll only if its copy is as
recent as that of a holder that reaches the store, and for a time derived from
the bound on learning of a change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tanagerloft.util import loops


class PollDeferral:
    """Deferral of the polls of one table.

    Args:
        bound_ms: Time within which this instance must know of a change.
        max_age_ms: Greatest age of the holder's copy that defers a poll.
        margin_ms: Part of the bound left for the own poll.
        now_ms: Clock.

    Attributes:
        read_now: Set when the holder reports a change that must be read.
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
        self._last_status_ms: int | None = None
        self.read_now = asyncio.Event()

    @property
    def deferred_until_ms(self) -> int:
        """Time until which the own poll is deferred, 0 if it never was."""
        if self._last_status_ms is None:
            return 0
        return self._last_status_ms + self._deferral_ms

    def on_status(self, age_ms: int, asked_ms: int) -> bool:
        """Handles the holder's status; returns whether it defers the poll.

        Args:
            age_ms: Age of the holder's copy of the table.
            asked_ms: Time at which this instance sent its report.
        """
        is_recent = age_ms <= self._max_age_ms
        if is_recent:
            self._last_status_ms = asked_ms
        return is_recent

    async def wait(self) -> None:
        """Waits while the poll is deferred and the holder reports no change."""
        while not self.read_now.is_set():
            left_ms = self.deferred_until_ms - self._now_ms()
            if left_ms <= 0:
                return
            await loops.wait(self.read_now, left_ms)

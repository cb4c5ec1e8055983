"""Notices in the responses of targets: shutdown and backoff.

A target that shuts down or is overloaded says so in a response, seconds before
the list of targets shows it, or without the list ever showing it. A notice
holds only for the incarnation of the target that has sent it, because another
one may reuse its address and its name.
"""

from __future__ import annotations

from typing import NamedTuple

from tanagerloft.util import bounded

# Upper bound on the backoff that a target may ask for.
_MAX_BACKOFF_MS = 3_600_000
# Incarnations that are remembered; the oldest are dropped first. An
# incarnation that leaves has ended within a minute.
_MAX_TRACKED = 1_024
# Leaving targets shared with other instances, the newest; the list of targets
# shows them within seconds.
_MAX_SHARED = 32


class TargetIncarnation(NamedTuple):
    """One run of a target, from its start to its end.

    Attributes:
        target_id: Name of the target.
        born_ms: Start of this incarnation, by the target's own wall clock.
    """

    target_id: str
    born_ms: int


class TargetNotices:
    """Notices of targets, from own responses and from other instances."""

    def __init__(self):
        self._leaving: dict[TargetIncarnation, None] = {}
        self._backoff_until_ms: dict[TargetIncarnation, int] = {}
        self._reported_leaving: frozenset[TargetIncarnation] = frozenset()

    def record_leaving(self, incarnation: TargetIncarnation) -> bool:
        """Records that a target has announced its shutdown.

        Returns:
            Whether that was not known.
        """
        if incarnation in self._leaving:
            return False
        bounded.put_newest(self._leaving, incarnation, None, _MAX_TRACKED)
        return True

    def record_backoff(
        self, incarnation: TargetIncarnation, for_ms: int, now_ms: int
    ) -> None:
        """Records that a target has asked for no requests for a time."""
        until_ms = now_ms + min(for_ms, _MAX_BACKOFF_MS)
        until_ms = max(
            until_ms, self._backoff_until_ms.get(incarnation, until_ms)
        )
        bounded.put_newest(
            self._backoff_until_ms, incarnation, until_ms, _MAX_TRACKED
        )

    def update_reported_leaving(
        self, incarnations: frozenset[TargetIncarnation]
    ) -> None:
        """Sets the targets whose shutdown other instances have reported."""
        self._reported_leaving = incarnations

    def is_leaving(self, incarnation: TargetIncarnation) -> bool:
        """Returns whether a target has told this instance of its shutdown."""
        return incarnation in self._leaving

    def is_reported_leaving(self, incarnation: TargetIncarnation) -> bool:
        """Returns whether other instances have reported its shutdown."""
        return incarnation in self._reported_leaving

    def backoff_ms(self, incarnation: TargetIncarnation, now_ms: int) -> int:
        """Returns how long a target still backs off, 0 if it does not."""
        until_ms = self._backoff_until_ms.get(incarnation)
        if until_ms is None:
            return 0
        if until_ms <= now_ms:
            del self._backoff_until_ms[incarnation]
            return 0
        return until_ms - now_ms

    @property
    def any_backing_off(self) -> bool:
        """Whether any target may be backing off."""
        return bool(self._backoff_until_ms)

    def accepts_requests(
        self, incarnation: TargetIncarnation, now_ms: int
    ) -> bool:
        """Returns whether a target may be sent a request."""
        return not self.is_leaving(incarnation) and not self.backoff_ms(
            incarnation, now_ms
        )

    def leaving_to_share(self) -> list[TargetIncarnation]:
        """Returns the newest leaving targets, to share with others."""
        return list(self._leaving)[-_MAX_SHARED:]

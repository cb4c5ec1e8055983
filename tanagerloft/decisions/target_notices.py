"""What targets have asked of this instance in their answers.

Load answered: targets that leave or are overloaded and say so in an answer,
seconds before the list of targets does, or without it ever doing so. What one
life of a target has said holds for that life alone: its address and its name
may be used again by another one.
"""

from __future__ import annotations

from typing import NamedTuple

from tanagerloft.util import bounded

# A target that asks for more is asked again after this time.
_MAX_BACK_OFF_MS = 3_600_000
# Lives that are remembered; the oldest are forgotten first. A life that leaves
# is over within a minute.
_MAX_TRACKED = 1_024
# Leaving targets that are told on, the newest; the list tells of them within
# seconds.
_MAX_SHARED = 32


class TargetIncarnation(NamedTuple):
    """One life of a target.

    Attributes:
        target_id: Name.
        born_ms: Start, in the target's own time of day.
    """

    target_id: str
    born_ms: int


class TargetNotices:
    """Notices of targets, own ones and those that others tell."""

    def __init__(self):
        self._leaving: dict[TargetIncarnation, None] = {}
        self._backoff_until_ms: dict[TargetIncarnation, int] = {}
        self._reported_leaving: frozenset[TargetIncarnation] = frozenset()

    def record_leaving(self, life: TargetIncarnation) -> bool:
        """Takes in that a target says that it leaves.

        Returns:
            Whether that was not known.
        """
        if life in self._leaving:
            return False
        bounded.put_newest(self._leaving, life, None, _MAX_TRACKED)
        return True

    def record_backoff(
        self, life: TargetIncarnation, for_ms: int, now_ms: int
    ) -> None:
        """Takes in that a target wants no requests for a time."""
        until_ms = now_ms + min(for_ms, _MAX_BACK_OFF_MS)
        until_ms = max(until_ms, self._backoff_until_ms.get(life, until_ms))
        bounded.put_newest(self._backoff_until_ms, life, until_ms, _MAX_TRACKED)

    def update_reported_leaving(
        self, lives: frozenset[TargetIncarnation]
    ) -> None:
        """Takes in which targets have told others that they leave."""
        self._reported_leaving = lives

    def is_leaving(self, life: TargetIncarnation) -> bool:
        """Returns whether a target has told this instance that it leaves."""
        return life in self._leaving

    def is_reported_leaving(self, life: TargetIncarnation) -> bool:
        """Returns whether only others have been told so."""
        return life in self._reported_leaving

    def backoff_ms(self, life: TargetIncarnation, now_ms: int) -> int:
        """Returns how long a target still wants no requests, 0 for none."""
        until_ms = self._backoff_until_ms.get(life)
        if until_ms is None:
            return 0
        if until_ms <= now_ms:
            del self._backoff_until_ms[life]
            return 0
        return until_ms - now_ms

    @property
    def any_backing_off(self) -> bool:
        """Whether any target may want no requests now."""
        return bool(self._backoff_until_ms)

    def accepts_requests(self, life: TargetIncarnation, now_ms: int) -> bool:
        """Returns whether a target may be sent a request."""
        return not self.is_leaving(life) and not self.backoff_ms(life, now_ms)

    def leaving_to_share(self) -> list[TargetIncarnation]:
        """Returns the leaving targets that others are to know of."""
        return list(self._leaving)[-_MAX_SHARED:]

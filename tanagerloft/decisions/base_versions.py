"""Decides which software version of a service is the base version."""

from __future__ import annotations

import collections
from collections.abc import Iterable


class BaseVersionPolicy:
    """Watches which versions serve, and chooses the base version by that.

    The base version changes only after no target has had it for so long that
    no caller resumes a stream of it, and that no process still relies on what
    it knew of the base version before.
    """

    def __init__(self):
        self._seen_ms: dict[tuple[str, str], int] = {}
        self._watched_since_ms: dict[str, int] = {}

    def choose(
        self,
        service: str,
        serving: Iterable[str],
        base: str | None,
        hold_ms: int,
        now_ms: int,
    ) -> str | None:
        """Returns the new base version of a service, None for no change.

        Args:
            service: The service; must be watched from the start of a process.
            serving: Software version of each of its targets.
            base: Its base version, None if it has none yet.
            hold_ms: Time for which no target must have had the base version.
            now_ms: Reading of the clock.
        """
        counts = collections.Counter(serving)
        since_ms = self._watched_since_ms.setdefault(service, now_ms)
        for version in counts:
            self._seen_ms[service, version] = now_ms
        if not counts:
            return None
        most_common = max(sorted(counts), key=lambda version: counts[version])
        if base is None:
            return most_common
        absent_since_ms = self._seen_ms.get((service, base), since_ms)
        if base in counts or now_ms - absent_since_ms < hold_ms:
            return None
        return most_common

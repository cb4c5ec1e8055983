"""Learns how many loads the weight store takes at full speed.

Load answered: a store whose speed is not told. Loads beyond what it takes at
once slow each other down, so that none is there when it should be.
"""

# Loads that turn out to be late within this time of each other tell one thing.
_ONE_EVIDENCE_MS = 3_000
# After this time without a late load, one more at once is tried.
_TRY_MORE_MS = 20_000


class StoreLanes:
    """Loads from the weight store that are worth having under way at once.

    Args:
        most: Loads at once before anything is known, and at most.
    """

    def __init__(self, most: int):
        self._most = most
        self._at_once = most
        self._late_ms: int | None = None

    def at_once(self, now_ms: int) -> int:
        """Returns the loads to have under way at once."""
        if (
            self._at_once < self._most
            and self._late_ms is not None
            and now_ms - self._late_ms >= _TRY_MORE_MS
        ):
            self._at_once += 1
            self._late_ms = now_ms
        return self._at_once

    def note_late(self, under_way: int, now_ms: int) -> None:
        """Takes in that a load takes longer than it should.

        Args:
            under_way: Loads under way with it, itself included.
            now_ms: Reading of the clock.
        """
        known = self._late_ms is not None and (
            now_ms - self._late_ms < _ONE_EVIDENCE_MS
        )
        if under_way < 2 or known:
            return
        self._at_once = max(1, min(self._at_once, under_way) - 1)
        self._late_ms = now_ms

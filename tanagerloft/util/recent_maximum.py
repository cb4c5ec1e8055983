"""Maximum of the recent values of a quantity."""


class RecentMaximum:
    """Maximum of the values of the last one to two periods.

    Args:
        period_ms: Length of a period.
    """

    def __init__(self, period_ms: int):
        self._period_ms = period_ms
        self._period_began_ms: int | None = None
        self._previous = 0
        self._current = 0

    def update(self, value: int, now_ms: int) -> None:
        """Records a value."""
        if self._period_began_ms is None:
            self._period_began_ms = now_ms
        if now_ms - self._period_began_ms >= self._period_ms:
            self._period_began_ms = now_ms
            self._previous, self._current = self._current, 0
        self._current = max(self._current, value)

    @property
    def value(self) -> int:
        """The maximum, 0 if no value has been recorded."""
        return max(self._previous, self._current)

"""Requests for models at one instance, counted since its start."""

# Uses of a model are told for this long: the holder hears several reports.
_TOLD_MS = 2_000


class UseCounts:
    """Requests by model, or by model and adapter."""

    def __init__(self):
        self._counts: dict[str, int] = {}
        self._used_ms: dict[str, int] = {}

    def note(self, subject: str, now_ms: int) -> None:
        """Counts a request."""
        self._counts[subject] = self._counts.get(subject, 0) + 1
        self._used_ms[subject] = now_ms

    def recent(self, now_ms: int) -> dict[str, int]:
        """Returns the counts of what has been asked for lately."""
        oldest_ms = now_ms - _TOLD_MS
        for subject, at_ms in list(self._used_ms.items()):
            if at_ms < oldest_ms:
                del self._used_ms[subject]
        return {subject: self._counts[subject] for subject in self._used_ms}

"""Requests for models at one instance, counted since its start."""

# Uses of a model are told for this long: the holder hears several reports.
_REPORTED_MS = 2_000


class RequestCounts:
    """Requests by model, or by model and adapter."""

    def __init__(self):
        self._counts: dict[str, int] = {}
        self._last_request_ms: dict[str, int] = {}

    def record(self, subject: str, now_ms: int) -> None:
        """Counts a request."""
        self._counts[subject] = self._counts.get(subject, 0) + 1
        self._last_request_ms[subject] = now_ms

    def recent(self, now_ms: int) -> dict[str, int]:
        """Returns the counts of what has been asked for lately."""
        oldest_ms = now_ms - _REPORTED_MS
        for subject, at_ms in list(self._last_request_ms.items()):
            if at_ms < oldest_ms:
                del self._last_request_ms[subject]
        return {
            subject: self._counts[subject] for subject in self._last_request_ms
        }

"""Counts of requests for models at one instance since its start."""

# Counts are reported for this long after the last request, in several reports.
_REPORTED_MS = 2_000


class RequestCounts:
    """Counts of requests by model, or by model and adapter."""

    def __init__(self):
        self._counts: dict[str, int] = {}
        self._last_request_ms: dict[str, int] = {}

    def record(self, model_key: str, now_ms: int) -> None:
        """Counts a request."""
        self._counts[model_key] = self._counts.get(model_key, 0) + 1
        self._last_request_ms[model_key] = now_ms

    def recent(self, now_ms: int) -> dict[str, int]:
        """Returns the counts of recently requested models."""
        oldest_ms = now_ms - _REPORTED_MS
        for model_key, at_ms in list(self._last_request_ms.items()):
            if at_ms < oldest_ms:
                del self._last_request_ms[model_key]
        return {
            model_key: self._counts[model_key]
            for model_key in self._last_request_ms
        }

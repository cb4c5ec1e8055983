"""Limits the rate at which loads from the weight store begin.

Handles many engines that all lack the models in demand. The platform forbids
loads beyond the store's rate.
"""

# Burst beyond the rate. The platform tolerates three loads in its window; one
# is left for a load that an engine carries out late.
_BURST_LOADS = 2.0
_MS_PER_S = 1_000


class LoadRateLimiter:
    """Token bucket for loads from the store, over all lease holders.

    A successor starts without a burst, so that the loads of both holders
    together keep to the rate in each window.

    Args:
        loads_per_s: Loads per second that may begin.
        is_first_term: Whether no other holder has given orders before.
        now_ms: Reading of the clock.
    """

    def __init__(self, loads_per_s: float, is_first_term: bool, now_ms: int):
        self._loads_per_s = loads_per_s
        self._available_loads = _BURST_LOADS if is_first_term else 0.0
        self._updated_ms = now_ms

    def set_rate(self, loads_per_s: float, now_ms: int) -> None:
        """Changes the rate with immediate effect."""
        self.available(now_ms)
        self._loads_per_s = loads_per_s

    def available(self, now_ms: int) -> int:
        """Returns the number of loads that may begin now."""
        elapsed_s = max(0, now_ms - self._updated_ms) / _MS_PER_S
        self._updated_ms = max(self._updated_ms, now_ms)
        self._available_loads = min(
            _BURST_LOADS, self._available_loads + elapsed_s * self._loads_per_s
        )
        return max(0, int(self._available_loads))

    def count_load(self, now_ms: int) -> None:
        """Counts a load that begins, or one that a retry may begin again."""
        self.available(now_ms)
        self._available_loads -= 1.0


class TermRateLimiters:
    """Rate limiters of the services; each term of the lease starts new ones."""

    def __init__(self):
        self._limiters: dict[str, LoadRateLimiter] = {}
        self._token = 0

    def limiter(
        self,
        token: int,
        is_first_term: bool,
        service: str,
        loads_per_s: float,
        now_ms: int,
    ) -> LoadRateLimiter:
        """Returns the rate limiter of a service, updated to its current rate.

        Args:
            token: Fencing token of the current term.
            is_first_term: Whether there was no holder before this term.
            service: Name of the service.
            loads_per_s: Loads per second that may begin.
            now_ms: Reading of the clock.
        """
        if token != self._token:
            self._token = token
            self._limiters.clear()
        rate_limiter = self._limiters.get(service)
        if rate_limiter is None:
            rate_limiter = LoadRateLimiter(loads_per_s, is_first_term, now_ms)
            self._limiters[service] = rate_limiter
        rate_limiter.set_rate(loads_per_s, now_ms)
        return rate_limiter

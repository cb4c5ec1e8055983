"""Decides how many loads from the weight store begin.

Load answered: many engines that all lack what is asked for. Loads beyond the
store's rate are forbidden.
"""

# Loads that may begin beyond the rate. The platform tolerates three in its
# window; one is left for a load that an engine carries out late.
_BURST_LOADS = 2.0
_MS_PER_S = 1_000


class LoadRateLimiter:
    """Rate of the loads that begin, over all holders of the order lease.

    A holder that follows another one begins without a burst, so that the loads
    of both together keep to the rate in each window.

    Args:
        loads_per_s: Loads that may begin in a second.
        is_first_term: Whether nobody has given orders before.
        now_ms: Reading of the clock.
    """

    def __init__(self, loads_per_s: float, is_first_term: bool, now_ms: int):
        self._loads_per_s = loads_per_s
        self._available_loads = _BURST_LOADS if is_first_term else 0.0
        self._updated_ms = now_ms

    def set_rate(self, loads_per_s: float, now_ms: int) -> None:
        """Takes in a new rate, also a lower one."""
        self.available(now_ms)
        self._loads_per_s = loads_per_s

    def available(self, now_ms: int) -> int:
        """Returns the loads that may begin now."""
        elapsed_s = max(0, now_ms - self._updated_ms) / _MS_PER_S
        self._updated_ms = max(self._updated_ms, now_ms)
        self._available_loads = min(
            _BURST_LOADS, self._available_loads + elapsed_s * self._loads_per_s
        )
        return max(0, int(self._available_loads))

    def count_load(self, now_ms: int) -> None:
        """Counts a load that begins, or one that may begin again."""
        self.available(now_ms)
        self._available_loads -= 1.0


class TermRateLimiters:
    """Paces of the services; each term of the order lease begins anew."""

    def __init__(self):
        self._limiters: dict[str, LoadRateLimiter] = {}
        self._token = 0

    def limiter(
        self, token: int, service: str, loads_per_s: float, now_ms: int
    ) -> LoadRateLimiter:
        """Returns the pace of a service, at its present rate.

        Args:
            token: Fencing token of the present term; the first is 1.
            service: Name of the service.
            loads_per_s: Loads that may begin in a second.
            now_ms: Reading of the clock.
        """
        if token != self._token:
            self._token = token
            self._limiters.clear()
        rate_limiter = self._limiters.get(service)
        if rate_limiter is None:
            rate_limiter = LoadRateLimiter(loads_per_s, token == 1, now_ms)
            self._limiters[service] = rate_limiter
        rate_limiter.set_rate(loads_per_s, now_ms)
        return rate_limiter

"""Decides how many loads from the weight store begin.

Load answered: many engines that all lack what is asked for. Loads beyond the
store's rate are forbidden.
"""

# Loads that may begin beyond the rate. The platform tolerates three in its
# window; one is left for a load that an engine carries out late.
_BURST_LOADS = 2.0
_MS_PER_S = 1_000


class LoadPace:
    """Rate of the loads that begin, over all holders of the order lease.

    A holder that follows another one begins without a burst, so that the loads
    of both together keep to the rate in each window.

    Args:
        loads_per_s: Loads that may begin in a second.
        first: Whether nobody has given orders before.
        now_ms: Reading of the clock.
    """

    def __init__(self, loads_per_s: float, first: bool, now_ms: int):
        self._loads_per_s = loads_per_s
        self._loads = _BURST_LOADS if first else 0.0
        self._at_ms = now_ms

    def set_rate(self, loads_per_s: float, now_ms: int) -> None:
        """Takes in a new rate, also a lower one."""
        self.left(now_ms)
        self._loads_per_s = loads_per_s

    def left(self, now_ms: int) -> int:
        """Returns the loads that may begin now."""
        elapsed_s = max(0, now_ms - self._at_ms) / _MS_PER_S
        self._at_ms = max(self._at_ms, now_ms)
        self._loads = min(
            _BURST_LOADS, self._loads + elapsed_s * self._loads_per_s
        )
        return max(0, int(self._loads))

    def take(self, now_ms: int) -> None:
        """Counts a load that begins, or one that may begin again."""
        self.left(now_ms)
        self._loads -= 1.0


class TermPaces:
    """Paces of the services; each term of the order lease begins anew."""

    def __init__(self):
        self._paces: dict[str, LoadPace] = {}
        self._token = 0

    def of(
        self, token: int, service: str, loads_per_s: float, now_ms: int
    ) -> LoadPace:
        """Returns the pace of a service, at its present rate.

        Args:
            token: Fencing token of the present term; the first is 1.
            service: Name of the service.
            loads_per_s: Loads that may begin in a second.
            now_ms: Reading of the clock.
        """
        if token != self._token:
            self._token = token
            self._paces.clear()
        pace = self._paces.get(service)
        if pace is None:
            pace = LoadPace(loads_per_s, token == 1, now_ms)
            self._paces[service] = pace
        pace.set_rate(loads_per_s, now_ms)
        return pace

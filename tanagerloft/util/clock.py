"""Clock in milliseconds."""

from collections.abc import Callable
import time

_NS_PER_MS = 1_000_000


def _boottime_ns() -> int:
    """Returns nanoseconds that also count while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Clock:
    """Monotonic clock.

    Its zero point has no meaning, so readings of two processes never compare.

    Args:
        source_ns: Returns the reading in nanoseconds.
        wall_source_ns: Returns the Unix time in nanoseconds.
    """

    def __init__(
        self,
        source_ns: Callable[[], int] = _boottime_ns,
        wall_source_ns: Callable[[], int] = time.time_ns,
    ):
        self._source_ns = source_ns
        self._wall_source_ns = wall_source_ns

    def now_ms(self) -> int:
        """Returns the present reading in milliseconds."""
        return self._source_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the Unix time in milliseconds, which may jump."""
        return self._wall_source_ns() // _NS_PER_MS


class ManualClock(Clock):
    """Clock that moves only when told to, for tests and simulations."""

    def __init__(self, start_ms: int = 1_000_000):
        super().__init__(lambda: self._now_ms * _NS_PER_MS)
        self._now_ms = start_ms

    def advance(self, delta_ms: int) -> None:
        """Moves the clock forward by ``delta_ms`` milliseconds."""
        if delta_ms < 0:
            raise ValueError("a monotonic clock cannot go back")
        self._now_ms += delta_ms

"""Decides how many loads from the weight store begin, and how many run at once.

Load answered: many engines that all lack what is asked for. Loads beyond the
store's rate are forbidden, loads beyond what it takes at full speed slow each
other down, so that none is there when it should be.
"""

# Loads at once before anything is known.
_FIRST_AT_ONCE = 4
# Loads that turn out to be late within this time of each other tell one thing.
_ONE_EVIDENCE_MS = 3_000
# After this time without a late load, one more at once is tried.
_TRY_MORE_MS = 20_000
# A load that takes longer than this many times its time is slowed by others;
# what is less may be the way of the order and the age of the report.
_LATE_SHARE = 1.2
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


class StoreLanes:
    """Loads from the weight store that are worth having under way at once."""

    def __init__(self):
        self._at_once = _FIRST_AT_ONCE
        self._slow_at: int | None = None
        self._late_ms: int | None = None

    def at_once(self, now_ms: int) -> int:
        """Returns the loads to have under way at once."""
        if self._late_ms is not None and (
            now_ms - self._late_ms >= _TRY_MORE_MS
        ):
            self._slow_at = self._late_ms = None
            self._at_once += 1
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
        self._slow_at = min(self._at_once, under_way)
        self._at_once = max(1, self._slow_at - 1)
        self._late_ms = now_ms

    def note_done(
        self, under_way: int, took_ms: float, load_ms: float, now_ms: int
    ) -> None:
        """Takes in how long a load has taken.

        Loads beyond those at full speed slow all down in proportion, so the
        time tells how many the store takes.

        Args:
            under_way: Most loads under way with it, itself included.
            took_ms: Time that it took.
            load_ms: Time that it takes at full speed.
            now_ms: Reading of the clock.
        """
        slowdown = took_ms / load_ms
        if slowdown > _LATE_SHARE:
            if under_way > 1:
                self._slow_at = under_way
                self._at_once = max(1, round(under_way / slowdown))
                self._late_ms = now_ms
            return
        tried = under_way + 1
        if tried > self._at_once and tried != self._slow_at:
            self._at_once = tried

    def on_told(self, at_once: int) -> None:
        """Takes in what the holder has learnt, for when this one follows."""
        self._at_once = max(1, at_once)

"""Learns how much later than planned waited-for models arrive.

Load answered: more models asked for than engines can load in time. A plan tells
when each would be there if nothing else came; but what is asked for next often
goes first, so those who were told to wait do so in vain. How late models have
been of late tells how much the plan's word is worth.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

# Arrivals as planned that are assumed before anything has been seen.
_PRIOR_ARRIVALS = 3.0
# What has been seen counts half after so many further arrivals.
_HALF_LIFE_ARRIVALS = 20.0
_DECAY = 0.5 ** (1.0 / _HALF_LIFE_ARRIVALS)
# Plans shorter than this are as long as the way of a word through the fleet.
_MIN_PLANNED_MS = 100.0
# A plan is not stretched by more than this.
_MAX_DELAY_RATIO = 8.0
# Plans up to this long are loads from copies, longer ones wait for the store
# or for others; the two are late for different reasons.
_MAX_SHORT_MS = 2_000.0


class _Wait(NamedTuple):
    since_ms: int
    planned_ms: float


class _DelayRatio:
    """Sums over arrivals; the older ones count less."""

    def __init__(self):
        self._planned = _PRIOR_ARRIVALS
        self._observed = _PRIOR_ARRIVALS

    def add(self, planned_ms: float, took_ms: float) -> None:
        planned_ms = max(planned_ms, _MIN_PLANNED_MS)
        ratio = min(
            _MAX_DELAY_RATIO, max(took_ms, _MIN_PLANNED_MS) / planned_ms
        )
        self._planned = self._planned * _DECAY + 1.0
        self._observed = self._observed * _DECAY + ratio

    def ratio(self) -> float:
        return max(1.0, self._observed / self._planned)


class ReadyTimeEstimator:
    """Follows what was planned for waited-for models, and what became of it."""

    def __init__(self):
        self._waits: dict[str, _Wait] = {}
        self._short = _DelayRatio()
        self._long = _DelayRatio()

    def estimate(
        self,
        planned_ms: Mapping[str, int],
        held: Collection[str],
        under_way: Collection[str],
        now_ms: int,
    ) -> dict[str, int]:
        """Returns when models are to be expected, by model.

        Args:
            planned_ms: Time until a waited-for model would be there as planned.
            held: Models that engines hold.
            under_way: Models that engines load; these come as planned.
            now_ms: Reading of the clock.
        """
        for model in self._waits.keys() - planned_ms.keys():
            self._end_wait(model, model in held, now_ms)
        for model, left_ms in planned_ms.items():
            self._waits.setdefault(model, _Wait(now_ms, float(left_ms)))
        return {
            model: left_ms
            if model in under_way
            else int(left_ms * self._delay_ratio(left_ms).ratio())
            for model, left_ms in planned_ms.items()
        }

    def discard_waits(self) -> None:
        """Forgets what is waited for; what has been learnt stays."""
        self._waits.clear()

    def _end_wait(self, model: str, became_ready: bool, now_ms: int) -> None:
        wait = self._waits.pop(model)
        took_ms = now_ms - wait.since_ms
        # Who left before the planned time has not seen whether it would hold.
        if became_ready or took_ms > wait.planned_ms:
            self._delay_ratio(wait.planned_ms).add(wait.planned_ms, took_ms)

    def _delay_ratio(self, planned_ms: float) -> _DelayRatio:
        return self._short if planned_ms <= _MAX_SHORT_MS else self._long

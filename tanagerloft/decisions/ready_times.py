"""Estimates when waited-for models are ready, from the delay of earlier ones.

Handles more requested models than engines can load in time. A plan says when
each model would be ready if nothing else came; but later requests often take
precedence, so callers that wait for the planned time may wait in vain. The
recent ratio of actual to planned times corrects the plan.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

# Observations of models ready as planned that are assumed at the start.
_PRIOR_OBSERVATIONS = 3.0
# The weight of an observation halves after this many further ones.
_HALF_LIFE_OBSERVATIONS = 20.0
_DECAY = 0.5 ** (1.0 / _HALF_LIFE_OBSERVATIONS)
# Planned times below this are dominated by the transit of messages through the
# fleet.
_MIN_PLANNED_MS = 100.0
# Maximum factor by which a planned time is extended.
_MAX_DELAY_RATIO = 8.0
# Planned times up to this are loads from copies, longer ones wait for the store
# or for other loads; the two are late for different reasons.
_MAX_SHORT_MS = 2_000.0


class _Wait(NamedTuple):
    since_ms: int
    planned_ms: float


class _DelayRatio:
    """Mean ratio of actual to planned times, weighted towards recent ones."""

    def __init__(self):
        self._planned = _PRIOR_OBSERVATIONS
        self._observed = _PRIOR_OBSERVATIONS

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
    """Tracks planned and actual ready times of waited-for models."""

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
        """Returns the estimated time until models are ready, by model.

        Args:
            planned_ms: Planned time until a waited-for model is ready.
            held: Models that engines hold.
            under_way: Models that engines load; these are ready as planned.
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
        """Discards the tracked waits; the observed ratios stay."""
        self._waits.clear()

    def _end_wait(self, model: str, became_ready: bool, now_ms: int) -> None:
        wait = self._waits.pop(model)
        took_ms = now_ms - wait.since_ms
        # If callers leave before the planned time, it is unknown whether the
        # model would have been ready by then.
        if became_ready or took_ms > wait.planned_ms:
            self._delay_ratio(wait.planned_ms).add(wait.planned_ms, took_ms)

    def _delay_ratio(self, planned_ms: float) -> _DelayRatio:
        return self._short if planned_ms <= _MAX_SHORT_MS else self._long

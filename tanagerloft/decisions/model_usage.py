"""Use of models over the fleet: how often and how recently requested."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# Demand shifts within seconds, so older requests say little about it.
_RECENT_HALF_LIFE_MS = 4_000
_DECAY_STEP_MS = 500
# The number of recent requests times the usual interval between two of them.
RECENT_WINDOW_MS = _RECENT_HALF_LIFE_MS / math.log(2)
# Requests for a model that no engine holds are remembered for longer: their
# callers retry, and such a model may be requested only twice a minute.
_UNMET_HALF_LIFE_MS = 30_000
_MIN_UNMET_REQUESTS = 0.3
# Number of models handed over with each renewal of the lease, those unmet for
# longest: about two kilobytes.
_MAX_HANDOVER_MODELS = 64
# Recent requests assumed for a model that the platform has placed on two or
# more engines, before there are any.
_ASSUMED_PLACED_TWICE_REQUESTS = 8.0
# The same for a model with adapters.
_ASSUMED_ADAPTER_MODEL_REQUESTS = 1.0


class ModelUsage:
    """Counts requests for models, with and without adapters."""

    def __init__(self):
        self._counts: dict[str, dict[str, int]] = {}
        self._last_used_ms: dict[str, int] = {}
        self._last_requested_ms: dict[str, int] = {}
        self._held_since_ms: dict[str, int] = {}
        self._recent: dict[str, float] = {}
        self._unmet: dict[str, model_orders.UnmetDemand] = {}
        self._decayed_ms = 0
        self._placed: set[str] = set()

    def on_restart(self, instance: str) -> None:
        """Resets the counts of an instance that has restarted."""
        self._counts[instance] = {}

    def forget(self, instance: str) -> None:
        """Discards the counts of an instance that is leaving."""
        self._counts.pop(instance, None)

    def update_counts(
        self, instance: str, counts: dict[str, int], now_ms: int
    ) -> None:
        """Updates the usage from what an instance has counted since its start.

        Args:
            instance: Name of the instance.
            counts: Requests by model, or by model and adapter.
            now_ms: Reading of the clock.
        """
        self._decay(now_ms)
        # The counts of an instance from before its first report are known to
        # the previous lease holder; a first report only shows which models it
        # has counted recently.
        is_known = instance in self._counts
        known_counts = self._counts.setdefault(instance, {})
        for model_key, count in counts.items():
            new_requests = count - known_counts.get(model_key, 0)
            if not is_known:
                new_requests = min(new_requests, 1)
            if new_requests > 0:
                model = model_key.partition("/")[0]
                self._last_requested_ms[model] = now_ms
                self._last_used_ms[model] = now_ms
                self._last_used_ms[model_key] = now_ms
                self._recent[model] = (
                    self._recent.get(model, 0.0) + new_requests
                )
                unmet = self._unmet.get(
                    model, model_orders.UnmetDemand(0, now_ms)
                )
                self._unmet[model] = unmet._replace(
                    requests=unmet.requests + new_requests
                )
            known_counts[model_key] = count

    def on_initial_placement(
        self, placed: Iterable[str], models: Mapping[str, types.Model]
    ) -> None:
        """Estimates the use of models before there is any.

        A model that the platform has placed twice is a busy one. One that has
        adapters serves several purposes, so it is likely to be requested.

        Args:
            placed: Models that a new engine holds.
            models: Models of its service.
        """
        for name in placed:
            if name in models and models[name].adapter_count:
                self._recent.setdefault(name, _ASSUMED_ADAPTER_MODEL_REQUESTS)
            if name in self._placed and name not in self._last_used_ms:
                self._recent[name] = _ASSUMED_PLACED_TWICE_REQUESTS
            self._placed.add(name)

    def mark_used_until(self, model: str, until_ms: int) -> None:
        """Marks a model as used until a time, even without requests."""
        self._last_used_ms[model] = until_ms

    def update_held(
        self, models: set[str], in_flight: Mapping[str, int], now_ms: int
    ) -> None:
        """Updates which models engines hold and which of them are in use.

        The demand for a model stays unmet until a request is served: a loaded
        model alone is no use to those who request it.

        Args:
            models: Models that engines hold.
            in_flight: Requests in progress by model.
            now_ms: Reading of the clock.
        """
        self._held_since_ms = {
            model: self._held_since_ms.get(model, now_ms) for model in models
        }
        for model, since_ms in self._held_since_ms.items():
            requested_ms = self._last_requested_ms.get(model)
            is_served = requested_ms is not None and requested_ms >= since_ms
            if is_served or in_flight.get(model):
                self._unmet.pop(model, None)

    def longest_unmet(self, now_ms: int) -> dict[str, tuple[float, int]]:
        """Returns the models whose demand has been unmet for longest.

        Args:
            now_ms: Reading of the clock.

        Returns:
            Requests and time since the first in ms, by model.
        """
        unmet = sorted(self._unmet.items(), key=lambda item: item[1].since_ms)
        return {
            model: (round(demand.requests, 1), now_ms - demand.since_ms)
            for model, demand in unmet[:_MAX_HANDOVER_MODELS]
        }

    def restore_unmet(
        self, unmet: Mapping[str, tuple[float, int]], at_ms: int
    ) -> None:
        """Restores the unmet demand that the previous lease holder handed over.

        What this instance knows from an earlier term of its own is older.

        Args:
            unmet: Requests and time since the first, by model.
            at_ms: Reading of the clock at which that was so.
        """
        self._counts.clear()
        self._decay(at_ms)
        self._unmet = {
            model: model_orders.UnmetDemand(requests, at_ms - since_ms)
            for model, (requests, since_ms) in unmet.items()
        }

    def usage(self, in_flight: dict[str, int]) -> model_orders.Usage:
        """Returns the use of models for a planning round."""
        return model_orders.Usage(
            self._last_used_ms, self._recent, in_flight, self._unmet
        )

    def _decay(self, now_ms: int) -> None:
        if not self._last_used_ms:
            self._decayed_ms = now_ms
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms >= _DECAY_STEP_MS:
            factor = 0.5 ** (elapsed_ms / _RECENT_HALF_LIFE_MS)
            self._decayed_ms = now_ms
            for model in self._recent:
                self._recent[model] *= factor
            factor = 0.5 ** (elapsed_ms / _UNMET_HALF_LIFE_MS)
            self._unmet = {
                model: unmet._replace(requests=unmet.requests * factor)
                for model, unmet in self._unmet.items()
                if unmet.requests * factor >= _MIN_UNMET_REQUESTS
            }

"""Chooses what an engine drops to make room.

Load answered: more models in use than engines can hold at a time. What is
dropped comes back from a copy, but its next caller waits for that.
"""

from __future__ import annotations

from collections.abc import Callable

from tanagerloft.decisions import model_orders
from tanagerloft.decisions import model_usage

# Requests in the recent window that make a model one in steady use.
STEADY_REQUESTS = 4.0
# A model whose silence is longer than so many of its usual pauses is not in
# steady use any more: demand has moved on.
_MAX_SILENT_INTERVALS = 3.0
# An idle model is dropped for a waiting one only after this time without
# requests, so that two waiting models do not push each other out.
_MIN_IDLE_MS = 200


class EvictionPolicy:
    """Idle models and adapters of engines, in one round of planning.

    Args:
        usage: Use of the models.
        wanted: Models and adapters that somebody waits for.
        now_ms: Reading of the clock.
        replicas: Returns the number of engines that hold a model.
    """

    def __init__(
        self,
        usage: model_orders.Usage,
        wanted: set[str],
        now_ms: int,
        replicas: Callable[[str], int],
    ):
        self._usage = usage
        self._wanted = wanted
        self._now_ms = now_ms
        self._replicas = replicas
        self._chosen_models: dict[tuple[str, bool, bool], str | None] = {}

    def choose_model(
        self,
        engine: model_orders.Engine,
        model: str,
        keep_steady: bool = False,
    ) -> str | None:
        """Returns the idle model with the least use, None if all are used.

        Models that have been missed and that no caller has found there yet are
        dropped last, and only for a model that somebody waits for: else each
        would make room for the next one before anybody is served.

        Args:
            engine: The engine.
            model: The model that needs the room.
            keep_steady: Whether models in steady use stay.
        """
        is_waited_for = model in self._wanted
        key = engine.target_id, is_waited_for, keep_steady
        if key not in self._chosen_models:
            self._chosen_models[key] = self._find_model(
                engine, is_waited_for, keep_steady
            )
        return self._chosen_models[key]

    def holds_unserved(self, engine: model_orders.Engine) -> bool:
        """Returns whether it holds a missed model that nobody has found yet."""
        return any(name in self._usage.unmet_demand for name in engine.models)

    def choose_adapter(
        self, engine: model_orders.Engine
    ) -> tuple[str, str] | None:
        """Returns the adapter that has been unused for the longest."""
        candidates = []
        for model, adapters in engine.models.items():
            for adapter in adapters:
                model_key = f"{model}/{adapter}"
                last_ms = self._usage.last_used_ms.get(model_key, 0)
                if engine.running.get(model_key) or model_key in self._wanted:
                    continue
                if self._now_ms - last_ms >= _MIN_IDLE_MS:
                    candidates.append((last_ms, model, adapter))
        return min(candidates)[1:] if candidates else None

    def _find_model(
        self,
        engine: model_orders.Engine,
        is_waited_for: bool,
        keep_steady: bool,
    ) -> str | None:
        candidates = []
        for name in engine.models:
            last_ms = self._usage.last_used_ms.get(name, 0)
            if name in self._wanted or _running_requests(engine, name):
                continue
            if self._now_ms - last_ms < _MIN_IDLE_MS:
                continue
            unserved = name in self._usage.unmet_demand
            if unserved and not is_waited_for:
                continue
            recent = self._usage.recent.get(name, 0.0)
            silent_ms = self._now_ms - last_ms
            steady = (
                recent >= STEADY_REQUESTS
                and silent_ms * recent
                < _MAX_SILENT_INTERVALS * model_usage.RECENT_WINDOW_MS
            )
            if steady and (keep_steady or self._replicas(name) <= 1):
                continue
            candidates.append((unserved, steady, last_ms, recent, name))
        return min(candidates)[-1] if candidates else None


def _running_requests(engine: model_orders.Engine, model: str) -> int:
    total = engine.running.get(model, 0)
    prefix = model + "/"
    for name, count in engine.running.items():
        if name.startswith(prefix):
            total += count
    return total

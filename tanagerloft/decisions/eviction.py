"""Chooses what an engine evicts to free capacity.

Handles more models in use than engines can hold at a time. An evicted model can
be loaded from a copy again, but its next caller waits for that.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Container

from tanagerloft.decisions import model_orders
from tanagerloft.decisions import model_usage

# Number of recent requests from which on a model is in steady use.
STEADY_REQUESTS = 4.0
# A model whose last request is longer ago than this many of its usual intervals
# between requests is no longer in steady use: demand has moved on.
_MAX_SILENT_INTERVALS = 3.0
# An idle model is evicted for a waiting one only after this time without
# requests, so that two waiting models don't evict each other.
_MIN_IDLE_MS = 200


class EvictionPolicy:
    """Eviction of idle models and adapters, within one planning round.

    Args:
        declared: Names of the models that the service declares.
        usage: Use of the models.
        wanted: Models and adapters that requests wait for.
        now_ms: Reading of the clock.
        replicas: Returns the number of engines that hold a model.
    """

    def __init__(
        self,
        declared: Container[str],
        usage: model_orders.Usage,
        wanted: set[str],
        now_ms: int,
        replicas: Callable[[str], int],
    ):
        self._declared = declared
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
        """Returns the model to evict, None if all are in use.

        A model that has been withdrawn is evicted first, once its runs have
        ended: no further request is for it.

        Models with unmet demand that haven't served a request there yet are
        evicted last, and only for a model that requests wait for: otherwise
        each would be evicted for the next one before it serves a request.

        Args:
            engine: The engine.
            model: The model that needs the capacity.
            keep_steady: Whether models in steady use are never evicted.
        """
        is_waited_for = model in self._wanted
        key = engine.target_id, is_waited_for, keep_steady
        if key not in self._chosen_models:
            self._chosen_models[key] = self._find_model(
                engine, is_waited_for, keep_steady
            )
        return self._chosen_models[key]

    def choose_replica_in_use(self, engine: model_orders.Engine) -> str | None:
        """Returns a model in use to evict that another engine holds too.

        Handles an engine full of models in steady use that has the only copy of
        another one: runs of the former would never all end.

        Args:
            engine: The engine.
        """
        candidates = [
            (_running_requests(engine, name), name)
            for name in engine.models
            if self._replicas(name) > 1
            and name not in self._wanted
            and name not in self._usage.unmet_demand
            and not self._usage.returning.get(name)
        ]
        return min(candidates)[-1] if candidates else None

    def holds_unserved(self, engine: model_orders.Engine) -> bool:
        """Returns whether it holds a model that hasn't served a request yet."""
        return any(
            name in self._usage.unmet_demand and name in self._declared
            for name in engine.models
        )

    def choose_adapter(
        self, engine: model_orders.Engine
    ) -> tuple[str, str] | None:
        """Returns the least recently used idle adapter with its model."""
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
            if _running_requests(engine, name):
                continue
            if name not in self._declared:
                return name
            if name in self._wanted:
                continue
            if self._usage.returning.get(name):
                # Its callers were refused and come back within seconds.
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

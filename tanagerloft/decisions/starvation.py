"""Bounds the time for which a wanted model can be starved of loads.

Handles more requested models than the weight store and the engines can serve,
where those with more requests would always come first. The models whose demand
has been unmet for longest take precedence over all others, first those whose
refused callers are about to come back, but only in half of the store's
concurrent loads: the rest serve what most callers wait for. Those that an
engine has a copy of don't compete with them and are loaded one at a time.
"""

from __future__ import annotations

from collections.abc import Collection

from tanagerloft.decisions import model_orders

# A model whose demand is unmet for this long is overdue: by then a load from
# the weight store could have completed, had it been the next one.
_OVERDUE_MS = 8_000
# Minimum number of requests, so that a single request doesn't make a model
# overdue.
_MIN_OVERDUE_REQUESTS = 1.5
# Overdue models loaded from copies at a time. Each reserves an engine, which
# then loads nothing for models in more demand.
_MAX_WITH_COPY = 1


class StarvationGuard:
    """Chooses the overdue models that are loaded next."""

    def __init__(self):
        self._chosen: list[str] = []

    def choose_overdue(
        self,
        usage: model_orders.Usage,
        absent: Collection[str],
        loading: Collection[str],
        now_ms: int,
        store_concurrency: int,
        in_time: Collection[str] = (),
        with_copy: Collection[str] = (),
    ) -> list[str]:
        """Returns the models that take precedence over all others, in order.

        Args:
            usage: Use of the models.
            absent: Models in demand that no engine holds or loads.
            loading: Models that engines load.
            now_ms: Reading of the clock.
            store_concurrency: Number of concurrent loads that the store runs at
                full speed.
            in_time: Models whose refused callers come back in time for a load.
            with_copy: Models that an engine has a copy of. They need no place
                of the store.
        """
        under_way = [model for model in self._chosen if model in loading]
        free_slots = max(1, store_concurrency // 2) - len(under_way)
        overdue = [
            (model not in in_time, unmet.since_ms, model)
            for model, unmet in usage.unmet_demand.items()
            if model in absent
            and now_ms - unmet.since_ms >= _OVERDUE_MS
            and unmet.requests >= _MIN_OVERDUE_REQUESTS
        ]
        models = [model for *_, model in sorted(overdue)]
        from_store = [model for model in models if model not in with_copy]
        chosen = from_store[: max(0, free_slots)]
        self._chosen = under_way + chosen
        copied = [model for model in models if model in with_copy]
        return chosen + copied[:_MAX_WITH_COPY]

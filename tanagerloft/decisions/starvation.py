"""Bounds how long a wanted model is passed over.

Load answered: more models asked for than the weight store and the engines can
serve, where those with more requests always come first. Those that have been
missed for longest go before all others, as many at a time as half of the loads
that the store takes: the rest stay with what most callers wait for.
"""

from __future__ import annotations

from collections.abc import Collection

from tanagerloft.decisions import model_orders

# A model that is missed for this long is overdue: by then a load from the
# weight store could have brought it, had it been the next one.
_OVERDUE_MS = 8_000
# Requests that it takes, so that one stray request moves nothing.
_MIN_OVERDUE_REQUESTS = 1.5


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
    ) -> list[str]:
        """Returns the models that go before all others, the first one first.

        Args:
            usage: Use of the models.
            absent: Models that are asked for and that no engine has or loads.
            loading: Models that engines load.
            now_ms: Reading of the clock.
            store_concurrency: Loads that the store takes at full speed.
        """
        under_way = [model for model in self._chosen if model in loading]
        free_slots = max(1, store_concurrency // 2) - len(under_way)
        overdue = [
            (unmet.since_ms, model)
            for model, unmet in usage.unmet_demand.items()
            if model in absent
            and now_ms - unmet.since_ms >= _OVERDUE_MS
            and unmet.requests >= _MIN_OVERDUE_REQUESTS
        ]
        chosen = [model for _, model in sorted(overdue)[: max(0, free_slots)]]
        self._chosen = under_way + chosen
        return chosen

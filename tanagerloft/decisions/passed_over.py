"""Bounds how long a wanted model is passed over.

Load answered: more models asked for than the weight store and the engines can
serve, where those with more requests always come first. The one that has been
missed for longest goes before all others, one such load at a time: the rest of
the engines stay with what most callers wait for.
"""

from __future__ import annotations

from collections.abc import Collection

from tanagerloft.decisions import model_orders

# A model that is missed for this long is overdue: by then a load from the
# weight store could have brought it, had it been the next one.
_OVERDUE_MS = 8_000
# Requests that it takes, so that one stray request moves nothing.
_MIN_REQUESTS = 1.5


class PassedOver:
    """Chooses the overdue model that is loaded next."""

    def __init__(self):
        self._chosen = ""

    def next(
        self,
        usage: model_orders.Usage,
        absent: Collection[str],
        loading: Collection[str],
        now_ms: int,
    ) -> str:
        """Returns the model that goes before all others, empty for none.

        Args:
            usage: Use of the models.
            absent: Models that are asked for and that no engine has or loads.
            loading: Models that engines load.
            now_ms: Reading of the clock.
        """
        if self._chosen in loading:
            return ""
        overdue = [
            (missed.since_ms, model)
            for model, missed in usage.missed.items()
            if model in absent
            and now_ms - missed.since_ms >= _OVERDUE_MS
            and missed.requests >= _MIN_REQUESTS
        ]
        self._chosen = min(overdue)[1] if overdue else ""
        return self._chosen

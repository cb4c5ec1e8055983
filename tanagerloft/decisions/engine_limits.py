"""Whether an engine that has named a limit still counts as room for models."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math

from tanagerloft.decisions import model_usage

_MS_PER_S = 1_000


def is_limit_below_demand(
    models: Iterable[str], limit_per_s: float, recent: Mapping[str, float]
) -> bool:
    """Returns whether an engine takes fewer requests than its models get.

    Load answered: an engine in need that alone holds models which are asked
    for. Its models are to be had elsewhere, as if it left.

    Args:
        models: Models that it holds.
        limit_per_s: Requests a second that it takes, infinite for no limit.
        recent: Requests of the last seconds, by model.
    """
    if math.isinf(limit_per_s):
        return False
    requests = sum(recent.get(model, 0.0) for model in models)
    return requests * _MS_PER_S / model_usage.RECENT_WINDOW_MS > limit_per_s

"""Whether an engine that announced a limit still counts as capacity."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math

from tanagerloft.decisions import model_usage

_MS_PER_S = 1_000


def is_limit_below_demand(
    models: Iterable[str], limit_per_s: float, recent: Mapping[str, float]
) -> bool:
    """Returns whether an engine's limit is below the demand for its models.

    Handles an overloaded engine that alone holds models in demand: these should
    be available elsewhere, as if the engine was leaving.

    Args:
        models: Models that it holds.
        limit_per_s: Requests per second that it accepts, infinite for no limit.
        recent: Recent requests by model.
    """
    if math.isinf(limit_per_s):
        return False
    requests = sum(recent.get(model, 0.0) for model in models)
    return requests * _MS_PER_S / model_usage.RECENT_WINDOW_MS > limit_per_s

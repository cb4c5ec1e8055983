"""What of the demands is for models that no engine holds."""

from __future__ import annotations

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import model_orders

# Worth of a late answer, and of a request of the recent window that makes more
# of its kind likely, against an answer in time.
_LATE_ANSWER_VALUE = 0.2
_LIKELY_REQUEST_VALUE = 0.3
# The same of a request for a model that no engine has held since: it has been
# refused, and its caller comes back.
_REFUSED_REQUEST_VALUE = 0.1


def absent_models(
    demands: list[model_orders.Demand],
    usage: model_orders.Usage,
    pool: engine_pool.EnginePool,
) -> dict[str, model_orders.Demand]:
    """Returns the demand for each model that no engine holds.

    Args:
        demands: Demands for models of the service.
        usage: Use of the models.
        pool: Engines of the service.
    """
    absent: dict[str, model_orders.Demand] = {}
    for demand in demands:
        if pool.holders(demand.model):
            continue
        known = absent.get(demand.model)
        absent[demand.model] = (
            model_orders.merge(known, demand) if known is not None else demand
        )
    for name in usage.unmet_demand:
        # Refused at once as the model would come too late, but wanted.
        if pool.serves(name) and not pool.holders(name):
            absent.setdefault(name, model_orders.Demand(name, "", (), ()))
    return absent


def load_value(
    demand: model_orders.Demand, usage: model_orders.Usage, load_ms: float
) -> float:
    """Returns the worth of loading a model.

    What counts is requests that it lets meet their aim, others whose callers
    still wait, and those that will come while the model is there.

    Args:
        demand: Demand for it.
        usage: Use of the models.
        load_ms: Time until it is there.
    """
    recent = usage.recent.get(demand.model, 0.0)
    unmet = usage.unmet_demand.get(demand.model)
    total = _waiting_value(demand, load_ms) + _LIKELY_REQUEST_VALUE * recent
    if unmet is not None:
        total += _REFUSED_REQUEST_VALUE * unmet.requests
    return total


def store_load_value(
    demand: model_orders.Demand, usage: model_orders.Usage, load_ms: float
) -> float:
    """Returns the worth of loading a model from the weight store.

    Load answered: many models that a few requests a minute ask for. Such a load
    takes longer than the window of recent requests, in which one stray request
    more says nothing; what has been missed all along tells what will come.

    Args:
        demand: Demand for it.
        usage: Use of the models.
        load_ms: Time until it is there.
    """
    unmet = usage.unmet_demand.get(demand.model)
    requests = unmet.requests if unmet is not None else 0.0
    return _waiting_value(demand, load_ms) + _LIKELY_REQUEST_VALUE * requests


def _waiting_value(demand: model_orders.Demand, load_ms: float) -> float:
    """Returns the worth of the requests that wait and will be served."""
    within_objective = sum(left > load_ms for left in demand.objectives_left_ms)
    late = (
        sum(left > load_ms for left in demand.caller_timeouts_left_ms)
        - within_objective
    )
    return within_objective + _LATE_ANSWER_VALUE * late

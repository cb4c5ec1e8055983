"""Demand for models that no engine holds, and the value of loading them."""

from __future__ import annotations

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import model_orders

# Value of an answer after its latency objective, and of a recent request as an
# indication of more to come, relative to an answer within the objective.
_LATE_ANSWER_VALUE = 0.2
_LIKELY_REQUEST_VALUE = 0.3
# The same for a request for a model that no engine has held since: it was
# refused, and its caller retries.
_REFUSED_REQUEST_VALUE = 0.1
# Value of a refused caller that is still there when a load from the store ends.
# It is certain to be served, unlike one that a recent request indicates.
_RETURNING_CALLER_VALUE = 1.0


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
        # Requests were refused at once as the model would be ready too late.
        if pool.serves(name) and not pool.holders(name):
            absent.setdefault(name, model_orders.Demand(name, "", (), ()))
    return absent


def load_value(
    demand: model_orders.Demand, usage: model_orders.Usage, load_ms: float
) -> float:
    """Returns the value of loading a model.

    It counts requests that will meet their latency objective, others whose
    callers still wait, and those expected while the model is loaded.

    Args:
        demand: Demand for the model.
        usage: Use of the models.
        load_ms: Time until the model is ready.
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
    """Returns the value of loading a model from the weight store.

    Handles many models with a few requests per minute each. Such a load takes
    longer than the window of recent requests, in which a single request more or
    less is no evidence; the demand that has been unmet all along indicates what
    will come. Callers refused long ago don't come back, so a model whose
    callers are about to is preferred.

    Args:
        demand: Demand for the model.
        usage: Use of the models.
        load_ms: Time until the model is ready.
    """
    unmet = usage.unmet_demand.get(demand.model)
    requests = unmet.requests if unmet is not None else 0.0
    value = _waiting_value(demand, load_ms) + _LIKELY_REQUEST_VALUE * requests
    served = served_on_return(demand.model, usage, load_ms)
    return value + _RETURNING_CALLER_VALUE * served


def served_on_return(
    model: str, usage: model_orders.Usage, load_ms: float
) -> int:
    """Returns the number of refused callers that a load is in time for.

    A caller that comes back while the model is being loaded waits for it.

    Args:
        model: The model.
        usage: Use of the models.
        load_ms: Time until the model is ready.
    """
    return sum(left > load_ms for left in usage.returning.get(model, ()))


def _waiting_value(demand: model_orders.Demand, load_ms: float) -> float:
    """Returns the value of the waiting requests that will be served."""
    within_objective = sum(left > load_ms for left in demand.objectives_left_ms)
    late = (
        sum(left > load_ms for left in demand.caller_timeouts_left_ms)
        - within_objective
    )
    return within_objective + _LATE_ANSWER_VALUE * late

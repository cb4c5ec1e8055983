"""Decides which models and adapters engines load and unload.

Load answered: many rarely used models, each asked for now and then, on engines
that hold a few at a time. A first load from the weight store takes longer than
callers wait, a load from an engine's own copy does not. So what is waited for
comes first, from the nearest copy, and idle engines fetch copies of models
that no engine has.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import load_values
from tanagerloft.decisions import model_demands
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import plan_round
from tanagerloft.decisions import starvation
from tanagerloft.fleet import types


class Plan(NamedTuple):
    """Result of a round of planning.

    Attributes:
        orders: Orders to give now.
        ready_in_ms: Time until a waited-for model will be there, by model.
        purposes: Why each order is given; an unload serves the load after it.
    """

    orders: list[model_orders.Order]
    ready_in_ms: dict[str, int]
    purposes: dict[model_orders.Order, model_orders.Purpose]


class ModelPlanner:
    """Plans the orders of one service.

    Args:
        models: Models of the service.
    """

    def __init__(self, models: dict[str, types.Model]):
        self._models = models
        self._starvation_guard = starvation.StarvationGuard()

    def plan(
        self,
        engines: list[model_orders.Engine],
        demands: list[model_orders.Demand],
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        now_ms: int,
    ) -> Plan:
        """Returns the orders to give now, at most one model an engine."""
        wanted = {demand.model for demand in demands} | {
            f"{demand.model}/{demand.adapter}" for demand in demands
        }
        pool = engine_pool.EnginePool(
            self._models, engines, usage, weight_store, wanted, now_ms
        )
        demands = [one for one in demands if one.model in self._models]
        absent = model_demands.absent_models(demands, usage, pool)
        values = load_values.LoadValues(self._models, pool, usage, absent)
        pool.set_load_values(values.by_model)
        current_round = plan_round.PlanRound(
            self._models, pool, usage, weight_store, wanted, values
        )
        for demand in demands:
            if demand.adapter and pool.holders(demand.model):
                current_round.place_adapter(demand.model, demand.adapter)
        overdue = self._starvation_guard.choose_overdue(
            usage, absent, pool.loading, now_ms, weight_store.concurrency
        )
        for model in overdue:
            del absent[model]
            current_round.place_model(model, overdue=True)
        for model in _by_urgency(absent, values, pool):
            current_round.place_model(model)
        for name in usage.recent:
            if name in self._models:
                current_round.add_replica(name)
        current_round.prefetch()
        return Plan(
            current_round.orders,
            current_round.ready_in_ms,
            current_round.purposes,
        )


def _by_urgency(
    absent: Iterable[str],
    values: load_values.LoadValues,
    pool: engine_pool.EnginePool,
) -> Iterator[str]:
    """Returns models in the order of what their loads are worth.

    Load answered: more models without a copy than the weight store carries. A
    model whose engines with copies are busy for long would be loaded from the
    store, ahead of those that have no copy, if its load counted as a short one.
    """
    long_loads = []
    for model in sorted(absent, key=values.urgency):
        if pool.is_sooner_from_store(model):
            long_loads.append(model)
        else:
            yield model
    yield from sorted(long_loads, key=values.store_urgency)

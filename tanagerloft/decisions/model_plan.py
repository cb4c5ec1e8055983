"""Decides which models and adapters engines load and unload.

Handles many rarely used models, each requested now and then, on engines that
hold a few at a time. A first load from the weight store takes longer than
callers wait, while a load from an engine's own copy doesn't. So models that
requests wait for are loaded first, from the nearest copy, and idle engines
prefetch models that no engine has a copy of.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import load_values
from tanagerloft.decisions import model_catalog
from tanagerloft.decisions import model_demands
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import plan_round
from tanagerloft.decisions import starvation


class Plan(NamedTuple):
    """Result of a planning round.

    Attributes:
        orders: Orders to give now.
        ready_in_ms: Time until a waited-for model can be used, by model.
        purposes: Reason of each order; that of an unload is the reason of the
            load after it.
    """

    orders: list[model_orders.Order]
    ready_in_ms: dict[str, int]
    purposes: dict[model_orders.Order, model_orders.Purpose]


class ModelPlanner:
    """Plans the orders of one service.

    Args:
        catalog: Models of the service, which may change at any time.
    """

    def __init__(self, catalog: model_catalog.ModelCatalog):
        self._catalog = catalog
        self._starvation_guard = starvation.StarvationGuard()
        self._next_store_loads: list[str] = []

    def plan(
        self,
        engines: list[model_orders.Engine],
        demands: list[model_orders.Demand],
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        now_ms: int,
        may_prefetch: bool = True,
    ) -> Plan:
        """Returns the orders to give now, at most one model per engine.

        Args:
            engines: States of the engines of the service.
            demands: Requests that wait for its models and adapters.
            usage: Use of the models.
            weight_store: Current limits of the weight store.
            now_ms: Reading of the clock.
            may_prefetch: Whether the copies of all engines are known, so that
                models without one may be loaded ahead of demand.
        """
        wanted = {demand.model for demand in demands} | {
            f"{demand.model}/{demand.adapter}" for demand in demands
        }
        models = self._catalog.declared
        pool = engine_pool.EnginePool(
            self._catalog, engines, usage, weight_store, wanted, now_ms
        )
        demands = [item for item in demands if item.model in models]
        absent = model_demands.absent_models(demands, usage, pool)
        values = load_values.LoadValues(models, pool, usage, absent)
        pool.set_load_values(values.by_model)
        current_round = plan_round.PlanRound(
            self._catalog, pool, usage, weight_store, wanted, values
        )
        for demand in demands:
            if demand.adapter and pool.holders(demand.model):
                current_round.place_adapter(demand.model, demand.adapter)
        overdue = self._starvation_guard.choose_overdue(
            usage,
            absent,
            pool.loading,
            now_ms,
            weight_store.concurrency,
            self._served_on_return(usage),
            {model for model in absent if pool.with_copy(model)},
        )
        for model in overdue:
            del absent[model]
            current_round.place_model(model, overdue=True)
        # Loads from copies would keep the engines of these busy.
        for model in self._next_store_loads:
            if absent.pop(model, None) is not None:
                current_round.place_model(model)
        for model in _by_urgency(absent, values, pool):
            current_round.place_model(model)
        for name in usage.recent:
            if name in models:
                current_round.add_replica(name)
        if may_prefetch:
            current_round.prefetch()
        self._next_store_loads = current_round.next_store_loads
        return Plan(
            current_round.orders,
            current_round.ready_in_ms,
            current_round.purposes,
        )

    def _served_on_return(self, usage: model_orders.Usage) -> set[str]:
        """Returns models whose refused callers come back in time for a load."""
        models = self._catalog.declared
        return {
            name
            for name in usage.returning
            if name in models
            and model_demands.served_on_return(
                name, usage, models[name].load_ms
            )
        }


def _by_urgency(
    absent: Iterable[str],
    values: load_values.LoadValues,
    pool: engine_pool.EnginePool,
) -> Iterator[str]:
    """Yields models in descending order of the value of their loads.

    Handles more models without a copy than the weight store can load. A model
    whose engines with copies stay busy for long has to be loaded from the
    store; if its load counted as a short one, it would come before the models
    that have no copy.
    """
    store_loads = []
    for model in sorted(absent, key=values.urgency):
        if pool.is_sooner_from_store(model):
            store_loads.append(model)
        else:
            yield model
    yield from sorted(store_loads, key=values.store_urgency)

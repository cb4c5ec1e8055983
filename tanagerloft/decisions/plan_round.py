"""One round of planning: derives the orders from the demand for each model.

Handles more wanted models than engines can hold, each of which loads in less
than a second from a copy, or in several from the weight store.
"""

from __future__ import annotations

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import eviction
from tanagerloft.decisions import load_values
from tanagerloft.decisions import model_catalog
from tanagerloft.decisions import model_orders

# Another replica is loaded if each replica has more requests in progress than
# this number or this share of an engine's slots, whichever is less. More
# requests would slow down every token of the batch.
_MAX_REPLICA_REQUESTS = 16
_MAX_REPLICA_SLOTS_SHARE = 0.5
# Minimum number of replicas of a model in steady use: one may crash at any
# time.
_MIN_STEADY_REPLICAS = 2
# A prefetched model evicts only a model with fewer recent requests than this.
_UNUSED_BELOW_REQUESTS = 0.5
# While requests wait for other models, one of this many engines may load from
# the store: nothing else can be loaded there meanwhile.
_ENGINES_PER_STORE_LOAD = 2


class PlanRound:
    """One run of the planner.

    Args:
        catalog: Models of the service.
        pool: Engines of the service.
        usage: Use of the models.
        weight_store: Current limits of the weight store.
        wanted: Models and adapters that requests wait for.
        values: Value of loading each model that no engine holds.

    Attributes:
        orders: Orders to give now.
        purposes: Reason of each order.
        ready_in_ms: Time until a waited-for model can be used, by model.
        next_store_loads: Models whose loads from the store have a place and
            wait for a moment until their engines are free.
    """

    def __init__(
        self,
        catalog: model_catalog.ModelCatalog,
        pool: engine_pool.EnginePool,
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        wanted: set[str],
        values: load_values.LoadValues,
    ):
        self._known_models = catalog.known
        self._pool = pool
        self._value_by_model = values.by_model
        self._wanted = wanted
        self._usage = usage
        self._store_left = weight_store.loads_left
        self._store_under_way = weight_store.under_way
        self._store_concurrency = weight_store.concurrency
        self._store_proven = weight_store.proven
        self._replica_requests = min(
            (
                engine.slots * _MAX_REPLICA_SLOTS_SHARE
                for engine in pool.engines
            ),
            default=0.0,
        )
        self._replica_requests = min(
            self._replica_requests, _MAX_REPLICA_REQUESTS
        )
        self.orders: list[model_orders.Order] = []
        self.purposes: dict[model_orders.Order, model_orders.Purpose] = {}
        self.ready_in_ms: dict[str, int] = {}
        self.next_store_loads: list[str] = []

    def place_model(self, model: str, overdue: bool = False) -> None:
        """Loads a waited-for model at the engine that can have it earliest.

        The engine is reserved for it even while it is busy, so that a model in
        less demand doesn't take its capacity. An engine without capacity whose
        models are all in use is reserved for an overdue model only; otherwise
        it stays available to models that fit. It isn't reserved either while it
        holds an unserved model, one that still has to serve its first request.

        Args:
            model: The model.
            overdue: Whether it takes precedence over all others.
        """
        pool = self._pool
        loading = pool.loading.get(model)
        if loading is not None:
            self.ready_in_ms[model] = loading.busy_ms
            return
        earliest = pool.earliest(model)
        if earliest is None:
            return
        engine = earliest.engine
        self.ready_in_ms[model] = int(earliest.ready_ms)
        can_start = engine.busy or pool.can_free_capacity(engine, model)
        may_reserve = overdue and not pool.eviction_policy.holds_unserved(
            engine
        )
        if not can_start and not may_reserve:
            return
        pool.record_load(earliest, model)
        if pool.loads_from_store(engine, model):
            if not self._may_load_from_store(engine):
                return
            copies_value = pool.waiting_copies_value(engine)
            if not overdue and self._value_by_model[model] < copies_value:
                return
            if not pool.is_free(engine) and pool.is_free_soon(engine, model):
                self._keep_store_place(model)
        if pool.is_free(engine):
            purpose = model_orders.Purpose.REFUSED
            if overdue:
                purpose = model_orders.Purpose.OVERDUE
            elif model in self._wanted:
                purpose = model_orders.Purpose.WAITING
            self._add_load(engine, model, purpose)
        pool.reserve(engine)

    def add_replica(self, model: str) -> None:
        """Adds a replica of a model that is in steady use or overloaded."""
        pool = self._pool
        if model in self._wanted or model in pool.loading:
            return
        holders = pool.holders(model)
        in_flight = self._usage.in_flight.get(model, 0)
        recent = self._usage.recent.get(model, 0.0)
        steady = recent >= eviction.STEADY_REQUESTS
        overloaded = in_flight > self._replica_requests * len(holders)
        if (
            not (steady and len(holders) < _MIN_STEADY_REPLICAS)
            and not overloaded
        ):
            return

        def can_hold(engine: model_orders.Engine) -> bool:
            held = model in engine.models
            # Otherwise replicas of models in steady use would evict each other.
            return not held and pool.can_free_capacity(
                engine, model, keep_steady=not overloaded
            )

        earliest = pool.earliest(model, can_hold)
        if earliest is None:
            return
        engine = earliest.engine
        if pool.loads_from_store(engine, model) and not (
            pool.has_few_copies(engine)
            and self._may_load_from_store(engine)
            and (overloaded or not self._is_store_needed())
        ):
            return
        if pool.is_free(engine):
            self._add_load(
                engine,
                model,
                model_orders.Purpose.REPLICA,
                keep_steady=not overloaded,
            )

    def _is_store_needed(self) -> bool:
        """Returns whether a model in demand has to come from the store."""
        return any(map(self._pool.is_sooner_from_store, self._value_by_model))

    def prefetch(self) -> None:
        """Lets engines prefetch models that no engine has a copy of.

        An engine that loads from the store for seconds can't load anything else
        meanwhile. So once there is traffic, only engines with few copies
        prefetch, and only while no request waits. Once some number of
        concurrent loads has been observed at full speed, no more are tried: a
        slow load would keep the store from those who come meanwhile.
        """
        if self._wanted or self._is_store_needed():
            return
        pool = self._pool
        limit = self._store_proven or self._store_concurrency
        without_copy = pool.models_without_copy()
        for engine in sorted(pool.engines, key=pool.copies_mb):
            if not pool.is_free(engine) or not without_copy:
                continue
            if pool.last_copies_evicted(engine, without_copy[0]):
                continue
            if self._usage.last_used_ms and not pool.has_few_copies(engine):
                continue
            if self._store_under_way >= limit:
                return
            victim = pool.eviction_policy.choose_model(engine, without_copy[0])
            is_unused = (
                victim is not None
                and self._usage.recent.get(victim, 0.0) < _UNUSED_BELOW_REQUESTS
            )
            if pool.has_capacity(engine, without_copy[0]) or is_unused:
                self._add_load(
                    engine, without_copy.pop(0), model_orders.Purpose.PREFETCH
                )

    def place_adapter(self, model: str, adapter: str) -> None:
        """Loads an adapter at the least busy engine that holds its model."""
        holders = self._pool.holders(model)
        is_placed = any(adapter in engine.models[model] for engine in holders)
        if is_placed or any(
            order.target_id == engine.target_id
            for order in self.orders
            for engine in holders
        ):
            return
        # An engine that carries out an order takes no other one.
        engine = min(
            holders,
            key=lambda holder: (
                holder.busy_ms,
                sum(holder.running.values()) + _adapter_count(holder),
                holder.target_id,
            ),
        )
        if engine.busy:
            return
        order = model_orders.Order(
            model_orders.Verb.LOAD, engine.target_id, model, adapter
        )
        if model_orders.fits(
            engine.held(),
            order,
            self._known_models,
            engine.capacity_mb,
            engine.max_adapters,
        ):
            self._add_order(order, model_orders.Purpose.ADAPTER)
            return
        victim = self._pool.eviction_policy.choose_adapter(engine)
        if victim is not None:
            unload = model_orders.Order(
                model_orders.Verb.UNLOAD, engine.target_id, *victim
            )
            self._add_order(unload, model_orders.Purpose.ADAPTER)

    def _add_order(
        self, order: model_orders.Order, purpose: model_orders.Purpose
    ) -> None:
        self.orders.append(order)
        self.purposes[order] = purpose

    def _add_load(
        self,
        engine: model_orders.Engine,
        model: str,
        purpose: model_orders.Purpose,
        keep_steady: bool = False,
    ) -> None:
        """Adds the order of a load, or of the unload that must precede it."""
        pool = self._pool
        pool.reserve(engine)
        if not pool.has_capacity(engine, model):
            victim = pool.eviction_policy.choose_model(
                engine, model, keep_steady
            )
            if victim is None and purpose is model_orders.Purpose.OVERDUE:
                victim = pool.eviction_policy.choose_replica_in_use(engine)
            if victim is not None:
                unload = model_orders.Order(
                    model_orders.Verb.UNLOAD, engine.target_id, victim
                )
                self._add_order(unload, purpose)
                if pool.loads_from_store(engine, model):
                    self._keep_store_place(model)
            return
        if pool.loads_from_store(engine, model):
            if self._store_left <= 0:
                return
            self._store_left -= 1
            self._store_under_way += 1
            pool.record_evictions(engine, model)
        load = model_orders.Order(
            model_orders.Verb.LOAD, engine.target_id, model
        )
        self._add_order(load, purpose)

    def _keep_store_place(self, model: str) -> None:
        """Keeps a place of the store for a load that begins in a moment.

        Otherwise a model in less demand, whose engine is free, would take it.
        """
        self._store_under_way += 1
        self.next_store_loads.append(model)

    def _may_load_from_store(self, engine: model_orders.Engine) -> bool:
        """Returns whether a load from the store may start at an engine.

        The engine can't serve loads from its copies meanwhile.
        """
        limit = self._store_concurrency
        if not self._pool.has_few_copies(engine):
            limit = min(
                limit, len(self._pool.engines) // _ENGINES_PER_STORE_LOAD
            )
        return self._store_under_way < max(1, limit) and self._store_left > 0


def _adapter_count(engine: model_orders.Engine) -> int:
    return sum(len(adapters) for adapters in engine.models.values())

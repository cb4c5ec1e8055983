"""One round of planning: which orders each wanted model leads to.

Load answered: more wanted models than engines can hold, of which each can be
had from a copy in less than a second, or from the weight store in several.
"""

from __future__ import annotations

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import eviction
from tanagerloft.decisions import load_values
from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# Requests under way on each replica beyond which another one is loaded: so
# many, or this share of an engine's slots if that is less. More would slow
# every token of the batch.
_REPLICA_REQUESTS = 16
_REPLICA_SLOTS_SHARE = 0.5
# Replicas of a model in steady use: one may crash at any time.
_STEADY_REPLICAS = 2
# A copy is fetched ahead of demand only in the place of a model with less use.
_UNUSED_REQUESTS = 0.5
# Of so many engines, one may load from the store while requests wait for
# others: nothing else can be loaded there meanwhile.
_ENGINES_PER_LONG_LOAD = 2


class PlanRound:
    """One run of the planner.

    Args:
        models: Models of the service.
        pool: Engines of the service.
        usage: Use of the models.
        weight_store: What the weight store allows.
        wanted: Models and adapters that somebody waits for.
        worth: Worth of loading each model that no engine holds.

    Attributes:
        orders: Orders to give now.
        purposes: Why each of them is given.
        later_ms: Time until a waited-for model will be there, by model.
    """

    def __init__(
        self,
        models: dict[str, types.Model],
        pool: engine_pool.EnginePool,
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        wanted: set[str],
        worth: load_values.LoadWorth,
    ):
        self._models = models
        self._pool = pool
        self._worth = worth.by_model
        self._wanted = wanted
        self._usage = usage
        self._store_left = weight_store.loads_left
        self._store_under_way = weight_store.under_way
        self._store_at_once = weight_store.at_once
        self._replica_requests = min(
            (engine.slots * _REPLICA_SLOTS_SHARE for engine in pool.engines),
            default=0.0,
        )
        self._replica_requests = min(self._replica_requests, _REPLICA_REQUESTS)
        self.orders: list[model_orders.Order] = []
        self.purposes: dict[model_orders.Order, model_orders.Purpose] = {}
        self.later_ms: dict[str, int] = {}

    def place_model(self, model: str, overdue: bool = False) -> None:
        """Loads a waited-for model at the engine that has it soonest.

        The engine is kept for it even while it is busy, so that a model that
        is waited for less does not take the place. An engine without room,
        all of whose models are in use, is kept for an overdue model only:
        otherwise what fits goes there. It is not kept either while it holds a
        model that still has to serve its first caller.

        Args:
            model: The model.
            overdue: Whether it goes before all others.
        """
        pool = self._pool
        loading = pool.loading.get(model)
        if loading is not None:
            self.later_ms[model] = loading.busy_ms
            return
        soonest = pool.soonest(model)
        if soonest is None:
            return
        engine = soonest.engine
        self.later_ms[model] = int(soonest.ready_ms)
        starts = engine.busy or pool.can_make_room(engine, model)
        kept = overdue and not pool.victims.holds_unserved(engine)
        if not starts and not kept:
            return
        pool.note_load(soonest, model)
        if pool.from_store(engine, model):
            if not self._may_load_long(engine):
                return
            copies_worth = pool.waiting_copies_worth(engine)
            if not overdue and self._worth[model] < copies_worth:
                return
        if pool.is_free(engine):
            purpose = model_orders.Purpose.REFUSED
            if overdue:
                purpose = model_orders.Purpose.OVERDUE
            elif model in self._wanted:
                purpose = model_orders.Purpose.WAITED
            self._load(engine, model, purpose)
        pool.take(engine)

    def add_replica(self, model: str) -> None:
        """Adds a replica of a model that is in steady use or crowded."""
        pool = self._pool
        if model in self._wanted or model in pool.loading:
            return
        holders = pool.holders(model)
        in_flight = self._usage.in_flight.get(model, 0)
        recent = self._usage.recent.get(model, 0.0)
        steady = recent >= eviction.STEADY_REQUESTS
        crowded = in_flight > self._replica_requests * len(holders)
        if not (steady and len(holders) < _STEADY_REPLICAS) and not crowded:
            return

        def fitting(engine: model_orders.Engine) -> bool:
            held = model in engine.models
            # Else replicas of models in steady use push each other out.
            return not held and pool.can_make_room(
                engine, model, spares_steady=not crowded
            )

        soonest = pool.soonest(model, fitting)
        if soonest is None:
            return
        engine = soonest.engine
        spared = pool.is_bare(engine) and self._may_load_long(engine)
        if pool.from_store(engine, model) and not spared:
            return
        if pool.is_free(engine):
            self._load(
                engine,
                model,
                model_orders.Purpose.REPLICA,
                spares_steady=not crowded,
            )

    def fetch_copies(self) -> None:
        """Lets engines fetch models that no engine has a copy of.

        An engine that loads from the store for seconds can load nothing else
        meanwhile. So once there is traffic, only engines do so that have few
        copies themselves, and only while nobody waits.
        """
        if self._wanted:
            return
        pool = self._pool
        missing = pool.missing()
        for engine in sorted(pool.engines, key=pool.copies_mb):
            if not pool.is_free(engine) or not missing:
                continue
            if self._usage.last_used_ms and not pool.is_bare(engine):
                continue
            if self._store_under_way >= self._store_at_once:
                return
            victim = pool.victims.model(engine, missing[0])
            unused = (
                victim is not None
                and self._usage.recent.get(victim, 0.0) < _UNUSED_REQUESTS
            )
            if pool.has_room(engine, missing[0]) or unused:
                self._load(engine, missing.pop(0), model_orders.Purpose.AHEAD)

    def place_adapter(self, model: str, adapter: str) -> None:
        """Loads an adapter where its model has the least to do."""
        holders = self._pool.holders(model)
        placed = any(adapter in engine.models[model] for engine in holders)
        if placed or any(
            order.target_id == engine.target_id
            for order in self.orders
            for engine in holders
        ):
            return
        # An engine that carries out an order takes no other one.
        engine = min(
            holders,
            key=lambda one: (
                one.busy_ms,
                sum(one.running.values()) + _adapters(one),
                one.target_id,
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
            self._models,
            engine.room_mb,
            engine.max_adapters,
        ):
            self._give(order, model_orders.Purpose.ADAPTER)
            return
        victim = self._pool.victims.adapter(engine)
        if victim is not None:
            drop = model_orders.Order(
                model_orders.Verb.UNLOAD, engine.target_id, *victim
            )
            self._give(drop, model_orders.Purpose.ADAPTER)

    def _give(
        self, order: model_orders.Order, purpose: model_orders.Purpose
    ) -> None:
        self.orders.append(order)
        self.purposes[order] = purpose

    def _load(
        self,
        engine: model_orders.Engine,
        model: str,
        purpose: model_orders.Purpose,
        spares_steady: bool = False,
    ) -> None:
        """Orders a load, or the unload that must come before it."""
        pool = self._pool
        pool.take(engine)
        if not pool.has_room(engine, model):
            victim = pool.victims.model(engine, model, spares_steady)
            if victim is not None:
                drop = model_orders.Order(
                    model_orders.Verb.UNLOAD, engine.target_id, victim
                )
                self._give(drop, purpose)
            return
        if pool.from_store(engine, model):
            if self._store_left <= 0:
                return
            self._store_left -= 1
            self._store_under_way += 1
        load = model_orders.Order(
            model_orders.Verb.LOAD, engine.target_id, model
        )
        self._give(load, purpose)

    def _may_load_long(self, engine: model_orders.Engine) -> bool:
        """Whether an engine may be kept from short loads by a long one."""
        most = self._store_at_once
        if not self._pool.is_bare(engine):
            most = min(most, len(self._pool.engines) // _ENGINES_PER_LONG_LOAD)
        return self._store_under_way < max(1, most) and self._store_left > 0


def _adapters(engine: model_orders.Engine) -> int:
    return sum(len(adapters) for adapters in engine.models.values())

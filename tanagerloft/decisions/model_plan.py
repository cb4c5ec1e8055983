"""Decides which models and adapters engines load and unload.

Load answered: many rarely used models, each asked for now and then, on engines
that hold a few at a time. A first load from the weight store takes longer than
callers wait, a load from an engine's own copy does not. So what is waited for
comes first, from the nearest copy, and idle engines fetch copies of models
that no engine has.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# Requests under way on each replica beyond which another one is loaded: so
# many, or this share of an engine's slots if that is less. More would slow
# every token of the batch.
_REPLICA_REQUESTS = 16
_REPLICA_SLOTS_SHARE = 0.5
# Replicas of a model in steady use: one may crash at any time.
_STEADY_REPLICAS = 2
# Requests in the recent window that make a model one in steady use.
_STEADY_REQUESTS = 4.0
# A copy is fetched ahead of demand only in the place of a model with less use.
_UNUSED_REQUESTS = 0.5
# An idle model is dropped for a waiting one only after this time without
# requests, so that two waiting models do not push each other out.
_MIN_IDLE_MS = 200
# Worth of a late answer, and of a request of the recent window that makes more
# of its kind likely, against an answer in time.
_LATE_WORTH = 0.2
_COMING_WORTH = 0.3
# Of so many engines, one may load from the store while requests wait for
# others: such a load takes as long as four from a copy.
_ENGINES_PER_LONG_LOAD = 3
# An engine with copies of fewer models than this share is a bare one.
_BARE_SHARE = 0.2
# Time that an unload of an idle model takes, with the way of the order.
_UNLOAD_MS = 50.0
# Time that the runs of a model take until it can be dropped.
_RUN_MS = 2_000.0


class Plan(NamedTuple):
    """Result of a round of planning.

    Attributes:
        orders: Orders to give now.
        later_ms: Time until a waited-for model will be there, by model.
    """

    orders: list[model_orders.Order]
    later_ms: dict[str, int]


class _Option(NamedTuple):
    """An engine that could load a model, compared by when it would have it."""

    ready_ms: float
    target_id: str
    engine: model_orders.Engine


class ModelPlan:
    """Plans the orders of one service.

    Args:
        models: Models of the service.
    """

    def __init__(self, models: dict[str, types.Model]):
        self._models = models

    def plan(
        self,
        engines: list[model_orders.Engine],
        demands: list[model_orders.Demand],
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        now_ms: int,
    ) -> Plan:
        """Returns the orders to give now, at most one model an engine."""
        round_ = _Round(self._models, engines, usage, weight_store, now_ms)
        round_.wanted = {demand.model for demand in demands} | {
            f"{demand.model}/{demand.adapter}" for demand in demands
        }
        model_demands: dict[str, model_orders.Demand] = {}
        for demand in demands:
            if demand.model not in self._models:
                continue
            if round_.holders(demand.model):
                if demand.adapter:
                    round_.place_adapter(demand.model, demand.adapter)
                continue
            known = model_demands.get(demand.model)
            if known is not None:
                model_demands[demand.model] = model_orders.merge(known, demand)
            else:
                model_demands[demand.model] = demand
        for demand in sorted(model_demands.values(), key=round_.urgency):
            round_.place_model(demand.model)
        for name in usage.recent:
            if name in self._models:
                round_.add_replica(name)
        round_.fetch_copies()
        return Plan(round_.orders, round_.later_ms)


class _Round:
    """One run of the planner."""

    def __init__(
        self,
        models: dict[str, types.Model],
        engines: list[model_orders.Engine],
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        now_ms: int,
    ):
        self._models = models
        self._engines = [engine for engine in engines if not engine.leaving]
        self._usage = usage
        self._store_left = weight_store.loads_left
        self._store_under_way = weight_store.under_way
        self._store_at_once = weight_store.at_once
        self._now_ms = now_ms
        self._free_in_ms = {
            engine.target_id: float(engine.busy_ms) for engine in self._engines
        }
        self._holders: dict[str, list[model_orders.Engine]] = {}
        # Engines that have a copy of a model at hand, by model.
        self._near: dict[str, list[model_orders.Engine]] = {}
        self._loading = {engine.loading: engine for engine in self._engines}
        self._victims: dict[str, str | None] = {}
        for engine in self._engines:
            for model in engine.models:
                self._holders.setdefault(model, []).append(engine)
            for model in engine.copies.in_memory | engine.copies.on_disk:
                self._near.setdefault(model, []).append(engine)
        self._replica_requests = min(
            (engine.slots * _REPLICA_SLOTS_SHARE for engine in self._engines),
            default=0.0,
        )
        self._replica_requests = min(self._replica_requests, _REPLICA_REQUESTS)
        self._held_mb = {
            engine.target_id: model_orders.held_mb(engine.held(), models)
            for engine in self._engines
        }
        # When each of the loads that the store takes at once will be done.
        under_way = [
            float(engine.busy_ms)
            for engine in self._engines
            if engine.loading and self._from_store(engine, engine.loading)
        ]
        idle = max(1, weight_store.at_once - len(under_way))
        self._lanes = under_way + [0.0] * idle
        self._taken: set[str] = set()
        self.wanted: set[str] = set()
        self.orders: list[model_orders.Order] = []
        self.later_ms: dict[str, int] = {}

    def holders(self, model: str) -> list[model_orders.Engine]:
        """Returns the engines that have a model and stay."""
        return self._holders.get(model, [])

    def urgency(self, demand: model_orders.Demand) -> tuple[float, str]:
        """Returns the rank of a demand, the most urgent the least.

        What counts is the worth of a load for each second that it takes:
        requests that it lets meet their aim, others whose callers still wait,
        and those that will come while the model is there.
        """
        model = self._models[demand.model]
        load_ms = min(
            (
                engine.copies.load_ms(model)
                for engine in self._near.get(demand.model, ())
            ),
            default=model.load_ms,
        )
        in_aim = sum(left > load_ms for left in demand.aims_left_ms)
        late = sum(left > load_ms for left in demand.patience_left_ms) - in_aim
        coming = self._usage.recent.get(demand.model, 0.0)
        worth = in_aim + _LATE_WORTH * late + _COMING_WORTH * coming
        return (-worth / load_ms, demand.model)

    def place_model(self, model: str) -> None:
        """Loads a waited-for model at the engine that has it soonest.

        The engine is kept for it even while it is busy, so that a model that
        is waited for less does not take the place.
        """
        loading = self._loading.get(model)
        if loading is not None:
            self.later_ms[model] = loading.busy_ms
            return
        soonest = self._soonest(model, lambda _engine: True)
        if soonest is None:
            return
        ready_ms, target_id, engine = soonest
        self.later_ms[model] = int(ready_ms)
        self._free_in_ms[target_id] = ready_ms
        if self._from_store(engine, model):
            self._lanes.remove(min(self._lanes))
            self._lanes.append(ready_ms)
            if not self._may_load_long(engine):
                return
        if self._free(engine):
            self._load(engine, model)
        self._taken.add(target_id)

    def add_replica(self, model: str) -> None:
        """Adds a replica of a model that is in steady use or crowded."""
        if model in self.wanted or model in self._loading:
            return
        holders = self.holders(model)
        in_flight = self._usage.in_flight.get(model, 0)
        steady = self._usage.recent.get(model, 0.0) >= _STEADY_REQUESTS
        crowded = in_flight > self._replica_requests * len(holders)
        if not (steady and len(holders) < _STEADY_REPLICAS) and not crowded:
            return
        soonest = self._soonest(
            model,
            lambda engine: (
                model not in engine.models
                and (
                    self._has_room(engine, model)
                    or self._victim(engine) is not None
                )
            ),
        )
        if soonest is None:
            return
        engine = soonest.engine
        lost = not holders and steady
        long = self._from_store(engine, model) and not lost
        spared = self._is_bare(engine) and self._may_load_long(engine)
        if long and not spared:
            return
        if self._free(engine):
            self._load(engine, model)

    def fetch_copies(self) -> None:
        """Lets engines fetch models that no engine has a copy of.

        An engine that loads from the store for seconds can load nothing else
        meanwhile. So once there is traffic, only engines do so that have few
        copies themselves, and only while nobody waits.
        """
        if self.wanted:
            return
        present = {*self._near, *self._holders, *self._loading}
        missing = [name for name in self._models if name not in present]
        for engine in self._engines:
            if not self._free(engine) or not missing:
                continue
            if self._usage.last_used_ms and not self._is_bare(engine):
                continue
            if self._store_under_way >= self._store_at_once:
                return
            victim = self._victim(engine)
            unused = (
                victim is not None
                and self._usage.recent.get(victim, 0.0) < _UNUSED_REQUESTS
            )
            if self._has_room(engine, missing[0]) or unused:
                self._load(engine, missing.pop(0))

    def place_adapter(self, model: str, adapter: str) -> None:
        """Loads an adapter where its model has the least to do."""
        holders = self.holders(model)
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
            self.orders.append(order)
            return
        victim = self._idle_adapter(engine)
        if victim is not None:
            self.orders.append(
                model_orders.Order(
                    model_orders.Verb.UNLOAD, engine.target_id, *victim
                )
            )

    def _idle_adapter(
        self, engine: model_orders.Engine
    ) -> tuple[str, str] | None:
        """Returns the adapter that has been unused for the longest."""
        choices = []
        for model, adapters in engine.models.items():
            for adapter in adapters:
                subject = f"{model}/{adapter}"
                last_ms = self._usage.last_used_ms.get(subject, 0)
                if engine.running.get(subject) or subject in self.wanted:
                    continue
                if self._now_ms - last_ms >= _MIN_IDLE_MS:
                    choices.append((last_ms, model, adapter))
        return min(choices)[1:] if choices else None

    def _load(self, engine: model_orders.Engine, model: str) -> None:
        self._taken.add(engine.target_id)
        if not self._has_room(engine, model):
            victim = self._victim(engine)
            if victim is not None:
                self.orders.append(
                    model_orders.Order(
                        model_orders.Verb.UNLOAD, engine.target_id, victim
                    )
                )
            return
        if self._from_store(engine, model):
            if self._store_left <= 0:
                return
            self._store_left -= 1
            self._store_under_way += 1
        self.orders.append(
            model_orders.Order(model_orders.Verb.LOAD, engine.target_id, model)
        )

    def _from_store(self, engine: model_orders.Engine, model: str) -> bool:
        return model not in engine.copies

    def _may_load_long(self, engine: model_orders.Engine) -> bool:
        """Whether an engine may be kept from short loads by a long one."""
        most = self._store_at_once
        if not self._is_bare(engine):
            most = min(most, len(self._engines) // _ENGINES_PER_LONG_LOAD)
        return self._store_under_way < max(1, most) and self._store_left > 0

    def _is_bare(self, engine: model_orders.Engine) -> bool:
        """Whether an engine has too few copies to be of use for short loads."""
        copies = len(engine.copies.in_memory | engine.copies.on_disk)
        return copies < _BARE_SHARE * len(self._models)

    def _free(self, engine: model_orders.Engine) -> bool:
        return not engine.busy and engine.target_id not in self._taken

    def _has_room(self, engine: model_orders.Engine, model: str) -> bool:
        used_mb = self._held_mb[engine.target_id]
        return used_mb + self._models[model].size_mb <= engine.room_mb

    def _victim(self, engine: model_orders.Engine) -> str | None:
        """Returns the idle model with the least use, None if all are used."""
        if engine.target_id not in self._victims:
            self._victims[engine.target_id] = self._find_victim(engine)
        return self._victims[engine.target_id]

    def _find_victim(self, engine: model_orders.Engine) -> str | None:
        choices = []
        for name in engine.models:
            last_ms = self._usage.last_used_ms.get(name, 0)
            if name in self.wanted or _running(engine, name):
                continue
            if self._now_ms - last_ms < _MIN_IDLE_MS:
                continue
            recent = self._usage.recent.get(name, 0.0)
            steady = recent >= _STEADY_REQUESTS
            if steady and len(self.holders(name)) <= 1:
                continue
            choices.append((steady, last_ms, recent, name))
        return min(choices)[3] if choices else None

    def _soonest(
        self, model: str, accept: Callable[[model_orders.Engine], bool]
    ) -> _Option | None:
        """Returns the engine that would have a model first.

        Engines without a copy are looked at only if a load from the store
        could be done before one from a copy.
        """

        def first(engines: Iterable[model_orders.Engine]) -> _Option | None:
            options = (
                _Option(
                    self._ready_in_ms(engine, model), engine.target_id, engine
                )
                for engine in engines
                if accept(engine)
            )
            return min(options, default=None)

        near = first(self._near.get(model, ()))
        store_ms = min(self._lanes) + self._models[model].load_ms
        if near is not None and near.ready_ms <= store_ms:
            return near
        return first(self._engines)

    def _ready_in_ms(self, engine: model_orders.Engine, model: str) -> float:
        """Returns a guess of the time until ``engine`` would have it."""
        starts_ms = self._free_in_ms[engine.target_id]
        if self._from_store(engine, model):
            starts_ms = max(starts_ms, min(self._lanes))
        time_ms = starts_ms + engine.copies.load_ms(self._models[model])
        if not self._has_room(engine, model):
            time_ms += _UNLOAD_MS
            if self._victim(engine) is None:
                time_ms += _RUN_MS
        return time_ms


def _running(engine: model_orders.Engine, model: str) -> int:
    total = engine.running.get(model, 0)
    prefix = model + "/"
    for name, count in engine.running.items():
        if name.startswith(prefix):
            total += count
    return total


def _adapters(engine: model_orders.Engine) -> int:
    return sum(len(adapters) for adapters in engine.models.values())

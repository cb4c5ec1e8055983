"""Decides which models and adapters engines load and unload.

Load answered: many rarely used models, each asked for now and then, on engines
that hold a few at a time. A first load from the weight store takes longer than
callers wait, a load from an engine's own copy does not. So what is waited for
comes first, from the nearest copy, and idle engines fetch copies of models
that no engine has.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from tanagerloft.fleet import types


class Verb(enum.Enum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
        verb: What to do.
        target_id: Engine.
        model: Model.
        adapter: Adapter of the model, empty for the model itself.
    """

    verb: Verb
    target_id: str
    model: str
    adapter: str = ""


class Demand(NamedTuple):
    """Requests that wait for a model or adapter, over all instances.

    Attributes:
        model: Model.
        adapter: Adapter, empty for none.
        requests: Waiting requests.
        oldest_ms: How long the oldest has waited.
    """

    model: str
    adapter: str
    requests: int
    oldest_ms: int


class Engine(NamedTuple):
    """An engine as the planner sees it.

    Attributes:
        target_id: Identity.
        service: Service.
        models: Loaded models with their adapters, those on the way included.
        loading: Model that it loads, empty for none.
        busy: Whether it carries out an order, or one is on its way to it.
        leaving: Whether it gets no new work.
        in_memory: Models with a copy in its memory.
        on_disk: Models with a copy on its disk.
        running: Requests under way by model, over all instances.
        room_mb: Size of its memory for weights.
        adapter_slots: Adapters that it can hold.
    """

    target_id: str
    service: str
    models: dict[str, frozenset[str]]
    loading: str
    busy: bool
    leaving: bool
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    running: dict[str, int]
    room_mb: float
    adapter_slots: int

    def used_mb(self, models: dict[str, types.Model]) -> float:
        """Returns the memory that weights and adapters take, at most."""
        total_mb = 0.0
        held = dict(self.models)
        if self.loading:
            held.setdefault(self.loading, frozenset())
        for name, adapters in held.items():
            model = models.get(name)
            if model is not None:
                total_mb += model.weights_mb
                total_mb += len(adapters) * model.adapter_mb
        return total_mb


class Usage(NamedTuple):
    """Use of models over all instances.

    Attributes:
        last_used_ms: Reading of the clock at the last request, by model.
        recent: Requests of the last seconds, by model.
        in_flight: Requests under way, by model.
    """

    last_used_ms: dict[str, int]
    recent: dict[str, float]
    in_flight: dict[str, int]


class WeightStore(NamedTuple):
    """What the weight store allows now.

    Attributes:
        loads_left: Loads that may begin in the present window.
        under_way: Loads from the store under way.
        at_once: Loads at full speed.
    """

    loads_left: int
    under_way: int
    at_once: int


# Requests under way on each replica beyond which another one is loaded; half
# of the slots would slow every token of the batch.
_REPLICA_REQUESTS = 16
# Replicas of a model in steady use: one may crash at any time.
_STEADY_REPLICAS = 2
# Requests in the recent window that make a model one in steady use.
_STEADY_REQUESTS = 4.0
# An idle model is dropped for a waiting one only after this time without
# requests, so that two waiting models do not push each other out.
_MIN_IDLE_MS = 200


class ModelPlan:
    """Plans the orders of one service.

    Args:
        models: Models of the service.
    """

    def __init__(self, models: dict[str, types.Model]):
        self._models = models

    def plan(
        self,
        engines: list[Engine],
        demands: list[Demand],
        usage: Usage,
        weight_store: WeightStore,
        now_ms: int,
    ) -> list[Order]:
        """Returns the orders to give now, at most one model an engine."""
        round_ = _Round(self._models, engines, usage, weight_store, now_ms)
        model_demands: dict[str, Demand] = {}
        for demand in demands:
            if demand.model not in self._models:
                continue
            if round_.holders(demand.model):
                if demand.adapter:
                    round_.place_adapter(demand.model, demand.adapter)
                continue
            known = model_demands.get(demand.model, demand._replace(requests=0))
            model_demands[demand.model] = known._replace(
                requests=known.requests + demand.requests,
                oldest_ms=max(known.oldest_ms, demand.oldest_ms),
            )
        round_.wanted = set(model_demands)
        for demand in sorted(model_demands.values(), key=_urgency):
            round_.place_model(demand.model)
        for name in self._models:
            round_.add_replica(name)
        round_.fetch_copies()
        return round_.orders


def _urgency(demand: Demand) -> tuple[int, str]:
    return (-demand.requests * (1_000 + demand.oldest_ms), demand.model)


class _Round:
    """One run of the planner."""

    def __init__(
        self,
        models: dict[str, types.Model],
        engines: list[Engine],
        usage: Usage,
        weight_store: WeightStore,
        now_ms: int,
    ):
        self._models = models
        self._engines = [engine for engine in engines if not engine.leaving]
        self._usage = usage
        self._store_left = weight_store.loads_left
        self._store_under_way = weight_store.under_way
        self._store_at_once = weight_store.at_once
        self._now_ms = now_ms
        self._taken: set[str] = set()
        self.wanted: set[str] = set()
        self.orders: list[Order] = []

    def holders(self, model: str) -> list[Engine]:
        """Returns the engines that have a model and stay."""
        return [engine for engine in self._engines if model in engine.models]

    def place_model(self, model: str) -> None:
        """Loads a waited-for model at the engine that has it soonest."""
        if any(engine.loading == model for engine in self._engines):
            return
        options = [
            (self._ready_in_ms(engine, model), engine.target_id, engine)
            for engine in self._engines
            if self._can_have(engine, model)
        ]
        if not options:
            return
        engine = min(options)[2]
        if engine.busy or engine.target_id in self._taken:
            self._taken.add(engine.target_id)
            return
        self._load(engine, model)

    def add_replica(self, model: str) -> None:
        """Adds a replica of a model that is in steady use or crowded."""
        if model in self.wanted or any(
            engine.loading == model for engine in self._engines
        ):
            return
        holders = self.holders(model)
        in_flight = self._usage.in_flight.get(model, 0)
        steady = self._usage.recent.get(model, 0.0) >= _STEADY_REQUESTS
        crowded = in_flight > _REPLICA_REQUESTS * len(holders)
        if not (steady and len(holders) < _STEADY_REPLICAS) and not crowded:
            return
        options = [
            (self._ready_in_ms(engine, model), engine.target_id, engine)
            for engine in self._engines
            if model not in engine.models
            and self._free(engine)
            and self._can_have(engine, model)
        ]
        if options:
            self._load(min(options)[2], model)

    def fetch_copies(self) -> None:
        """Lets idle engines fetch models that no engine has a copy of."""
        missing = [name for name in self._models if not self._copies(name)]
        for engine in self._engines:
            if not self._free(engine) or not missing:
                continue
            if self._store_under_way >= self._store_at_once:
                return
            if self._has_room(engine, missing[0]) or self._victim(engine):
                self._load(engine, missing.pop(0))

    def place_adapter(self, model: str, adapter: str) -> None:
        """Loads an adapter where its model has the least to do."""
        holders = self.holders(model)
        if any(adapter in engine.models[model] for engine in holders):
            return
        engine = min(
            holders,
            key=lambda one: (
                sum(one.running.values()) + _adapters(one),
                one.target_id,
            ),
        )
        order = Order(Verb.LOAD, engine.target_id, model, adapter)
        if _adapters(engine) < engine.adapter_slots:
            if self._fits_adapter(engine, model):
                self.orders.append(order)
            return
        for other, adapters in sorted(engine.models.items()):
            for name in sorted(adapters):
                if not engine.running.get(f"{other}/{name}"):
                    self.orders.append(
                        Order(Verb.UNLOAD, engine.target_id, other, name)
                    )
                    return

    def _load(self, engine: Engine, model: str) -> None:
        self._taken.add(engine.target_id)
        if not self._has_room(engine, model):
            victim = self._victim(engine)
            if victim is not None:
                self.orders.append(Order(Verb.UNLOAD, engine.target_id, victim))
            return
        if model not in engine.in_memory | engine.on_disk:
            if self._store_left <= 0:
                return
            self._store_left -= 1
            self._store_under_way += 1
        self.orders.append(Order(Verb.LOAD, engine.target_id, model))

    def _free(self, engine: Engine) -> bool:
        return not engine.busy and engine.target_id not in self._taken

    def _can_have(self, engine: Engine, model: str) -> bool:
        return (
            engine.busy
            or self._has_room(engine, model)
            or self._victim(engine) is not None
        )

    def _has_room(self, engine: Engine, model: str) -> bool:
        used_mb = engine.used_mb(self._models)
        return used_mb + self._models[model].weights_mb <= engine.room_mb

    def _fits_adapter(self, engine: Engine, model: str) -> bool:
        used_mb = engine.used_mb(self._models)
        return used_mb + self._models[model].adapter_mb <= engine.room_mb

    def _copies(self, model: str) -> bool:
        return any(
            model in engine.models
            or model == engine.loading
            or model in engine.in_memory
            or model in engine.on_disk
            for engine in self._engines
        )

    def _victim(self, engine: Engine) -> str | None:
        """Returns the model to drop: idle, and unused for the longest."""
        choices = []
        for name in engine.models:
            last_ms = self._usage.last_used_ms.get(name, 0)
            running = _running(engine, name)
            if name in self.wanted or running:
                continue
            if self._now_ms - last_ms < _MIN_IDLE_MS:
                continue
            if self._is_last_of_steady(name):
                continue
            choices.append((last_ms, name))
        return min(choices)[1] if choices else None

    def _is_last_of_steady(self, name: str) -> bool:
        recent = self._usage.recent.get(name, 0.0)
        return recent >= _STEADY_REQUESTS and len(self.holders(name)) <= 1

    def _ready_in_ms(self, engine: Engine, model: str) -> float:
        """Returns a guess of the time until ``engine`` would have it."""
        shape = self._models[model]
        if model in engine.in_memory:
            time_ms = shape.memory_load_ms
        elif model in engine.on_disk:
            time_ms = shape.disk_load_ms
        else:
            time_ms = shape.load_ms
        if engine.busy or engine.target_id in self._taken:
            time_ms += self._busy_ms(engine)
        return time_ms + 10.0 * sum(engine.running.values())

    def _busy_ms(self, engine: Engine) -> float:
        shape = self._models.get(engine.loading)
        if shape is None:
            return 0.0
        if engine.loading in engine.in_memory | engine.on_disk:
            return shape.disk_load_ms
        return shape.load_ms


def _running(engine: Engine, model: str) -> int:
    total = engine.running.get(model, 0)
    prefix = model + "/"
    for name, count in engine.running.items():
        if name.startswith(prefix):
            total += count
    return total


def _adapters(engine: Engine) -> int:
    return sum(len(adapters) for adapters in engine.models.values())

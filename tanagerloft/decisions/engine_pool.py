"""The engines of a service within one planning round.

Finds the engines that hold a model, have a copy of it, have capacity for it or
could have it earliest. The round records its decisions here, so that later
queries take them into account.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from tanagerloft.decisions import eviction
from tanagerloft.decisions import model_catalog
from tanagerloft.decisions import model_orders

# An engine with copies of less than this share of the models has few copies.
_FEW_COPIES_SHARE = 0.2
# Time of an unload of an idle model, including the transit of the order.
_UNLOAD_MS = 50.0
# Start times of loads from the store that differ by less than this share of the
# load time count as equal.
_STORE_LOAD_STEP_SHARE = 0.1
# Assumed time until the running requests of a model end and it can be unloaded.
_RUN_END_MS = 2_000.0


class LoadOption(NamedTuple):
    """An engine that could load a model.

    Options are compared by the time until the model would be ready.

    Attributes:
        ready_ms: Estimated time until the model is ready.
        target_id: Identity of the engine.
        engine: The engine.
    """

    ready_ms: float
    target_id: str
    engine: model_orders.Engine


class EnginePool:
    """Engines of a service that aren't leaving.

    Args:
        catalog: Models of the service.
        engines: All engines of the service.
        usage: Use of the models.
        weight_store: Current limits of the weight store.
        wanted: Models and adapters that requests wait for.
        now_ms: Reading of the clock.

    Attributes:
        engines: Engines that get new work.
        eviction_policy: Chooses what an engine evicts.
        loading: Engine that loads a model, by model.
    """

    def __init__(
        self,
        catalog: model_catalog.ModelCatalog,
        engines: list[model_orders.Engine],
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        wanted: set[str],
        now_ms: int,
    ):
        self._models = catalog.declared
        self._known_models = catalog.known
        self.eviction_policy = eviction.EvictionPolicy(
            catalog.declared,
            usage,
            wanted,
            now_ms,
            lambda model: len(self.holders(model)),
        )
        self.engines = [engine for engine in engines if not engine.leaving]
        self.loading = {
            engine.loading: engine for engine in self.engines if engine.loading
        }
        self._holders: dict[str, list[model_orders.Engine]] = {}
        self._with_copy: dict[str, list[model_orders.Engine]] = {}
        self._copies_mb: dict[str, float] = {}
        self._evicting: dict[str, set[str]] = {}
        for engine in self.engines:
            for model in engine.models:
                self._holders.setdefault(model, []).append(engine)
            copies_mb = 0.0
            for model in engine.copies.all():
                self._with_copy.setdefault(model, []).append(engine)
                if model in self._known_models:
                    copies_mb += self._known_models[model].size_mb
            self._copies_mb[engine.target_id] = copies_mb
        self._free_in_ms = {
            engine.target_id: float(engine.busy_ms) for engine in self.engines
        }
        self._held_mb = {
            engine.target_id: model_orders.held_mb(
                engine.held(), self._known_models
            )
            for engine in self.engines
        }
        self._last_copies_evicted: dict[tuple[str, float], int] = {}
        for model, engine in self.loading.items():
            if self.loads_from_store(engine, model):
                self.record_evictions(engine, model)
        self._waiting_copies_value: dict[str, float] = {}
        self._reserved: set[str] = set()
        self._store_slots_ms = self._store_slot_times(weight_store)

    def _store_slot_times(
        self, weight_store: model_orders.WeightStore
    ) -> list[float]:
        """Returns the time until each concurrent load of the store can start.

        Loads in progress that no engine is known to run are attributed to
        engines that are busy with something unknown.
        """
        ends, unknown = [], []
        for engine in self.engines:
            if not engine.loading and engine.busy:
                unknown.append(float(engine.busy_ms))
            elif engine.loading and self.loads_from_store(
                engine, engine.loading
            ):
                ends.append(float(engine.busy_ms))
        untracked = max(0, weight_store.under_way - len(ends))
        ends += sorted(unknown, reverse=True)[:untracked]
        free = [0.0] * max(0, weight_store.concurrency - len(ends))
        return free + sorted(ends)[-max(1, weight_store.concurrency) :]

    def holders(self, model: str) -> list[model_orders.Engine]:
        """Returns the engines that hold a model and aren't leaving."""
        return self._holders.get(model, [])

    def serves(self, model: str) -> bool:
        """Returns whether a model belongs to the service."""
        return model in self._models

    def with_copy(self, model: str) -> list[model_orders.Engine]:
        """Returns the engines that have a copy of a model."""
        return self._with_copy.get(model, [])

    def models_without_copy(self) -> list[str]:
        """Returns the models that no engine holds, loads or has a copy of."""
        present = {*self._with_copy, *self._holders, *self.loading}
        return [name for name in self._models if name not in present]

    def loads_from_store(self, engine: model_orders.Engine, model: str) -> bool:
        """Returns whether an engine would load a model from the store."""
        return model not in engine.copies

    def has_few_copies(self, engine: model_orders.Engine) -> bool:
        """Returns whether it has too few copies to load much from them."""
        return len(engine.copies.all()) < _FEW_COPIES_SHARE * len(self._models)

    def copies_mb(self, engine: model_orders.Engine) -> float:
        """Returns the size of an engine's copies.

        Handles engines whose disks are full: a model that is loaded from the
        store replaces a copy there, which may be the only one.
        """
        return self._copies_mb[engine.target_id]

    def last_copies_evicted(
        self, engine: model_orders.Engine, model: str
    ) -> int:
        """Returns the number of models that lose their last copy to a load.

        Handles disks that are full from the start: each load from the store
        evicts the copies used least recently, and a model without any other
        copy has to be loaded from the store again.

        Args:
            engine: The engine that would load.
            model: The model that it would load from the store.
        """
        key = engine.target_id, self._models[model].size_mb
        if key not in self._last_copies_evicted:
            self._last_copies_evicted[key] = sum(
                not self._has_copy_elsewhere(name, engine)
                for name in self._evicted_copies(engine, model)
            )
        return self._last_copies_evicted[key]

    def _has_copy_elsewhere(
        self, model: str, engine: model_orders.Engine
    ) -> bool:
        """Returns whether another engine has a copy and is to keep it."""
        return any(
            other.target_id != engine.target_id
            and model not in self._evicting.get(other.target_id, ())
            for other in self.with_copy(model)
        )

    def _evicted_copies(
        self, engine: model_orders.Engine, model: str
    ) -> list[str]:
        """Returns the copies that a load from the store evicts from a disk.

        None are known to be for a model of unknown size: a load that another
        lease holder has ordered before the model was withdrawn.
        """
        loaded = self._known_models.get(model)
        if not engine.disk_mb or loaded is None:
            return []
        sizes_mb = {
            name: self._known_models[name].size_mb
            for name in engine.copies.on_disk
            if name in self._known_models
        }
        excess_mb = sum(sizes_mb.values()) - engine.disk_mb
        excess_mb += loaded.size_mb
        evicted = []
        for name, size_mb in sizes_mb.items():
            if excess_mb <= 0:
                break
            evicted.append(name)
            excess_mb -= size_mb
        return evicted

    def record_evictions(self, engine: model_orders.Engine, model: str) -> None:
        """Records that a load from the store is about to evict copies."""
        evicted = self._evicted_copies(engine, model)
        self._evicting.setdefault(engine.target_id, set()).update(evicted)
        self._last_copies_evicted.clear()

    def is_free(self, engine: model_orders.Engine) -> bool:
        """Returns whether an engine can be given an order now."""
        return not engine.busy and engine.target_id not in self._reserved

    def is_free_soon(self, engine: model_orders.Engine, model: str) -> bool:
        """Returns whether waiting for it costs little beside a store load."""
        step_ms = _STORE_LOAD_STEP_SHARE * self._models[model].load_ms
        return engine.busy_ms <= step_ms

    def reserve(self, engine: model_orders.Engine) -> None:
        """Reserves an engine for what has been decided for it."""
        self._reserved.add(engine.target_id)

    def record_load(self, option: LoadOption, model: str) -> None:
        """Records that a model is to be loaded according to an option."""
        self._free_in_ms[option.target_id] = option.ready_ms
        if self.loads_from_store(option.engine, model):
            self._store_slots_ms.remove(min(self._store_slots_ms))
            self._store_slots_ms.append(option.ready_ms)

    def has_capacity(self, engine: model_orders.Engine, model: str) -> bool:
        """Returns whether an engine has capacity for a model."""
        used_mb = self._held_mb[engine.target_id]
        return used_mb + self._models[model].size_mb <= engine.capacity_mb

    def can_free_capacity(
        self,
        engine: model_orders.Engine,
        model: str,
        keep_steady: bool = False,
    ) -> bool:
        """Returns whether a model fits or another one can be evicted."""
        if self.has_capacity(engine, model):
            return True
        return (
            self.eviction_policy.choose_model(engine, model, keep_steady)
            is not None
        )

    def earliest(
        self,
        model: str,
        accept: Callable[[model_orders.Engine], bool] = lambda _engine: True,
    ) -> LoadOption | None:
        """Returns the engine that would have a model ready first.

        Engines without a copy are considered only if a load from the store
        could complete before one from a copy.

        Args:
            model: The model.
            accept: Returns whether an engine may be chosen.
        """

        def earliest_of(
            engines: Iterable[model_orders.Engine],
        ) -> LoadOption | None:
            options = (
                LoadOption(
                    self._estimate_ready_ms(engine, model),
                    engine.target_id,
                    engine,
                )
                for engine in engines
                if accept(engine)
            )
            return min(options, default=None, key=rank)

        def rank(option: LoadOption) -> tuple[float, float, bool, float, str]:
            if not self.loads_from_store(option.engine, model):
                return option.ready_ms, 0.0, False, 0.0, option.target_id
            load_ms = self._models[model].load_ms
            # A last copy that is evicted costs another load from the store, an
            # engine without room may keep its models in use for as long;
            # starting a load somewhat later costs little.
            loads = self.last_copies_evicted(option.engine, model)
            if not self.can_free_capacity(option.engine, model):
                loads += 1
            cost_ms = option.ready_ms + loads * load_ms
            step_ms = _STORE_LOAD_STEP_SHARE * load_ms
            return (
                cost_ms // step_ms * step_ms,
                self.waiting_copies_value(option.engine),
                not self.is_free(option.engine),
                self.copies_mb(option.engine),
                option.target_id,
            )

        nearest = earliest_of(self.with_copy(model))
        store_ms = min(self._store_slots_ms) + self._models[model].load_ms
        if nearest is not None and nearest.ready_ms <= store_ms:
            return nearest
        return earliest_of(self.engines)

    def is_sooner_from_store(self, model: str) -> bool:
        """Returns whether no engine would have it sooner from a copy."""
        if model in self.loading:
            return False
        earliest = self.earliest(model)
        return earliest is not None and self.loads_from_store(
            earliest.engine, model
        )

    def set_load_values(self, value_by_model: Mapping[str, float]) -> None:
        """Sets the value of loading each model that no engine holds."""
        self._waiting_copies_value.clear()
        for model, value in value_by_model.items():
            holders = self.with_copy(model)
            for engine in holders:
                target_id = engine.target_id
                self._waiting_copies_value[target_id] = (
                    self._waiting_copies_value.get(target_id, 0.0)
                    + value / len(holders)
                )

    def waiting_copies_value(self, engine: model_orders.Engine) -> float:
        """Returns the value of the loads that wait for an engine's copies.

        Each copy is on one or two engines only, and an engine that loads from
        the store for seconds can't load anything else meanwhile.
        """
        return self._waiting_copies_value.get(engine.target_id, 0.0)

    def _estimate_ready_ms(
        self, engine: model_orders.Engine, model: str
    ) -> float:
        """Returns the estimated time until ``engine`` would have it ready."""
        start_ms = self._free_in_ms[engine.target_id]
        if self.loads_from_store(engine, model):
            start_ms = max(start_ms, min(self._store_slots_ms))
        ready_ms = start_ms + engine.copies.load_ms(self._models[model])
        if not self.has_capacity(engine, model):
            ready_ms += _UNLOAD_MS
            if self.eviction_policy.choose_model(engine, model) is None:
                ready_ms += _RUN_END_MS
        return ready_ms

"""The engines of a service as a round of planning sees them.

Answers which engine holds a model, has a copy of it, has room for it or could
have it soonest. The round tells what it has decided, so that later answers take
that into account.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from tanagerloft.decisions import eviction
from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# An engine with copies of fewer models than this share is a bare one.
_BARE_SHARE = 0.2
# Time that an unload of an idle model takes, with the way of the order.
_UNLOAD_MS = 50.0
# Begins of a long load that differ by less than this share of it are alike.
_LONG_LOAD_STEP = 0.1
# Time that the runs of a model take until it can be dropped.
_RUN_MS = 2_000.0


class Option(NamedTuple):
    """An engine that could load a model, compared by when it would have it."""

    ready_ms: float
    target_id: str
    engine: model_orders.Engine


class EnginePool:
    """Engines that stay.

    Args:
        models: Models of the service.
        engines: All engines of the service.
        usage: Use of the models.
        weight_store: What the weight store allows.
        wanted: Models and adapters that somebody waits for.
        now_ms: Reading of the clock.

    Attributes:
        engines: Engines that get new work.
        victims: Chooses what an engine drops.
        loading: Engine that loads a model, by model.
    """

    def __init__(
        self,
        models: dict[str, types.Model],
        engines: list[model_orders.Engine],
        usage: model_orders.Usage,
        weight_store: model_orders.WeightStore,
        wanted: set[str],
        now_ms: int,
    ):
        self._models = models
        self.victims = eviction.Victims(
            usage, wanted, now_ms, lambda model: len(self.holders(model))
        )
        self.engines = [engine for engine in engines if not engine.leaving]
        self.loading = {
            engine.loading: engine for engine in self.engines if engine.loading
        }
        self._holders: dict[str, list[model_orders.Engine]] = {}
        self._near: dict[str, list[model_orders.Engine]] = {}
        self._copies_mb: dict[str, float] = {}
        for engine in self.engines:
            for model in engine.models:
                self._holders.setdefault(model, []).append(engine)
            copies_mb = 0.0
            for model in engine.copies.all():
                self._near.setdefault(model, []).append(engine)
                if model in models:
                    copies_mb += models[model].size_mb
            self._copies_mb[engine.target_id] = copies_mb
        self._free_in_ms = {
            engine.target_id: float(engine.busy_ms) for engine in self.engines
        }
        self._held_mb = {
            engine.target_id: model_orders.held_mb(engine.held(), models)
            for engine in self.engines
        }
        self._waiting_copies_worth: dict[str, float] = {}
        self._taken: set[str] = set()
        self._lanes = self._lane_ends(weight_store)

    def _lane_ends(self, weight_store: model_orders.WeightStore) -> list[float]:
        """Returns when each load that the store takes at once can begin.

        Loads that are known to the store only are taken to be those of engines
        which are busy with something unknown.
        """
        ends, unknown = [], []
        for engine in self.engines:
            if not engine.loading and engine.busy:
                unknown.append(float(engine.busy_ms))
            elif engine.loading and self.from_store(engine, engine.loading):
                ends.append(float(engine.busy_ms))
        unseen = max(0, weight_store.under_way - len(ends))
        ends += sorted(unknown, reverse=True)[:unseen]
        free = [0.0] * max(0, weight_store.at_once - len(ends))
        return free + sorted(ends)[-max(1, weight_store.at_once) :]

    def holders(self, model: str) -> list[model_orders.Engine]:
        """Returns the engines that have a model and stay."""
        return self._holders.get(model, [])

    def serves(self, model: str) -> bool:
        """Returns whether a model is one of the service."""
        return model in self._models

    def near(self, model: str) -> list[model_orders.Engine]:
        """Returns the engines that have a copy of a model at hand."""
        return self._near.get(model, [])

    def missing(self) -> list[str]:
        """Returns the models that no engine has, loads or has a copy of."""
        present = {*self._near, *self._holders, *self.loading}
        return [name for name in self._models if name not in present]

    def from_store(self, engine: model_orders.Engine, model: str) -> bool:
        """Returns whether an engine would load a model from the store."""
        return model not in engine.copies

    def is_bare(self, engine: model_orders.Engine) -> bool:
        """Returns whether it has too few copies to load much from them."""
        return len(engine.copies.all()) < _BARE_SHARE * len(self._models)

    def copies_mb(self, engine: model_orders.Engine) -> float:
        """Returns the size of an engine's copies.

        Load answered: engines whose disks are full. What one loads from the
        store takes the place of a copy there, which may be the only one.
        """
        return self._copies_mb[engine.target_id]

    def is_free(self, engine: model_orders.Engine) -> bool:
        """Returns whether an engine can be given an order now."""
        return not engine.busy and engine.target_id not in self._taken

    def take(self, engine: model_orders.Engine) -> None:
        """Keeps an engine for what has been decided for it."""
        self._taken.add(engine.target_id)

    def note_load(self, option: Option, model: str) -> None:
        """Takes in that a model is to be loaded as an option says."""
        self._free_in_ms[option.target_id] = option.ready_ms
        if self.from_store(option.engine, model):
            self._lanes.remove(min(self._lanes))
            self._lanes.append(option.ready_ms)

    def has_room(self, engine: model_orders.Engine, model: str) -> bool:
        """Returns whether an engine has room for a model."""
        used_mb = self._held_mb[engine.target_id]
        return used_mb + self._models[model].size_mb <= engine.room_mb

    def can_make_room(
        self,
        engine: model_orders.Engine,
        model: str,
        spares_steady: bool = False,
    ) -> bool:
        """Returns whether a model fits, or another one can be dropped."""
        if self.has_room(engine, model):
            return True
        return self.victims.model(engine, model, spares_steady) is not None

    def soonest(
        self,
        model: str,
        accept: Callable[[model_orders.Engine], bool] = lambda _engine: True,
    ) -> Option | None:
        """Returns the engine that would have a model first.

        Engines without a copy are looked at only if a load from the store
        could be done before one from a copy.

        Args:
            model: The model.
            accept: Tells which engines may be chosen.
        """

        def first(engines: Iterable[model_orders.Engine]) -> Option | None:
            options = (
                Option(
                    self._ready_in_ms(engine, model), engine.target_id, engine
                )
                for engine in engines
                if accept(engine)
            )
            return min(options, default=None, key=rank)

        def rank(option: Option) -> tuple[float, float, float, str]:
            if not self.from_store(option.engine, model):
                return option.ready_ms, 0.0, 0.0, option.target_id
            # Little is lost by a long load that begins somewhat later.
            step_ms = _LONG_LOAD_STEP * self._models[model].load_ms
            return (
                option.ready_ms // step_ms * step_ms,
                self.waiting_copies_worth(option.engine),
                self.copies_mb(option.engine),
                option.target_id,
            )

        near = first(self.near(model))
        store_ms = min(self._lanes) + self._models[model].load_ms
        if near is not None and near.ready_ms <= store_ms:
            return near
        return first(self.engines)

    def is_sooner_from_store(self, model: str) -> bool:
        """Returns whether no engine would have it sooner from a copy."""
        if model in self.loading:
            return False
        soonest = self.soonest(model)
        return soonest is not None and self.from_store(soonest.engine, model)

    def note_waiting(self, worth: Mapping[str, float]) -> None:
        """Takes in the worth of loading each model that no engine holds."""
        self._waiting_copies_worth.clear()
        for model, value in worth.items():
            near = self.near(model)
            for engine in near:
                target_id = engine.target_id
                self._waiting_copies_worth[target_id] = (
                    self._waiting_copies_worth.get(target_id, 0.0)
                    + value / len(near)
                )

    def waiting_copies_worth(self, engine: model_orders.Engine) -> float:
        """Returns the worth of what waits for an engine's copies.

        Load answered: each copy is on one or two engines, and an engine that
        loads from the store for seconds loads nothing else meanwhile.
        """
        return self._waiting_copies_worth.get(engine.target_id, 0.0)

    def _ready_in_ms(self, engine: model_orders.Engine, model: str) -> float:
        """Returns a guess of the time until ``engine`` would have it."""
        starts_ms = self._free_in_ms[engine.target_id]
        if self.from_store(engine, model):
            starts_ms = max(starts_ms, min(self._lanes))
        time_ms = starts_ms + engine.copies.load_ms(self._models[model])
        if not self.has_room(engine, model):
            time_ms += _UNLOAD_MS
            if self.victims.model(engine, model) is None:
                time_ms += _RUN_MS
        return time_ms

"""Value of loading each of the models that no engine holds."""

from __future__ import annotations

from collections.abc import Mapping

from tanagerloft.decisions import engine_pool
from tanagerloft.decisions import model_demands
from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types


class LoadValues:
    """Values of loads in one planning round.

    Args:
        models: Models of the service.
        pool: Engines of the service.
        usage: Use of the models.
        absent: Demand for each model that no engine holds.

    Attributes:
        by_model: The values by model.
    """

    def __init__(
        self,
        models: Mapping[str, types.Model],
        pool: engine_pool.EnginePool,
        usage: model_orders.Usage,
        absent: dict[str, model_orders.Demand],
    ):
        self._models = models
        self._load_ms: dict[str, float] = {}
        self._store_value: dict[str, float] = {}
        self.by_model: dict[str, float] = {}
        for name, demand in absent.items():
            model = models[name]
            times = (
                engine.copies.load_ms(model) for engine in pool.with_copy(name)
            )
            load_ms = min(times, default=model.load_ms)
            self._load_ms[name] = load_ms
            self.by_model[name] = model_demands.load_value(
                demand, usage, load_ms
            )
            self._store_value[name] = model_demands.store_load_value(
                demand, usage, model.load_ms
            )

    def urgency(self, model: str) -> tuple[float, str]:
        """Returns the sort key of a model, lowest for the most urgent.

        Urgency is the value of a load per time that it takes.
        """
        return (-self.by_model[model] / self._load_ms[model], model)

    def store_urgency(self, model: str) -> tuple[float, str]:
        """Returns the sort key of a model for loads from the weight store."""
        load_ms = self._models[model].load_ms
        return (-self._store_value[model] / load_ms, model)

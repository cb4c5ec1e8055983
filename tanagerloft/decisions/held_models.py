"""Models and adapters that an engine holds, as far as its orders tell."""

from __future__ import annotations

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

Models = dict[str, frozenset[str]]


class HeldModels:
    """What one engine holds.

    Args:
        models: What its entry in the list says.
    """

    def __init__(self, models: Models):
        self._models = dict(models)
        self._dropping: set[tuple[str, str]] = set()
        self._unloading: Models = {}

    def all(self) -> Models:
        """Returns all that may take memory."""
        return dict(self._models)

    def with_unloading(self) -> Models:
        """Returns all that takes memory until unloads are known to be over.

        An unload waits for the runs of its model, and adapters can be loaded
        meanwhile.
        """
        return {**self._unloading, **self._models}

    def usable(self) -> Models:
        """Returns what requests can be sent to."""
        if not self._dropping:
            return self._models
        return {
            model: frozenset(
                name for name in names if (model, name) not in self._dropping
            )
            for model, names in self._models.items()
        }

    def add(self, model: str) -> None:
        """Counts a model as held."""
        self._models.setdefault(model, frozenset())

    def remove(self, model: str) -> None:
        """Counts a model as gone, with its adapters."""
        self._models.pop(model, None)

    def unload(self, model: str) -> None:
        """Counts a model as one that is being dropped."""
        if model in self._models:
            self._unloading[model] = self._models.pop(model)

    def keep(self, model: str) -> None:
        """Counts a model as held that is not dropped after all."""
        adapters = self._unloading.pop(model, frozenset())
        self._models[model] = self._models.get(model, frozenset()) | adapters

    def end_unloads(self, model: str) -> None:
        """Counts what was being dropped as gone, but for one model."""
        self._unloading = {
            name: adapters
            for name, adapters in self._unloading.items()
            if name == model
        }

    def on_order(self, order: model_orders.Order) -> None:
        """Takes in an order that is about to be sent.

        An adapter takes its place from now on, or until it is surely gone.
        """
        loads = order.verb is model_orders.Verb.LOAD
        if order.adapter and loads:
            self._add_adapter(order.model, order.adapter)
        elif order.adapter:
            self._dropping.add((order.model, order.adapter))
        elif not loads:
            self.unload(order.model)

    def end_drop(self, model: str, adapter: str) -> None:
        """Counts an adapter as gone."""
        self._dropping.discard((model, adapter))
        if model in self._models:
            self._models[model] -= {adapter}

    def on_busy_report(self, report: types.TargetReport) -> None:
        """Takes in a report during an order: nothing is known to be gone."""
        self._dropping.clear()
        self._models = {**self._models, **report.models}

    def on_idle_report(self, report: types.TargetReport) -> None:
        """Takes in a report that tells all."""
        self._dropping.clear()
        self._unloading.clear()
        self._models = dict(report.models)
        for model, adapter in report.arriving:
            # It takes its place already.
            self._add_adapter(model, adapter)

    def _add_adapter(self, model: str, adapter: str) -> None:
        held = self._models.get(model, frozenset())
        self._models[model] = held | {adapter}

"""Models and adapters that an engine holds, derived from orders and reports."""

from __future__ import annotations

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

Models = dict[str, frozenset[str]]


class HeldModels:
    """Models and adapters that one engine holds or may hold.

    Args:
        models: Models with their adapters that its target entry lists.
    """

    def __init__(self, models: Models):
        self._models = dict(models)
        self._unloading_adapters: set[tuple[str, str]] = set()
        self._unloading: Models = {}

    def all(self) -> Models:
        """Returns all that may take memory, except models being unloaded."""
        return dict(self._models)

    def with_unloading(self) -> Models:
        """Returns all that takes memory until unloads are known to be complete.

        An unload waits for running requests of its model, and adapters can be
        loaded meanwhile.
        """
        return {**self._unloading, **self._models}

    def usable(self) -> Models:
        """Returns the models and adapters that requests can be sent to."""
        if not self._unloading_adapters:
            return self._models
        return {
            model: frozenset(
                name
                for name in names
                if (model, name) not in self._unloading_adapters
            )
            for model, names in self._models.items()
        }

    def add(self, model: str) -> None:
        """Marks a model as held."""
        self._models.setdefault(model, frozenset())

    def remove(self, model: str) -> None:
        """Removes a model with its adapters."""
        self._models.pop(model, None)

    def mark_unloading(self, model: str) -> None:
        """Marks a model as being unloaded."""
        if model in self._models:
            self._unloading[model] = self._models.pop(model)

    def cancel_unload(self, model: str) -> None:
        """Marks a model whose unload was refused as held again."""
        adapters = self._unloading.pop(model, frozenset())
        self._models[model] = self._models.get(model, frozenset()) | adapters

    def finish_unloads(self, model: str) -> None:
        """Marks all unloads as complete except that of one model."""
        self._unloading = {
            name: adapters
            for name, adapters in self._unloading.items()
            if name == model
        }

    def on_order(self, order: model_orders.Order) -> None:
        """Updates the state for an order that is about to be sent.

        An adapter counts as held from the moment its load is ordered until its
        unload is confirmed.
        """
        is_load = order.verb is model_orders.Verb.LOAD
        if order.adapter and is_load:
            self._add_adapter(order.model, order.adapter)
        elif order.adapter:
            self._unloading_adapters.add((order.model, order.adapter))
        elif not is_load:
            self.mark_unloading(order.model)

    def remove_adapter(self, model: str, adapter: str) -> None:
        """Removes an adapter."""
        self._unloading_adapters.discard((model, adapter))
        if model in self._models:
            self._models[model] -= {adapter}

    def on_busy_report(self, report: types.TargetReport) -> None:
        """Adds what a report during an order shows; removes nothing."""
        self._unloading_adapters.clear()
        self._models = {**self._models, **report.models}

    def on_idle_report(self, report: types.TargetReport) -> None:
        """Replaces the state by that of a report of an idle engine."""
        self._unloading_adapters.clear()
        self._unloading.clear()
        self._models = dict(report.models)
        for model, adapter in report.loading_adapters:
            # An adapter that is being loaded already counts as held.
            self._add_adapter(model, adapter)

    def _add_adapter(self, model: str, adapter: str) -> None:
        held = self._models.get(model, frozenset())
        self._models[model] = held | {adapter}

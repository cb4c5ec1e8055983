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
        self._unloading_adapters: set[tuple[str, str]] = set()
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
        """Counts a model as held."""
        self._models.setdefault(model, frozenset())

    def remove(self, model: str) -> None:
        """Counts a model as gone, with its adapters."""
        self._models.pop(model, None)

    def mark_unloading(self, model: str) -> None:
        """Counts a model as one that is being dropped."""
        if model in self._models:
            self._unloading[model] = self._models.pop(model)

    def cancel_unload(self, model: str) -> None:
        """Counts a model as held that is not dropped after all."""
        adapters = self._unloading.pop(model, frozenset())
        self._models[model] = self._models.get(model, frozenset()) | adapters

    def finish_unloads(self, model: str) -> None:
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
        is_load = order.verb is model_orders.Verb.LOAD
        if order.adapter and is_load:
            self._add_adapter(order.model, order.adapter)
        elif order.adapter:
            self._unloading_adapters.add((order.model, order.adapter))
        elif not is_load:
            self.mark_unloading(order.model)

    def remove_adapter(self, model: str, adapter: str) -> None:
        """Counts an adapter as gone."""
        self._unloading_adapters.discard((model, adapter))
        if model in self._models:
            self._models[model] -= {adapter}

    def on_busy_report(self, report: types.TargetReport) -> None:
        """Takes in a report during an order: nothing is known to be gone."""
        self._unloading_adapters.clear()
        self._models = {**self._models, **report.models}

    def on_idle_report(self, report: types.TargetReport) -> None:
        """Takes in a report that tells all."""
        self._unloading_adapters.clear()
        self._unloading.clear()
        self._models = dict(report.models)
        for model, adapter in report.arriving:
            # It takes its place already.
            self._add_adapter(model, adapter)

    def _add_adapter(self, model: str, adapter: str) -> None:
        held = self._models.get(model, frozenset())
        self._models[model] = held | {adapter}

"""Models of a service over changes of the configuration.

Handles operators who withdraw a model, or declare it with other sizes, while
engines hold or load it, and while a lease holder is replaced. Such a model
takes its memory until it is unloaded, whatever is declared.
"""

from __future__ import annotations

from collections.abc import Mapping

from tanagerloft.fleet import types


class ModelCatalog:
    """Declared models of a service, and those that engines may still have.

    Attributes:
        declared: Models that may be loaded, by name.
        known: Models whose size is known, by name: the declared ones and those
            that have been. A model that was declared with several sizes has the
            largest ones.
    """

    def __init__(self):
        self.declared: Mapping[str, types.Model] = {}
        self.known: dict[str, types.Model] = {}

    def declare(self, models: Mapping[str, types.Model]) -> None:
        """Replaces the declared models."""
        self.declared = models
        for name, model in models.items():
            earlier = self.known.get(name, model)
            self.known[name] = model._replace(
                size_mb=max(model.size_mb, earlier.size_mb),
                adapter_size_mb=max(
                    model.adapter_size_mb, earlier.adapter_size_mb
                ),
            )

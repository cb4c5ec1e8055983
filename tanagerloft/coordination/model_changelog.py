"""Versioned changes of the models on engines, for views that carry deltas."""

from __future__ import annotations

Models = dict[str, list[str]]

# Targets in one message, which keeps it a datagram of a few kilobytes.
MAX_SHARED_TARGETS = 40


class ModelChangelog:
    """Models of each target, with the version of their last change."""

    def __init__(self):
        self._version = 0
        self._entries: dict[str, tuple[int, Models | None]] = {}

    def update(self, models: dict[str, Models | None]) -> set[tuple[str, str]]:
        """Updates the models of all targets; None for unknown models.

        Returns:
            Models, with adapters and without, that a target has newly loaded.
        """
        new_models: set[tuple[str, str]] = set()
        for target_id in self._entries.keys() - models.keys():
            del self._entries[target_id]
        for target_id, held in models.items():
            known = self._entries.get(target_id)
            if known is None or known[1] != held:
                self._version += 1
                self._entries[target_id] = (self._version, held)
                previous = known[1] if known is not None else None
                new_models |= _subjects(held) - _subjects(previous)
        return new_models

    def changes_since(
        self, version: int
    ) -> tuple[dict[str, Models | None], int]:
        """Returns the changes since a version, and the version reached."""
        changed = [
            (at, target_id, held)
            for target_id, (at, held) in self._entries.items()
            if at > version
        ]
        changed = sorted(changed, key=lambda item: item[0])[:MAX_SHARED_TARGETS]
        if not changed:
            return {}, version
        return {item[1]: item[2] for item in changed}, changed[-1][0]


def _subjects(held: Models | None) -> set[tuple[str, str]]:
    """Returns (model, adapter) pairs, without adapter for the model itself."""
    return {
        (model, adapter)
        for model, adapters in (held or {}).items()
        for adapter in ("", *adapters)
    }

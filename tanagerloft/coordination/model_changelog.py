"""Marks on what engines hold, so that only changes are told."""

from __future__ import annotations

Models = dict[str, list[str]]

# Targets told of in one message, so that it stays a datagram of a few
# kilobytes.
MAX_SHARED_TARGETS = 40


class ModelChangelog:
    """What was last told of each target, and when."""

    def __init__(self):
        self._version = 0
        self._entries: dict[str, tuple[int, Models | None]] = {}

    def update(self, models: dict[str, Models | None]) -> set[tuple[str, str]]:
        """Takes in what targets hold now; None for one that is not known.

        Returns:
            Models, with adapters and without, that a target holds newly.
        """
        arrived: set[tuple[str, str]] = set()
        for target_id in self._entries.keys() - models.keys():
            del self._entries[target_id]
        for target_id, held in models.items():
            told = self._entries.get(target_id)
            if told is None or told[1] != held:
                self._version += 1
                self._entries[target_id] = (self._version, held)
                before = told[1] if told is not None else None
                arrived |= _subjects(held) - _subjects(before)
        return arrived

    def changes_since(
        self, version: int
    ) -> tuple[dict[str, Models | None], int]:
        """Returns what has changed since a mark, and the mark reached."""
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
    """Returns models and adapters as pairs; no adapter for the model itself."""
    return {
        (model, adapter)
        for model, adapters in (held or {}).items()
        for adapter in ("", *adapters)
    }

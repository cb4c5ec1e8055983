"""Tells from log lines which models were never served, and what became of them.

Also sums up what the loads from the weight store were given for.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from tanagerloft.util import log_lines

_DONE = "done"
_UNDER_WAY = "under way"
# Statuses from here on are failures.
_FAILURES_FROM = 300
# Requests from which on a model counts as one that is asked for.
_ASKED_REQUESTS = 4


class _Loads:
    """What became of one model on the engines.

    Attributes:
        held: Engines that held it, or had a copy, when they became known.
        from_store: Purpose of each load from the weight store.
        ends: How these ended.
        from_copies: Loads from copies.
    """

    def __init__(self):
        self.held = 0
        self.from_store: list[str] = []
        self.ends: list[str] = []
        self.from_copies = 0

    def furthest(self) -> str:
        """Returns how far it got."""
        if _DONE in self.ends:
            return "loaded from the store"
        if self.from_copies:
            return "loaded from a copy"
        if self.held:
            return "held or copied at first, not loaded"
        if self.from_store:
            return "load from the store not finished"
        return "no load given"


class _Account:
    """What the lines tell of requests and loads."""

    def __init__(self):
        self._requests: collections.Counter[str] = collections.Counter()
        self._answered: collections.Counter[str] = collections.Counter()
        self._loads: dict[str, _Loads] = collections.defaultdict(_Loads)
        self._given: list[tuple[str, str]] = []

    def take(self, line: dict[str, Any]) -> None:
        """Takes in a line."""
        event, model = line["event"], line.get("model")
        if event == "engine known":
            for name in {*line["models"], *line["in_memory"], *line["on_disk"]}:
                self._loads[name].held += 1
        elif not model:
            return
        elif event == "request ended":
            self._requests[model] += 1
            status = line.get("status") or _FAILURES_FROM
            if line.get("outcome") == "answered" and status < _FAILURES_FROM:
                self._answered[model] += 1
        elif event == "order chosen" and line.get("verb") == "load":
            self._take_load(model, line)
        elif event == "store load ended":
            self._loads[model].ends.append(line.get("outcome", ""))

    def _take_load(self, model: str, line: dict[str, Any]) -> None:
        loads = self._loads[model]
        if not line.get("from_store"):
            loads.from_copies += 1
            return
        purpose = line.get("purpose", "")
        loads.from_store.append(purpose)
        was = "served before" if self._answered[model] else "not served before"
        if line.get("holders") or line.get("copies"):
            was = f"on another engine, {was}"
        self._given.append((model, f"{purpose}, {was}"))

    def report(self) -> Iterator[str]:
        """Returns lines of text."""
        asked = {
            name
            for name, count in self._requests.items()
            if count >= _ASKED_REQUESTS
        }
        if not asked:
            return
        never = sorted(asked - self._answered.keys())
        yield f"{len(never)} of {len(asked)} models and adapters never served"
        yield from _counted(self._of(name).furthest() for name in never)
        for name in sorted(never, key=lambda one: -self._requests[one]):
            loads = self._of(name)
            missing = len(loads.from_store) - len(loads.ends)
            ends = loads.ends + [_UNDER_WAY] * missing
            pairs = list(zip(loads.from_store, ends, strict=False))
            yield (
                f"        {name}: {self._requests[name]} requests,"
                f" {loads.furthest()},"
                f" from the store {pairs},"
                f" from copies {loads.from_copies}"
            )
        yield f"{len(self._given)} loads from the store"
        yield from _counted(
            text + (", asked for" if name in asked else ", hardly asked for")
            for name, text in self._given
        )
        yield from _counted(
            f"ended: {end}" for one in self._loads.values() for end in one.ends
        )

    def _of(self, subject: str) -> _Loads:
        """Returns the loads of the model of a subject."""
        return self._loads[subject.partition("/")[0]]


def table(lines: Iterable[str]) -> Iterator[str]:
    """Returns lines of text on models that were never served, and on loads.

    Args:
        lines: Lines of logs, of all instances, in the order of their time.
    """
    account = _Account()
    for line in lines:
        found = log_lines.parse(line)
        if found is not None:
            account.take(found)
    return account.report()


def _counted(texts: Iterable[str]) -> Iterator[str]:
    for text, count in collections.Counter(texts).most_common():
        yield f"{count:>6}  {text}"

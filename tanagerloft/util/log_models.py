"""Tells from log lines which models were never served, and what became of them.

Also tells what the loads from the weight store were given for and whom they
served.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from tanagerloft.util import log_lines
from tanagerloft.util import log_requests

_DONE = "done"
_UNDER_WAY = "under way"
# Results of orders after which the engine may carry out a load.
_MAY_LOAD = ("accepted", "unknown")
# A load that serves its first request within this time after its end has served
# somebody who waited for it or came back for it.
_SOON_S = 8.0


class _Loads:
    """What became of one model on the engines.

    Attributes:
        held: Engines that held it, or had a copy, when they became known.
        from_store: Purpose of each load from the weight store.
        ends: How these ended.
        from_copies: Loads from copies.
        begun_s: When loads from the store were ordered.
        done_s: When they were seen to be done.
    """

    def __init__(self):
        self.held = 0
        self.from_store: list[str] = []
        self.ends: list[str] = []
        self.from_copies = 0
        self.begun_s: list[float] = []
        self.done_s: list[float] = []

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
        self._requests = log_requests.RequestLog()
        self._loads: dict[str, _Loads] = collections.defaultdict(_Loads)
        self._given: list[tuple[str, str]] = []
        self._last_copies_evicted: set[str] = set()

    def take(self, line: dict[str, Any], at_s: float) -> None:
        """Takes in a line."""
        event, model = line["event"], line.get("model")
        if event == "engine known":
            for name in {*line["models"], *line["in_memory"], *line["on_disk"]}:
                self._loads[name].held += 1
        elif event == "copies evicted":
            self._last_copies_evicted.update(line["last_copies"])
        elif not model:
            return
        elif event == "request ended":
            self._requests.record(line, at_s)
        elif event == "order chosen" and line.get("verb") == "load":
            self._take_load(model, line)
        elif event == "order sent" and line.get("from_store"):
            if line.get("outcome") in _MAY_LOAD:
                self._loads[model].begun_s.append(at_s)
        elif event == "store load ended":
            self._loads[model].ends.append(line.get("outcome", ""))
            if line.get("outcome") == _DONE:
                self._loads[model].done_s.append(at_s)

    def _take_load(self, model: str, line: dict[str, Any]) -> None:
        loads = self._loads[model]
        if not line.get("from_store"):
            loads.from_copies += 1
            return
        purpose = line.get("purpose", "")
        loads.from_store.append(purpose)
        was = "not served before"
        if self._requests.served_s(model):
            was = "served before"
        if line.get("holders") or line.get("copies"):
            was = f"on another engine, {was}"
        self._given.append((model, f"{purpose}, {was}"))

    def report(self) -> Iterator[str]:
        """Returns lines of text."""
        asked = self._requests.asked_throughout()
        if not asked:
            return
        never = sorted(
            name for name in asked if not self._requests.served_s(name)
        )
        yield f"{len(never)} of {len(asked)} models and adapters never served"
        yield from _counted(self._of(name).furthest() for name in never)
        for name in sorted(never, key=lambda one: -asked[one]):
            loads = self._of(name)
            missing = len(loads.from_store) - len(loads.ends)
            ends = loads.ends + [_UNDER_WAY] * missing
            pairs = list(zip(loads.from_store, ends, strict=False))
            yield (
                f"        {name}: {asked[name]} requests,"
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
        yield from _counted(self._whom_loads_served())
        evicted = self._last_copies_evicted
        yield f"{len(evicted)} models lost their last known copy to others"
        yield from _counted("never served" for name in evicted if name in never)

    def _whom_loads_served(self) -> Iterator[str]:
        """Returns for each load from the store when it served somebody."""
        for name, loads in self._loads.items():
            served_s = self._requests.served_s(name)
            next_begun_s = [*loads.begun_s[1:], None]
            for begun_s, next_s in zip(
                loads.begun_s, next_begun_s, strict=False
            ):
                done_s = [
                    at_s
                    for at_s in loads.done_s
                    if at_s > begun_s and (next_s is None or at_s <= next_s)
                ]
                if next_s is not None and not done_s:
                    yield "accepted, and ordered again before it was done"
                    continue
                after = [at_s for at_s in served_s if at_s > begun_s]
                if not after:
                    yield "accepted, served nobody"
                elif done_s and after[0] <= done_s[0] + _SOON_S:
                    yield "accepted, served somebody soon after"
                else:
                    yield "accepted, served somebody later, or earlier copies"

    def _of(self, subject: str) -> _Loads:
        """Returns the loads of the model of a subject."""
        return self._loads[subject.partition("/")[0]]


def table(lines: Iterable[str]) -> Iterator[str]:
    """Returns lines of text on models that were never served, and on loads.

    Args:
        lines: Lines of logs, of all instances, in the order of their time. Each
            begins with the time at which it was collected, in seconds; without
            it, all count as collected at once.
    """
    account = _Account()
    for line in lines:
        found = log_lines.parse(line)
        if found is not None:
            account.take(found, log_lines.collected_s(line))
    return account.report()


def _counted(texts: Iterable[str]) -> Iterator[str]:
    for text, count in collections.Counter(texts).most_common():
        yield f"{count:>6}  {text}"

"""An event loop whose time passes only while nothing else is to be done."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _VirtualSelector(selectors.DefaultSelector):
    """Selector that lets time jump to the next timer in place of waiting."""

    def __init__(self):
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.elapsed_s += timeout
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, selector: _VirtualSelector):
        super().__init__(selector)
        self._virtual_selector = selector

    def time(self) -> float:
        return self._virtual_selector.elapsed_s


def now_ms() -> int:
    """Returns the reading of the running loop's clock."""
    return round(asyncio.get_running_loop().time() * 1_000)


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end on a loop of its own."""
    with asyncio.Runner(
        loop_factory=lambda: _VirtualLoop(_VirtualSelector())
    ) as runner:
        return runner.run(coroutine)

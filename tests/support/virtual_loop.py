"""An event loop on virtual time, which advances only while it is idle."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _VirtualSelector(selectors.DefaultSelector):
    """Selector that advances virtual time to the next timer without waiting."""

    def __init__(self):
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no ready callback and no timer")
        self.elapsed_s += timeout
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, selector: _VirtualSelector):
        super().__init__(selector)
        self._virtual_selector = selector

    def time(self) -> float:
        return self._virtual_selector.elapsed_s


def now_ms() -> int:
    """Returns the current time of the running loop."""
    return round(asyncio.get_running_loop().time() * 1_000)


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to completion on a new virtual loop."""
    with asyncio.Runner(
        loop_factory=lambda: _VirtualLoop(_VirtualSelector())
    ) as runner:
        return runner.run(coroutine)

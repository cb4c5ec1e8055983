"""Runs controllers, each in its own thread."""

from collections.abc import Callable
from concurrent import futures
import logging
import threading
from typing import NamedTuple

logger = logging.getLogger(__name__)


class Loop(NamedTuple):
    """A function that is called periodically.

    Attributes:
        name: Name in logs.
        tick: The function.
        interval_ms: Pause between calls.
        wake: Event that ends the pause early.
    """

    name: str
    tick: Callable[[], None]
    interval_ms: int
    wake: threading.Event


class Runner:
    """Runs each loop in a thread until stopped."""

    def __init__(self, loops: list[Loop]):
        self._loops = loops
        self._stopping = False
        self._executor = futures.ThreadPoolExecutor(
            max_workers=len(loops), thread_name_prefix="controller"
        )

    def start(self) -> None:
        """Starts all loops."""
        for loop in self._loops:
            self._executor.submit(self._run, loop)

    def stop(self) -> None:
        """Stops all loops and waits for them."""
        self._stopping = True
        for loop in self._loops:
            loop.wake.set()
        self._executor.shutdown(wait=True)

    def _run(self, loop: Loop) -> None:
        failing = False
        while not self._stopping:
            failing = _tick(loop, failing)
            loop.wake.wait(loop.interval_ms / 1_000)
            loop.wake.clear()


def _tick(loop: Loop, failing: bool) -> bool:
    """Calls a loop once, and logs when it starts or stops failing.

    Returns:
        Whether it failed.
    """
    try:
        loop.tick()
    except Exception:  # An error in one tick must not end the loop.
        if not failing:
            logger.exception("controller %s fails", loop.name)
        return True
    if failing:
        logger.info("controller %s works again", loop.name)
    return False

"""Waiting on an event loop, in milliseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib

_MS_PER_S = 1_000


def timeout(delay_ms: float) -> asyncio.Timeout:
    """Returns a context that raises ``TimeoutError`` after a time."""
    return asyncio.timeout(delay_ms / _MS_PER_S)


def now_ms() -> float:
    """Returns the time of the running loop, which timeouts refer to."""
    return asyncio.get_running_loop().time() * _MS_PER_S


def reschedule(context: asyncio.Timeout, at_ms: float) -> None:
    """Sets when a context from ``timeout`` raises, by ``now_ms``."""
    context.reschedule(at_ms / _MS_PER_S)


async def sleep(delay_ms: float) -> None:
    """Waits for a time."""
    await asyncio.sleep(delay_ms / _MS_PER_S)


async def wait(event: asyncio.Event, timeout_ms: float) -> None:
    """Waits for an event, but no longer than a time."""
    with contextlib.suppress(TimeoutError):
        async with timeout(timeout_ms):
            await event.wait()


def call_later(
    delay_ms: float, action: Callable[[], None]
) -> asyncio.TimerHandle:
    """Calls an action on the running loop after a time."""
    loop = asyncio.get_running_loop()
    return loop.call_later(delay_ms / _MS_PER_S, action)

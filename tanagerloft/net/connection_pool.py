"""Pool of connections to targets and to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tanagerloft.net import target_connection
from tanagerloft.util import loops

# Timeout of opening a connection; callers allow one second for theirs.
_CONNECT_TIMEOUT_MS = 1_000


class Pool:
    """Idle connections by address, for reuse.

    Args:
        now_ms: Clock.
    """

    def __init__(self, now_ms: Callable[[], int]):
        self._now_ms = now_ms
        self._idle: dict[
            tuple[str, int], list[target_connection.TargetConnection]
        ] = {}

    def acquire_idle(
        self, address: tuple[str, int], max_idle_ms: int | None = None
    ) -> target_connection.TargetConnection | None:
        """Returns the idle connection that was used last, None for none.

        Args:
            address: Host and port.
            max_idle_ms: Longest time that it has been idle, None for the
                limit of the connection.
        """
        idle = self._idle.get(address)
        now_ms = self._now_ms()
        while idle:
            connection = idle.pop()
            if connection.usable(now_ms, None):
                if connection.usable(now_ms, max_idle_ms):
                    return connection
                idle.append(connection)
                return None
            connection.close()
        return None

    async def connect(
        self, address: tuple[str, int], timeout_ms: int = _CONNECT_TIMEOUT_MS
    ) -> target_connection.TargetConnection | target_connection.ExchangeFailure:
        """Opens a connection.

        Args:
            address: Host and port.
            timeout_ms: Timeout of opening it.
        """
        loop = asyncio.get_running_loop()
        try:
            async with loops.timeout(timeout_ms):
                _, connection = await loop.create_connection(
                    lambda: target_connection.TargetConnection(self, address),
                    *address,
                )
        except (OSError, TimeoutError):
            return target_connection.ExchangeFailure.NOT_CONNECTED
        return connection

    def release(self, connection: target_connection.TargetConnection) -> None:
        """Returns an idle connection to the pool."""
        connection.idle_since_ms = self._now_ms()
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: target_connection.TargetConnection) -> None:
        """Removes a closed connection; may be called twice."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

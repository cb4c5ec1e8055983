"""Link of limited rate between an instance and the fake store."""

from __future__ import annotations

import asyncio
import json

from tanagerloft.net import target_connection
from tanagerloft.util import loops
from tests.support import users_platform

_TRANSIT_MS = 2
_STORE_DELAY_MS = 4
_PIECE_INTERVAL_MS = 10


class StoreLink:
    """Link of one instance to the store; fakes ``connection_pool.Pool``.

    Args:
        store: The store.
        rate_bytes_per_ms: Rate at which responses arrive.

    Attributes:
        rate_bytes_per_ms: See above; may be changed.
        silent_after_bytes: Bytes of a body after which nothing more arrives,
            None for no such fault.
        cut_bytes: Bytes of bodies that had arrived when their exchange was
            cancelled.
    """

    def __init__(
        self, store: users_platform.StoreStandin, rate_bytes_per_ms: float
    ):
        self.store = store
        self.rate_bytes_per_ms = rate_bytes_per_ms
        self.silent_after_bytes: int | None = None
        self.cut_bytes = 0

    def acquire_idle(self, _address, _max_idle_ms=None) -> None:
        """Returns no connection: each call opens one."""

    async def connect(self, _address, _timeout_ms=0) -> _Connection:
        """Opens a connection."""
        await loops.sleep(2 * _TRANSIT_MS)
        return _Connection(self)


class _Connection:
    """Connection that carries one exchange."""

    def __init__(self, link: StoreLink):
        self._link = link
        self._task: asyncio.Task | None = None
        self._sent_bytes = 0

    def send(self, data: bytes, receiver: target_connection.Receiver) -> None:
        self._task = asyncio.create_task(self._respond(data, receiver))

    def cancel(self) -> None:
        self._link.cut_bytes += self._sent_bytes
        if self._task is not None:
            self._task.cancel()

    async def _respond(
        self, data: bytes, receiver: target_connection.Receiver
    ) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        method, target, _ = head.decode().split("\r\n")[0].split(" ")
        request = users_platform.Request(method, target, {}, body)
        self._link.store.calls.append(target)
        await loops.sleep(_TRANSIT_MS + _STORE_DELAY_MS)
        status, content = await self._link.store.respond(request)
        await loops.sleep(_TRANSIT_MS)
        receiver.on_head(target_connection.ResponseHead(status, ()))
        await self._send_body(json.dumps(content).encode(), receiver)
        receiver.on_end()

    async def _send_body(
        self, body: bytes, receiver: target_connection.Receiver
    ) -> None:
        due_bytes = 0.0
        while self._sent_bytes < len(body):
            await loops.sleep(_PIECE_INTERVAL_MS)
            due_bytes += self._link.rate_bytes_per_ms * _PIECE_INTERVAL_MS
            end = min(int(due_bytes), len(body))
            if self._link.silent_after_bytes is not None:
                end = min(end, self._link.silent_after_bytes)
            if end > self._sent_bytes:
                piece = body[self._sent_bytes : end]
                self._sent_bytes = end
                receiver.on_body(piece)

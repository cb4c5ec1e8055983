"""HTTP client of the control path: store calls, orders and reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.net import connection_pool
from tanagerloft.net import target_connection
from tanagerloft.util import loops

# A page of the store is a megabyte, and a third more in base64.
_MAX_BODY_BYTES = 8_388_608
# Mean rate below which a response is given up although bytes go on arriving.
_MIN_BYTES_PER_MS = 32


class Response(NamedTuple):
    """A complete response.

    Attributes:
        head: Status and headers.
        body: Body.
    """

    head: target_connection.ResponseHead
    body: bytes


class NoResponse(NamedTuple):
    """An exchange without a complete response.

    Attributes:
        sent: Whether the request was sent, so that it may have taken effect.
        reason: Text for logs.
        received_bytes: Bytes of the response's body that have arrived.
    """

    sent: bool
    reason: str
    received_bytes: int = 0


class _ProgressTimeout:
    """Timeout that is extended while a response goes on arriving.

    Args:
        silence_ms: Longest time without a part of the response.
        wait_ms: Further time until its first part.

    Attributes:
        context: Context that raises ``TimeoutError``.
    """

    def __init__(self, silence_ms: int, wait_ms: int):
        self._silence_ms = silence_ms
        self._started_ms = loops.now_ms()
        self._first_bound_ms = wait_ms + silence_ms
        self.context = loops.timeout(self._first_bound_ms)

    def extend(self, received_bytes: int) -> None:
        """Extends the timeout after a part of the response has arrived.

        Args:
            received_bytes: Bytes of the body that have arrived.
        """
        if self.context.expired():
            return
        silent_ms = loops.now_ms() + self._silence_ms
        slow_ms = self._started_ms + self._first_bound_ms
        slow_ms += received_bytes / _MIN_BYTES_PER_MS
        loops.reschedule(self.context, min(silent_ms, slow_ms))


class _Collector:
    """Receiver that collects a complete response.

    Args:
        on_progress: Called when a part of the response has arrived, with the
            bytes of its body so far.
    """

    def __init__(self, on_progress: Callable[[int], None]):
        self._on_progress = on_progress
        self.outcome: asyncio.Future[Response | NoResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._head: target_connection.ResponseHead | None = None
        self._body: list[bytes] = []
        self.body_bytes = 0

    def on_head(self, head: target_connection.ResponseHead) -> None:
        self._head = head
        self._on_progress(0)

    def on_body(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if not self.outcome.done():
            self._on_progress(self.body_bytes)
        if self.body_bytes <= _MAX_BODY_BYTES:
            self._body.append(data)
        elif not self.outcome.done():
            self._body.clear()
            self._fail("answer without end")

    def on_end(self) -> None:
        if not self.outcome.done() and self._head is not None:
            self.outcome.set_result(Response(self._head, b"".join(self._body)))

    def on_failure(self, failure: target_connection.ExchangeFailure) -> None:
        if not self.outcome.done():
            self._fail(failure.value)

    def _fail(self, reason: str) -> None:
        self.outcome.set_result(NoResponse(True, reason, self.body_bytes))


async def exchange(
    pool: connection_pool.Pool,
    address: tuple[str, int],
    data: bytes,
    timeout_ms: int,
    wait_ms: int = 0,
) -> Response | NoResponse:
    """Sends a request and waits for its complete response.

    A response may take as long as its size needs: time-outs apply to silence
    of the peer, and to the mean rate at which the response arrives.

    A connection is closed if its exchange fails, so that a connection to a
    silent peer is not reused and no part of a request is sent after its
    timeout.

    Args:
        pool: Connections.
        address: Host and port of the server.
        data: The encoded request.
        timeout_ms: Longest time until the head of the response, including
            opening a connection, and between two parts of the response.
        wait_ms: Further time that the peer may wait before it responds.
    """
    connection = pool.acquire_idle(address)
    timeout = _ProgressTimeout(timeout_ms, wait_ms)
    collector = _Collector(timeout.extend)
    try:
        async with timeout.context:
            if connection is None:
                opened = await pool.connect(address)
                if isinstance(opened, target_connection.ExchangeFailure):
                    return NoResponse(False, opened.value)
                connection = opened
            connection.send(data, collector)
            response = await collector.outcome
        if isinstance(response, NoResponse):
            connection.cancel()
        return response
    except TimeoutError:
        if connection is None:
            return NoResponse(False, "timeout")
        connection.cancel()
        return NoResponse(True, "timeout", collector.body_bytes)
    except asyncio.CancelledError:
        if connection is not None:
            connection.cancel()
        raise


def encode_request(
    method: str,
    path: str,
    host: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes | None,
) -> bytes:
    """Encodes a request.

    Args:
        method: HTTP method.
        path: Path and query.
        host: Value of the header ``Host``.
        headers: Further headers.
        body: Body, None for none.
    """
    lines = [
        f"{method} {path} HTTP/1.1".encode("latin-1"),
        b"Host: " + host.encode("latin-1"),
    ]
    lines += [name + b": " + value for name, value in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")

"""HTTP client of the control path: store calls, orders and reports."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from tanagerloft.net import connection_pool
from tanagerloft.net import target_connection
from tanagerloft.util import loops

# A page of the store is a megabyte, and a third more in base64.
_MAX_BODY_BYTES = 8_388_608


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


class _Collector:
    """Receiver that collects a complete response."""

    def __init__(self):
        self.outcome: asyncio.Future[Response | NoResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._head: target_connection.ResponseHead | None = None
        self._body: list[bytes] = []
        self.body_bytes = 0

    def on_head(self, head: target_connection.ResponseHead) -> None:
        self._head = head

    def on_body(self, data: bytes) -> None:
        self.body_bytes += len(data)
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
) -> Response | NoResponse:
    """Sends a request and waits for its complete response.

    A connection is closed if its exchange fails, so that a connection to a
    silent peer is not reused and no part of a request is sent after its
    timeout.

    Args:
        pool: Connections.
        address: Host and port of the server.
        data: The encoded request.
        timeout_ms: Timeout of the exchange, including opening a connection.
    """
    connection = pool.acquire_idle(address)
    collector = _Collector()
    try:
        async with loops.timeout(timeout_ms):
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

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
    """

    sent: bool
    reason: str


class _Collector:
    """Receiver that collects a complete response."""

    def __init__(self):
        self.outcome: asyncio.Future[Response | NoResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._head: target_connection.ResponseHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_head(self, head: target_connection.ResponseHead) -> None:
        self._head = head

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes <= _MAX_BODY_BYTES:
            self._body.append(data)
        elif not self.outcome.done():
            self._body.clear()
            self.outcome.set_result(NoResponse(True, "answer without end"))

    def on_end(self) -> None:
        if not self.outcome.done() and self._head is not None:
            self.outcome.set_result(Response(self._head, b"".join(self._body)))

    def on_failure(self, failure: target_connection.ExchangeFailure) -> None:
        if not self.outcome.done():
            self.outcome.set_result(NoResponse(True, failure.value))


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
    try:
        async with loops.timeout(timeout_ms):
            if connection is None:
                opened = await pool.connect(address)
                if isinstance(opened, target_connection.ExchangeFailure):
                    return NoResponse(False, opened.value)
                connection = opened
            collector = _Collector()
            connection.send(data, collector)
            response = await collector.outcome
        if isinstance(response, NoResponse):
            connection.cancel()
        return response
    except TimeoutError:
        if connection is None:
            return NoResponse(False, "timeout")
        connection.cancel()
        return NoResponse(True, "timeout")
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

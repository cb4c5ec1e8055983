"""HTTP/1.1 client connections to targets and to the store."""

from __future__ import annotations

import asyncio
import enum
import re
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import httptools

if TYPE_CHECKING:
    from tanagerloft.net import connection_pool

# Sent bytes that are not acknowledged within this time end a connection.
_USER_TIMEOUT_MS = 3_000
# A peer that acknowledges no keepalive probe counts as gone after
# idle + count * interval.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 3
# Idle time after which a connection is not reused, unless the target has
# announced another timeout.
_DEFAULT_MAX_IDLE_MS = 1_000
# Part of the announced keep-alive timeout in which a connection is reused; the
# rest covers the transit of the request.
_KEEPALIVE_TIMEOUT_SHARE = 0.5
_WRITE_HIGH_WATERMARK_BYTES = 65_536
_SECONDS = re.compile(rb"[0-9]{1,9}")
# Bound on the bytes of a response besides its body (heads, framing, trailers):
# a fixed part, and a part for each byte of the body, as chunks may have a size
# of one byte.
_MAX_OVERHEAD_BYTES = 65_536
_MAX_OVERHEAD_SHARE = 16


class ResponseHead(NamedTuple):
    """Status and headers of a response.

    Attributes:
        status: Status code.
        headers: Names in lower case and values, in order.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the first header ``name``, None for none.

        Args:
            name: Name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ExchangeFailure(enum.Enum):
    """Why an exchange ended without a complete response."""

    NOT_CONNECTED = "not_connected"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"


class Receiver(Protocol):
    """Receives the response to a request."""

    def on_head(self, head: ResponseHead) -> None:
        """The head of a response has arrived."""

    def on_body(self, data: bytes) -> None:
        """A piece of its body has arrived."""

    def on_end(self) -> None:
        """The response is complete."""

    def on_failure(self, failure: ExchangeFailure) -> None:
        """The exchange ended before the response was complete."""


class TargetConnection(asyncio.Protocol):
    """One connection; carries one exchange at a time.

    Args:
        pool: Pool that the connection is returned to.
        address: Host and port of the peer.

    Attributes:
        address: Host and port of the peer.
        idle_since_ms: When it was returned to the pool.
        exchanges: Number of requests sent on it.
    """

    def __init__(self, pool: connection_pool.Pool, address: tuple[str, int]):
        self._pool = pool
        self.address = address
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._receiver: Receiver | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._reading = False
        self._has_framing = False
        self._write_paused = False
        self._reusable = True
        self._closed = False
        self._max_idle_ms = _DEFAULT_MAX_IDLE_MS
        self._received_bytes = 0
        self._body_bytes = 0
        self.idle_since_ms = 0
        self.exchanges = 0

    def connection_made(self, transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(_WRITE_HIGH_WATERMARK_BYTES, 0)
        _set_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self._pool.discard(self)
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        if exc is None and self._reading and not self._has_framing:
            receiver.on_end()
        elif exc is None:
            receiver.on_failure(ExchangeFailure.CLOSED)
        else:
            receiver.on_failure(ExchangeFailure.RESET)

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False

    def data_received(self, data: bytes) -> None:
        if self._receiver is None:
            # Bytes after a response belong to no request.
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(ExchangeFailure.MALFORMED)
            return
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > (
            _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_SHARE * self._body_bytes
        ):
            self._fail(ExchangeFailure.MALFORMED)

    def on_message_begin(self) -> None:
        self._headers = []
        if self._receiver is None:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._reading:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._receiver is None or status < 200:
            return
        head = ResponseHead(status, tuple(self._headers))
        self._reading = True
        self._has_framing = (
            head.get(b"content-length") is not None
            or head.get(b"transfer-encoding") is not None
            or status in (204, 304)
        )
        self._update_reuse(head)
        self._receiver.on_head(head)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._receiver is not None and self._reading:
            self._receiver.on_body(body)

    def on_message_complete(self) -> None:
        if not self._reading:
            return
        self._reading = False
        if not self._parser.should_keep_alive() or self._write_paused:
            self._reusable = False
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.on_end()
        # ``on_end`` may have called ``skip_response`` to read another one.
        if self._receiver is None:
            asyncio.get_running_loop().call_soon(self._release)

    def send(self, data: bytes, receiver: Receiver) -> None:
        """Sends a request and passes the response to ``receiver``."""
        self._receiver = receiver
        self.exchanges += 1
        self._received_bytes = self._body_bytes = 0
        self._transport.write(data)

    def skip_response(self, receiver: Receiver) -> None:
        """Waits for the next response: the last one was not to this request.

        The connection is not reused afterwards.
        """
        self._receiver = receiver
        self._reusable = False

    def set_reading(self, reading: bool) -> None:
        """Pauses or resumes reading, for backpressure from the caller."""
        if self._closed:
            return
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def cancel(self) -> None:
        """Cancels the exchange by closing the connection."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        if not self._closed:
            self._closed = True
            self._pool.discard(self)
            self._transport.abort()

    def usable(self, now_ms: int, max_idle_ms: int | None) -> bool:
        """Returns whether a new exchange may use the idle connection.

        Args:
            now_ms: Reading of the clock.
            max_idle_ms: Further bound on its idle time, None for none.
        """
        bound_ms = self._max_idle_ms
        if max_idle_ms is not None:
            bound_ms = min(bound_ms, max_idle_ms)
        return not self._closed and now_ms - self.idle_since_ms <= bound_ms

    def _release(self) -> None:
        if self._closed:
            return
        if self._reusable and self._receiver is None:
            self.set_reading(True)
            self._pool.release(self)
        elif self._receiver is None:
            self.close()

    def _fail(self, failure: ExchangeFailure) -> None:
        receiver, self._receiver = self._receiver, None
        self.close()
        if receiver is not None:
            receiver.on_failure(failure)

    def _update_reuse(self, head: ResponseHead) -> None:
        if (head.get(b"connection") or b"").lower() == b"close":
            self._reusable = False
        keep_alive = head.get(b"keep-alive") or b""
        for part in keep_alive.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and _SECONDS.fullmatch(value):
                self._max_idle_ms = int(
                    int(value) * 1_000 * _KEEPALIVE_TIMEOUT_SHARE
                )


def _set_keepalive(sock: socket.socket) -> None:
    """Enables TCP keepalive, so that the loss of a silent peer is detected."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

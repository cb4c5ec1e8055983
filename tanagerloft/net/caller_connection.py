"""HTTP/1.1 connections of callers; responds to pipelined requests in order."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import logging

import httptools

from tanagerloft.net import responder as responder_lib
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Bytes buffered for a slow caller above which the target is paused.
_WRITE_HIGH_WATERMARK_BYTES = 65_536
# Pipelined requests buffered behind the current one; above, reading pauses.
_MAX_PIPELINED_REQUESTS = 4
# Bytes of colon, space and line end of a header.
_HEADER_FRAMING_BYTES = 4


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Args:
        handler: Handles the requests.
        connections: Set of open connections that this one adds itself to and
            removes itself from.

    Attributes:
        handler: Handles the requests.
    """

    def __init__(
        self, handler: responder_lib.Handler, connections: set[CallerConnection]
    ):
        self.handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._pending: collections.deque[tuple[responder_lib.Request, bool]] = (
            collections.deque()
        )
        self._current: responder_lib.Responder | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unreadable = False
        self._closed = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._request_target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._arrived_ms = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read, queued or handled."""
        return (
            self._current is None and not self._arrived_ms and not self._pending
        )

    def connection_made(self, transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(_WRITE_HIGH_WATERMARK_BYTES)
        self._connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self._connections.discard(self)
        self._cancel_timer()
        self._pending.clear()
        current, self._current = self._current, None
        if current is not None and current.on_disconnect and not current.ended:
            current.ended = True
            current.on_disconnect()

    def pause_writing(self) -> None:
        if self._current is not None and self._current.on_flow_control:
            self._current.on_flow_control(False)

    def resume_writing(self) -> None:
        if self._current is not None and self._current.on_flow_control:
            self._current.on_flow_control(True)

    def data_received(self, data: bytes) -> None:
        if self._unreadable:
            return
        if not self._arrived_ms:
            self._arrived_ms = self.handler.now_ms()
            self._start_timer(
                self.handler.limits().header_timeout_ms, self._on_read_timeout
            )
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._unreadable:
                self._refuse(400)

    def on_message_begin(self) -> None:
        if not self._arrived_ms:
            self._arrived_ms = self.handler.now_ms()

    def on_url(self, url: bytes) -> None:
        self._request_target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._add_head_bytes(len(name) + len(value) + _HEADER_FRAMING_BYTES)

    def on_headers_complete(self) -> None:
        if self._unreadable:
            return
        self._start_timer(
            self.handler.limits().idle_timeout_ms, self._on_read_timeout
        )
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes <= self.handler.limits().body_bytes:
            self._body.append(body)
        elif not self._unreadable:
            self._refuse(413)

    def on_message_complete(self) -> None:
        if self._unreadable:
            return
        request = responder_lib.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._request_target,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            arrived_ms=self._arrived_ms,
        )
        self._reset_request()
        self._cancel_timer()
        self._pending.append((request, self._parser.should_keep_alive()))
        if len(self._pending) > _MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        self._handle_next()

    def send(self, data: bytes) -> None:
        """Writes to the caller."""
        if not self._closed:
            self._transport.write(data)

    def on_response_sent(self, keep_alive: bool) -> None:
        """Continues with the next request, or closes the connection.

        Args:
            keep_alive: Whether the connection may stay open.
        """
        self._current = None
        if self._closed:
            return
        if not keep_alive or self._unreadable:
            self._closed = True
            self._transport.close()
            return
        self._transport.resume_reading()
        if self._arrived_ms and not self._pending:
            return
        self._start_idle_timer()
        # Deferred, as the response may be sent from within ``_handle_next``.
        asyncio.get_running_loop().call_soon(self._handle_next)

    def abort(self) -> None:
        """Resets the connection."""
        self._current = None
        self._closed = True
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless it has an open request."""
        if self.idle and not self._closed:
            self._closed = True
            self._transport.close()

    def _handle_next(self) -> None:
        if self._current is not None or not self._pending or self._closed:
            return
        self._cancel_timer()
        request, keep_alive = self._pending.popleft()
        self._current = responder_lib.Responder(self, keep_alive)
        self.handler.handle(request, self._current)

    def _add_head_bytes(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        limit_bytes = self.handler.limits().header_bytes
        if self._head_bytes > limit_bytes and not self._unreadable:
            self._refuse(431)

    def _refuse(self, status: int) -> None:
        """Refuses an unreadable request and closes the connection.

        If an earlier request is open, only its response is sent.
        """
        self._unreadable = True
        self._cancel_timer()
        if self._current is not None:
            self._current.close_after_response()
            return
        responder = responder_lib.Responder(self, keep_alive=False)
        self._current = responder
        self.handler.refuse_unreadable(responder, status)

    def _on_read_timeout(self) -> None:
        self._refuse(408)

    def _start_idle_timer(self) -> None:
        idle_ms = self.handler.limits().idle_timeout_ms
        self._start_timer(idle_ms, self.close_if_idle)

    def _start_timer(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = loops.call_later(delay_ms, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

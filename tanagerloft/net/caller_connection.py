"""Connections that callers open: requests in, answers out, one at a time."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import logging

import httptools

from tanagerloft.net import responder as responder_lib
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Answers that wait for the caller to read them; targets are paused beyond.
_WRITE_HIGH_BYTES = 65_536
# A request read ahead while another is answered; reading pauses beyond.
_MAX_READ_AHEAD = 4
# Colon, space and line end around a header.
_HEADER_EXTRA_BYTES = 4


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; answers requests in order."""

    def __init__(
        self, handler: responder_lib.Handler, registry: set[CallerConnection]
    ):
        self.handler = handler
        self._registry = registry
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._waiting: collections.deque[tuple[responder_lib.Request, bool]] = (
            collections.deque()
        )
        self._current: responder_lib.Responder | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._broken = False
        self._closed = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._began_ms = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            self._current is None and not self._began_ms and not self._waiting
        )

    def connection_made(self, transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(_WRITE_HIGH_BYTES)
        self._registry.add(self)
        self._arm_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self._registry.discard(self)
        self._disarm()
        self._waiting.clear()
        current, self._current = self._current, None
        if current is not None and current.on_gone and not current.ended:
            current.ended = True
            current.on_gone()

    def pause_writing(self) -> None:
        if self._current is not None and self._current.on_flow:
            self._current.on_flow(False)

    def resume_writing(self) -> None:
        if self._current is not None and self._current.on_flow:
            self._current.on_flow(True)

    def data_received(self, data: bytes) -> None:
        if self._broken:
            return
        if not self._began_ms:
            self._began_ms = self.handler.now_ms()
            self._arm(self.handler.limits().header_timeout_ms, self._slow)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._broken:
                self._refuse(400)

    def on_message_begin(self) -> None:
        if not self._began_ms:
            self._began_ms = self.handler.now_ms()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + _HEADER_EXTRA_BYTES)

    def on_headers_complete(self) -> None:
        if self._broken:
            return
        self._arm(self.handler.limits().idle_timeout_ms, self._slow)
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes <= self.handler.limits().body_bytes:
            self._body.append(body)
        elif not self._broken:
            self._refuse(413)

    def on_message_complete(self) -> None:
        if self._broken:
            return
        request = responder_lib.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            began_ms=self._began_ms,
        )
        self._reset_request()
        self._disarm()
        self._waiting.append((request, self._parser.should_keep_alive()))
        if len(self._waiting) > _MAX_READ_AHEAD:
            self._transport.pause_reading()
        self._take_next()

    def send(self, data: bytes) -> None:
        """Writes to the caller."""
        if not self._closed:
            self._transport.write(data)

    def answered(self, keep_alive: bool) -> None:
        """Told by the responder that the answer is out."""
        self._current = None
        if self._closed:
            return
        if not keep_alive or self._broken:
            self._closed = True
            self._transport.close()
            return
        self._transport.resume_reading()
        if self._began_ms and not self._waiting:
            return
        self._arm_idle()
        # Not in this call: the answer may come from within ``_take_next``.
        asyncio.get_running_loop().call_soon(self._take_next)

    def abort(self) -> None:
        """Resets the connection."""
        self._current = None
        self._closed = True
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if self.idle and not self._closed:
            self._closed = True
            self._transport.close()

    def _take_next(self) -> None:
        if self._current is not None or not self._waiting or self._closed:
            return
        self._disarm()
        request, keep_alive = self._waiting.popleft()
        self._current = responder_lib.Responder(self, keep_alive)
        self.handler.handle(request, self._current)

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        limit_bytes = self.handler.limits().header_bytes
        if self._head_bytes > limit_bytes and not self._broken:
            self._refuse(431)

    def _refuse(self, status: int) -> None:
        """Answers what cannot be read and closes, after earlier answers."""
        self._broken = True
        self._disarm()
        if self._current is not None:
            self._current.close_after()
            return
        responder = responder_lib.Responder(self, keep_alive=False)
        self._current = responder
        self.handler.refuse_unread(responder, status)

    def _slow(self) -> None:
        self._refuse(408)

    def _arm_idle(self) -> None:
        idle_ms = self.handler.limits().idle_timeout_ms
        self._arm(idle_ms, self.close_if_idle)

    def _arm(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._disarm()
        self._timer = loops.call_later(delay_ms, action)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

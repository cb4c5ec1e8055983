"""Requests of callers, and the interface for responses to them."""

from __future__ import annotations

from collections.abc import Callable
import http
from typing import NamedTuple
from typing import Protocol

from tanagerloft.fleet import types

_CHUNK_END = b"0\r\n\r\n"
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


class Request(NamedTuple):
    """A request as a caller sent it.

    Attributes:
        method: HTTP method.
        target: HTTP request target: path and query, byte for byte.
        headers: Names and values in order, names as sent.
        body: Whole body.
        arrived_ms: When its first byte arrived.
    """

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_ms: int


class Handler(Protocol):
    """Handles the requests that arrive on connections."""

    def handle(self, request: Request, responder: Responder) -> None:
        """Handles a request; responds through ``responder``, now or later."""

    def refuse_unreadable(self, responder: Responder, status: int) -> None:
        """Refuses a request that could not be read.

        Args:
            responder: Sends the response.
            status: HTTP status for the fault.
        """

    def limits(self) -> types.CallerLimits:
        """Returns the limits on requests that are in force."""

    def now_ms(self) -> int:
        """Returns the reading of the clock."""

    def closing(self) -> bool:
        """Returns whether connections close after their next response."""


class Connection(Protocol):
    """The connection on which a response is sent.

    Attributes:
        handler: Handles the requests of the connection.
    """

    handler: Handler

    def send(self, data: bytes) -> None:
        """Writes to the caller."""

    def on_response_sent(self, keep_alive: bool) -> None:
        """Called when the response has been sent.

        Args:
            keep_alive: Whether the connection may stay open.
        """

    def abort(self) -> None:
        """Resets the connection."""


class Responder:
    """Sends the response to one request.

    Args:
        connection: Connection of the caller.
        keep_alive: Whether the connection may stay open after the response.

    Attributes:
        started: Whether the head has been sent.
        ended: Whether the response is complete or aborted, or the caller has
            disconnected.
        on_disconnect: Called if the caller disconnects before the response is
            complete.
        on_flow_control: Called with False if the caller reads too slowly, and
            with True when it has caught up.
    """

    def __init__(self, connection: Connection, keep_alive: bool):
        self._connection = connection
        self._keep_alive = keep_alive
        self._chunked = False
        self.started = False
        self.ended = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_flow_control: Callable[[bool], None] | None = None

    def start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Sends the head.

        Args:
            status: HTTP status.
            headers: Headers, without those for framing.
            length: Bytes of the body, None for chunked encoding.
        """
        self.started = True
        if self._connection.handler.closing():
            self._keep_alive = False
        lines = [b"HTTP/1.1 %d %s" % (status, _phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        if length is None:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if not self._keep_alive:
            lines.append(b"Connection: close")
        self._connection.send(b"\r\n".join(lines) + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if data and not self.ended:
            if self._chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            self._connection.send(data)

    def finish(self) -> None:
        """Ends the response as complete."""
        if self.ended:
            return
        self.ended = True
        if self._chunked:
            self._connection.send(_CHUNK_END)
        self._connection.on_response_sent(self._keep_alive)

    def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a complete response."""
        self.start(status, headers, len(body))
        self.write(body)
        self.finish()

    def close_after_response(self) -> None:
        """Closes the connection after this response."""
        self._keep_alive = False

    def abort(self) -> None:
        """Resets the connection, so that the response is seen as truncated."""
        if not self.ended:
            self.ended = True
            self._connection.abort()


def _phrase(status: int) -> bytes:
    return _PHRASES.get(status, "Unknown").encode()

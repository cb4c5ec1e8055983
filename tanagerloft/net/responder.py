"""A caller's request, and the way back for its answer."""

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
        target: Path and query, byte for byte.
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
    """The request path, as a connection sees it."""

    def handle(self, request: Request, responder: Responder) -> None:
        """Takes a request; answers through ``responder``."""

    def refuse_unreadable(self, responder: Responder, status: int) -> None:
        """Answers a request that could not be read."""

    def limits(self) -> types.CallerLimits:
        """Returns the bounds in force."""

    def now_ms(self) -> int:
        """Returns the reading of the clock."""

    def closing(self) -> bool:
        """Returns whether connections are to end with their answer."""


class Connection(Protocol):
    """The connection that an answer goes out on."""

    handler: Handler

    def send(self, data: bytes) -> None:
        """Writes to the caller."""

    def on_response_sent(self, keep_alive: bool) -> None:
        """Told that the answer is out."""

    def abort(self) -> None:
        """Resets the connection."""


class Responder:
    """Way back to the caller of one request."""

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
        """Sends the head; without a length the body goes in chunks."""
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
        """Ends the answer as a whole one."""
        if self.ended:
            return
        self.ended = True
        if self._chunked:
            self._connection.send(_CHUNK_END)
        self._connection.on_response_sent(self._keep_alive)

    def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a whole answer at once."""
        self.start(status, headers, len(body))
        self.write(body)
        self.finish()

    def close_after_response(self) -> None:
        """Closes the connection after this answer."""
        self._keep_alive = False

    def abort(self) -> None:
        """Ends the connection, so that the answer is visibly cut."""
        if not self.ended:
            self.ended = True
            self._connection.abort()


def _phrase(status: int) -> bytes:
    return _PHRASES.get(status, "Unknown").encode()

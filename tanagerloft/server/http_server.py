"""HTTP server: cheroot with bounded threads and access to the connection."""

from collections.abc import Callable
import contextlib
import select
import socket
import threading
from typing import NamedTuple

import cheroot.server
import cheroot.wsgi

from tanagerloft.net import errors

CONNECTION_KEY = "tanagerloft.connection"
_BACKLOG = 512
_KEEP_ALIVE_CONNECTIONS = 4_096


class Connection:
    """The caller's connection, for the application."""

    def __init__(self, request: cheroot.server.HTTPRequest):
        self._request = request

    def close_after_answer(self) -> None:
        """Closes the connection after the answer, and tells the caller so."""
        self._request.close_connection = True

    def abort(self) -> None:
        """Ends the connection at once; the rest of the answer is lost."""
        self._request.close_connection = True
        with contextlib.suppress(OSError):
            self._request.conn.socket.shutdown(socket.SHUT_RDWR)

    def is_closed(self) -> bool:
        """Returns whether the caller has closed it."""
        return _is_closed(self._request.conn.socket)


class EarlyAnswer(NamedTuple):
    """Answer to what is refused before it reaches the application.

    Attributes:
        content_type: Type of the body.
        body: The body.
    """

    content_type: str
    body: bytes


EarlyRefusal = Callable[[int], EarlyAnswer]


def _make_connection_class(refuse: EarlyRefusal) -> type:
    """Returns a connection class whose own refusals come from ``refuse``."""

    class Request(cheroot.server.HTTPRequest):
        """Request that is refused in the form of the application."""

        def simple_response(self, status: str | int, _msg: str = "") -> None:
            """Answers a request that the server refuses by itself."""
            answer = refuse(int(str(status)[:3]))
            self.close_connection = True
            head = (
                f"HTTP/1.1 {status}\r\n"
                f"Content-Type: {answer.content_type}\r\n"
                f"Content-Length: {len(answer.body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            with contextlib.suppress(OSError):
                self.conn.wfile.write(head.encode("latin-1") + answer.body)

    class RefusingConnection(cheroot.server.HTTPConnection):
        """Connection that reads such requests."""

        RequestHandlerClass = Request

    return RefusingConnection


class _Gateway(cheroot.wsgi.Gateway_10):
    """Gateway that passes the caller's connection to the application."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = Connection(self.req)
        return environ


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
        host: Address to listen on.
        port: Port, 0 to let the system choose.
        application: WSGI application.
        threads: Worker threads.
        max_header_bytes: Bound on request headers.
        read_timeout_ms: Bound on silence while a request is read.
        refuse: Makes the answer to a request that cannot be read, from the
            status; without it cheroot's own.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Callable,
        threads: int = 8,
        max_header_bytes: int = 16_384,
        read_timeout_ms: int = 5_000,
        refuse: EarlyRefusal | None = None,
    ):
        self._server = cheroot.wsgi.Server(
            (host, port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        if refuse is not None:
            connection_class = _make_connection_class(refuse)
            self._server.ConnectionClass = connection_class
        self._server.timeout = read_timeout_ms / 1_000
        self._server.keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS
        self._server.max_request_header_size = max_header_bytes
        self._thread = threading.Thread(
            target=self._serve, name="http", daemon=True
        )

    def start(self) -> int:
        """Binds and serves; returns the port.

        Raises:
            errors.ListenError: The address is in use.
        """
        try:
            self._server.prepare()
        except OSError as error:
            host, port = self._server.bind_addr
            address = f"{host}:{port}"
            raise errors.ListenError(address, str(error)) from error
        self._thread.start()
        return self._server.bind_addr[1]

    def stop(self) -> None:
        """Stops at once."""
        self._server.stop()
        self._thread.join()

    def _serve(self) -> None:
        self._server.serve()


def _is_closed(connection: socket.socket) -> bool:
    """Returns whether the other side has closed a connection."""
    try:
        poller = select.poll()
        poller.register(connection, select.POLLIN | select.POLLHUP)
        if not poller.poll(0):
            return False
        peeked = connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
    return not peeked

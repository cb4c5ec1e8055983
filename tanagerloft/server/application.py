"""WSGI application of an instance: callers' requests and operators' paths."""

from collections.abc import Callable
from collections.abc import Iterable
import http
import logging
import threading

from werkzeug import datastructures

from tanagerloft.decisions import intents
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors
from tanagerloft.server import http_server
from tanagerloft.server import problems
from tanagerloft.server import request_body
from tanagerloft.server import services as services_lib
from tanagerloft.util import ids

logger = logging.getLogger(__name__)

# What the server refuses by itself, by its status.
_UNREAD = {
    408: errors.SLOW_SENDER,
    413: errors.HEADERS_TOO_LARGE,
    414: errors.HEADERS_TOO_LARGE,
    431: errors.HEADERS_TOO_LARGE,
    500: errors.INTERNAL,
}
_TEXT = [("Content-Type", "text/plain; charset=utf-8")]


class _Connection:
    """Way back to the caller over WSGI; a ``context.Responder``."""

    def __init__(self, environ: dict, start_response: Callable, stopping: bool):
        self._connection = environ[http_server.CONNECTION_KEY]
        self._start_response = start_response
        self._write: Callable | None = None
        self._gone = False
        if stopping:
            self.close_after_answer()

    def close_after_answer(self) -> None:
        self._connection.close_after_answer()

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._write = self._start_response(_status_line(status), headers)

    def write(self, data: bytes) -> bool:
        if self._gone or self._write is None:
            return False
        try:
            if data:
                self._write(data)
        except OSError:
            self._gone = True
        return not self._gone

    def is_gone(self) -> bool:
        if not self._gone:
            self._gone = self._connection.is_closed()
        return self._gone


class Application:
    """Entry point of all requests.

    Args:
        services: What filters and controllers share.
        filters: The request path.
        status: Returns the text of ``/status``.
    """

    def __init__(
        self,
        services: services_lib.Services,
        filters: list[context_lib.Filter],
        status: Callable[[], bytes],
    ):
        self._services = services
        self._filters = filters
        self._status = status
        self._lock = threading.Condition()
        self._in_flight = 0
        self._stopping = False
        self._refusing = False
        self._max_in_flight = services.settings.get("server", "max_in_flight")
        self._max_body_bytes = services.settings.get("server", "max_body_bytes")
        self._read_timeout_ms = services.settings.get(
            "server", "read_timeout_ms"
        )
        self._operator_paths = {
            "/livez": self._livez,
            "/readyz": self._readyz,
            "/metrics": self._metrics,
            "/status": self._status_page,
        }

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request (WSGI)."""
        operator_path = self._operator_paths.get(environ["PATH_INFO"])
        if operator_path is not None:
            return operator_path(start_response)
        connection = _Connection(environ, start_response, self._stopping)
        request_id = ids.new_id()
        refusal = self._enter()
        if refusal is not None:
            connection.close_after_answer()
            self._services.metrics.count_early_refusal(refusal)
            return _refuse(connection, refusal, request_id)
        try:
            return self._serve(environ, connection, request_id)
        finally:
            self._leave()

    def refuse_unread(self, status: int) -> http_server.EarlyAnswer:
        """Refuses a request that the server could not read."""
        refusal = _UNREAD.get(status, errors.MALFORMED_REQUEST)
        self._services.metrics.count_early_refusal(refusal)
        body = problems.body(refusal._replace(status=status), ids.new_id())
        return http_server.EarlyAnswer(problems.CONTENT_TYPE, body)

    def begin_stop(self) -> None:
        """Fails readiness and asks callers to close their connections."""
        self._stopping = True

    def finish_open(self, timeout_ms: int) -> bool:
        """Refuses new requests and waits until none is open.

        Returns:
            Whether that was reached in time.
        """
        with self._lock:
            self._refusing = True
            return self._lock.wait_for(
                lambda: self._in_flight == 0, timeout_ms / 1_000
            )

    @property
    def in_flight(self) -> int:
        """Number of open requests."""
        return self._in_flight

    @property
    def stopping(self) -> bool:
        """Whether a graceful stop has begun."""
        return self._stopping

    def _enter(self) -> errors.Refusal | None:
        with self._lock:
            if self._refusing:
                return errors.STOPPING
            if self._in_flight >= self._max_in_flight:
                return errors.OVERLOADED
            self._in_flight += 1
            return None

    def _leave(self) -> None:
        with self._lock:
            self._in_flight -= 1
            self._lock.notify_all()

    def _serve(
        self, environ: dict, connection: _Connection, request_id: str
    ) -> Iterable[bytes]:
        arrived_ms = self._services.clock.now_ms()
        body = request_body.read(
            environ,
            self._max_body_bytes,
            self._read_timeout_ms,
            self._services.clock,
        )
        if isinstance(body, errors.Refusal):
            # What is left of the body must not be taken for a request.
            connection.close_after_answer()
            self._services.metrics.count_early_refusal(body)
            return _refuse(connection, body, request_id)
        inventory = self._services.configuration.version.inventory
        context = context_lib.RequestContext(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=datastructures.EnvironHeaders(environ),
            body=body,
            arrived_ms=arrived_ms,
            responder=connection,
            inventory=inventory,
        )
        result = self._run(context)
        refusal = result if isinstance(result, errors.Refusal) else None
        self._services.metrics.count_end(context, refusal)
        return _finish(context, connection, result)

    def _run(self, context: context_lib.RequestContext) -> context_lib.Result:
        if self._services.configuration.version.number == 0:
            return errors.NOT_CONFIGURED
        try:
            return context_lib.run_chain(self._filters, context)
        except Exception:  # A fault in one request must not end the thread.
            logger.exception("request %s failed", context.request_id)
            return errors.INTERNAL
        finally:
            context.finish()

    def _livez(self, start_response: Callable) -> Iterable[bytes]:
        start_response("200 OK", _TEXT)
        return [b"live\n"]

    def _readyz(self, start_response: Callable) -> Iterable[bytes]:
        if self._stopping:
            start_response("503 Service Unavailable", _TEXT)
            return [b"stopping\n"]
        if not self._services.configuration.is_ready():
            start_response("503 Service Unavailable", _TEXT)
            return [b"no configuration confirmed\n"]
        if not self._services.limits.is_settled():
            start_response("503 Service Unavailable", _TEXT)
            return [b"holders of limits not known\n"]
        start_response("200 OK", _TEXT)
        return [b"ready\n"]

    def _metrics(self, start_response: Callable) -> Iterable[bytes]:
        content_type, data = self._services.metrics.render()
        start_response("200 OK", [("Content-Type", content_type)])
        return [data]

    def _status_page(self, start_response: Callable) -> Iterable[bytes]:
        start_response("200 OK", [("Content-Type", "application/json")])
        return [self._status()]


def _finish(
    context: context_lib.RequestContext,
    connection: _Connection,
    result: context_lib.Result,
) -> Iterable[bytes]:
    if isinstance(result, errors.Refusal):
        if not context.responded:
            return _refuse(connection, result, context.request_id)
        connection.write(problems.stream_event(result, context.request_id))
        return []
    if isinstance(result, context_lib.Answered) and result.replay is not None:
        return _replay(connection, result.replay, context.request_id)
    return []


def _replay(
    connection: _Connection, replay: intents.Replay, request_id: str
) -> Iterable[bytes]:
    data = replay.body.encode(intents.BODY_ENCODING)
    headers = [
        ("Content-Type", replay.content_type),
        ("Content-Length", str(len(data))),
        ("X-Request-Id", request_id),
        ("Idempotent-Replayed", "true"),
    ]
    connection.begin(replay.status, headers)
    return [data]


def _refuse(
    connection: _Connection, refusal: errors.Refusal, request_id: str
) -> Iterable[bytes]:
    data = problems.body(refusal, request_id)
    connection.begin(
        refusal.status, problems.headers(refusal, request_id, len(data))
    )
    return [data]


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"

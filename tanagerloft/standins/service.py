"""Stand-in for a plain service, such as payments or certificates.

Each POST counts as a run under its ``Idempotency-Key``. Faults: ``down``,
``slow_ms``, ``lost_answers`` (count of requests that run but are answered by
closing the connection), ``silent`` (count of requests that run and are never
answered).
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time

from werkzeug import wrappers

from tanagerloft import registry as registry_lib
from tanagerloft.server import http_server
from tanagerloft.standins import faults as faults_lib

_SILENCE_S = 3_600


def setup(registry: registry_lib.Registry) -> None:
    """Declares the stand-in."""
    registry.add("stand-in", "service", ServiceStandin)


class ServiceStandin:
    """WSGI application that stands in for a plain service."""

    def __init__(self):
        self.faults = faults_lib.Faults(
            ("down", "slow_ms", "lost_answers", "silent")
        )
        self._lock = threading.Lock()
        self._runs: dict[str, int] = {}

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request (WSGI)."""
        return faults_lib.answer(
            self.faults, self._respond, environ, start_response
        )

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        if request.path == "/counts":
            with self._lock:
                return faults_lib.json_response(self._runs)
        if self.faults.get("down"):
            response = faults_lib.json_response({"error": "down"}, 503)
            response.headers["X-Not-Run"] = "true"
            return response
        return self._run(request)

    def _run(self, request: wrappers.Request) -> wrappers.Response:
        key = request.headers.get("Idempotency-Key", "none")
        # A run counts from its start: its caller may be gone before its end.
        with self._lock:
            self._runs[key] = self._runs.get(key, 0) + 1
            count = sum(self._runs.values())
        time.sleep(self.faults.get("slow_ms") / 1_000)
        if self.faults.take("silent"):
            time.sleep(_SILENCE_S)
        if self.faults.take("lost_answers"):
            request.environ[http_server.CONNECTION_KEY].abort()
        response = faults_lib.json_response(
            {"path": request.path, "serial": count, "key": key}
        )
        response.headers["X-Request-Id"] = request.headers.get(
            "X-Request-Id", ""
        )
        return response

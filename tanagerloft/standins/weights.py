"""Stand-in for the weight store: slow, with few loads at full speed.

``POST /loads`` with ``{"mb": N, "kind": "model" | "adapter"}`` answers once the
load has ended. Beyond the bounds on rate and on loads at once, loads wait or
take proportionally longer. Fault: ``slowdown`` (factor on each duration).
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time

from werkzeug import wrappers

from tanagerloft import registry as registry_lib
from tanagerloft.standins import faults as faults_lib

_ADAPTER_MS = 40
_ADAPTERS_AT_FULL_SPEED = 30


def setup(registry: registry_lib.Registry) -> None:
    """Declares the stand-in."""
    registry.add("stand-in", "weights", WeightsStandin)


class WeightsStandin:
    """WSGI application that stands in for the weight store.

    Args:
        loads_per_s: Model loads that may begin in a second.
        at_once: Model loads at full speed at once.
        mb_per_s: Speed of one load.
    """

    def __init__(
        self, loads_per_s: int = 4, at_once: int = 4, mb_per_s: int = 2_000
    ):
        self.faults = faults_lib.Faults(("slowdown",))
        self._interval_s = 1 / loads_per_s
        self._at_once = at_once
        self._mb_per_s = mb_per_s
        self._lock = threading.Lock()
        self._next_start_s = 0.0
        self._models = 0
        self._adapters = 0

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request (WSGI)."""
        return faults_lib.answer(
            self.faults, self._respond, environ, start_response
        )

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        body = request.get_json(force=True)
        self.load(body["mb"], body["kind"])
        return faults_lib.json_response({})

    def load(self, mb: int, kind: str) -> None:
        """Takes as long as a load of ``mb`` megabytes."""
        slowdown = max(1, self.faults.get("slowdown"))
        if kind == "adapter":
            self._load_adapter(slowdown)
        else:
            self._load_model(mb, slowdown)

    def _load_adapter(self, slowdown: float) -> None:
        with self._lock:
            self._adapters += 1
            crowd = max(1, self._adapters / _ADAPTERS_AT_FULL_SPEED)
        time.sleep(_ADAPTER_MS * crowd * slowdown / 1_000)
        with self._lock:
            self._adapters -= 1

    def _load_model(self, mb: int, slowdown: float) -> None:
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._next_start_s)
            self._next_start_s = start_s + self._interval_s * slowdown
            self._models += 1
            crowd = max(1, self._models / self._at_once)
        duration_s = mb / self._mb_per_s * crowd * slowdown
        time.sleep(start_s - now_s + duration_s)
        with self._lock:
            self._models -= 1

"""Stand-in for a model engine.

Serves OpenAI-style completions, obeys load and unload orders and reports its
load with a lag. Faults: ``down``, ``slow_ms`` (delay before an answer), ``cut``
(count of streams to cut half-way), ``silent`` (count of answers that never
come), ``order_lost`` (count of orders that are obeyed but answered with an
error), ``leaving``. A request whose body contains the crash mark ends the
process, or in a shared process makes the stand-in restart empty.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import json
import threading
import time
from typing import Any

from werkzeug import wrappers

from tanagerloft import registry as registry_lib
from tanagerloft.server import http_server
from tanagerloft.standins import completions
from tanagerloft.standins import faults as faults_lib
from tanagerloft.util import ids

CRASH_MARK = b"crash-the-target"
_FAULTS = ("down", "slow_ms", "cut", "silent", "order_lost", "leaving")
_SILENCE_S = 3_600
_ORDER_PREFIX = "/v2/repository/models/"
_DEFAULT_TOKENS = 256
_MS_PER_S = 1_000

Load = Callable[[int, str], None]


def setup(registry: registry_lib.Registry) -> None:
    """Declares the stand-in."""
    registry.add("stand-in", "engine", EngineStandin)


class _Item:
    """A model or adapter in memory."""

    def __init__(self, mb: int, token: int):
        self.state = "loading"
        self.mb = mb
        self.token = token
        self.active = 0
        self.used_at_s = time.monotonic()


class EngineStandin:
    """WSGI application that stands in for a model engine.

    Args:
        memory_mb: Memory for models.
        sizes_mb: Size and load peak of each model and adapter.
        load: Function that takes as long as a load.
        checks_fencing: Whether to refuse old fencing tokens.
        token_ms: Time between generated tokens.
        report_lag_ms: Age of load reports.
        crash: Called on a request with the crash mark.
    """

    def __init__(
        self,
        memory_mb: int,
        sizes_mb: dict[str, tuple[int, int]],
        load: Load,
        checks_fencing: bool = True,
        token_ms: int = 10,
        report_lag_ms: int = 100,
        crash: Callable[[], None] | None = None,
    ):
        self.faults = faults_lib.Faults(_FAULTS)
        self._memory_mb = memory_mb
        self._sizes_mb = sizes_mb
        self._load = load
        self._checks_fencing = checks_fencing
        self._token_ms = token_ms
        self._report_lag_s = report_lag_ms / _MS_PER_S
        self._crash = crash or self._restart
        self._lock = threading.Lock()
        self._violations: list[str] = []
        self._loads: dict[str, int] = {}
        self._seen_keys = 0
        self._restart()

    def _restart(self) -> None:
        with self._lock:
            self._incarnation = ids.new_id()
            self._items: dict[str, _Item] = {}
            self._tokens: dict[str, int] = {}
            self._report_at_s = 0.0
            self._report: dict[str, Any] = {}

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request (WSGI)."""
        return faults_lib.answer(
            self.faults, self._respond, environ, start_response
        )

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        if request.path == "/counts":
            return faults_lib.json_response(self._counts())
        if self.faults.get("down"):
            return faults_lib.json_response({"error": "down"}, 503)
        if request.path == "/load_report":
            return faults_lib.json_response(self._lagged_report())
        if request.path.startswith(_ORDER_PREFIX):
            return self._order(request)
        if request.path in ("/v1/completions", "/v1/chat/completions"):
            return self._complete(request)
        return faults_lib.json_response({"error": "unknown path"}, 404)

    def _counts(self) -> dict[str, Any]:
        with self._lock:
            return {
                "loads": self._loads,
                "violations": self._violations,
                "used_mb": self._used_mb(),
                "requests_with_key": self._seen_keys,
                "items": {n: i.state for n, i in self._items.items()},
            }

    def _used_mb(self) -> int:
        return sum(item.mb for item in self._items.values())

    def _lagged_report(self) -> dict[str, Any]:
        with self._lock:
            now_s = time.monotonic()
            if now_s - self._report_at_s >= self._report_lag_s:
                self._report_at_s = now_s
                self._report = self._make_report(now_s)
            return self._report

    def _make_report(self, now_s: float) -> dict[str, Any]:
        items = {
            name: {
                "state": item.state,
                "idle_ms": (
                    0
                    if item.active
                    else int((now_s - item.used_at_s) * _MS_PER_S)
                ),
            }
            for name, item in self._items.items()
        }
        return {
            "incarnation": self._incarnation,
            "items": items,
            "tokens": dict(self._tokens),
            "active": sum(item.active for item in self._items.values()),
            "memory_mb": self._memory_mb,
            "used_mb": self._used_mb(),
            "leaving": bool(self.faults.get("leaving")),
        }

    def _order(self, request: wrappers.Request) -> wrappers.Response:
        name, _, verb = request.path.removeprefix(_ORDER_PREFIX).rpartition("/")
        parameters = request.get_json(force=True)["parameters"]
        with self._lock:
            refusal = self._refuse_order(name, parameters)
            if refusal is None and verb == "load":
                refusal = self._begin_load(name, parameters)
            elif refusal is None:
                refusal = self._begin_unload(name, parameters)
        if refusal is not None:
            return refusal
        if self.faults.take("order_lost"):
            return faults_lib.json_response({"error": "lost"}, 500)
        return faults_lib.json_response({})

    def _refuse_order(
        self, name: str, parameters: dict[str, Any]
    ) -> wrappers.Response | None:
        if name not in self._sizes_mb:
            return faults_lib.json_response({"error": "no such item"}, 404)
        if not self._checks_fencing:
            return None
        stale = parameters["fencing_token"] < self._tokens.get(name, 0)
        if stale or parameters["incarnation"] != self._incarnation:
            return faults_lib.json_response({"error": "stale order"}, 409)
        return None

    def _begin_load(
        self, name: str, parameters: dict[str, Any]
    ) -> wrappers.Response | None:
        token = parameters["fencing_token"]
        self._tokens[name] = max(token, self._tokens.get(name, 0))
        if name in self._items:
            return None
        size_mb, peak_mb = self._sizes_mb[name]
        if self._used_mb() + peak_mb > self._memory_mb:
            self._violations.append(f"memory overcommitted by {name}")
            return faults_lib.json_response({"error": "out of memory"}, 507)
        parent = parameters.get("parent", "")
        if parent and parent not in self._items:
            return faults_lib.json_response({"error": "no parent"}, 412)
        item = _Item(peak_mb, token)
        self._items[name] = item
        self._loads[name] = self._loads.get(name, 0) + 1
        kind = "adapter" if parent else "model"
        threading.Thread(
            target=self._run_load, args=(name, item, size_mb, kind), daemon=True
        ).start()
        return None

    def _run_load(
        self, name: str, item: _Item, size_mb: int, kind: str
    ) -> None:
        self._load(size_mb, kind)
        with self._lock:
            if self._items.get(name) is item:
                item.state = "ready"
                item.mb = size_mb
                item.used_at_s = time.monotonic()

    def _begin_unload(
        self, name: str, parameters: dict[str, Any]
    ) -> wrappers.Response | None:
        token = parameters["fencing_token"]
        self._tokens[name] = max(token, self._tokens.get(name, 0))
        item = self._items.get(name)
        if item is None:
            return None
        item.state = "unloading"
        if item.active == 0:
            del self._items[name]
        return None

    def _complete(self, request: wrappers.Request) -> wrappers.Response:
        body = request.get_data()
        if request.headers.get("Authorization") or b"Bearer" in body:
            self._seen_keys += 1
        if CRASH_MARK in body:
            self._crash()
        payload = json.loads(body)
        item = self._enter(payload["model"])
        if item is None:
            response = faults_lib.json_response({"error": "not loaded"}, 404)
            response.headers["X-Not-Run"] = "true"
            return response
        if self.faults.take("silent"):
            time.sleep(_SILENCE_S)
        time.sleep(self.faults.get("slow_ms") / _MS_PER_S)
        request_id = request.headers.get("X-Request-Id", "")
        count = payload.get("max_tokens", _DEFAULT_TOKENS)
        chat = request.path.startswith("/v1/chat/")
        if payload.get("stream"):
            connection = request.environ[http_server.CONNECTION_KEY]
            events = self._stream(payload, connection, count, chat)
            response = wrappers.Response(events, mimetype="text/event-stream")
            response.call_on_close(lambda: self._leave(payload["model"], item))
        else:
            response = self._answer_whole(payload, item, count, chat)
        response.headers["X-Request-Id"] = request_id
        return response

    def _enter(self, name: str) -> _Item | None:
        with self._lock:
            item = self._items.get(name)
            if item is None or item.state != "ready":
                return None
            item.active += 1
            return item

    def _leave(self, name: str, item: _Item) -> None:
        with self._lock:
            item.active -= 1
            item.used_at_s = time.monotonic()
            if item.state == "unloading" and item.active == 0:
                self._items.pop(name, None)

    def _answer_whole(
        self, payload: dict[str, Any], item: _Item, count: int, chat: bool
    ) -> wrappers.Response:
        time.sleep(count * self._token_ms / _MS_PER_S)
        self._leave(payload["model"], item)
        return faults_lib.json_response(completions.whole(payload, count, chat))

    def _stream(
        self,
        payload: dict[str, Any],
        connection: http_server.Connection,
        count: int,
        chat: bool,
    ) -> Iterator[bytes]:
        cut = self.faults.take("cut")
        for index in range(count):
            if cut and index * 2 >= count:
                connection.abort()
                return
            time.sleep(self._token_ms / _MS_PER_S)
            yield completions.event(payload, index, chat)
        yield completions.last_events(payload, count)

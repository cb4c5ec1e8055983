"""Stand-ins of servers: model engines and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import json
import time
from typing import Any
from typing import NamedTuple

from standins import http
from standins import store as store_lib

HEARTBEAT_S = 1.2


class Order(NamedTuple):
    """An order that an engine has received.

    Attributes:
        at_s: When it arrived.
        holder: Who sent it.
        token: Its fencing token.
        status: Answer of the engine.
        what: Operation, model and adapter.
    """

    at_s: float
    holder: str
    token: int
    status: int
    what: str


class Server:
    """A plain server; it registers itself in the store.

    Args:
        store: The store.
        server_id: Its id.
        service: Its service.
        log: Called with each line of the record.

    Attributes:
        port: Port that it listens on.
        runs: Ids of the requests that it has run, in order.
        work_s: Time that a request takes.
    """

    def __init__(
        self,
        store: store_lib.Store,
        server_id: str,
        service: str,
        log: Callable[[str], None],
    ):
        self._store = store
        self.server_id = server_id
        self.service = service
        self.log = log
        self.port = 0
        self.runs: list[str] = []
        self.work_s = 0.05
        self.state = "ready"
        self._born = int(time.time() * 1_000)
        self._beats = 0

    def entry(self) -> dict[str, Any]:
        """Returns what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._beats,
            "born": self._born,
        }

    async def run(self) -> None:
        """Listens, and writes to the store about every heartbeat."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        while True:
            self._beats += 1
            self._store.put("servers", self.server_id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, OSError),
        ):
            while True:
                message = await http.read(reader)
                expected = message.headers.get("expect-instance")
                if expected not in (None, self.server_id):
                    writer.write(self._not_run(message, 421))
                    continue
                await self.answer(message, writer)

    def _not_run(self, message: http.Message, status: int) -> bytes:
        headers = {"Not-Executed": "1"}
        if "attempt-id" in message.headers:
            headers["Attempt-Id"] = message.headers["attempt-id"]
        return http.response(status, headers, b"")

    async def answer(self, message: http.Message, writer) -> None:
        """Runs a request."""
        request_id = message.headers["attempt-id"]
        self.runs.append(request_id)
        self.log(f"run {request_id} at {self.server_id}")
        await asyncio.sleep(self.work_s)
        headers = {"Attempt-Id": request_id, "Response-Seal": f"s.{request_id}"}
        writer.write(http.response(200, headers, b"x" * 800))


class Engine(Server):
    """A model server that loads and unloads models and their adapters.

    Args:
        store: The store.
        server_id: Its id.
        service: Its service.
        log: Called with each line of the record.
        model: The model that it holds from the start.
        adapter_slots: Adapters that it can hold.
        load_s: Time that a load from the weight store takes.

    Attributes:
        orders: Orders that it has received.
    """

    def __init__(
        self,
        store: store_lib.Store,
        server_id: str,
        service: str,
        log: Callable[[str], None],
        model: str,
        adapter_slots: int,
        load_s: float,
    ):
        super().__init__(store, server_id, service, log)
        self._models: dict[str, list[str]] = {model: []}
        self._adapter_slots = adapter_slots
        self._load_s = load_s
        self._copies = [model]
        self._running: dict[str, int] = {}
        self._loading: asyncio.Task | None = None
        self._unloads: set[asyncio.Task] = set()
        self._sequence = 0
        self.orders: list[Order] = []

    def entry(self) -> dict[str, Any]:
        """Returns what the engine says of itself in the store."""
        more = {"stage": "unified", "models": self._listed(), **self._hand()}
        return super().entry() | more

    def _listed(self) -> list[dict[str, Any]]:
        return [
            {
                "name": model,
                "version": 1,
                "adapters": [f"{model}/{name}@1" for name in adapters],
            }
            for model, adapters in self._models.items()
        ]

    def _hand(self) -> dict[str, Any]:
        copies = list(self._copies)
        return {"at_hand": {"in_memory": copies[-2:], "on_disk": copies}}

    @property
    def _busy(self) -> bool:
        return self._loading is not None and not self._loading.done()

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "unified",
            "models": self._listed(),
            "busy": self._busy,
            "sequence": self._sequence,
            "waiting": 0,
            "running": sum(self._running.values()),
            "kv_used": 0,
            "kv_total": 130_000,
            "handles": 0,
            "coming": [],
            **self._hand(),
        }

    async def answer(self, message: http.Message, writer) -> None:
        """Answers a request, an order or a question for its state."""
        path = message.first[1]
        if path == "/tanagerloft/report":
            writer.write(http.json_response(200, self._report()))
        elif path == "/tanagerloft/order":
            self._take_order(json.loads(message.body), writer)
        else:
            await self._serve_request(message, writer)

    def _take_order(self, body: dict[str, Any], writer) -> None:
        at_s = time.monotonic()
        status = self._carry_out(body)
        what = f"{body['operation']} {body['model']}/{body.get('adapter', '')}"
        order = Order(at_s, body["holder"], body["fencing_token"], status, what)
        self.orders.append(order)
        self.log(
            f"order {what} at {self.server_id} from {order.holder}"
            f" token {order.token} answered {status}"
        )
        writer.write(http.json_response(status, {}))

    def _carry_out(self, body: dict[str, Any]) -> int:
        if body.get("expected", self._sequence) != self._sequence:
            return 409
        if self._unloads:
            # An unload waits for its runs: another order is in progress.
            return 409
        if body.get("adapter"):
            status = self._change_adapter(body)
        else:
            status = self._change_model(body)
        if status == 202 or (status == 200 and body["operation"] == "unload"):
            self._sequence += 1
        return status

    def _change_adapter(self, body: dict[str, Any]) -> int:
        adapter, held = body["adapter"], self._models.get(body["model"])
        if held is None:
            return 400
        if body["operation"] == "load":
            if adapter in held:
                return 200
            if sum(map(len, self._models.values())) >= self._adapter_slots:
                raise RuntimeError("ordered to load more than it holds")
            held.append(adapter)
            return 202
        name = f"{body['model']}/{adapter}"
        if self._running.get(name):
            self._keep(self._unload_adapter(name, held, adapter))
            return 202
        if adapter in held:
            held.remove(adapter)
        return 200

    def _change_model(self, body: dict[str, Any]) -> int:
        model = body["model"]
        if self._busy:
            return 409
        if body["operation"] == "load":
            if model in self._models:
                return 200
            self._loading = asyncio.create_task(self._load(model))
            return 202
        self._loading = asyncio.create_task(self._unload(model))
        return 202

    def _keep(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._unloads.add(task)
        task.add_done_callback(self._unloads.discard)

    async def _unload_adapter(
        self, name: str, held: list[str], adapter: str
    ) -> None:
        """Unloads an adapter after its runs."""
        while self._running.get(name):
            await asyncio.sleep(0.005)
        if adapter in held:
            held.remove(adapter)

    async def _unload(self, model: str) -> None:
        """Unloads a model after its runs."""
        while any(
            count and name.partition("/")[0] == model
            for name, count in self._running.items()
        ):
            await asyncio.sleep(0.005)
        self._models.pop(model, None)

    async def _load(self, model: str) -> None:
        await asyncio.sleep(0.5 if model in self._copies else self._load_s)
        self._models[model] = []
        if model not in self._copies:
            self._copies.append(model)
        self.log(f"{self.server_id} holds {model}")

    async def _serve_request(self, message: http.Message, writer) -> None:
        name = message.headers["model"]
        model, _, adapter = name.partition("/")
        held = self._models.get(model)
        if held is None or (adapter and adapter not in held):
            writer.write(self._not_run(message, 421))
            return
        self._running[name] = self._running.get(name, 0) + 1
        try:
            await super().answer(message, writer)
        finally:
            self._running[name] -= 1

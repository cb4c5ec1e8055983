"""A small deployment: engines with one model, plain servers, instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib
import random
from typing import Any

from standins import callers
from standins import gateways
from standins import servers
from standins import store as store_lib

MODEL = "m1"
LOAD_S = 6.0
_DISK_MB = 1_300_000
_ADAPTERS = 30
_ADAPTER_SLOTS = 8
_ENGINES = 2
_PLAIN = 10
_CLIENTS = 8


def _route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": callers.HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 15_000,
        "target_latency_ms": 1_500,
        "max_attempts": 2,
        "priority": 1,
        **more,
    }


def configuration(
    version: int = 1, models: tuple[str, ...] = (MODEL,)
) -> dict[str, Any]:
    """Returns the operator's configuration.

    Args:
        version: Its version.
        models: Models of the engines.
    """
    declared = [
        {
            "name": name,
            "weights_mb": 70_000,
            "load_s": LOAD_S,
            "warm_s": 0.5,
            "disk_s": 0.5,
            "adapters": _ADAPTERS,
            "adapter_mb": 12,
        }
        for name in models
    ]
    engine = {
        "slots": 64,
        "weights_mb": 230_000,
        "adapter_slots": _ADAPTER_SLOTS,
        "disk_mb": _DISK_MB,
        "loads_per_s": 4,
        "models": declared,
    }
    return {
        "version": version,
        "routes": [
            _route("ask", "idempotent", "engines"),
            _route("look", "idempotent", "plain", timeout_ms=4_000),
            _route(
                "pay",
                "non_idempotent",
                "plain",
                timeout_ms=4_000,
                max_attempts=1,
            ),
        ],
        "services": [
            {"name": "engines", "max_conns": 370, "engine": engine},
            {"name": "plain", "max_conns": 110},
        ],
        "limits": {
            "header_bytes": 16_384,
            "body_bytes": 4_194_304,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 10_000,
        },
        "tenants": [{"name": "acc", "api_keys": [callers.KEY]}],
    }


class Deployment:
    """The store, the servers and the instances.

    Args:
        folder: Temporary folder.
        instances: Number of instances.
        log: Called with each line of the record.
        models: Models of the engines.

    Attributes:
        store: The store.
        engines: The engines.
        plain: The plain servers.
        fleet: The instances.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int,
        log: Callable[[str], None],
        models: tuple[str, ...] = (MODEL,),
    ):
        self._models = models
        self._folder = folder
        self._instances = instances
        self._log = log
        self._tasks: list[asyncio.Task] = []
        self.store = store_lib.Store()
        self.engines = [
            servers.Engine(
                self.store,
                f"i-e{n}",
                "engines",
                log,
                MODEL,
                _ADAPTER_SLOTS,
                LOAD_S,
            )
            for n in range(_ENGINES)
        ]
        self.plain = [
            servers.Server(self.store, f"i-p{n}", "plain", log)
            for n in range(_PLAIN)
        ]
        self.fleet: list[gateways.Gateway] = []

    async def start(self) -> None:
        """Starts all, and waits until the instances are ready."""
        await self.store.listen()
        self.store.put("op", "config", configuration(models=self._models))
        for server in (*self.engines, *self.plain):
            self.run(server.run())
        await asyncio.sleep(0.2)
        self.fleet = [
            gateways.Gateway(f"front-{n}", self._folder, self.store.port)
            for n in range(1, self._instances + 1)
        ]
        await asyncio.gather(*(gateway.start() for gateway in self.fleet))

    def run(self, coroutine) -> None:
        """Runs a coroutine until the end of the case."""
        self._tasks.append(asyncio.create_task(coroutine))

    def run_clients(self) -> None:
        """Runs clients that ask for adapters in no order."""
        rng = random.Random(1)
        for _ in range(_CLIENTS):
            self.run(self._ask(rng))

    async def _ask(self, rng: random.Random) -> None:
        while True:
            adapter = f"a{rng.randint(1, _ADAPTERS)}"
            await callers.call(
                rng.choice(self.fleet),
                "/ask/1",
                self._log,
                4_000,
                model=f"{MODEL}/{adapter}",
                token_counts="100,20",
                prompt_prefix=f"{rng.getrandbits(32):08x}:100",
            )
            await asyncio.sleep(rng.uniform(0.05, 0.15))

    async def ask(self, model: str, deadline_ms: int) -> callers.Answer:
        """Asks for a model at any instance."""
        return await callers.call(
            self.fleet[0],
            "/ask/1",
            self._log,
            deadline_ms,
            model=model,
            token_counts="100,20",
            prompt_prefix=f"{random.getrandbits(32):08x}:100",
        )

    async def stop(self) -> None:
        """Ends all processes and tasks of the case."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(gateway.kill() for gateway in self.fleet))

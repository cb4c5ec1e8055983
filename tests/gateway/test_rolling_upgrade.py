"""The lease passes between processes of two builds while requests flow.

Guards against a rename of a field that is stored or sent: the lease row, the
reports of instances and the views of the lease holder pass between releases.

The environment variable TANAGERLOFT_OTHER_BUILD may name a checkout of another
build, which the processes ``old-*`` then run. Without it all run this build.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import signal
import sys

from tests.support import users_platform as platform_lib

_HOST = "127.0.0.1"
_THIS_BUILD = str(pathlib.Path(__file__).parents[2])
_OTHER_BUILD = os.environ.get("TANAGERLOFT_OTHER_BUILD", _THIS_BUILD)
_PORT_NAMES = ("callers", "ready", "metrics", "peers")
# Only ends a test that hangs.
_TIMEOUT_S = 120.0
# Responses after which an instance holds grants of tokens and permits.
_SETTLED_RESPONSES = 60
_NO_RESPONSE = b"HTTP/1.1 0 none"


class _Process:
    """An instance as a process of its own.

    Args:
        name: Name of the instance.
        build: Folder of the checkout that it runs.
        store_port: Port of the store.
        folder: Folder of its settings and its log.
    """

    def __init__(
        self, name: str, build: str, store_port: int, folder: pathlib.Path
    ):
        self.name = name
        self._build = build
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.ini"
        self._ports = {port: platform_lib.free_port() for port in _PORT_NAMES}
        lines = ["[instance]", f"id = {name}", "data_centre = dc", "[listen]"]
        lines += [
            f"{key} = {_HOST}:{port}" for key, port in self._ports.items()
        ]
        lines += ["[store]", f"address = {_HOST}:{store_port}"]
        self._settings.write_text("\n".join(lines))

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        with open(self._log, "wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tanagerloft", "gateway"),
                str(self._settings),
                cwd=self._build,
                env={**os.environ, "PYTHONPATH": self._build},
                stdout=log,
                stderr=log,
            )

        async def is_ready() -> bool:
            data = await self.call("GET", "/tanagerloft/ready", "ready")
            return platform_lib.status(data) == 200

        await _eventually(is_ready)

    async def holds_lease(self) -> bool:
        """Returns whether its metrics say that it gives orders."""
        data = await self.call("GET", "/metrics", "metrics")
        return b"tanagerloft_holds_lease 1.0" in data

    async def call(self, method, path, port="callers", **headers) -> bytes:
        """Sends a request; returns all bytes received."""
        data = b""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                _HOST, self._ports[port]
            )
            try:
                writer.write(
                    platform_lib.request_bytes(method, path, **headers)
                )
                async with asyncio.timeout(_TIMEOUT_S):
                    data = await reader.read(-1)
            finally:
                writer.close()
        return data or _NO_RESPONSE

    async def end(self, number: signal.Signals) -> None:
        """Ends the process by a signal and waits until it is gone."""
        if self._process.returncode is None:
            self._process.send_signal(number)
            await self._process.wait()

    def log_levels(self) -> set[str]:
        """Returns the levels of its log lines."""
        lines = self._log.read_text().splitlines()
        return {json.loads(line)["level"] for line in lines}


class _Callers:
    """Callers that send requests to each process in ``receivers`` in turn."""

    def __init__(self):
        self.receivers: list[_Process] = []
        self.failed: list[tuple[str, str, bytes]] = []
        self.refused = 0
        self._completed: collections.Counter[str] = collections.Counter()
        self._sent = 0

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            for process in list(self.receivers):
                await self._send(process, "/safe/x")
                await self._send(process, "/stream/x", Model="m1")
                await self._send(process, "/free/x", Authorization=None)
            await asyncio.sleep(0.02)

    async def _send(self, process: _Process, path: str, **headers) -> None:
        self._sent += 1
        headers["Attempt-Id"] = f"a-{self._sent}"
        data = await process.call("POST", path, **headers)
        status = platform_lib.status(data)
        end = b"ok" if path != "/stream/x" else b"data: t2\n\n\r\n0\r\n\r\n"
        if status == 200 and data.endswith(end):
            self._completed[process.name] += 1
        elif status == 503:
            # A refusal says that the request has not run.
            self.refused += 1
        else:
            self.failed.append((process.name, path, data))

    async def wait_until_settled(self, processes: list[_Process]) -> None:
        """Waits for more successful responses of each process."""
        before = self._completed.copy()

        async def settled() -> bool:
            return all(
                self._completed[process.name] - before[process.name]
                >= _SETTLED_RESPONSES
                for process in processes
            )

        await _eventually(settled)


async def _eventually(check: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0.05)


async def _wait_for_holder(processes: list[_Process]) -> None:
    async def is_held() -> bool:
        return any([await process.holds_lease() for process in processes])

    await _eventually(is_held)


async def _end_holder_last(
    processes: list[_Process], number: signal.Signals
) -> None:
    holds = [await process.holds_lease() for process in processes]
    for index in sorted(range(len(processes)), key=holds.__getitem__):
        await processes[index].end(number)


async def _respond_stream(request, writer) -> None:
    writer.write(platform_lib.stream_head(request))
    for number in range(3):
        writer.write(platform_lib.chunk(platform_lib.event(number)))
    writer.write(platform_lib.chunk(b""))


async def _respond_with_limit(request, writer) -> None:
    writer.write(platform_lib.response(request, Server_Limit="500"))


def _entry(service: str, port: int, **more) -> dict:
    return {
        "service": service,
        "address": f"{_HOST}:{port}",
        "zone": "dc",
        "state": "ready",
        "born": 1,
        **more,
    }


async def _start_platform(stack: contextlib.AsyncExitStack) -> int:
    """Starts a store with a configuration and targets; returns its port."""

    async def listen(serve) -> int:
        async def serve_and_close(reader, writer) -> None:
            try:
                await serve(reader, writer)
            finally:
                writer.close()

        server = await asyncio.start_server(serve_and_close, _HOST, 0)
        stack.callback(server.close)
        return server.sockets[0].getsockname()[1]

    store = platform_lib.StoreStandin()
    account = {
        "name": "acc",
        "api_keys": [platform_lib.KEY],
        "plain_tokens": 10,
        "rate_per_s": 100_000,
        "burst": 400_000,
    }
    store.put("op", "config", platform_lib.configuration(tenants=[account]))
    model = {"name": "m1", "version": 1, "adapters": []}
    for name in ("t1", "t2"):
        target = platform_lib.TargetStandin(_respond_with_limit)
        port = await listen(target.serve)
        store.put("servers", name, _entry("plain", port))
    for name in ("e1", "e2"):
        target = platform_lib.TargetStandin(_respond_stream)
        port = await listen(target.serve)
        store.put("servers", name, _entry("engines", port, models=[model]))
    return await listen(store.serve)


def test_the_lease_passes_between_builds_and_no_request_is_lost(tmp_path):
    async def upgrade_and_downgrade() -> None:
        async with contextlib.AsyncExitStack() as stack:
            store_port = await _start_platform(stack)

            async def start(name: str, build: str) -> _Process:
                process = _Process(name, build, store_port, tmp_path)
                stack.push_async_callback(lambda: process.end(signal.SIGKILL))
                await process.start()
                return process

            callers = _Callers()
            calling = asyncio.create_task(callers.run())
            stack.callback(calling.cancel)

            old = [await start(f"old-{n}", _OTHER_BUILD) for n in range(2)]
            await _wait_for_holder(old)
            new = [await start(f"new-{n}", _THIS_BUILD) for n in range(2)]
            callers.receivers = new
            await callers.wait_until_settled(new)
            # From the other build to this one: the holder is killed.
            await _end_holder_last(old, signal.SIGKILL)
            await _wait_for_holder(new)
            await callers.wait_until_settled(new)

            # Back to the other build: the holder stops gracefully.
            again = await start("old-2", _OTHER_BUILD)
            callers.receivers = [*new, again]
            await callers.wait_until_settled([again])
            callers.receivers = [again]
            await _end_holder_last(new, signal.SIGTERM)
            await _wait_for_holder([again])
            await callers.wait_until_settled([again])
            callers.receivers = []
            await again.end(signal.SIGTERM)

            print(f"{callers.refused} requests refused as not run")
            assert not callers.failed
            for process in (*old, *new, again):
                assert "ERROR" not in process.log_levels(), process.name

    asyncio.run(upgrade_and_downgrade())

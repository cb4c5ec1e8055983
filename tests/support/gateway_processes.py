"""Gateway processes under faults, with plain targets and callers on loopback.

The instances are the real program, each a process that gets signals. Store and
targets are stand-ins in the process of the test.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import signal
import subprocess
import sys

from tests.support import users_platform

_HOST = "127.0.0.1"
_START_S = 20.0
_CALL_S = 12.0
_UNNAMED_REFUSAL = (
    b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
# Statuses by which a request has not run and never will.
_PROMISES = (408, 421, 429, 503)
# Busy accounts, without and with a limit above what they ask for.
_ACCOUNTS = {"a": {}, "b": {}, "c": {"rate_per_s": 20_000, "burst": 40_000}}
# Accounts that ask one instance only, now and then, far below their limit.
_RARE_LIMIT = {"rate_per_s": 200, "burst": 400}
_RARE_PAUSE_S = 0.3


class ProcessPlay:
    """Instances, targets and callers, with faults drawn from a seed.

    Args:
        folder: Folder for the settings and logs of the instances.
        instances: Number of instances.
        targets: Number of targets.
        seed: Seed of the faults.

    Attributes:
        runs: How often each request has run, by its id.
        statuses: Status of each answered request, by its id.
        served: Requests that got a success, by what they have in common.
        asked: Requests, by the same.
    """

    def __init__(
        self, folder: pathlib.Path, instances: int, targets: int, seed: int
    ):
        self._folder = folder
        self._random = random.Random(seed)
        self._store = users_platform.StoreStandin()
        self._names = [f"i-{n}" for n in range(instances)]
        self._targets = targets
        self._ports: dict[str, int] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._connections: set[asyncio.StreamWriter] = set()
        self._ids = itertools.count()
        self.runs: collections.Counter[str] = collections.Counter()
        self.statuses: dict[str, int] = {}
        self.asked: collections.Counter[tuple[str, str]] = collections.Counter()
        self.served: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def play(self, callers: int, for_s: float) -> None:
        """Starts everything, plays, and ends all processes.

        Args:
            callers: Number of callers, each with one request at a time.
            for_s: Duration of the play.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._close)
            store_port = await self._listen(stack, self._store.serve)
            limits = {**_ACCOUNTS}
            limits |= {f"rare-{name}": _RARE_LIMIT for name in self._names}
            accounts = [
                {"name": name, "api_keys": [f"key-{name}"], **limit}
                for name, limit in limits.items()
            ]
            self._store.put(
                "op", "config", users_platform.configuration(tenants=accounts)
            )
            for number in range(self._targets):
                await self._add_target(stack, f"t{number}")
            for name in self._names:
                self._write_settings(name, store_port)
                self._start(name)
            for name in self._names:
                await self._until_ready(name)
            busy = itertools.islice(itertools.cycle(_ACCOUNTS), callers)
            work = [self._signal()]
            work += [self._call_on(name, self._names, 0.02) for name in busy]
            work += [
                self._call_on(f"rare-{name}", [name], _RARE_PAUSE_S)
                for name in self._names
            ]
            tasks = [asyncio.create_task(item) for item in work]
            await asyncio.sleep(for_s)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def refused_and_run(self) -> list[str]:
        """Returns requests that were refused with a promise and have run."""
        return [
            request_id
            for request_id, status in self.statuses.items()
            if status in _PROMISES and self.runs[request_id]
        ]

    def run_twice(self) -> list[str]:
        """Returns requests that have run more than once."""
        return [name for name, count in self.runs.items() if count > 1]

    def starved(self) -> list[tuple[str, str]]:
        """Returns what is served less than a quarter as often as all."""
        share = self.served["all", ""] / max(1, self.asked["all", ""])
        return [
            key
            for key, asked in self.asked.items()
            if self.served[key] < asked * share / 4
        ]

    async def _listen(self, stack, serve) -> int:
        async def track(reader, writer) -> None:
            self._connections.add(writer)
            with contextlib.suppress(ConnectionError):
                await serve(reader, writer)

        server = await asyncio.start_server(track, _HOST, 0)
        stack.callback(server.close)
        return server.sockets[0].getsockname()[1]

    async def _add_target(self, stack, target_id: str) -> None:
        target = users_platform.TargetStandin(self._run_request)
        entry = {
            "service": "plain",
            "address": f"{_HOST}:{await self._listen(stack, target.serve)}",
            "zone": "dc",
            "state": "ready",
            "born": 1,
        }
        self._store.put("servers", target_id, entry)

    async def _run_request(self, request, writer) -> None:
        """Runs a request, or fails in a way that a target may."""
        fault = self._random.random()
        if fault < 0.05:
            refusal = {"status": 503, "Not_Executed": "1"}
            writer.write(users_platform.response(request, **refusal))
            return
        if fault < 0.07:
            users_platform.reset(writer)
            return
        self.runs[request.headers["attempt-id"]] += 1
        await asyncio.sleep(self._random.uniform(0.005, 0.06))
        if fault < 0.09:
            users_platform.reset(writer)
            return
        response = users_platform.response(request)
        writer.write(response)
        if fault < 0.2:
            extra = self._random.choice((_UNNAMED_REFUSAL, response))
            loop = asyncio.get_running_loop()
            late_s = self._random.uniform(0.0, 0.04)
            loop.call_later(late_s, _write_extra, writer, extra)

    def _write_settings(self, name: str, store_port: int) -> None:
        ports = {
            key: users_platform.free_port()
            for key in ("callers", "ready", "metrics", "peers")
        }
        self._ports[name] = ports["callers"]
        self._ports[f"{name}/ready"] = ports["ready"]
        lines = ["[instance]", f"id = {name}", "data_centre = dc", "[listen]"]
        lines += [f"{key} = {_HOST}:{port}" for key, port in ports.items()]
        lines += ["[store]", f"address = {_HOST}:{store_port}"]
        lines += ["[stop]", "grace_s = 4"]
        (self._folder / f"{name}.ini").write_text("\n".join(lines))

    def _start(self, name: str) -> None:
        command = [sys.executable, "-m", "tanagerloft", "gateway"]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [*command, str(self._folder / f"{name}.ini")], stdout=log
            )

    async def _until_ready(self, name: str) -> None:
        async with asyncio.timeout(_START_S):
            while True:
                with contextlib.suppress(OSError):
                    port = self._ports[f"{name}/ready"]
                    data = await self._exchange(port, "/tanagerloft/ready", {})
                    if users_platform.status(data) == 200:
                        return
                await asyncio.sleep(0.1)

    async def _exchange(
        self, port: int, path: str, headers: dict[str, str]
    ) -> bytes:
        reader, writer = await asyncio.open_connection(_HOST, port)
        try:
            method = "POST" if headers else "GET"
            writer.write(users_platform.request_bytes(method, path, **headers))
            async with asyncio.timeout(_CALL_S):
                return await reader.read(-1)
        finally:
            writer.close()

    async def _call_on(
        self, account: str, names: list[str], pause_s: float
    ) -> None:
        """Sends requests of an account to some of the instances."""
        while True:
            name = self._random.choice(names)
            request_id = f"{account}-{next(self._ids)}"
            headers = {
                "Attempt_Id": request_id,
                "Authorization": f"Bearer key-{account}",
                "Deadline_Ms": "4000",
                "Token_Counts": "10,5",
            }
            try:
                data = await self._exchange(
                    self._ports[name], "/once/x", headers
                )
            except (OSError, TimeoutError):
                # The instance is down; the platform sends nobody there.
                await asyncio.sleep(0.05)
                continue
            status = users_platform.status(data) if data else 0
            self.statuses[request_id] = status
            for key in (("all", ""), ("account", account), ("instance", name)):
                self.asked[key] += 1
                self.served[key] += status == 200
            await asyncio.sleep(self._random.uniform(0.0, pause_s))

    async def _signal(self) -> None:
        """Stops, kills and pauses instances, one after the other."""
        while True:
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            name = self._random.choice(self._names)
            process = self._processes[name]
            number = self._random.choice(
                (signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP, signal.SIGHUP)
            )
            process.send_signal(number)
            if number == signal.SIGSTOP:
                await asyncio.sleep(self._random.uniform(0.2, 2.0))
                process.send_signal(signal.SIGCONT)
            elif number != signal.SIGHUP:
                while process.poll() is None:
                    await asyncio.sleep(0.05)
                self._start(name)
                await self._until_ready(name)

    def _close(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()
        for writer in self._connections:
            writer.close()


def _write_extra(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)

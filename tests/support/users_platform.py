"""In-process fakes of the users' platform, on loopback in one event loop."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import os
import socket
import struct
from typing import Any
from typing import NamedTuple
from urllib import parse

from tanagerloft.config import fleet_settings
from tanagerloft.config import settings as settings_lib
from tanagerloft.gateway import instance as instance_lib
from tanagerloft.platform import deployment
from tanagerloft.util import clock as clock_lib

_HOST = "127.0.0.1"
_WAIT_S = 20.0
# Listening ports: 200 ranges of 100, below 30,000.
_FIRST_PORT = 10_000
_PORT_RANGES = 200
_PORTS_PER_RANGE = 100
_port_numbers = itertools.count()
KEY = "key-1"
SEAL = "seal-1"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Request(NamedTuple):
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads one request with a body of known length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return Request(method, target, headers, await reader.readexactly(length))


def response(request: Request, body=b"ok", status=200, **headers) -> bytes:
    """Returns a sealed response to a request, with Content-Length."""
    fields = {
        "Attempt-Id": request.headers["attempt-id"],
        "Response-Seal": SEAL,
        "Content-Length": str(len(body)),
    }
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(request: Request) -> bytes:
    """Returns the head of a sealed event stream in chunked encoding."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"Attempt-Id: {request.headers['attempt-id']}\r\n"
        f"Response-Seal: {SEAL}\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Encodes data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Returns a server-sent event with a sequential id."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def reset(writer: asyncio.StreamWriter) -> None:
    """Aborts a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class StoreCopy(NamedTuple):
    """Copy of the store's contents."""

    version: int
    rows: dict[tuple[str, str], tuple[int, str | None]]


class StoreStandin:
    """In-memory fake of the platform's store.

    Attributes:
        down: Whether the store drops connections instead of responding.
        era: Value of ``Store-Era`` in responses, None for no such header.
        calls: Targets of all received requests.
    """

    def __init__(self):
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.down = False
        self.era: str | None = None
        self._muted: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()
        self.calls: list[str] = []

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row with a JSON value, as operators and targets do."""
        self._put(table, key, base64.b64encode(json.dumps(value).encode()))

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Writes a row with an arbitrary value."""
        self._put(table, key, base64.b64encode(value))

    def remove(self, table: str, key: str) -> None:
        """Replaces a row by a tombstone."""
        self._put(table, key, None)

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        text = None if value is None else value.decode()
        self._rows[table, key] = (self._version, text)
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Returns a copy that the store can be restored from."""
        return StoreCopy(self._version, dict(self._rows))

    def restore(self, copy: StoreCopy, era: str | None) -> None:
        """Replaces the contents by an older copy; begins a new era."""
        self._version, self._rows = copy.version, dict(copy.rows)
        self.era = era

    def mute(self) -> None:
        """Stops responding on the open connections; new ones work."""
        self._muted |= self._open

    async def serve(self, reader, writer) -> None:
        """Serves a connection."""
        self._open.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = await read_request(reader)
                self.calls.append(request.target)
                if self.down:
                    writer.transport.abort()
                    return
                status, body = await self.respond(request)
                if writer in self._muted:
                    continue
                data = json.dumps(body).encode()
                head = b"HTTP/1.1 %d X\r\n" % status
                if self.era is not None:
                    head += b"Store-Era: %b\r\n" % self.era.encode()
                writer.write(
                    head + b"Content-Length: %d\r\n\r\n" % len(data) + data
                )

    async def respond(self, request: Request) -> tuple[int, dict]:
        """Returns the status and body of the response to a request."""
        url = parse.urlsplit(request.target)
        query = dict(parse.parse_qsl(url.query))
        if url.path.endswith("/rows-get"):
            return 200, self._get(query)
        if url.path.endswith("/rows-feed"):
            if int(query["after"]) > self._version:
                return 410, {}
            return 200, await self._feed(query)
        return self._transact(json.loads(request.body))

    def _select(self, table: str, after: int = 0) -> list[dict]:
        found = []
        for (name, key), (version, value) in sorted(self._rows.items()):
            if name != table or version <= after:
                continue
            row = {"table": name, "part": "", "key": key, "ver": version}
            row |= {"tombstone": True} if value is None else {"value": value}
            found.append(row)
        return found

    def _get(self, query: dict) -> dict:
        rows = [r for r in self._select(query["table"]) if "value" in r]
        if "to" in query:
            rows = [r for r in rows if query["from"] <= r["key"] < query["to"]]
        return {"rows": rows, "has_more": False, "ver": self._version}

    async def _feed(self, query: dict) -> dict:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1_000
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while not self._select(query["table"], after):
            left_s = until_s - loop.time()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        rows = self._select(query["table"], after)
        return {"rows": rows, "ver": self._version}

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body["expected"]:
            version, _ = self._rows.get((row["table"], row["key"]), (0, None))
            if version != row["ver"]:
                return 412, {"rows": []}
        for row in body["puts"]:
            self._put(row["table"], row["key"], row["value"].encode())
        return 200, {"ver": self._version}


Script = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class TargetStandin:
    """A target whose responses are written by a test.

    Args:
        script: Called for each request to write the response.

    Attributes:
        port: Port that it listens on.
        requests: Received requests.
        closed: Set when the instance has closed a connection.
    """

    def __init__(self, script: Script):
        self._script = script
        self.port = 0
        self.requests: list[Request] = []
        self.closed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Serves a connection."""
        try:
            while True:
                request = await read_request(reader)
                if request.target == "/tanagerloft/report":
                    writer.write(report_response())
                    continue
                self.requests.append(request)
                running = asyncio.create_task(self._script(request, writer))
                watch = asyncio.create_task(reader.read(1))
                done, _ = await asyncio.wait(
                    (running, watch), return_when=asyncio.FIRST_COMPLETED
                )
                if running not in done:
                    running.cancel()
                    self.closed.set()
                    return
                watch.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    if await watch:
                        raise AssertionError("pipelined request")
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


def report_response() -> bytes:
    """Returns a response with the report of an idle engine with one model."""
    body = json.dumps(
        {
            "models": [{"name": "m1", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "at_hand": {"in_memory": [], "on_disk": ["m1"]},
        }
    ).encode()
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


def configuration(**changes) -> dict:
    """Returns a configuration with a route of each kind.

    Args:
        **changes: Overridden top-level entries.
    """
    routes = [
        _route("once", "non_idempotent", "plain", attempts=1),
        _route("safe", "idempotent", "plain", attempts=2),
        _route("stream", "stream", "engines", attempts=1),
        _route("resume", "stream", "engines", attempts=2, resumable=True),
        _route("free", "idempotent", "plain", attempts=1, public=True),
    ]
    model = {"name": "m1", "weights_mb": 70_000, "load_s": 6}
    services = [
        {"name": "plain", "max_conns": 100},
        {"name": "engines", "engine": {"slots": 8, "models": [model]}},
    ]
    account = {"name": "acc", "api_keys": [KEY], "plain_tokens": 10}
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "tenants": [account],
        **changes,
    }


def _route(name, kind, service, attempts, resumable=False, public=False):
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 10_000,
        "target_latency_ms": 500,
        "max_attempts": attempts,
        "resumable": resumable,
        "public": public,
    }


class Platform:
    """A store, targets and one instance, as an async context manager.

    Args:
        **config_changes: Overrides of top-level configuration entries.

    Attributes:
        store: The store.
        ports: Ports of the instance's listeners by name.
        running: Task that runs the instance.
    """

    def __init__(self, **config_changes):
        self.store = StoreStandin()
        self._config = configuration(**config_changes)
        self._stack = contextlib.AsyncExitStack()
        self._servers: dict[str, asyncio.Server] = {}
        self.ports: dict[str, int] = {}

    async def __aenter__(self) -> Platform:
        """Starts the store and the instance; waits until it is ready."""
        self.store.put("op", "config", self._config)
        self.store_port = store_port = await self._listen(self.store.serve)
        names = ("callers", "ready", "metrics", "peers")
        self.ports = {name: free_port() for name in names}
        lines = ["[instance]", "id = i-1", "data_centre = dc", "[listen]"]
        lines += [f"{k} = {_HOST}:{v}" for k, v in self.ports.items()]
        lines += ["[store]", f"address = {_HOST}:{store_port}"]
        settings = settings_lib.parse(
            "\n".join(lines), "test", fleet_settings.TABLE
        )
        assert isinstance(settings, settings_lib.Settings), settings
        self.instance = instance_lib.Instance(
            settings, deployment.build, clock_lib.Clock()
        )
        self.running = task = asyncio.create_task(self.instance.run())
        self._stack.callback(task.cancel)

        async def ready_or_ended() -> bool:
            return task.done() or await self._ready()

        await self.eventually(ready_or_ended)
        if task.done():
            task.result()
        return self

    async def __aexit__(self, *exc_info) -> None:
        """Stops everything."""
        await self._stack.aclose()

    async def _listen(self, serve, name="") -> int:
        async def serve_until_exit(reader, writer) -> None:
            self._close_at_exit(writer)
            await serve(reader, writer)

        server = await asyncio.start_server(serve_until_exit, _HOST, 0)
        self._stack.callback(server.close)
        self._servers[name] = server
        return server.sockets[0].getsockname()[1]

    def _close_at_exit(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection with the platform, while the loop still runs.

        The garbage collector closes it otherwise, after the loop has ended:
        its error can interrupt any code of a later test.
        """
        self._stack.callback(writer.close)

    def stop_listening(self, target_id: str) -> None:
        """Stops accepting connections to a target, as after a crash."""
        self._servers[target_id].close()

    async def _ready(self) -> bool:
        try:
            reply = await self.call("GET", "/tanagerloft/ready", port="ready")
        except OSError:
            return False
        return reply.startswith(b"HTTP/1.1 200")

    async def eventually(self, check) -> None:
        """Waits until an asynchronous check returns true."""
        async with asyncio.timeout(_WAIT_S):
            while not await check():
                await asyncio.sleep(0.01)

    async def add_target(
        self, script: Script, service="plain", target_id="t1", state="ready"
    ) -> TargetStandin:
        """Starts a target and waits until the instance has read its entry."""
        target = TargetStandin(script)
        target.port = await self._listen(target.serve, target_id)
        entry = {
            "service": service,
            "address": f"{_HOST}:{target.port}",
            "zone": "dc",
            "state": state,
            "born": 1,
        }
        if service == "engines":
            entry["models"] = [{"name": "m1", "version": 1, "adapters": []}]
        self.store.put("servers", target_id, entry)
        directory = self.instance.directory

        async def known() -> bool:
            return target_id in directory.entries

        await self.eventually(known)
        return target

    async def connect(self) -> Connection:
        """Opens a connection to the callers' port of the instance."""
        reader, writer = await asyncio.open_connection(
            _HOST, self.ports["callers"]
        )
        self._close_at_exit(writer)
        return reader, writer

    async def call(self, method, path, port="callers", body=b"", **headers):
        """Sends a request on a new connection; returns all received bytes."""
        reader, writer = await asyncio.open_connection(_HOST, self.ports[port])
        self._close_at_exit(writer)
        writer.write(request_bytes(method, path, body, **headers))
        async with asyncio.timeout(_WAIT_S):
            data = await reader.read(-1)
        writer.close()
        return data


def request_bytes(method, path, body=b"", close=True, **headers) -> bytes:
    """Encodes a caller's request.

    A header set to None is left out.
    """
    fields = {
        "Host": "h.example",
        "Attempt-Id": "a-1",
        "Authorization": f"Bearer {KEY}",
    }
    if close:
        fields["Connection"] = "close"
    if body:
        fields["Content-Length"] = str(len(body))
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in fields.items() if v is not None]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run(test: Callable[[Platform], Awaitable[None]], **config_changes) -> None:
    """Runs a test with a new platform."""

    async def run_test():
        async with Platform(**config_changes) as platform:
            await test(platform)

    asyncio.run(run_test())


def status(data: bytes) -> int:
    """Returns the status code of a response."""
    return int(data.split(b" ", 2)[1])


async def respond_ok(request: Request, writer: asyncio.StreamWriter) -> None:
    """Responds with 200; a script for ``TargetStandin``."""
    writer.write(response(request))


def free_port() -> int:
    """Returns a port without a listener.

    The port is below the range of ephemeral ports and in a range chosen by
    process id, so that neither an outgoing connection nor another test process
    takes it before the caller listens on it.
    """
    first = _FIRST_PORT + os.getpid() % _PORT_RANGES * _PORTS_PER_RANGE
    while True:
        port = first + next(_port_numbers) % _PORTS_PER_RANGE
        with (
            socket.socket(type=socket.SOCK_STREAM) as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
            contextlib.suppress(OSError),
        ):
            # Same option as the listeners: connections in TIME_WAIT must not
            # block a port, or the range runs out and ports are reused.
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind((_HOST, port))
            datagrams.bind((_HOST, port))
            return port

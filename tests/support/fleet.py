"""A deployment of separate processes on loopback, for tests and benchmarks."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import NamedTuple

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import inventory_text
from tanagerloft.config import store
from tanagerloft.tables import dynamo_table
from tanagerloft.util import http
from tanagerloft.util import ids

_HOST = "127.0.0.1"
_START_TIMEOUT_S = 60
_STOP_TIMEOUT_S = 60
_POLL_S = 0.05
_CALL_TIMEOUT_MS = 5_000
_MEMORY_MB = 20_000
KEYS = {"quito": "key-quito-1", "limon": "key-limon-1"}


class Response(NamedTuple):
    """Response to a caller; status 0 if the connection ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def reason(self) -> str:
        """Machine-readable reason of a refusal or of a truncated stream."""
        with contextlib.suppress(ValueError, KeyError):
            return json.loads(self.body)["reason"]
        with contextlib.suppress(ValueError, KeyError, IndexError):
            last = self.body.strip().rsplit(b"data: ", 1)[1]
            return json.loads(last)["error"]["code"]
        return ""

    @property
    def run(self) -> str:
        """Field ``run`` of a refusal: whether the request was run."""
        with contextlib.suppress(ValueError, KeyError, TypeError):
            return json.loads(self.body)["run"]
        return ""

    @property
    def is_complete(self) -> bool:
        """Whether this is a complete successful response of a target."""
        if self.status != 200:
            return False
        if self.headers.get("content-type", "").startswith("text/event"):
            return self.body.rstrip().endswith(b"data: [DONE]")
        return True


class _Process:
    """One process of the deployment."""

    def __init__(self, name: str, arguments: list[str], directory: str):
        self.name = name
        self._arguments = arguments
        self._log = pathlib.Path(directory, f"{name}.log")
        self.port = 0
        self.popen: subprocess.Popen | None = None

    def launch(self) -> None:
        with self._log.open("a") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "tanagerloft", *self._arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )

    def wait_started(self) -> None:
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name}: {self.log()[-2_000:]}")
        if line.startswith("{"):
            self.port = json.loads(line)["port"]
        else:
            self.port = int(line.rsplit(maxsplit=1)[1])

    def log(self) -> str:
        return self._log.read_text()


class Fleet:
    """Stand-ins and instances, each in its own process.

    Args:
        directory: Directory for settings and logs.
        instances: Number of instances.
        engines: Number of model engines.
        settings: Overridden settings of the instances by ``section.key``.
        engine_arguments: Additional arguments of the engine stand-ins.
        classes: Request classes.
        accounts: Client accounts.
        models: Models.
        checks_fencing: Whether engines check fencing tokens according to the
            inventory.
    """

    def __init__(
        self,
        directory,
        instances: int = 8,
        engines: int = 2,
        settings: dict[str, object] | None = None,
        engine_arguments: tuple[str, ...] = (),
        classes: tuple[inventory_lib.RequestClass, ...] = (),
        accounts: tuple[inventory_lib.Account, ...] = (),
        models: tuple[inventory_lib.Model, ...] = (),
        checks_fencing: bool = True,
    ):
        self._checks_fencing = checks_fencing
        self._directory = str(directory)
        self._instance_count = instances
        self._engine_count = engines
        self._settings = settings or {}
        self._engine_arguments = engine_arguments
        self._classes = classes or (
            inventory_lib.RequestClass("default", 60_000),
        )
        self._accounts = accounts or (
            inventory_lib.Account("quito", 100_000, 1_000_000),
            inventory_lib.Account("limon", 100_000, 1_000_000),
        )
        self._models = models or tuple(
            inventory_lib.Model(f"model-{n}", "1", 2_000, 2_200)
            for n in range(6)
        )
        self._processes: dict[str, _Process] = {}
        self.client = http.HttpClient()

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exc):
        self.close()

    def close(self) -> None:
        """Kills all processes."""
        for process in self._processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGKILL)
                process.popen.wait()
                process.popen.stdout.close()

    def _start_all(self) -> None:
        self._start("platform", ["stand-in", "platform"])
        self._start("weights", ["stand-in", "weights"])
        self._start("service-1", ["stand-in", "service"])
        draft = self._make_inventory({})
        path = pathlib.Path(self._directory, "sizes.jsonl")
        path.write_text(inventory_text.dump(draft))
        names = self.engine_names()
        for name in names:
            self._launch_engine(name, str(path))
        for name in names:
            self._processes[name].wait_started()
        ports = {name: self.port(name) for name in names}
        self.inventory = self._make_inventory(ports)
        applied = store.apply(self.table(), self.inventory, 0)
        assert isinstance(applied, store.Version), applied
        for name in self.instance_names():
            self.launch_instance(name)
        for name in self.instance_names():
            self._processes[name].wait_started()
        for name in self.instance_names():
            self.wait_ready(name)

    def _launch_engine(self, name: str, sizes: str) -> None:
        arguments = [
            *("stand-in", "engine", "--inventory", sizes),
            *("--memory-mb", str(_MEMORY_MB)),
            *("--weights-url", self.url("weights")),
            *self._engine_arguments,
        ]
        self._processes[name] = _Process(name, arguments, self._directory)
        self._processes[name].launch()

    def _start(self, name: str, arguments: list[str]) -> None:
        process = _Process(name, arguments, self._directory)
        self._processes[name] = process
        process.launch()
        process.wait_started()

    def _make_inventory(self, engine_ports: dict[str, int]):
        targets = [
            inventory_lib.Target(
                name,
                self.url(name),
                "engine",
                "dc-1",
                _MEMORY_MB,
                self._checks_fencing,
            )
            for name in engine_ports
        ]
        service = inventory_lib.Target(
            "service-1", self.url("service-1"), "service", "dc-1"
        )
        keys = [
            inventory_lib.Key(f"{account}-1", account, ids.sha256_hex(key))
            for account, key in KEYS.items()
        ]
        routes = [
            inventory_lib.Route(
                "payments", "/payments", ("service-1",), False, tokens=1
            ),
            inventory_lib.Route("public", "/public", ("service-1",), open=True),
        ]
        adapter = inventory_lib.Adapter("adapter-0", "model-0", "1", 50)
        return inventory_lib.Inventory(
            targets={t.name: t for t in [*targets, service]},
            models={m.name: m for m in self._models},
            adapters={adapter.name: adapter},
            routes={r.name: r for r in routes},
            accounts={a.name: a for a in self._accounts},
            keys={k.name: k for k in keys},
            classes={c.name: c for c in self._classes},
        )

    def instance_names(self) -> list[str]:
        """Returns the names of all instances."""
        return [f"instance-{n}" for n in range(1, self._instance_count + 1)]

    def engine_names(self) -> list[str]:
        """Returns the names of all model engines."""
        return [f"engine-{n}" for n in range(1, self._engine_count + 1)]

    def lagging(self) -> list[str]:
        """Returns the instances listed as lagging by the command ``status``."""
        command = [sys.executable, "-m", "tanagerloft", "status", "--json"]
        url = self.url("platform")
        result = subprocess.run(
            [*command, "--table-url", url], capture_output=True, check=True
        )
        return json.loads(result.stdout)["lagging"]

    def launch_instance(self, name: str) -> None:
        """Starts an entry instance."""
        path = pathlib.Path(self._directory, f"{name}.ini")
        path.write_text(self._settings_text(name))
        process = _Process(name, ["serve", str(path)], self._directory)
        self._processes[name] = process
        process.launch()

    def _settings_text(self, name: str) -> str:
        values = {
            "instance.id": name,
            "instance.data_centre": "dc-1",
            "instance.address": f"{_HOST}:0",
            "instance.peer_address": f"{_HOST}:0",
            "platform.table_url": self.url("platform"),
            "platform.instances_url": self.url("platform") + "/instances",
            "server.lame_duck_ms": 0,
            **self._settings,
        }
        sections: dict[str, list[str]] = {}
        for name_, value in values.items():
            section, key = name_.split(".")
            sections.setdefault(section, []).append(f"{key} = {value}")
        return "\n".join(
            "\n".join([f"[{section}]", *lines])
            for section, lines in sections.items()
        )

    def restart(self, name: str) -> None:
        """Restarts an ended process on a new port."""
        if name in self.instance_names():
            self.launch_instance(name)
            self._processes[name].wait_started()
            self.wait_ready(name)
            return
        process = self._processes[name]
        process.launch()
        process.wait_started()
        self._move_target(name)

    def _move_target(self, name: str) -> None:
        """Applies the inventory with the new address of a target."""
        table = self.table()
        number = store.read_number(table)
        inventory = store.read(table, number).inventory
        target = inventory.targets[name]._replace(url=self.url(name))
        targets = {**inventory.targets, name: target}
        self.inventory = inventory._replace(targets=targets)
        applied = store.apply(table, self.inventory, number)
        assert isinstance(applied, store.Version), applied
        self.wait_in_force()

    def wait_in_force(self) -> None:
        """Waits until all running instances use the accepted version."""
        number = store.read_number(self.table())
        for name in self.instance_names():
            if self._processes[name].popen.poll() is None:
                self.eventually(
                    lambda name=name: (
                        self.get(name, "/status")["version"] == number
                    )
                )

    def wait_shares_spread(self) -> None:
        """Waits until each instance holds shares of each account's limit."""

        def spread(name):
            shares = self.get(name, "/status")["shares"]
            return len(shares) == len(self._accounts) and all(shares.values())

        for name in self.instance_names():
            self.eventually(lambda name=name: spread(name))

    def table(self):
        """Returns a client of the platform's table."""
        return dynamo_table.DynamoTable(
            http.HttpClient(),
            self.url("platform"),
            "tanagerloft",
            _CALL_TIMEOUT_MS,
        )

    def port(self, name: str) -> int:
        """Returns the port of a process."""
        return self._processes[name].port

    def pid(self, name: str) -> int:
        """Returns the id of a process."""
        return self._processes[name].popen.pid

    def log(self, name: str) -> str:
        """Returns the log of a process."""
        return self._processes[name].log()

    def url(self, name: str) -> str:
        """Returns the base URL of a process."""
        return f"http://{_HOST}:{self.port(name)}"

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        os.kill(self.pid(name), number)

    def wait_ended(self, name: str) -> int:
        """Waits until a process ends; returns its exit code."""
        return self._processes[name].popen.wait(_STOP_TIMEOUT_S)

    def get(self, name: str, path: str):
        """Returns the JSON body of a response with status 200, or None."""
        response = self.request(name, "GET", path)
        return json.loads(response.body) if response.status == 200 else None

    def fault(self, name: str, **faults) -> None:
        """Injects faults into a stand-in."""
        body = json.dumps(faults).encode()
        response = self.request(name, "POST", "/faults", body=body)
        assert response.status == 200, response

    def set_listed_state(self, name: str, state: str = "live") -> None:
        """Sets the state of an instance in the platform's list."""
        entry = {
            "instance": name,
            "peer_address": self.get(name, "/status")["peer_address"]
            if state == "live"
            else f"{_HOST}:1",
            "state": state,
        }
        body = json.dumps(entry).encode()
        self.request("platform", "POST", "/instances", body=body)

    def wait_ready(self, name: str) -> None:
        """Waits until an instance is ready."""
        self.eventually(
            lambda: self.request(name, "GET", "/readyz").status == 200
        )

    def eventually(self, condition) -> None:
        """Waits until a condition holds; fails after the start timeout."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline_s, (
                "condition did not hold in time"
            )
            time.sleep(_POLL_S)

    def request(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Sends a request to a process."""
        pieces: list[bytes] = []
        result: dict[str, object] = {"status": 0, "headers": {}}

        def on_head(status, response_headers):
            result.update(status=status, headers=response_headers)

        def on_body(piece):
            pieces.append(piece)
            return True

        request = http.HttpRequest(
            method,
            self.url(name) + path,
            tuple((headers or {}).items()),
            body,
            timeout_ms=_START_TIMEOUT_S * 1_000,
        )
        sink = http.Sink(on_head, on_body, lambda: True)
        self.client.send(request, sink)
        return Response(result["status"], result["headers"], b"".join(pieces))

    def complete(
        self,
        name: str,
        model: str,
        key: str = KEYS["quito"],
        tokens: int = 5,
        stream: bool = True,
        **fields,
    ) -> Response:
        """Sends a completion request to an instance."""
        payload = {
            "model": model,
            "prompt": "Is this harness safe?",
            "max_tokens": tokens,
            "stream": stream,
            **fields,
        }
        return self.request(
            name,
            "POST",
            "/v1/completions",
            {"Authorization": f"Bearer {key}"},
            json.dumps(payload).encode(),
        )

    def pay(self, name: str, key: str, body: bytes = b"{}") -> Response:
        """Sends a non-idempotent request through an instance."""
        headers = {
            "Authorization": f"Bearer {KEYS['quito']}",
            "Idempotency-Key": key,
        }
        return self.request(name, "POST", "/payments/1", headers, body)

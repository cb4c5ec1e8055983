"""Starts the instances as the deploy file says, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tomllib
from typing import Any

from standins import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
_SETTINGS_PATH = "/etc/tanagerloft/boot.yaml"
# Each case has ports of its own, so that cases may run side by side.
_FIRST_PORT = 12_000 + 200 * (os.getpid() % 100)
_PORTS = range(_FIRST_PORT, _FIRST_PORT + 200)
_used_ports: set[int] = set()
# Bounds of a small deployment.
BOUNDS = {
    "contact_ms": 3_000,
    "drain_ms": 2_000,
    "grace_s": 8,
    "config_apply_ms": 2_000,
    "revoke_ms": 5_000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 54,
    "quota_over": 0.1,
    "quota_slack": 11_000,
    "lease_ms": 3_000,
}


def free_port() -> int:
    """Returns a free port, below those that connections get by themselves."""
    while True:
        port = random.choice(_PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of settings; sections stand for one value."""

    def value_of(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
            if value is None:
                return None
        return value

    def section(match: re.Match) -> str:
        value = value_of(match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda match: str(value_of(match[1])), text
    )


class Gateway:
    """One instance: a process of the project.

    Args:
        name: Name of its machine.
        folder: Temporary folder for its settings and its output.
        store_port: Port of the store.

    Attributes:
        name: Name of its machine.
        port: Port for callers.
        process: The process.
    """

    def __init__(self, name: str, folder: pathlib.Path, store_port: int):
        self.name = name
        self._folder = folder
        self.port = free_port()
        self._ready_port = free_port()
        fields = {
            "node_name": name,
            "zone": "z1",
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{self._ready_port}",
            },
            "port_range": [free_port(), free_port()],
            "limits": {"cores": 2, "cpu_share": 0.537, "link_mbps": 1000.0},
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bounds": BOUNDS,
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"
        ]["gateway"]
        template = (ROOT / role["template"]).read_text()
        settings = folder / f"{name}.ini"
        settings.write_text(render(template, fields))
        self._command = [
            str(settings) if word == _SETTINGS_PATH else word
            for word in role["run"].split()
        ]
        if self._command[0] == "python3":
            self._command[0] = sys.executable
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=output,
                stderr=output,
            )
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Asks whether it is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._ready_port
            )
        except OSError:
            return False
        writer.write(
            http.request("GET", "/tanagerloft/ready", {"Host": "ready"})
        )
        try:
            answer = await http.read(reader)
        except (asyncio.IncompleteReadError, OSError):
            return False
        finally:
            writer.close()
        return answer.first[1] == "200"

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self) -> None:
        """Stops and starts the process, as the platform does."""
        assert self.process is not None
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["grace_s"]):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
        await self.start()

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def events(self) -> list[dict[str, Any]]:
        """Returns the lines of its log."""
        found = []
        for line in (self._folder / f"{self.name}.log").open():
            try:
                found.append(json.loads(line))
            except json.JSONDecodeError:
                found.append({"event": line.rstrip()})
        return found

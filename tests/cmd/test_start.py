"""Tests of starts that fail and of stops during a start, as processes."""

import signal
import socket
import subprocess
import sys
import time

import pytest

# Only so that a process that hangs fails the test; nothing else depends on it.
_HANGS_S = 60
_HOST = "127.0.0.1"


def _command(name, tmp_path, busy_port):
    """Returns the arguments that let a program listen on a port in use."""
    if name in ("trial", "stand-in platform"):
        return [*name.split(), "--port", str(busy_port)]
    if name == "serve":
        sections = (
            f"[instance]\nid = i\ndata_centre = d\n"
            f"address = {_HOST}:{busy_port}\npeer_address = {_HOST}:0\n"
            f"[platform]\ntable_url = http://{_HOST}:1/\n"
            f"instances_url = http://{_HOST}:1/\n"
        )
    elif name == "serve, peers":
        sections = (
            f"[instance]\nid = i\ndata_centre = d\n"
            f"address = {_HOST}:0\npeer_address = {_HOST}:{busy_port}\n"
            f"[platform]\ntable_url = http://{_HOST}:1/\n"
            f"instances_url = http://{_HOST}:1/\n"
        )
    else:
        key = name.split()[1]
        ports = dict.fromkeys(("callers", "ready", "metrics", "peers"), 0)
        ports[key] = busy_port
        lines = [f"{other} = {_HOST}:{port}" for other, port in ports.items()]
        sections = "\n".join(
            ["[instance]", "id = i", "data_centre = d", "[listen]", *lines]
            + ["[store]", f"address = {_HOST}:1"]
        )
    path = tmp_path / "settings.ini"
    path.write_text(sections)
    return [name.split()[0].rstrip(","), str(path)]


@pytest.mark.parametrize(
    "name",
    [
        "trial",
        "stand-in platform",
        "serve",
        "serve, peers",
        "gateway callers",
        "gateway ready",
        "gateway peers",
    ],
)
def test_busy_port_ends_the_start_with_one_line(name, tmp_path):
    kinds = [socket.SOCK_STREAM]
    if name == "gateway peers":
        kinds = [socket.SOCK_DGRAM]
    with socket.socket(socket.AF_INET, kinds[0]) as busy:
        busy.bind((_HOST, 0))
        if kinds[0] == socket.SOCK_STREAM:
            busy.listen()
        port = busy.getsockname()[1]
        result = subprocess.run(
            [sys.executable, "-m", "tanagerloft"]
            + _command(name, tmp_path, port),
            check=False,
            capture_output=True,
            text=True,
            timeout=_HANGS_S,
        )
    assert result.returncode == 1
    lines = [
        line
        for line in result.stderr.splitlines()
        if line.startswith("tanagerloft: ")
    ]
    assert len(lines) == 1
    assert f"cannot listen on {_HOST}:{port}" in lines[0]
    assert "Traceback" not in result.stderr + result.stdout


@pytest.mark.parametrize("delay_ms", [0, 25, 50, 100, 400, 800])
def test_stop_during_the_start_ends_the_process(delay_ms):
    process = subprocess.Popen(
        [sys.executable, "-m", "tanagerloft", "trial", "--port", "0"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    time.sleep(delay_ms / 1_000)
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=_HANGS_S)
    # Until the program handles the signal, the system ends it by it.
    assert process.returncode in (0, -signal.SIGTERM)
    assert "Traceback" not in log

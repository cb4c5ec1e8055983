"""Sends one request through the binary's trial and checks that it is whole."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import urllib.request

_TIMEOUT_S = 60
_EXPECTED_EVENTS = 5


def _children(pid: int) -> str:
    """Returns the ids of the processes that a process has started."""
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return path.read_text().strip()


def main(binary: str) -> int:
    """Runs the check; returns the exit code."""
    command = [binary, "trial", "--port", "0", "--announce"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        announced = json.loads(process.stdout.readline())
        answer = _ask(announced["port"], announced["key"])
        children = _children(process.pid)
    finally:
        process.send_signal(signal.SIGTERM)
        code = process.wait(_TIMEOUT_S)
    whole = answer.rstrip().endswith("data: [DONE]")
    events = answer.count('"text": "token')
    print(
        f"exit code {code}, events {events}, whole {whole},"
        f" child processes: {children or 'none'},"
        f" size {os.path.getsize(binary)} bytes"
    )
    good = code == 0 and whole and events == _EXPECTED_EVENTS and not children
    return 0 if good else 1


def _ask(port: int, key: str) -> str:
    body = {
        "model": "harness-questions",
        "prompt": "How do I check a harness?",
        "max_tokens": _EXPECTED_EVENTS,
        "stream": True,
    }
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}/v1/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {key}"},
    )
    with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as response:
        return response.read().decode()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))

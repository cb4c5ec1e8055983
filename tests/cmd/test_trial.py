"""Tests of ``tanagerloft trial`` as a process."""

import json
import signal
import subprocess
import sys
import urllib.request

import pytest


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_answers_from_a_cold_model_and_stops_cleanly(number):
    command = [sys.executable, "-m", "tanagerloft", "trial", "--port", "0"]
    process = subprocess.Popen(
        [*command, "--announce"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    announced = json.loads(process.stdout.readline())
    answer = _chat(announced["port"], announced["key"])
    process.send_signal(number)
    _, log = process.communicate(timeout=60)
    assert answer.rstrip().endswith("data: [DONE]")
    assert answer.count('"delta"') == 3
    assert process.returncode == 0
    lines = [json.loads(line) for line in log.splitlines()]
    assert lines[-1]["message"] == "stopped"
    assert announced["key"] not in log


def _chat(port, key):
    body = {
        "model": "harness-questions",
        "messages": [{"role": "user", "content": "Is it safe?"}],
        "max_tokens": 3,
        "stream": True,
    }
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}/v1/chat/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {key}"},
    )
    with urllib.request.urlopen(request, timeout=60) as response:
        return response.read().decode()

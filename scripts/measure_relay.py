"""Measures what an entry instance adds and carries, against its stand-ins.

Prints added latency, requests and streamed events a second at rising numbers
of callers, processor time per request and per event, and idle memory.
"""

from concurrent import futures
import json
import multiprocessing
import pathlib
import statistics
import sys
import tempfile
import time
from typing import NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from tanagerloft.config import inventory as inventory_lib  # noqa: E402
from tanagerloft.util import http  # noqa: E402
from tests.support import fleet as fleet_lib  # noqa: E402

_ENGINES = 4
_MODELS = 8
_WARM_UP_REQUESTS = 40
_PAIRED_REQUESTS = 1_000
_STEP_S = 4.0
_STREAM_TOKENS = 200
_TOKEN_MS = 20
_CLIENT_PROCESSES = 3
_CALLERS = (1, 2, 4, 8, 16, 32, 48, 64, 78)
_CLOCK_TICKS_PER_S = 100
_PAGE_KB = 4


class _Result(NamedTuple):
    """What one caller saw."""

    first_byte_ms: list[float]
    events: int
    failures: int


def _request(url: str, model: str, tokens: int, stream: bool):
    payload = {
        "model": model,
        "prompt": "a b c",
        "max_tokens": tokens,
        "stream": stream,
    }
    headers = (("Authorization", f"Bearer {fleet_lib.KEYS['quito']}"),)
    return http.HttpRequest(
        "POST", url + "/v1/completions", headers, json.dumps(payload).encode()
    )


def _call(client: http.HttpClient, request: http.HttpRequest):
    """Returns time to the first byte in ms, events, and success."""
    started_s = time.perf_counter()
    seen = {"first_ms": 0.0, "events": 0}

    def begin(_status, _headers):
        seen["first_ms"] = (time.perf_counter() - started_s) * 1_000

    def data(piece):
        seen["events"] += piece.count(b"\n\n")
        return True

    sink = http.Sink(begin, data, lambda: True)
    response = client.send(request, sink)
    good = isinstance(response, http.HttpResponse) and response.status == 200
    return seen["first_ms"], seen["events"], good


def _caller(url: str, model: str, tokens: int, stream: bool, until_s: float):
    client = http.HttpClient()
    request = _request(url, model, tokens, stream)
    result = _Result([], 0, 0)
    first, events, failures = [], 0, 0
    while time.time() < until_s:
        first_ms, count, good = _call(client, request)
        first.append(first_ms)
        events += count
        failures += not good
    return result._replace(
        first_byte_ms=first, events=events, failures=failures
    )


def _client_process(url, models, tokens, stream, until_s):
    with futures.ThreadPoolExecutor(max(1, len(models))) as executor:
        return list(
            executor.map(
                lambda model: _caller(url, model, tokens, stream, until_s),
                models,
            )
        )


def _step(pool, url: str, callers: int, tokens: int, stream: bool):
    """Runs ``callers`` closed-loop callers; returns their results."""
    until_s = time.time() + _STEP_S
    models = [f"model-{n % _MODELS}" for n in range(callers)]
    parts = [models[n::_CLIENT_PROCESSES] for n in range(_CLIENT_PROCESSES)]
    jobs = [
        pool.apply_async(_client_process, (url, part, tokens, stream, until_s))
        for part in parts
        if part
    ]
    return [result for job in jobs for result in job.get()]


def _percentile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in megabytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_KB / 1_024


def _measure_added_latency(fleet) -> None:
    client = http.HttpClient()
    counts = {n: fleet.get(n, "/counts")["items"] for n in _engine_names()}
    engine = next(n for n, items in counts.items() if "model-0" in items)
    direct = _request(fleet.url(engine), "model-0", 1, False)
    through = _request(fleet.url("instance-1"), "model-0", 1, False)
    times: dict[str, list[float]] = {"direct": [], "through": []}
    for index in range(_WARM_UP_REQUESTS + _PAIRED_REQUESTS):
        for name, request in (("direct", direct), ("through", through)):
            first_ms, _, good = _call(client, request)
            assert good
            if index >= _WARM_UP_REQUESTS:
                times[name].append(first_ms)
    print("latency of one caller, ms (p50, p99):")
    for name, values in times.items():
        p50, p99 = statistics.median(values), _percentile(values, 0.99)
        print(f"  {name:8} {p50:7.2f} {p99:7.2f}")
    for fraction in (0.5, 0.99):
        added = _percentile(times["through"], fraction) - _percentile(
            times["direct"], fraction
        )
        print(f"  added at p{fraction * 100:.0f}: {added:.2f}")


def _measure_ramp(fleet, pool, tokens: int, stream: bool) -> None:
    print("callers  requests/s  events/s  first byte p50, p99 ms  cpu  failed")
    pid = fleet.pid("instance-1")
    for callers in _CALLERS:
        before_s, started_s = cpu_s(pid), time.time()
        results = _step(pool, fleet.url("instance-1"), callers, tokens, stream)
        elapsed_s = time.time() - started_s
        used_s = cpu_s(pid) - before_s
        first = [ms for result in results for ms in result.first_byte_ms]
        events = sum(result.events for result in results)
        failures = sum(result.failures for result in results)
        per = used_s / max(1, events if stream else len(first)) * 1_000_000
        print(
            f"{callers:7} {len(first) / elapsed_s:11.1f}"
            f" {events / elapsed_s:9.0f}"
            f" {statistics.median(first):11.1f} {_percentile(first, 0.99):8.1f}"
            f" {used_s / elapsed_s * 100:8.0f}% {failures:6}"
            f"   {per:.0f} us cpu per {'event' if stream else 'request'}"
        )


def _engine_names() -> list[str]:
    return [f"engine-{n}" for n in range(1, _ENGINES + 1)]


def _warm_up(fleet) -> None:
    with futures.ThreadPoolExecutor(_MODELS) as executor:
        answers = list(
            executor.map(
                lambda n: fleet.complete("instance-1", f"model-{n}"),
                range(_MODELS),
            )
        )
    assert all(answer.is_complete for answer in answers), answers


def _run(token_ms: int, measure) -> None:
    models = tuple(
        inventory_lib.Model(f"model-{n}", "1", 2_000, 2_200)
        for n in range(_MODELS)
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleet_lib.Fleet(
            directory,
            instances=1,
            engines=_ENGINES,
            engine_arguments=("--token-ms", str(token_ms)),
            models=models,
            accounts=(
                inventory_lib.Account("quito", 10**9, 10**10),
                inventory_lib.Account("limon", 1, 1_000),
            ),
        )
        with fleet, multiprocessing.Pool(_CLIENT_PROCESSES) as pool:
            memory_mb = resident_mb(fleet.pid("instance-1"))
            print(f"idle instance: {memory_mb:.1f} MB resident")
            _warm_up(fleet)
            measure(fleet, pool)


def main() -> None:
    """Runs all measurements."""
    print("== requests: one token, no stream")

    def requests(fleet, pool):
        _measure_added_latency(fleet)
        _measure_ramp(fleet, pool, 1, stream=False)

    _run(0, requests)
    print(f"== streams: {_STREAM_TOKENS} events, {_TOKEN_MS} ms apart")
    _run(
        _TOKEN_MS,
        lambda fleet, pool: _measure_ramp(
            fleet, pool, _STREAM_TOKENS, stream=True
        ),
    )


if __name__ == "__main__":
    main()

"""Bad input at an instance: clear refusals, counters, and no leaks."""

import json
import socket

import pytest

from tests.support import fleet as fleet_lib

_KEY = fleet_lib.KEYS["quito"]
_BEARER = {"Authorization": f"Bearer {_KEY}"}
_GOOD = json.dumps({"model": "model-0", "prompt": "a", "max_tokens": 2})
_COMPLETIONS = "/v1/completions"
# Workers by the settings' default, and those of controllers, reports and peers.
_MAX_THREADS = 96 + 20


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    settings = {
        "server.max_body_bytes": 10_000,
        "server.max_header_bytes": 4_096,
        "server.read_timeout_ms": 500,
    }
    directory = tmp_path_factory.mktemp("fleet")
    with fleet_lib.Fleet(directory, 1, 1, settings) as running:
        yield running


def _ask(fleet, headers, body, path=_COMPLETIONS, method="POST"):
    data = body.encode() if isinstance(body, str) else body
    return fleet.request("instance-1", method, path, headers, data)


@pytest.mark.parametrize(
    ("headers", "body", "path", "status", "reason"),
    [
        (_BEARER, "{", _COMPLETIONS, 400, "malformed_body"),
        (_BEARER, "[" * 5_000, _COMPLETIONS, 400, "malformed_body"),
        (_BEARER, "[1]", _COMPLETIONS, 400, "malformed_body"),
        (_BEARER, "{}", _COMPLETIONS, 400, "model_missing"),
        (_BEARER, '{"model": 3}', _COMPLETIONS, 400, "model_missing"),
        (_BEARER, '{"model": "no"}', _COMPLETIONS, 404, "unknown_model"),
        (
            _BEARER,
            '{"model": "model-0", "max_tokens": "many"}',
            _COMPLETIONS,
            400,
            "invalid_parameter",
        ),
        ({}, _GOOD, _COMPLETIONS, 401, "key_missing"),
        (
            {"Authorization": "Bearer wrong"},
            _GOOD,
            _COMPLETIONS,
            401,
            "key_invalid",
        ),
        (
            {"Authorization": f"Basic {_KEY}"},
            _GOOD,
            _COMPLETIONS,
            401,
            "key_invalid",
        ),
        (
            {**_BEARER, "X-Api-Key": _KEY},
            _GOOD,
            _COMPLETIONS,
            400,
            "two_keys",
        ),
        (_BEARER, _GOOD, f"{_COMPLETIONS}?key={_KEY}", 400, "key_misplaced"),
        (_BEARER, _GOOD, "/v1/nothing", 404, "unknown_route"),
        (_BEARER, _GOOD, "/paymentsx", 404, "unknown_route"),
        (_BEARER, "{}", "/payments", 400, "idempotency_key_missing"),
        (
            {**_BEARER, "Idempotency-Key": "x" * 201},
            "{}",
            "/payments",
            400,
            "idempotency_key_invalid",
        ),
        (_BEARER, "x" * 10_001, _COMPLETIONS, 413, "body_too_large"),
        (
            _BEARER,
            '{"model": "model-0", "max_tokens": 1000000000}',
            _COMPLETIONS,
            400,
            "limit_too_small",
        ),
    ],
)
def test_refusal_is_typed_and_says_not_run(
    fleet, headers, body, path, status, reason
):
    answer = _ask(fleet, headers, body, path)
    assert (answer.status, answer.reason) == (status, reason)
    assert answer.run == "not run"
    assert answer.headers["content-type"] == "application/problem+json"
    _check_counted(fleet, reason)
    _check_no_leak(fleet)


def test_method_not_allowed(fleet):
    answer = _ask(fleet, _BEARER, b"", method="GET")
    assert (answer.status, answer.reason) == (405, "method_not_allowed")


def test_oversized_header_is_refused(fleet):
    answer = _ask(fleet, {**_BEARER, "X-Long": "x" * 8_000}, _GOOD)
    assert (answer.status, answer.reason) == (413, "headers_too_large")
    assert answer.run == "not run"
    _check_counted(fleet, "headers_too_large")
    _check_no_leak(fleet)


def test_body_without_length_is_refused(fleet):
    headers = {**_BEARER, "Transfer-Encoding": "chunked"}
    answer = _ask(fleet, headers, _GOOD)
    assert (answer.status, answer.reason) == (411, "length_required")
    _check_no_leak(fleet)


@pytest.mark.parametrize("length", ["many", "-1"])
def test_malformed_length_is_refused(fleet, length):
    head = (
        f"POST {_COMPLETIONS} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    with _connect(fleet) as connection:
        connection.sendall(head.encode())
        answer = connection.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 400")
    _check_counted(fleet, "malformed_request")
    _check_no_leak(fleet)


def test_slow_sender_is_refused(fleet):
    head = (
        f"POST {_COMPLETIONS} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {_KEY}\r\nContent-Length: 100\r\n\r\n{{"
    )
    with _connect(fleet) as connection:
        connection.sendall(head.encode())
        answer = connection.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 408")
    _check_counted(fleet, "slow_sender")
    _check_no_leak(fleet)


def test_sender_that_closes_half_way_leaks_nothing(fleet):
    head = (
        f"POST {_COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
    )
    with _connect(fleet) as connection:
        connection.sendall(head.encode())
    _check_no_leak(fleet)


def test_caller_gone_mid_stream_is_cancelled_at_the_target(fleet):
    body = json.dumps({"model": "model-0", "max_tokens": 5_000, "stream": True})
    head = (
        f"POST {_COMPLETIONS} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {_KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    with _connect(fleet) as connection:
        connection.sendall(head.encode())
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
    _check_no_leak(fleet)
    _check_counted(fleet, "client_gone")
    fleet.eventually(
        lambda: fleet.get("engine-1", "/load_report")["active"] == 0
    )


def _connect(fleet):
    return socket.create_connection(("127.0.0.1", fleet.port("instance-1")))


def _check_counted(fleet, reason):
    text = f'outcome="{reason}"'
    fleet.eventually(
        lambda: (
            text in fleet.request("instance-1", "GET", "/metrics").body.decode()
        )
    )


def _check_no_leak(fleet):
    """No request stays open, no place is taken, no token stays reserved."""
    kept = ("in_flight", "waiting", "open_tokens")

    def is_idle():
        status = fleet.get("instance-1", "/status")
        return [status[name] for name in kept] == [0, 0, 0]

    fleet.eventually(is_idle)
    status = fleet.get("instance-1", "/status")
    assert status["threads"] <= _MAX_THREADS

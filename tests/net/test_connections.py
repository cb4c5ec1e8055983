"""Connections of callers and to targets, on raw bytes."""

import asyncio

import hypothesis
from hypothesis import strategies

from tanagerloft.fleet import types
from tanagerloft.net import caller_connection
from tanagerloft.net import connection_pool
from tanagerloft.net import responder as responder_lib
from tanagerloft.net import target_connection

_REQUEST = (
    b"POST /p/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n"
)
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)


class _Transport:
    """Transport that records what is written."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def set_write_buffer_limits(self, *_limits) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    resume_reading = pause_reading

    def get_extra_info(self, _name):
        return _Socket()


class _Socket:
    def setsockopt(self, *_arguments) -> None:
        pass


class _Handler:
    """Handler that responds to each request with its request target."""

    def __init__(self):
        self.requests: list[responder_lib.Request] = []

    def handle(self, request, responder) -> None:
        self.requests.append(request)
        responder.respond(200, [], request.target)

    def refuse_unreadable(self, responder, status) -> None:
        responder.respond(status, [], b"")

    def limits(self) -> types.CallerLimits:
        return types.CallerLimits(header_bytes=500, body_bytes=100)

    def now_ms(self) -> int:
        return 1

    def closing(self) -> bool:
        return False


class _Receiver:
    """Receiver that records its calls."""

    def __init__(self):
        self.calls: list[str] = []
        self.body = b""

    def on_head(self, head) -> None:
        self.calls.append("head")

    def on_body(self, data) -> None:
        self.body += data

    def on_end(self) -> None:
        self.calls.append("end")

    def on_failure(self, failure) -> None:
        self.calls.append(failure.value)


def _feed_caller(fragments: list[bytes]) -> _Handler:
    async def run() -> _Handler:
        handler = _Handler()
        connection = caller_connection.CallerConnection(handler, set())
        connection.connection_made(_Transport())
        for fragment in fragments:
            connection.data_received(fragment)
            await asyncio.sleep(0)
        connection.connection_lost(None)
        return handler

    return asyncio.run(run())


def _feed_target(fragments: list[bytes], error: Exception | None) -> _Receiver:
    async def run() -> _Receiver:
        pool = connection_pool.Pool(lambda: 1)
        connection = target_connection.TargetConnection(pool, ("h", 1))
        connection.connection_made(_Transport())
        receiver = _Receiver()
        connection.send(b"request", receiver)
        for fragment in fragments:
            connection.data_received(fragment)
            await asyncio.sleep(0)
        connection.connection_lost(error)
        return receiver

    return asyncio.run(run())


def _split(data: bytes, positions: list[int]) -> list[bytes]:
    boundaries = sorted(
        {0, len(data), *(position % len(data) for position in positions)}
    )
    return [data[a:b] for a, b in zip(boundaries, boundaries[1:], strict=False)]


_positions = strategies.lists(strategies.integers(0, 500), max_size=6)


@_SETTINGS
@hypothesis.given(_positions)
def test_requests_are_parsed_from_any_fragments(positions):
    handler = _feed_caller(_split(_REQUEST * 2, positions))
    assert [r.body for r in handler.requests] == [b"abc", b"abc"]


@_SETTINGS
@hypothesis.given(_positions)
def test_responses_are_parsed_from_any_fragments(positions):
    receiver = _feed_target(_split(_RESPONSE, positions), None)
    assert receiver.calls == ["head", "end"]
    assert receiver.body == b"abc"


@_SETTINGS
@hypothesis.given(
    strategies.integers(0, len(_REQUEST) - 1), strategies.binary(max_size=6)
)
def test_corrupted_requests_break_no_connection(position, noise):
    data = _REQUEST[:position] + noise + _REQUEST[position + len(noise) :]
    for request in _feed_caller([data, _REQUEST]).requests:
        assert request.method
        assert request.target


@_SETTINGS
@hypothesis.given(
    strategies.integers(0, len(_RESPONSE) - 1),
    strategies.binary(max_size=6),
    strategies.booleans(),
)
def test_corrupted_responses_end_exactly_once(position, noise, reset):
    data = _RESPONSE[:position] + noise + _RESPONSE[position + len(noise) :]
    error = ConnectionResetError() if reset else None
    receiver = _feed_target([data], error)
    ends = [call for call in receiver.calls if call != "head"]
    assert len(ends) == 1


@_SETTINGS
@hypothesis.given(strategies.integers(1, len(_RESPONSE) - 1))
def test_a_truncated_response_never_seems_complete(position):
    for error in (None, ConnectionResetError()):
        receiver = _feed_target([_RESPONSE[:position]], error)
        assert "end" not in receiver.calls

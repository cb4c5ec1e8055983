"""Codecs of both sides on raw bytes."""

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
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n"
)
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)


class _Transport:
    """Transport that keeps what is written."""

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
    """Handler that answers each request with its target."""

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
    """Receiver that keeps what it is told."""

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


def _feed_caller(pieces: list[bytes]) -> _Handler:
    async def run() -> _Handler:
        handler = _Handler()
        connection = caller_connection.CallerConnection(handler, set())
        connection.connection_made(_Transport())
        for piece in pieces:
            connection.data_received(piece)
            await asyncio.sleep(0)
        connection.connection_lost(None)
        return handler

    return asyncio.run(run())


def _feed_target(pieces: list[bytes], error: Exception | None) -> _Receiver:
    async def run() -> _Receiver:
        pool = connection_pool.Pool(lambda: 1)
        connection = target_connection.TargetConnection(pool, ("h", 1))
        connection.connection_made(_Transport())
        receiver = _Receiver()
        connection.send(b"request", receiver)
        for piece in pieces:
            connection.data_received(piece)
            await asyncio.sleep(0)
        connection.connection_lost(error)
        return receiver

    return asyncio.run(run())


def _split(data: bytes, places: list[int]) -> list[bytes]:
    cuts = sorted({0, len(data), *(place % len(data) for place in places)})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


_places = strategies.lists(strategies.integers(0, 500), max_size=6)


@_SETTINGS
@hypothesis.given(_places)
def test_requests_are_read_however_they_are_cut(places):
    handler = _feed_caller(_split(_REQUEST * 2, places))
    assert [r.body for r in handler.requests] == [b"abc", b"abc"]


@_SETTINGS
@hypothesis.given(_places)
def test_answers_are_read_however_they_are_cut(places):
    receiver = _feed_target(_split(_ANSWER, places), None)
    assert receiver.calls == ["head", "end"]
    assert receiver.body == b"abc"


@_SETTINGS
@hypothesis.given(
    strategies.integers(0, len(_REQUEST) - 1), strategies.binary(max_size=6)
)
def test_spoilt_requests_break_nothing(place, noise):
    data = _REQUEST[:place] + noise + _REQUEST[place + len(noise) :]
    for request in _feed_caller([data, _REQUEST]).requests:
        assert request.method
        assert request.target


@_SETTINGS
@hypothesis.given(
    strategies.integers(0, len(_ANSWER) - 1),
    strategies.binary(max_size=6),
    strategies.booleans(),
)
def test_spoilt_answers_end_once(place, noise, reset):
    data = _ANSWER[:place] + noise + _ANSWER[place + len(noise) :]
    error = ConnectionResetError() if reset else None
    receiver = _feed_target([data], error)
    ends = [call for call in receiver.calls if call != "head"]
    assert len(ends) == 1


@_SETTINGS
@hypothesis.given(strategies.integers(1, len(_ANSWER) - 1))
def test_a_cut_answer_never_looks_whole(place):
    for error in (None, ConnectionResetError()):
        receiver = _feed_target([_ANSWER[:place]], error)
        assert "end" not in receiver.calls

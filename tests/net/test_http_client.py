"""Time-outs of exchanges, in virtual time."""

import asyncio

import pytest

from tanagerloft.net import http_client
from tanagerloft.net import target_connection
from tests.support import virtual_loop

_TIMEOUT_MS = 1_000


class _Connection:
    """Connection that responds with pieces at given intervals.

    Args:
        head_ms: Time to the head of the response, None for no response.
        pieces: Pieces of its body.
        interval_ms: Time before each piece.
        ends: Whether the response ends after the pieces.
    """

    def __init__(self, head_ms, pieces=(), interval_ms=0, ends=True):
        self._head_ms = head_ms
        self._pieces = pieces
        self._interval_ms = interval_ms
        self._ends = ends
        self._task = None
        self.cancelled = False

    def send(self, _data, receiver):
        self._task = asyncio.create_task(self._respond(receiver))

    def cancel(self):
        self.cancelled = True
        self._task.cancel()

    async def _respond(self, receiver):
        if self._head_ms is None:
            return
        await asyncio.sleep(self._head_ms / 1_000)
        receiver.on_head(target_connection.ResponseHead(200, ()))
        for piece in self._pieces:
            await asyncio.sleep(self._interval_ms / 1_000)
            receiver.on_body(piece)
        if self._ends:
            receiver.on_end()


class _Pool:
    """Pool with one idle connection."""

    def __init__(self, connection):
        self._connection = connection

    def acquire_idle(self, _address):
        return self._connection


def _exchange(connection):
    """Returns the outcome of an exchange, and the time that it took."""

    async def run():
        outcome = await http_client.exchange(
            _Pool(connection), ("10.0.0.1", 1), b"", _TIMEOUT_MS
        )
        return outcome, virtual_loop.now_ms()

    return virtual_loop.run(run())


@pytest.mark.parametrize("size_bytes", [50_000, 400_000])
def test_a_response_that_goes_on_arriving_is_not_timed_out(size_bytes):
    pieces = [b"x" * size_bytes] * 15
    outcome, took_ms = _exchange(_Connection(4, pieces, 500))
    assert isinstance(outcome, http_client.Response)
    assert len(outcome.body) == 15 * size_bytes
    assert took_ms == 7_504


@pytest.mark.parametrize("head_ms", [None, 1_500])
def test_silence_before_a_response_is_timed_out(head_ms):
    connection = _Connection(head_ms)
    outcome, took_ms = _exchange(connection)
    assert outcome == http_client.NoResponse(True, "timeout")
    assert took_ms == _TIMEOUT_MS
    assert connection.cancelled


def test_silence_within_a_response_is_timed_out():
    pieces = [b"x" * 100_000] * 3
    connection = _Connection(4, pieces, 100, ends=False)
    outcome, took_ms = _exchange(connection)
    assert outcome == http_client.NoResponse(True, "timeout", 300_000)
    assert took_ms == 304 + _TIMEOUT_MS
    assert connection.cancelled


def test_a_response_that_trickles_without_end_is_timed_out():
    connection = _Connection(4, [b"x"] * 1_000, 100)
    outcome, took_ms = _exchange(connection)
    assert isinstance(outcome, http_client.NoResponse)
    assert took_ms <= 2 * _TIMEOUT_MS
    assert connection.cancelled

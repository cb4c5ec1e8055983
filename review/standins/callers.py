"""Stand-in of clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools
from typing import NamedTuple

from standins import gateways
from standins import http

KEY = "key-1"
HOST = "host.example"
_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a client has got.

    Attributes:
        status: Status, 0 for a connection that ended without an answer.
        headers: Headers.
        body: Body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def new_id() -> str:
    """Returns the id of a new attempt."""
    return f"{next(_numbers):016x}"


def encode(
    path: str, method: str, request_id: str, deadline_ms: int, **headers: str
) -> bytes:
    """Returns an encoded attempt."""
    named = {
        name.replace("_", "-").title(): value for name, value in headers.items()
    }
    fixed = {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    body = b"" if method == "GET" else b"{}"
    return http.request(method, path, fixed | named, body)


class KeptConnection:
    """A connection that a client keeps for many attempts.

    Args:
        gateway: The instance.
        log: Called with each line of the record.

    Attributes:
        answered: Attempts that were answered on it.
    """

    def __init__(self, gateway: gateways.Gateway, log: Callable[[str], None]):
        self._gateway = gateway
        self._log = log
        self.answered = 0

    async def open(self) -> None:
        """Opens the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._gateway.port
        )

    async def call(
        self, path: str, method: str, request_id: str, deadline_ms: int
    ) -> http.Message | None:
        """Sends an attempt; returns its answer, None if there was none."""
        name = self._gateway.name
        self._log(f"send {request_id} {method} {path} to {name}, kept")
        self._writer.write(encode(path, method, request_id, deadline_ms))
        try:
            async with asyncio.timeout(deadline_ms / 1_000):
                message = await http.read(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._log(f"no answer {request_id} from {name}: {error!r}")
            return None
        self.answered += 1
        self._log(f"answer {request_id} {message.first[1]} from {name}")
        return message

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def call(
    gateway: gateways.Gateway,
    path: str,
    log: Callable[[str], None],
    deadline_ms: int,
    method: str = "POST",
    request_id: str = "",
    **headers: str,
) -> Answer:
    """Sends one attempt on a new connection and waits for its answer."""
    request_id = request_id or new_id()
    log(f"send {request_id} {method} {path} to {gateway.name}")
    answer = Answer(0, {}, b"")
    try:
        async with asyncio.timeout(deadline_ms / 1_000):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.port
            )
            try:
                writer.write(
                    encode(path, method, request_id, deadline_ms, **headers)
                )
                message = await http.read(reader)
                answer = Answer(
                    int(message.first[1]), message.headers, message.body
                )
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    log(f"answer {request_id} {answer.status} from {gateway.name}")
    return answer

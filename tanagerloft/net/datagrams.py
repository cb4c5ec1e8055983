"""Datagrams between instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tanagerloft.net import errors


class DatagramSocket(asyncio.DatagramProtocol):
    """Socket for datagrams.

    Args:
        receive: Told each datagram and where it came from.
    """

    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]):
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Binds the socket.

        Raises:
            errors.ListenError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(host, port)
            )
        except OSError as error:
            address = f"{host}:{port}"
            raise errors.ListenError(address, str(error)) from error

    def connection_made(self, transport) -> None:
        """Keeps the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands on a datagram."""
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of single datagrams: senders repeat their state."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram, which may get lost."""
        if self._transport is not None:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

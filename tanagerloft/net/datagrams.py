"""UDP datagrams between instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.net import errors

logger = logging.getLogger(__name__)

# Payload of the largest UDP datagram over IPv4.
_MAX_DATAGRAM_BYTES = 65_507


class DatagramSocket(asyncio.DatagramProtocol):
    """UDP socket of an instance.

    Args:
        receive: Called with each datagram and the address of its sender.
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
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to ``receive``."""
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of single datagrams: senders resend their state."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram, which may get lost."""
        if self._transport is None:
            return
        if len(data) > _MAX_DATAGRAM_BYTES:
            logger.error(
                "message too large for a datagram",
                extra={"peer": address[0], "bytes": len(data)},
            )
            return
        self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

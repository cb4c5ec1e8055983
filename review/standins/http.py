"""HTTP/1.1 for the stand-ins, over asyncio streams."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response with a body of known length.

    Attributes:
        first: Words of the first line.
        headers: Values by name in lower case.
        body: Body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the head of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.rstrip().split("\r\n")
    headers = {}
    for item in lines:
        name, _, value = item.partition(":")
        headers[name.lower()] = value.strip()
    return Message(line.split(" ", 2), headers, b"")


async def read(reader: asyncio.StreamReader) -> Message:
    """Reads a message; its body has a length or comes in chunks."""
    message = await read_head(reader)
    headers = message.headers
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return message._replace(body=b"".join(parts))
    length = int(headers.get("content-length", 0))
    return message._replace(body=await reader.readexactly(length))


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns an encoded response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def json_response(status: int, body: object, **headers: str) -> bytes:
    """Returns an encoded response with a JSON body."""
    named = {"Content-Type": "application/json"} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    return response(status, named, json.dumps(body).encode())


def request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns an encoded request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()

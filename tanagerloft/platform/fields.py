"""Checks values that another program has written.

A decoder passes on only values that every later use can take: a message between
instances, a header, a socket address, a sum of times. So no later use has to
check them again.
"""

from __future__ import annotations

from collections.abc import Callable
import ipaddress
import math
import re
from typing import Any
from typing import NoReturn
from typing import TypeVar

# Largest whole number that all JSON programs represent exactly; messages
# between instances hold integers of 64 bits.
MAX_WHOLE_NUMBER = 2**53 - 1
# Longest name of a row in the platform's store, in bytes.
MAX_NAME_BYTES = 200
_MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")
# See RFC 9110, section 5.5.
_HEADER_VALUE = re.compile(
    r"[\x21-\x7e\xa0-\xff]([\x20-\x7e\xa0-\xff]*[\x21-\x7e\xa0-\xff])?"
)

_Item = TypeVar("_Item")


def read_name(value: Any) -> str:
    """Returns a name, which may be empty.

    Raises:
        ValueError: It is no text, or too long.
    """
    if not isinstance(value, str):
        _refuse("a text", value)
    if len(value.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"text of more than {MAX_NAME_BYTES} bytes")
    return value


def read_header_value(value: Any) -> str:
    """Returns a name that is also sent as the value of a header.

    Raises:
        ValueError: It is no such text.
    """
    name = read_name(value)
    if not _HEADER_VALUE.fullmatch(name):
        _refuse("a header value", value)
    return name


def read_whole_number(value: Any, highest: int = MAX_WHOLE_NUMBER) -> int:
    """Returns a whole number from 0.

    Args:
        value: The value.
        highest: Highest number accepted.

    Raises:
        ValueError: It is no such number.
    """
    if type(value) is not int or not 0 <= value <= highest:
        _refuse(f"a whole number up to {highest}", value)
    return value


def read_duration_ms(value: Any) -> int:
    """Returns a duration, rounded down to whole milliseconds.

    Raises:
        ValueError: It is no such number.
    """
    if type(value) is float and math.isfinite(value):
        value = math.floor(value)
    return read_whole_number(value)


def read_address(value: Any) -> tuple[str, int]:
    """Returns the IP address and port of a text ``host:port``.

    Raises:
        ValueError: It is no such text.
    """
    host, _, port = read_name(value).rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        _refuse("an address with a port", value)
    ip = ipaddress.ip_address(host)
    if ip.is_unspecified or ip.is_multicast:
        _refuse("the address of a host", value)
    return str(ip), int(port)


def read_object(value: Any) -> dict[str, Any]:
    """Returns a JSON object; an empty one for None.

    Raises:
        ValueError: It is something else.
    """
    if value is None:
        return {}
    if not isinstance(value, dict):
        _refuse("an object", value)
    return value


def read_list(value: Any, read_item: Callable[[Any], _Item]) -> list[_Item]:
    """Returns the items of a JSON list; none for None.

    Args:
        value: The value.
        read_item: Checks and decodes an item.

    Raises:
        ValueError: It is something else, or has an invalid item.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        _refuse("a list", value)
    return [read_item(item) for item in value]


def _refuse(expected: str, value: Any) -> NoReturn:
    shown = repr(value)[:MAX_NAME_BYTES]
    raise ValueError(f"expected {expected}, got {shown}")

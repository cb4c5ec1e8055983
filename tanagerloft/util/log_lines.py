"""Reads the log lines of instances back."""

from __future__ import annotations

from collections.abc import Iterable
import json
from typing import Any

_STANDARD = ("at_ms", "instance", "level", "event")


def parse(line: str) -> dict[str, Any] | None:
    """Returns the object in a line, None if there is none.

    Whatever stands before it, such as the time that a collector adds, is left
    out.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    if isinstance(found, dict) and "event" in found:
        return found
    return None


def collected_s(line: str) -> float:
    """Returns the time in seconds that a collector has put before a line.

    It is 0 if there is none.
    """
    try:
        return float(line.partition("{")[0].split()[0])
    except (IndexError, ValueError):
        return 0.0


def path_of(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the lines that tell of a request, in the order given.

    Clocks of instances do not compare, so lines are not sorted.
    """
    found = (parse(line) for line in lines if request_id in line)
    return [
        line for line in found if line and line.get("request") == request_id
    ]


def describe(line: dict[str, Any]) -> str:
    """Returns one line of text for people."""
    rest = {
        name: value
        for name, value in line.items()
        if name not in (*_STANDARD, "request") and value not in (None, "")
    }
    fields = " ".join(f"{name}={value}" for name, value in rest.items())
    return f"{line.get('instance', '?')}: {line['event']}: {fields}"

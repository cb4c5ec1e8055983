"""Counts in the log lines of instances what became of requests."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from tanagerloft.util import log_lines

# Bounds of the classes of what a request for a model was told on arrival.
_SOON_MS = 1_000
_LATER_MS = 5_000
# The holder of the lease is taken to be away when its last word is so old.
_AWAY_MS = 1_500
_PERCENT = 100


class _Row(NamedTuple):
    """What requests are counted by.

    Attributes:
        route: Route.
        arrival: What was known of the model on arrival.
        end: Outcome, with the reason.
    """

    route: str
    arrival: str
    end: str


def table(lines: Iterable[str]) -> Iterator[str]:
    """Returns lines of text: requests by route, arrival and end.

    Args:
        lines: Lines of logs, of all instances and in any order.
    """
    took_ms = collections.defaultdict(list)
    for line in lines:
        found = log_lines.parse(line)
        if found is not None and found["event"] == "request ended":
            took_ms[_row(found)].append(found.get("took_ms") or 0)
    if not took_ms:
        return
    total = sum(map(len, took_ms.values()))
    yield _format("requests", "share", "median ms", "most ms", *_Row._fields)
    for row, times in sorted(
        took_ms.items(), key=lambda item: (item[0].route, -len(item[1]))
    ):
        times.sort()
        yield _format(
            len(times),
            f"{len(times) * _PERCENT / total:.1f}%",
            times[len(times) // 2],
            times[-1],
            *row,
        )


def _row(line: dict[str, Any]) -> _Row:
    end = " ".join(filter(None, (line.get("outcome"), line.get("reason"))))
    return _Row(line.get("route", ""), _arrival(line), end)


def _arrival(line: dict[str, Any]) -> str:
    """Returns what was known of a request's model when it came."""
    if not line.get("model"):
        return "no model"
    expected_ms = line.get("expected_ms")
    if expected_ms is not None:
        if expected_ms <= _SOON_MS:
            text = "expected soon"
        elif expected_ms <= _LATER_MS:
            text = "expected later"
        else:
            text = "expected much later"
    else:
        text = "there or not told"
    if (line.get("holder_age_ms") or 0) > _AWAY_MS:
        text += ", holder away"
    return text


def _format(*columns: object) -> str:
    *numbers, route, arrival, end = columns
    left = "".join(f"{number!s:>10}" for number in numbers)
    return f"{left}  {route!s:<12} {arrival!s:<32} {end}".rstrip()

"""Tells requests from tries in log lines: a refused caller comes back."""

from __future__ import annotations

import collections
from typing import Any
from typing import NamedTuple

# Statuses from here on are failures.
_FAILURES_FROM = 300
_REFUSED = 503
_MS_PER_S = 1_000
# Requests from which on a model counts as asked for throughout, and the least
# time from the first to the last.
_THROUGHOUT_REQUESTS = 4
_THROUGHOUT_S = 8.0
# A try of the same client account for the same model counts as the return of a
# refused caller up to this time after the refusal.
_MAX_RETURN_S = 7.0


class _Request(NamedTuple):
    """A request, of one try or more.

    Attributes:
        account: Client account.
        at_s: Time of its first try.
    """

    account: str
    at_s: float


class RequestLog:
    """Requests and answers by model, or by model with adapter."""

    def __init__(self):
        self._requests: dict[str, list[_Request]] = collections.defaultdict(
            list
        )
        self._refused: dict[str, list[_Request]] = collections.defaultdict(list)
        self._served_s: dict[str, list[float]] = collections.defaultdict(list)

    def record(self, line: dict[str, Any], at_s: float) -> None:
        """Records the end of a try.

        Args:
            line: The log line.
            at_s: When it was collected.
        """
        model, account = line["model"], line.get("account") or ""
        status = line.get("status") or _FAILURES_FROM
        if line.get("outcome") == "answered" and status < _FAILURES_FROM:
            self._served_s[model].append(at_s)
        began_s = at_s - (line.get("took_ms") or 0) / _MS_PER_S
        if not self._take_return(model, account, began_s):
            self._requests[model].append(_Request(account, began_s))
            if status == _REFUSED:
                self._refused[model].append(_Request(account, at_s))

    def _take_return(self, model: str, account: str, began_s: float) -> bool:
        """Returns whether a try is that of a refused caller coming back."""
        for refused in self._refused[model]:
            since_s = began_s - refused.at_s
            if refused.account == account and 0 < since_s <= _MAX_RETURN_S:
                self._refused[model].remove(refused)
                return True
        return False

    def served_s(self, model: str) -> list[float]:
        """Returns when requests for a model were answered, oldest first.

        Args:
            model: A model, with or without an adapter. Without one, requests
                for its adapters count too.
        """
        prefix = f"{model}/"
        return sorted(
            at_s
            for name, answered_s in self._served_s.items()
            if name == model or name.startswith(prefix)
            for at_s in answered_s
        )

    def asked_throughout(self) -> dict[str, int]:
        """Returns the requests for each model that was asked for throughout."""
        return {
            model: len(requests)
            for model, requests in self._requests.items()
            if len(requests) >= _THROUGHOUT_REQUESTS
            and requests[-1].at_s - requests[0].at_s >= _THROUGHOUT_S
        }

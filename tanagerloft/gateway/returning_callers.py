"""Refused callers that are expected to come back for a model."""

from __future__ import annotations

from typing import NamedTuple

from tanagerloft.coordination import messages
from tanagerloft.coordination import targets
from tanagerloft.fleet import types
from tanagerloft.util import bounded

# Most refused callers that an instance remembers.
_MAX_CALLERS = 1_000


class _Return(NamedTuple):
    requirement: targets.Requirement
    at_ms: int
    gives_up_ms: int


class ReturningCallers:
    """Callers refused by this instance, until they come back somewhere."""

    def __init__(self):
        self._returns: dict[str, _Return] = {}

    def record(
        self,
        request_id: str,
        requirement: targets.Requirement,
        route: types.Route,
        retry_after_ms: int,
        deadline_ms: int,
        now_ms: int,
    ) -> None:
        """Records a refusal, if the caller may have a further try.

        A caller with less time left than it keeps after a refusal has come
        back already.

        Args:
            request_id: Identity of the request.
            requirement: What it needs.
            route: Its route.
            retry_after_ms: Delay that the caller is told.
            deadline_ms: When the caller gives up.
            now_ms: Reading of the clock.
        """
        left_ms = deadline_ms - now_ms
        max_delay_ms = left_ms * types.MAX_RETRY_DELAY_SHARE
        kept_share = 1 - types.MAX_RETRY_DELAY_SHARE
        if left_ms <= kept_share * route.timeout_ms:
            return
        at_ms = now_ms + int(min(retry_after_ms, max_delay_ms))
        gives_up_ms = min(deadline_ms, at_ms + route.caller_timeout_ms)
        bounded.put_newest(
            self._returns,
            request_id,
            _Return(requirement, at_ms, gives_up_ms),
            _MAX_CALLERS,
        )

    def summary(self, now_ms: int) -> list[messages.ReturningCallers]:
        """Returns the callers that are still to come back, by model.

        Args:
            now_ms: Reading of the clock.
        """
        self._returns = {
            request_id: item
            for request_id, item in self._returns.items()
            if item.at_ms > now_ms
        }
        left_ms: dict[tuple[str, str], list[int]] = {}
        for item in self._returns.values():
            key = item.requirement.service, item.requirement.model
            left_ms.setdefault(key, []).append(item.gives_up_ms - now_ms)
        return [
            messages.ReturningCallers(service, model, times_ms)
            for (service, model), times_ms in left_ms.items()
        ]

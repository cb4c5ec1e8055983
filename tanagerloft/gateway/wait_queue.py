"""Queue of requests that wait until a target holds their model."""

from __future__ import annotations

from typing import Protocol

from tanagerloft.coordination import messages
from tanagerloft.coordination import targets

# Most waiting requests for one requirement that are reported to the lease
# holder: more would not change its plan.
_MAX_REPORTED_WAITERS = 16


class Waiter(Protocol):
    """A request that waits.

    Attributes:
        objective_at_ms: When it misses its latency objective.
        caller_timeout_at_ms: When its caller gives up.
    """

    objective_at_ms: int
    caller_timeout_at_ms: int

    def try_send(self) -> bool:
        """Sends the request if a target can accept it now.

        Returns:
            Whether other requests that wait for the same may try too.
        """


class WaitQueue:
    """Waiting requests by requirement, oldest first."""

    def __init__(self):
        self._waiting: dict[targets.Requirement, dict[Waiter, None]] = {}

    def add(self, requirement: targets.Requirement, waiter: Waiter) -> None:
        """Adds a request."""
        self._waiting.setdefault(requirement, {})[waiter] = None

    def remove(self, requirement: targets.Requirement, waiter: Waiter) -> None:
        """Removes a request, if it waits."""
        waiters = self._waiting.get(requirement)
        if waiters is not None:
            waiters.pop(waiter, None)
            if not waiters:
                del self._waiting[requirement]

    def try_all(self) -> None:
        """Lets waiting requests try, until one of a requirement must wait."""
        for waiters in list(self._waiting.values()):
            for waiter in list(waiters):
                if not waiter.try_send():
                    break

    def count(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(waiters) for waiters in self._waiting.values())

    def summary(self, now_ms: int) -> list[messages.WaitingRequests]:
        """Returns the requirements on models and how long callers wait.

        Args:
            now_ms: Reading of the clock.
        """
        return [
            messages.WaitingRequests(
                service=requirement.service,
                model=requirement.model,
                adapter=requirement.adapter,
                objectives_left_ms=[
                    waiter.objective_at_ms - now_ms for waiter in reported
                ],
                caller_timeouts_left_ms=[
                    waiter.caller_timeout_at_ms - now_ms for waiter in reported
                ],
            )
            for requirement, waiters in self._waiting.items()
            if requirement.model
            for reported in [list(waiters)[:_MAX_REPORTED_WAITERS]]
        ]

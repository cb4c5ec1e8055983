"""Requests that wait until a target holds their model."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from tanagerloft.coordination import messages

# Requests for one subject that the holder is told of; more change no plan.
_MAX_TOLD = 16


class Subject(NamedTuple):
    """What requests wait for.

    Attributes:
        service: Service.
        model: Model, empty on a plain service.
        adapter: Adapter, empty for none.
    """

    service: str
    model: str
    adapter: str


class Waiter(Protocol):
    """A request that waits.

    Attributes:
        aim_ms: When it misses its aim.
        patience_ms: When its caller leaves.
    """

    aim_ms: int
    patience_ms: int

    def try_send(self) -> bool:
        """Sends the request if a target can take it now."""


class WaitingRoom:
    """Waiting requests by what they wait for, oldest first."""

    def __init__(self):
        self._waiting: dict[Subject, dict[Waiter, None]] = {}

    def add(self, subject: Subject, waiter: Waiter) -> None:
        """Lets a request wait."""
        self._waiting.setdefault(subject, {})[waiter] = None

    def remove(self, subject: Subject, waiter: Waiter) -> None:
        """Ends a wait."""
        waiters = self._waiting.get(subject)
        if waiters is not None:
            waiters.pop(waiter, None)
            if not waiters:
                del self._waiting[subject]

    def pump(self) -> None:
        """Lets all try whose target may be there now."""
        for waiters in list(self._waiting.values()):
            for waiter in list(waiters):
                if not waiter.try_send():
                    break

    def count(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(waiters) for waiters in self._waiting.values())

    def summary(self, now_ms: int) -> list[messages.Waited]:
        """Returns what is waited for."""
        return [
            messages.Waited(
                service=subject.service,
                model=subject.model,
                adapter=subject.adapter,
                aims_left_ms=[one.aim_ms - now_ms for one in told],
                patience_left_ms=[one.patience_ms - now_ms for one in told],
            )
            for subject, waiters in self._waiting.items()
            if subject.model
            for told in [list(waiters)[:_MAX_TOLD]]
        ]

"""Fair queue of requests that wait for a replica."""

from typing import NamedTuple

from tanagerloft.decisions import errors


class Waiter(NamedTuple):
    """A request that waits.

    Attributes:
        request_id: Identity of the request.
        account: Client account, empty on open routes.
        subject: Model, adapter or route that it waits for.
        cost_tokens: Tokens that the queue charges for it.
        weight: Weight of its account.
        priority: Priority of its class, higher first.
        enqueued_ms: When it was added.
        deadline_ms: Time by which it must be answered.
    """

    request_id: str
    account: str
    subject: str
    cost_tokens: int
    weight: int
    priority: int
    enqueued_ms: int
    deadline_ms: int


class _Entry(NamedTuple):
    waiter: Waiter
    virtual_start: float


class FairQueue:
    """Weighted fair queue over accounts, with priorities and aging.

    Within a priority, requests go in order of virtual start time (start-time
    fair queueing), so an account's share of served tokens follows its weight.
    A request that has waited for half of the time until its deadline is served
    before all that have not, whatever its priority, so none starves.

    Args:
        max_waiting: Bound on the number of waiting requests.
    """

    def __init__(self, max_waiting: int):
        self._max_waiting = max_waiting
        self._entries: dict[str, _Entry] = {}
        self._account_finish: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._entries)

    def add(self, waiter: Waiter) -> errors.QueueFull | None:
        """Adds a request, unless the queue is full."""
        if len(self._entries) >= self._max_waiting:
            return errors.QueueFull(self._max_waiting)
        start = max(
            self._virtual_time, self._account_finish.get(waiter.account, 0.0)
        )
        cost = max(1, waiter.cost_tokens) / waiter.weight
        self._account_finish[waiter.account] = start + cost
        self._entries[waiter.request_id] = _Entry(waiter, start)
        return None

    def remove(self, request_id: str) -> Waiter | None:
        """Removes a request if it still waits, and returns it."""
        entry = self._entries.pop(request_id, None)
        if not self._entries:
            self._account_finish.clear()
            self._virtual_time = 0.0
        return entry.waiter if entry else None

    def expire(self, now_ms: int) -> list[Waiter]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [
            entry.waiter
            for entry in self._entries.values()
            if entry.waiter.deadline_ms <= now_ms
        ]
        for waiter in expired:
            self.remove(waiter.request_id)
        return expired

    def subjects(self) -> dict[str, int]:
        """Returns the subjects waited for, each with its earliest deadline."""
        earliest: dict[str, int] = {}
        for entry in self._entries.values():
            subject = entry.waiter.subject
            deadline_ms = entry.waiter.deadline_ms
            earliest[subject] = min(
                deadline_ms, earliest.get(subject, deadline_ms)
            )
        return earliest

    def waiting_for(self, subject: str) -> list[Waiter]:
        """Returns the requests that wait for ``subject``."""
        return [
            entry.waiter
            for entry in self._entries.values()
            if entry.waiter.subject == subject
        ]

    def pop(self, subject: str, now_ms: int) -> Waiter | None:
        """Removes and returns the next request for ``subject``."""
        candidates = [
            entry
            for entry in self._entries.values()
            if entry.waiter.subject == subject
        ]
        if not candidates:
            return None
        entry = min(candidates, key=lambda entry: _order(entry, now_ms))
        self._virtual_time = max(self._virtual_time, entry.virtual_start)
        self.remove(entry.waiter.request_id)
        return entry.waiter


def _order(entry: _Entry, now_ms: int) -> tuple[int, int, float, int]:
    waiter = entry.waiter
    half_ms = (waiter.deadline_ms - waiter.enqueued_ms) // 2
    aged = now_ms - waiter.enqueued_ms >= half_ms
    return (
        0 if aged else 1,
        0 if aged else -waiter.priority,
        entry.virtual_start,
        waiter.enqueued_ms,
    )

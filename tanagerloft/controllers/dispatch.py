"""Controller of waiting requests: assigns targets as slots become free."""

from collections.abc import Callable
from concurrent import futures
import threading
from typing import NamedTuple

from tanagerloft.decisions import errors as decision_errors
from tanagerloft.decisions import queueing
from tanagerloft.decisions import routing
from tanagerloft.filters import errors as filter_errors


class Assignment(NamedTuple):
    """A slot at a target, to be released with ``Dispatcher.release``."""

    target: str


Candidates = Callable[[str], list[routing.Candidate]]


class Dispatcher:
    """Queue of this instance and its open requests at each target.

    Args:
        max_waiting: Maximum length of the queue.
        max_per_target: Maximum of open requests at one target.
        candidates: Returns the targets that can run a subject now, with
            ``in_flight`` left at 0.
        wake: Called when a request was not assigned at once.
    """

    def __init__(
        self,
        max_waiting: int,
        max_per_target: int,
        candidates: Candidates,
        wake: Callable[[], None],
    ):
        self._lock = threading.Lock()
        self._queue = queueing.FairQueue(max_waiting)
        self._max_per_target = max_per_target
        self._candidates = candidates
        self._wake = wake
        self._futures: dict[str, futures.Future] = {}
        self._in_flight: dict[str, int] = {}
        self._excluded: dict[str, frozenset[str]] = {}

    def submit(
        self, waiter: queueing.Waiter, excluded: frozenset[str], now_ms: int
    ) -> futures.Future | filter_errors.Refusal:
        """Queues a request.

        Args:
            waiter: The request.
            excluded: Targets it has tried; used only if no other has a slot.
            now_ms: Current time.

        Returns:
            A future of an ``Assignment`` or a ``Refusal``, or a refusal.
        """
        future: futures.Future = futures.Future()
        with self._lock:
            full = self._queue.add(waiter)
            if isinstance(full, decision_errors.QueueFull):
                return filter_errors.QUEUE_FULL
            self._futures[waiter.request_id] = future
            self._excluded[waiter.request_id] = excluded
        self.assign_waiting(waiter.subject, now_ms)
        if not future.done():
            self._wake()
        return future

    def cancel(self, request_id: str) -> None:
        """Removes a request from the queue, unless it has been assigned."""
        with self._lock:
            self._queue.remove(request_id)
            self._excluded.pop(request_id, None)
            future = self._futures.pop(request_id, None)
        if future is not None:
            future.set_result(filter_errors.CLIENT_GONE)

    def release(self, assignment: Assignment, now_ms: int) -> None:
        """Releases a slot and assigns it to the next request."""
        with self._lock:
            self._in_flight[assignment.target] -= 1
            subjects = list(self._queue.subjects())
        for subject in subjects:
            self.assign_waiting(subject, now_ms)

    def assign_waiting(self, subject: str, now_ms: int) -> None:
        """Assigns slots to requests for ``subject`` while any are free."""
        while True:
            assigned = self._assign_next(subject, now_ms)
            if assigned is None:
                return
            future, assignment = assigned
            future.set_result(assignment)

    def assign_all(self, now_ms: int) -> None:
        """Assigns free slots and refuses requests past their deadline."""
        with self._lock:
            expired = self._queue.expire(now_ms)
            subjects = list(self._queue.subjects())
        for waiter in expired:
            self._finish(waiter.request_id, filter_errors.DEADLINE)
        for subject in subjects:
            self.assign_waiting(subject, now_ms)

    def refuse(self, subject: str, refusal: filter_errors.Refusal) -> None:
        """Refuses all waiting requests for ``subject``."""
        with self._lock:
            waiters = self._queue.waiting_for(subject)
            for waiter in waiters:
                self._queue.remove(waiter.request_id)
        for waiter in waiters:
            self._finish(waiter.request_id, refusal)

    def waiting(self) -> dict[str, int]:
        """Returns the subjects waited for, each with its earliest deadline."""
        with self._lock:
            return self._queue.subjects()

    def depth(self) -> int:
        """Returns the number of waiting requests."""
        with self._lock:
            return len(self._queue)

    def in_flight(self, target: str) -> int:
        """Returns the number of this instance's open requests at ``target``."""
        with self._lock:
            return self._in_flight.get(target, 0)

    def _assign_next(
        self, subject: str, now_ms: int
    ) -> tuple[futures.Future, Assignment] | None:
        candidates = self._candidates(subject)
        if not candidates:
            return None
        with self._lock:
            choice = routing.choose(
                self._with_load(candidates), self._max_per_target
            )
            if choice is None:
                return None
            waiter = self._queue.pop(subject, now_ms)
            if waiter is None:
                return None
            choice = self._prefer_untried(waiter, candidates, choice)
            self._in_flight[choice.name] = (
                self._in_flight.get(choice.name, 0) + 1
            )
            future = self._futures.pop(waiter.request_id)
            self._excluded.pop(waiter.request_id, None)
        return future, Assignment(choice.name)

    def _prefer_untried(
        self,
        waiter: queueing.Waiter,
        candidates: list[routing.Candidate],
        choice: routing.Candidate,
    ) -> routing.Candidate:
        tried = self._excluded.get(waiter.request_id, frozenset())
        untried = [
            candidate for candidate in candidates if candidate.name not in tried
        ]
        preferred = routing.choose(
            self._with_load(untried), self._max_per_target
        )
        return preferred or choice

    def _with_load(
        self, candidates: list[routing.Candidate]
    ) -> list[routing.Candidate]:
        return [
            candidate._replace(in_flight=self._in_flight.get(candidate.name, 0))
            for candidate in candidates
        ]

    def _finish(self, request_id: str, refusal: filter_errors.Refusal) -> None:
        with self._lock:
            future = self._futures.pop(request_id, None)
            self._excluded.pop(request_id, None)
        if future is not None:
            future.set_result(refusal)

"""Retry budget: bounds the sends beyond the first of each request.

When targets fail, every instance would otherwise retry all of its requests and
multiply the load. The bound holds for the whole fleet in any window; each
instance enforces its own part of it.
"""

import collections
from typing import NamedTuple


class Decision(NamedTuple):
    """Whether a retry may be sent, and why.

    Attributes:
        granted: Whether it may be sent.
        first_sends: First sends in the window.
        retries: Retries granted in the window before.
        allowed: Retries allowed in the window.
        instances: Instances that share the slack, 0 if not known.
    """

    granted: bool
    first_sends: int
    retries: int
    allowed: float
    instances: int


class RetryBudget:
    """Budget of one service at one instance.

    Args:
        ratio: Retries allowed per first send.
        slack: Additional retries allowed for the whole fleet.
        window_ms: Length of the window.
        started_ms: Reading of the clock at the start of the process: the slack
            of the first window may have been used by the previous process.
    """

    def __init__(
        self, ratio: float, slack: float, window_ms: int, started_ms: int
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._first_sends_ms: collections.deque[int] = collections.deque()
        self._retries_ms: collections.deque[int] = collections.deque()

    def record_first_send(self, now_ms: int) -> None:
        """Counts the first send of a request."""
        self._first_sends_ms.append(now_ms)
        self._evict_old(now_ms)

    def try_acquire(self, instance_count: int, now_ms: int) -> Decision:
        """Acquires one retry if the budget allows it.

        Args:
            instance_count: Instances that share the slack, 0 if that is not
                known: the slack is then not used, because each instance would
                use all of it.
            now_ms: Reading of the clock.

        Returns:
            The decision.
        """
        self._evict_old(now_ms)
        slack = self._slack / instance_count if instance_count else 0.0
        if now_ms - self._started_ms < self._window_ms:
            slack /= 2
        allowed = self._ratio * len(self._first_sends_ms) + slack
        decision = Decision(
            granted=len(self._retries_ms) + 1 <= allowed,
            first_sends=len(self._first_sends_ms),
            retries=len(self._retries_ms),
            allowed=allowed,
            instances=instance_count,
        )
        if decision.granted:
            self._retries_ms.append(now_ms)
        return decision

    def _evict_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._first_sends_ms, self._retries_ms):
            while times and times[0] <= oldest_ms:
                times.popleft()

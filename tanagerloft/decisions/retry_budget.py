"""Retry budget: bounds the sends beyond the first of each request.

When targets fail, every instance would otherwise retry all of its requests and
multiply the load. The bound holds for the whole fleet in any window: a part of
the requests in it, and a slack. Instances keep to it without a message for each
retry. First sends earn retries, each of them once, wherever the windows of
other instances begin; of these, an instance saves up only a few. A new process
begins with one. The rest of its share of the slack may be used once in a
window, and not before a process has run for a window, because the process
before it may have used that share.
"""

import collections
from typing import NamedTuple

# Part of the slack that instances leave unused, because retries which are
# granted over a longer time may arrive in the same window.
_TRANSIT_MARGIN = 0.1
# Part of an instance's share of the slack that bounds the retries it saves up.
_SAVED_PART = 0.25
# A retry cannot be saved up in parts, however small the share is.
_MIN_SAVED_RETRIES = 1.0
# Retries of a new process before it has earned any.
_INITIAL_RETRIES = 1.0


class Decision(NamedTuple):
    """Whether a retry may be sent, and why.

    Attributes:
        granted: Whether it may be sent.
        earned: Retries that first sends had earned and that were not used.
        slack_used: Retries of the window that had used the slack.
        slack_share: Retries of a window that may use the slack here.
        instances: Instances that share the slack, 0 if not known.
    """

    granted: bool
    earned: float
    slack_used: int
    slack_share: float
    instances: int


class RetryBudget:
    """Budget of one service at one instance.

    Args:
        ratio: Retries allowed per first send.
        slack: Additional retries allowed for the whole fleet.
        window_ms: Length of the window.
        started_ms: Reading of the clock at the start of the process.
    """

    def __init__(
        self, ratio: float, slack: float, window_ms: int, started_ms: int
    ):
        self._ratio = ratio
        self._slack = slack * (1 - _TRANSIT_MARGIN)
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._earned = _INITIAL_RETRIES
        self._slack_uses_ms: collections.deque[int] = collections.deque()

    def record_first_send(self, instance_count: int) -> None:
        """Counts the first send of a request.

        Args:
            instance_count: Instances that share the slack, 0 if not known.
        """
        self._earned = min(
            self._earned + self._ratio, self._max_saved(instance_count)
        )

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
        while (
            self._slack_uses_ms
            and self._slack_uses_ms[0] <= now_ms - self._window_ms
        ):
            self._slack_uses_ms.popleft()
        self._earned = min(self._earned, self._max_saved(instance_count))
        slack_share = self._slack_share(instance_count, now_ms)
        may_use_slack = len(self._slack_uses_ms) + 1 <= slack_share
        decision = Decision(
            granted=self._earned >= 1 or may_use_slack,
            earned=self._earned,
            slack_used=len(self._slack_uses_ms),
            slack_share=slack_share,
            instances=instance_count,
        )
        if self._earned >= 1:
            self._earned -= 1
        elif decision.granted:
            self._slack_uses_ms.append(now_ms)
        return decision

    def _max_saved(self, instance_count: int) -> float:
        """Returns the most retries that may be saved up."""
        if not instance_count:
            return _MIN_SAVED_RETRIES
        share = self._slack / instance_count
        return max(_MIN_SAVED_RETRIES, _SAVED_PART * share)

    def _slack_share(self, instance_count: int, now_ms: int) -> float:
        """Returns the retries of a window that may use the slack."""
        has_run_for_ms = now_ms - self._started_ms
        if not instance_count or has_run_for_ms < self._window_ms:
            return 0.0
        share = self._slack / instance_count
        return share - self._max_saved(instance_count) - _INITIAL_RETRIES

"""Errors of the decision layer."""

from typing import NamedTuple


class QueueFull(NamedTuple):
    """The queue is full.

    Attributes:
        max_waiting: Number of requests that it holds at most.
    """

    max_waiting: int


class NoCapacity(NamedTuple):
    """No target has the capacity to load an item now.

    Attributes:
        reason: Condition that the nearest candidate did not meet.
        permanent: Whether only a change of the inventory can help.
    """

    reason: str
    permanent: bool


class LimitExceeded(NamedTuple):
    """The account has too few tokens now.

    Attributes:
        retry_after_ms: Time until it may have enough, 0 if it never will.
    """

    retry_after_ms: int


class LimitUnconfirmed(NamedTuple):
    """It cannot be decided now whether the account has enough tokens.

    Attributes:
        reason: Information that is missing.
    """

    reason: str


class StaleOrder(NamedTuple):
    """A row has changed since the order was planned.

    Attributes:
        reason: Difference that was found.
    """

    reason: str

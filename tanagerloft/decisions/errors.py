"""Errors of the decision layer."""

from typing import NamedTuple


class QueueFull(NamedTuple):
    """The queue holds as many requests as it may."""

    max_waiting: int


class NoCapacity(NamedTuple):
    """No target can take the load now.

    Attributes:
        reason: Which condition kept the nearest candidate out.
        permanent: Whether no change of load can help, only of inventory.
    """

    reason: str
    permanent: bool


class LimitExceeded(NamedTuple):
    """The account's tokens do not suffice now.

    Attributes:
        retry_after_ms: When they may suffice, 0 if never.
    """

    retry_after_ms: int


class LimitUnconfirmed(NamedTuple):
    """Whether the account's tokens suffice cannot be told now.

    Attributes:
        reason: What is missing to tell.
    """

    reason: str


class StaleOrder(NamedTuple):
    """A row no longer says what an order was made from."""

    reason: str

"""Errors of the coordination layer."""

import enum
from typing import NamedTuple


class StoreFailure(enum.Enum):
    """How a call to the store failed, and whether it may have taken effect."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history_lost"
    CONFLICT = "conflict"


class StoreError(NamedTuple):
    """A call to the store failed.

    Attributes:
        failure: How it failed.
        reason: Reason for the log.
        received_bytes: Bytes of the response's body that have arrived.
    """

    failure: StoreFailure
    reason: str
    received_bytes: int = 0


class MalformedEntry(NamedTuple):
    """An entry of another writer could not be decoded.

    Attributes:
        key: Its key.
        reason: Reason for the log.
    """

    key: str
    reason: str

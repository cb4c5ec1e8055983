"""Errors of the coordination layer."""

import enum
from typing import NamedTuple


class StoreFailure(enum.Enum):
    """What a failed call to the store leaves open."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history_lost"
    CONFLICT = "conflict"


class StoreError(NamedTuple):
    """A call to the store failed.

    Attributes:
        failure: What it leaves open.
        reason: Text for logs.
    """

    failure: StoreFailure
    reason: str


class MalformedEntry(NamedTuple):
    """Something that another writer wrote could not be read.

    Attributes:
        key: Its key.
        reason: Text for logs.
    """

    key: str
    reason: str

"""Errors of the platform layer."""

from typing import NamedTuple


class TableError(NamedTuple):
    """Why a table call gave no result.

    Attributes:
        code: ``unavailable``, ``conflict`` or ``unknown``.
        reason: Text for logs and operators.
    """

    code: str
    reason: str


UNAVAILABLE = "unavailable"
CONFLICT = "conflict"
UNKNOWN = "unknown"


def unavailable(reason: str) -> TableError:
    """The call did not reach the table, or changed nothing."""
    return TableError(UNAVAILABLE, reason)


def conflict(reason: str) -> TableError:
    """A condition of the transaction did not hold; nothing was written."""
    return TableError(CONFLICT, reason)


def unknown(reason: str) -> TableError:
    """The answer was lost: the transaction may have taken effect."""
    return TableError(UNKNOWN, reason)

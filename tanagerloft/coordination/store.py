"""Interface of the platform's store.

The store may come back from an older copy of itself. What was written since the
copy is lost, and versions are given out again: each such restore begins a new
era, and only a version together with its era tells which of two is later.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from tanagerloft.coordination import errors

# Bits of a version that number it within its era.
_NUMBER_BITS = 48


def join_era(era: int, number: int) -> int:
    """Returns a version that rises over all eras.

    Args:
        era: Era of the store.
        number: Version within the era.
    """
    return (era << _NUMBER_BITS) | number


def split_era(version: int) -> tuple[int, int]:
    """Returns the era of a version, and its number within the era."""
    return version >> _NUMBER_BITS, version & ((1 << _NUMBER_BITS) - 1)


class Row(NamedTuple):
    """A row of a table.

    Attributes:
        key: Key.
        value: Contents; None if the row does not exist (any more).
        version: Version, 0 if it never existed.
    """

    key: str
    value: bytes | None
    version: int


class Snapshot(NamedTuple):
    """Rows of a table at one moment, or its changes since a version.

    Attributes:
        rows: The rows.
        version: Newest version of the store at that moment.
        era: Era of the store, which all these versions belong to.
    """

    rows: tuple[Row, ...]
    version: int
    era: int = 0


class Store(Protocol):
    """The platform's store."""

    async def read(self, table: str, key: str) -> Row | errors.StoreError:
        """Returns a row."""

    async def scan(self, table: str) -> Snapshot | errors.StoreError:
        """Returns all rows of a table."""

    async def changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> Snapshot | errors.StoreError:
        """Returns the rows changed since a version.

        Waits up to ``wait_ms`` for the first change.
        """

    async def write(
        self, table: str, key: str, value: bytes, expected_version: int
    ) -> int | errors.StoreError:
        """Writes a row if it still has a version; returns the new one."""

"""Interface of the platform's store."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from tanagerloft.coordination import errors


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
    """

    rows: tuple[Row, ...]
    version: int


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

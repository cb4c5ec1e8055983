"""Interface of the platform's store.

The store may come back from an older copy of itself. What was written since the
copy is lost, and versions are given out again: each such restore begins a new
era, see ``util.store_versions``.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from tanagerloft.coordination import errors


class Row(NamedTuple):
    """A row of a table.

    Attributes:
        key: Key.
        value: Contents; None if the row does not exist (any more).
        version: Version within its era, 0 if it never existed.
        era: Era of the store; set where the row is read alone.
    """

    key: str
    value: bytes | None
    version: int
    era: int = 0


class Written(NamedTuple):
    """A write that has been applied.

    A write may be sent in one era and applied in the next one, if the row has
    the expected version there too.

    Attributes:
        version: Version of the row within its era.
        era: Era in which the write was applied.
    """

    version: int
    era: int = 0


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
    ) -> Written | errors.StoreError:
        """Writes a row if it still has a version."""

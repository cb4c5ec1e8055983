"""Reads a table of the store: whole at first, then what has changed."""

from __future__ import annotations

import logging

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib

logger = logging.getLogger(__name__)


class TableReader:
    """Place up to which a table has been read.

    Args:
        store: The platform's store.
        table: The table.

    Attributes:
        failures: Calls that have failed since the last one that did not.
    """

    def __init__(self, store: store_lib.Store, table: str):
        self._store = store
        self._table = table
        self._after_version: int | None = None
        self.failures = 0

    @property
    def is_full_scan(self) -> bool:
        """Whether the next reading is of the whole table."""
        return self._after_version is None

    def restart(self) -> None:
        """Reads the table whole the next time."""
        self._after_version = None

    def advance(self, version: int) -> None:
        """Takes in that all changes up to a version are known."""
        if self._after_version is not None:
            self._after_version = max(self._after_version, version)

    async def read(self, wait_ms: int) -> store_lib.Snapshot | None:
        """Reads the table, or what has changed.

        Args:
            wait_ms: How long to wait for the first change.

        Returns:
            The rows; None if the call failed, or if the changes are no longer
            to be had and the table must be read whole.
        """
        if self._after_version is None:
            found = await self._store.scan(self._table)
        else:
            found = await self._store.changes(
                self._table, self._after_version, wait_ms
            )
        if isinstance(found, errors.StoreError):
            self._note_error(found)
            return None
        if self.failures:
            logger.info("store regained", extra={"table": self._table})
        self.failures = 0
        self._after_version = found.version
        return found

    def _note_error(self, error: errors.StoreError) -> None:
        if error.failure is errors.StoreFailure.HISTORY_LOST:
            self.restart()
            return
        self.failures += 1
        if self.failures == 1:
            logger.warning(
                "store lost",
                extra={"table": self._table, "reason": error.reason},
            )

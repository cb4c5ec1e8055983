"""Reads a table of the store: a full scan first, then changes."""

from __future__ import annotations

import logging

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.util import store_versions

logger = logging.getLogger(__name__)


class TableReader:
    """Reads a table from the version up to which it is known.

    Args:
        store: The platform's store.
        table: The table.

    Attributes:
        failures: Number of failed calls since the last successful one.
    """

    def __init__(self, store: store_lib.Store, table: str):
        self._store = store
        self._table = table
        self._after_version: int | None = None
        self._era: int | None = None
        self.failures = 0

    @property
    def is_full_scan(self) -> bool:
        """Whether the next read is a full scan."""
        return self._after_version is None

    def restart(self) -> None:
        """Makes the next read a full scan."""
        self._after_version = None

    def advance(self, version: int) -> None:
        """Skips changes up to a version, which are known.

        Args:
            version: The version, see ``store_versions.join_era``.
        """
        era, number = store_versions.split_era(version)
        if self._after_version is None or self._era is None:
            return
        if era > self._era:
            self.restart()
        elif era == self._era:
            self._after_version = max(self._after_version, number)

    async def read(self, wait_ms: int) -> store_lib.Snapshot | None:
        """Reads the table, or its changes.

        Args:
            wait_ms: Longest wait for the first change.

        Returns:
            The rows; None if the call failed, or if the changes are not
            available (any more) and a full scan is needed.
        """
        if self._after_version is None:
            snapshot = await self._store.scan(self._table)
        else:
            snapshot = await self._store.changes(
                self._table, self._after_version, wait_ms
            )
        if isinstance(snapshot, errors.StoreError):
            self._note_error(snapshot)
            return None
        if self._era is not None and snapshot.era < self._era:
            self._note_error(
                errors.StoreError(
                    errors.StoreFailure.UNKNOWN, "response of an earlier era"
                )
            )
            return None
        if self.failures:
            logger.info(
                "store reachable again",
                extra={"table": self._table, "failures": self.failures},
            )
        self.failures = 0
        if self._after_version is not None and snapshot.era != self._era:
            # Changes since a version of another era are not all changes.
            self.restart()
            return None
        if self._era is not None and snapshot.era != self._era:
            logger.warning(
                "store came back from an older copy",
                extra={
                    "table": self._table,
                    "era": snapshot.era,
                    "version": snapshot.version,
                },
            )
        self._era, self._after_version = snapshot.era, snapshot.version
        return snapshot

    def _note_error(self, error: errors.StoreError) -> None:
        if error.failure is errors.StoreFailure.HISTORY_LOST:
            self.restart()
            return
        self.failures += 1
        # Powers of two, which bound the lines of a long outage.
        if self.failures & (self.failures - 1) == 0:
            logger.warning(
                "store unreachable",
                extra={
                    "table": self._table,
                    "reason": error.reason,
                    "received_bytes": error.received_bytes,
                    "full_scan": self.is_full_scan,
                    "failures": self.failures,
                },
            )

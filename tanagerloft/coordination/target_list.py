"""Follows the platform's list of targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import targets as targets_lib

logger = logging.getLogger(__name__)

# Leaving targets must be known well within the drain time of two seconds.
POLL_MS = 500
_RETRY_MS = 200


class TargetList:
    """Follows the table in which targets register themselves.

    Args:
        store: The platform's store.
        table: The table.
        directory: What is known of the targets.
        changed: Told when requests may find more targets.
    """

    def __init__(
        self,
        store: store_lib.Store,
        table: str,
        directory: targets_lib.TargetDirectory,
        changed: Callable[[], None],
    ):
        self._store = store
        self._table = table
        self._directory = directory
        self._changed = changed
        self._after_version: int | None = None
        self._lost = False
        self.poll_ms = POLL_MS
        self.known = False

    async def follow(self) -> None:
        """Follows the list for as long as the process runs."""
        while True:
            error = await self._step()
            if error is None:
                if self._lost:
                    logger.info("store regained", extra={"table": self._table})
                self._lost = False
                await asyncio.sleep(self.poll_ms / 1_000)
                continue
            if error.failure is errors.StoreFailure.HISTORY_LOST:
                self._after_version = None
                continue
            if not self._lost:
                logger.warning(
                    "store lost",
                    extra={"table": self._table, "reason": error.reason},
                )
            self._lost = True
            await asyncio.sleep(_RETRY_MS / 1_000)

    async def _step(self) -> errors.StoreError | None:
        whole = self._after_version is None
        if self._after_version is None:
            found = await self._store.scan(self._table)
        else:
            found = await self._store.changes(
                self._table, self._after_version, 0
            )
        if isinstance(found, errors.StoreError):
            return found
        self._after_version = found.version
        self.known = True
        if self._directory.on_rows(found.rows, whole):
            self._changed()
        return None

"""Follows the platform's list of targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import table_reader
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.util import loops

# Leaving targets must be known well within the drain time of two seconds.
POLL_MS = 500
# Pause after a failed call; the drain time of two seconds holds ten.
_RETRY_MS = 200
# What the holder tells counts up to this age, and spares this instance its own
# polls for so long.
_TOLD_MAX_AGE_MS = 1_200
_TOLD_FRESH_MS = 600


class TargetList:
    """Follows the table in which targets register themselves.

    Args:
        store: The platform's store.
        table: The table.
        directory: What is known of the targets.
        now_ms: Clock.
        changed: Told when requests may find more targets.
    """

    def __init__(
        self,
        store: store_lib.Store,
        table: str,
        directory: targets_lib.TargetDirectory,
        now_ms: Callable[[], int],
        changed: Callable[[], None],
    ):
        self._reader = table_reader.TableReader(store, table)
        self._directory = directory
        self._now_ms = now_ms
        self._changed = changed
        self._told_ms = 0
        self._told_mark: tuple[int, int] | None = None
        self._read_now = asyncio.Event()
        self.read_ms = 0
        self.mark = 0
        self.known = False

    def on_proof(
        self, token: int, mark: int, age_ms: int, asked_ms: int
    ) -> None:
        """Takes in whether the holder's list has changed.

        Args:
            token: Fencing token of the holder.
            mark: Number that changes with its list.
            age_ms: Age of its list.
            asked_ms: When this instance asked.
        """
        if age_ms > _TOLD_MAX_AGE_MS:
            return
        self._told_ms = asked_ms
        if (token, mark) != self._told_mark:
            self._told_mark = (token, mark)
            self._read_now.set()

    async def follow(self) -> None:
        """Follows the list for as long as the process runs."""
        while True:
            self._read_now.clear()
            started_ms = self._now_ms()
            whole = self._reader.whole
            found = await self._reader.read(wait_ms=0)
            if found is not None:
                self._take_rows(found.rows, whole)
                self.read_ms = started_ms
                await self._wait_for_need()
            elif self._reader.failures:
                await loops.sleep(_RETRY_MS)

    async def _wait_for_need(self) -> None:
        """Waits for the next poll, or while the holder tells of no change."""
        while True:
            await loops.wait(self._read_now, POLL_MS)
            told_ago_ms = self._now_ms() - self._told_ms
            if self._read_now.is_set() or told_ago_ms > _TOLD_FRESH_MS:
                return

    def _take_rows(self, rows: tuple[store_lib.Row, ...], whole: bool) -> None:
        self.known = True
        changes = self._directory.on_rows(rows, whole)
        if changes.members:
            self.mark += 1
        if changes.models:
            self._changed()

"""Follows the platform's list of targets."""

from __future__ import annotations

from collections.abc import Callable

from tanagerloft.coordination import messages
from tanagerloft.coordination import poll_deferral
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import table_reader
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.util import loops

# Leaving targets must be known well within the drain time of two seconds.
POLL_INTERVAL_MS = 500
# Pause after a failed call; the drain time of two seconds holds ten.
_RETRY_DELAY_MS = 200
# What the holder tells counts up to this age: a poll of a holder that reaches
# the store, and one that is made again.
_MAX_STATUS_AGE_MS = 1_200
# Left of the drain time, for the own reading and requests on their way.
_READ_MARGIN_MS = 200


class TargetList:
    """Follows the table in which targets register themselves.

    Args:
        store: The platform's store.
        table: The table.
        directory: What is known of the targets.
        now_ms: Clock.
        changed: Told when requests may find more targets.
        drain_ms: Time after which a leaving target gets no more requests.

    Attributes:
        word: What the holder tells of the list.
    """

    def __init__(
        self,
        store: store_lib.Store,
        table: str,
        directory: targets_lib.TargetDirectory,
        now_ms: Callable[[], int],
        changed: Callable[[], None],
        drain_ms: int,
    ):
        self._reader = table_reader.TableReader(store, table)
        self._directory = directory
        self._now_ms = now_ms
        self._changed = changed
        self.deferral = poll_deferral.PollDeferral(
            drain_ms, _MAX_STATUS_AGE_MS, _READ_MARGIN_MS, now_ms
        )
        self.read_ms = 0
        self.known = False

    def on_delta(self, told: messages.TargetListDelta, asked_ms: int) -> None:
        """Takes in what the holder knows of the list.

        What it tells of a row counts by the row's version, however old the
        holder's knowledge is. It spares this instance its own reading only if
        that is young, and if there is nothing more to tell.

        Args:
            told: What it told.
            asked_ms: When this instance asked.
        """
        table = self._directory.table
        self._notify(
            table.on_shared(told.changed, told.since_version, told.version)
        )
        if table.known_version < told.known_version:
            if not told.version:
                self.deferral.read_now.set()
        elif self.deferral.on_status(told.age_ms, asked_ms):
            self.read_ms = max(self.read_ms, asked_ms - told.age_ms)

    async def run(self) -> None:
        """Follows the list for as long as the process runs."""
        while True:
            self.deferral.read_now.clear()
            started_ms = self._now_ms()
            self._reader.advance(self._directory.table.known_version)
            whole = self._reader.is_full_scan
            found = await self._reader.read(wait_ms=0)
            if found is not None:
                self.known = True
                self._notify(self._directory.table.on_rows(found, whole))
                self.read_ms = max(self.read_ms, started_ms)
                await loops.wait(self.deferral.read_now, POLL_INTERVAL_MS)
                await self.deferral.wait()
            elif self._reader.failures:
                await loops.sleep(_RETRY_DELAY_MS)

    def _notify(self, changed: bool) -> None:
        if changed:
            self._changed()

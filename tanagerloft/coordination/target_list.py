"""Polls the platform's list of targets."""

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
# Delay after a failed call; ten of them fit into the drain time of two seconds.
_RETRY_DELAY_MS = 200
# Greatest age of the holder's copy of the list that defers a poll: one poll
# interval of a holder that reaches the store, and one retried poll.
_MAX_STATUS_AGE_MS = 1_200
# Time after a restore of the store within which targets have written their
# entries again: two seconds, and one poll.
_REWRITE_MS = 2_500
# Part of the drain time left for the own poll and for requests in transit.
_READ_MARGIN_MS = 200


class TargetList:
    """Polls the table in which targets register themselves.

    Args:
        store: The platform's store.
        table: The table.
        directory: Target directory.
        now_ms: Clock.
        changed: Called when more targets may be available for requests.
        drain_ms: Time within which requests to a leaving target must stop.

    Attributes:
        deferral: Defers polls while the holder's copy of the list is current.
        read_ms: Time at which the list was last known to be current.
        known: Whether the list has been read.
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
        self._era_began_ms: int | None = None
        self.read_ms = 0
        self.known = False

    def on_delta(self, delta: messages.TargetListDelta, asked_ms: int) -> None:
        """Applies changes of the list that the holder has sent.

        A row counts by its version, however old the holder's copy of the list
        is. The changes defer this instance's own poll only if that copy is
        recent and no changes are left to send.

        Args:
            delta: The changes.
            asked_ms: Time at which this instance sent its report.
        """
        table = self._directory.table
        self._notify(
            table.on_shared(delta.changed, delta.since_version, delta.version)
        )
        if table.known_version < delta.known_version:
            if not delta.version:
                self.deferral.read_now.set()
        elif self.deferral.on_status(delta.age_ms, asked_ms):
            self.read_ms = max(self.read_ms, asked_ms - delta.age_ms)

    async def run(self) -> None:
        """Polls the list until the process ends."""
        while True:
            self.deferral.read_now.clear()
            started_ms = self._now_ms()
            self._reader.advance(self._directory.table.known_version)
            self._scan_after_restore(started_ms)
            whole = self._reader.is_full_scan
            found = await self._reader.read(wait_ms=0)
            if found is not None:
                self.known = True
                if self._directory.table.is_of_later_era(found):
                    self._era_began_ms = started_ms
                self._notify(self._directory.table.on_rows(found, whole))
                self.read_ms = max(self.read_ms, started_ms)
                await loops.wait(self.deferral.read_now, POLL_INTERVAL_MS)
                await self.deferral.wait()
            elif self._reader.failures:
                await loops.sleep(_RETRY_DELAY_MS)

    def _scan_after_restore(self, now_ms: int) -> None:
        """Scans again once targets have had the time to write their entries.

        Those that are still missing then are gone.
        """
        if (
            self._era_began_ms is not None
            and now_ms - self._era_began_ms >= _REWRITE_MS
        ):
            self._era_began_ms = None
            self._reader.restart()

    def _notify(self, changed: bool) -> None:
        if changed:
            self._changed()

"""Keeps the configuration in force, and the proof that it is current."""

from __future__ import annotations

from collections.abc import Callable
import logging

from tanagerloft.coordination import errors
from tanagerloft.coordination import poll_deferral
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import table_reader
from tanagerloft.fleet import types
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# The store tells a change at once; this only bounds the age of the proof that
# there was none: one wait when it is given, two just before the next.
_WAIT_MS = 500
# Pause after a failed call, longer with each up to a bound well below the age
# at which keys are no longer accepted.
_RETRY_DELAY_MS = 100
_MAX_RETRY_DELAY_MS = 800
# A proof that the holder passes on counts for keys up to this age.
_MAX_PROOF_AGE_MS = 2_500
# It spares this instance its own reading only if it is as young as a proof of a
# holder that reaches the store: two waits, and the way of the calls.
_MAX_DEFERRING_AGE_MS = 2 * _WAIT_MS + 250
# Left of the time in which a change must be in force, for the own reading.
_READ_MARGIN_MS = 150

Decode = Callable[[bytes], types.Configuration | errors.MalformedEntry]


class ConfigurationWatcher:
    """Follows the operator's row.

    Args:
        store: The platform's store.
        table: Table of the row.
        key: Key of the row.
        decode: Decodes its contents.
        now_ms: Clock.
        changed: Told when another version is in force.
        key_proof_ms: Age of the proof at which keys are no longer accepted.
        apply_ms: Time in which a change must be in force.

    Attributes:
        current: Configuration in force, None before there is one.
        proved_ms: When the last proof began that there is no newer one.
        word: What the holder tells of it.
    """

    def __init__(
        self,
        store: store_lib.Store,
        table: str,
        key: str,
        decode: Decode,
        now_ms: Callable[[], int],
        changed: Callable[[types.Configuration], None],
        key_proof_ms: int,
        apply_ms: int,
    ):
        self._reader = table_reader.TableReader(store, table)
        self._key = key
        self._decode = decode
        self._now_ms = now_ms
        self._changed = changed
        self._key_proof_ms = key_proof_ms
        self.deferral = poll_deferral.PollDeferral(
            apply_ms, _MAX_DEFERRING_AGE_MS, _READ_MARGIN_MS, now_ms
        )
        self.current: types.Configuration | None = None
        self.proved_ms = 0

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.current.version if self.current else 0

    def on_proof(self, version: int, age_ms: int, asked_ms: int) -> None:
        """Takes in the holder's proof of the version in force.

        Args:
            version: Version that the holder has in force.
            age_ms: Age of the holder's proof.
            asked_ms: When this instance asked for it.
        """
        if age_ms > _MAX_PROOF_AGE_MS:
            return
        self.deferral.on_status(age_ms, asked_ms)
        if version > self.version:
            self.deferral.read_now.set()
        elif version == self.version:
            self.proved_ms = max(self.proved_ms, asked_ms - age_ms)

    def keys_are_current(self, now_ms: int) -> bool:
        """Returns whether no key can have been withdrawn for too long."""
        return now_ms - self.proved_ms <= self._key_proof_ms

    async def run(self) -> None:
        """Follows the row for as long as the process runs."""
        while True:
            await self._wait_until_due()
            started_ms = self._now_ms()
            found = await self._reader.read(_WAIT_MS)
            if found is not None:
                self._apply_rows(found.rows)
                self.proved_ms = max(self.proved_ms, started_ms)
            elif self._reader.failures:
                delay_ms = min(
                    _MAX_RETRY_DELAY_MS, _RETRY_DELAY_MS * self._reader.failures
                )
                await loops.sleep(delay_ms)

    async def _wait_until_due(self) -> None:
        """Waits while the holder tells whether there is anything new."""
        if self.current is not None:
            await self.deferral.wait()
        if self.deferral.read_now.is_set():
            self.deferral.read_now.clear()
            self._reader.restart()

    def _apply_rows(self, rows: tuple[store_lib.Row, ...]) -> None:
        for row in rows:
            if row.key == self._key and row.value is not None:
                self._apply(row)

    def _apply(self, row: store_lib.Row) -> None:
        assert row.value is not None
        decoded = self._decode(row.value)
        if isinstance(decoded, errors.MalformedEntry):
            logger.error("configuration refused", extra=decoded._asdict())
            return
        if self.current and decoded.version <= self.current.version:
            return
        self.current = decoded
        logger.info(
            "configuration in force",
            extra={
                "version": decoded.version,
                "row_version": row.version,
                "routes": sum(map(len, decoded.routes.values())),
                "accounts": len(decoded.accounts),
            },
        )
        self._changed(decoded)

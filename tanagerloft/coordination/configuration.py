"""Watches the configuration, and proves that the one in force is current."""

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

# Longest wait for a change. The store reports changes at once; the wait bounds
# the age of the proof that there was none, which is between one and two waits.
_WAIT_MS = 500
# Delay after a failed call, growing with each failure up to a bound well below
# the age at which keys are no longer accepted.
_RETRY_DELAY_MS = 100
_MAX_RETRY_DELAY_MS = 800
# Greatest age of a proof of the holder that is accepted for keys.
_MAX_PROOF_AGE_MS = 2_500
# Greatest age of a proof that defers this instance's own read: that of a holder
# which reaches the store, with two waits and the transit time of the calls.
_MAX_DEFERRING_AGE_MS = 2 * _WAIT_MS + 250
# Part of the time to apply a change that is left for the own read.
_READ_MARGIN_MS = 150

Decode = Callable[[bytes], types.Configuration | errors.MalformedEntry]


class ConfigurationWatcher:
    """Watches the row that operators write.

    Args:
        store: The platform's store.
        table: Table of the row.
        key: Key of the row.
        decode: Decodes its contents.
        now_ms: Clock.
        changed: Called with each new version in force.
        key_proof_ms: Age of the proof at which keys are no longer accepted.
        apply_ms: Time within which a change must be in force.

    Attributes:
        current: Configuration in force, None before there is one.
        proved_ms: Start of the last read that proved it to be the newest.
        deferral: Defers reads while the holder's configuration is current.
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
        self._apply_ms = apply_ms
        self.deferral = poll_deferral.PollDeferral(
            apply_ms, _MAX_DEFERRING_AGE_MS, _READ_MARGIN_MS, now_ms
        )
        self.current: types.Configuration | None = None
        self.proved_ms = 0
        self._announced_version = 0
        self._announced_ms = 0

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.current.version if self.current else 0

    @property
    def is_behind(self) -> bool:
        """Whether a newer version than the one in force was announced."""
        return self._announced_version > self.version

    @property
    def behind_ms(self) -> int:
        """Time since a newer version than the one in force was announced."""
        return self._now_ms() - self._announced_ms if self.is_behind else 0

    @property
    def is_outdated(self) -> bool:
        """Whether an announced version should have been in force by now."""
        return self.behind_ms > self._apply_ms

    def on_proof(self, version: int, age_ms: int, asked_ms: int) -> None:
        """Applies the holder's proof of the version in force.

        Args:
            version: Version that the holder has in force.
            age_ms: Age of the holder's proof.
            asked_ms: Time at which this instance sent its report.
        """
        if age_ms > _MAX_PROOF_AGE_MS:
            return
        self.deferral.on_status(age_ms, asked_ms)
        if version > self.version:
            self._on_announced(version, age_ms)
            self.deferral.read_now.set()
        elif version == self.version:
            self.proved_ms = max(self.proved_ms, asked_ms - age_ms)

    def _on_announced(self, version: int, age_ms: int) -> None:
        """Records that the holder has a newer version in force."""
        if version <= self._announced_version:
            return
        self._announced_version = version
        self._announced_ms = self._now_ms()
        logger.info(
            "newer configuration announced",
            extra={
                "version": version,
                "known_version": self.version,
                "age_ms": age_ms,
            },
        )

    def keys_are_current(self, now_ms: int) -> bool:
        """Returns whether the proof is recent enough to accept keys.

        Otherwise, a key may have been withdrawn for too long.
        """
        return now_ms - self.proved_ms <= self._key_proof_ms

    async def run(self) -> None:
        """Watches the row until the process ends."""
        while True:
            await self._wait_until_due()
            started_ms = self._now_ms()
            snapshot = await self._reader.read(_WAIT_MS)
            if snapshot is not None:
                self._apply_rows(snapshot.rows, started_ms)
                self.proved_ms = max(self.proved_ms, started_ms)
            elif self._reader.failures:
                delay_ms = min(
                    _MAX_RETRY_DELAY_MS, _RETRY_DELAY_MS * self._reader.failures
                )
                await loops.sleep(delay_ms)

    async def _wait_until_due(self) -> None:
        """Waits while the holder's proof defers the read."""
        if self.current is not None:
            await self.deferral.wait()
        self.deferral.read_now.clear()

    def _apply_rows(
        self, rows: tuple[store_lib.Row, ...], started_ms: int
    ) -> None:
        for row in rows:
            if row.key == self._key and row.value is not None:
                self._apply(row, started_ms)

    def _apply(self, row: store_lib.Row, started_ms: int) -> None:
        assert row.value is not None
        now_ms = self._now_ms()
        decoded = self._decode(row.value)
        if isinstance(decoded, errors.MalformedEntry):
            logger.error(
                "malformed configuration ignored", extra=decoded._asdict()
            )
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
                "bytes": len(row.value),
                "read_ms": now_ms - started_ms,
                "decode_ms": self._now_ms() - now_ms,
                "announced_ago_ms": self._announced_ago_ms(decoded.version),
            },
        )
        self._changed(decoded)

    def _announced_ago_ms(self, version: int) -> int | None:
        """Returns the time since a version was announced, if it was."""
        if not self._announced_version or version < self._announced_version:
            return None
        return self._now_ms() - self._announced_ms

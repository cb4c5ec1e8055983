"""Carries out what the order lease decides, against the store."""

from __future__ import annotations

from collections.abc import Callable
import logging

import orjson

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.decisions import order_lease
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

TABLE = "lease"
_KEY = "orders"
# Four renewals fall into the time for which one is valid.
RENEW_MS = 700
# While the holder answers, the row need not be read.
_HOLDER_SILENT_MS = 900
_TICK_MS = 100
# Time between two readings by one instance while the lease may be free.
_READ_MS = 500


class LeaseKeeper:
    """Reads, claims and renews the lease row.

    Args:
        store: The platform's store.
        lease: The lease's state.
        now_ms: Clock.
        heard_ms: Returns when the holder last answered this instance.
        struggling: Returns whether the holder says that it cannot renew.
        jitter_ms: Delay by which this instance reads later than others.
    """

    def __init__(
        self,
        store: store_lib.Store,
        lease: order_lease.OrderLease,
        now_ms: Callable[[], int],
        heard_ms: Callable[[], int],
        struggling: Callable[[], bool],
        jitter_ms: int,
    ):
        self._store = store
        self._lease = lease
        self._now_ms = now_ms
        self._heard_ms = heard_ms
        self._struggling = struggling
        self._jitter_ms = jitter_ms
        self._renew_due_ms = 0
        self._read_due_ms = 0
        self._read_ms: int | None = None

    def reads_store(self) -> bool:
        """Returns whether the row has just been read."""
        return (
            self._read_ms is not None
            and self._now_ms() - self._read_ms < _READ_MS + self._jitter_ms
        )

    async def follow(self) -> None:
        """Keeps the lease for as long as the process runs."""
        while True:
            now_ms = self._now_ms()
            if self._lease.mine and not self._lease.given_up:
                if now_ms >= self._renew_due_ms:
                    self._renew_due_ms = now_ms + RENEW_MS
                    await self._claim()
            elif not self._lease.known or (
                self._may_be_free(now_ms) and now_ms >= self._read_due_ms
            ):
                self._read_due_ms = now_ms + _READ_MS + self._jitter_ms
                await self._read()
                await self._claim()
            await loops.sleep(_TICK_MS)

    def _may_be_free(self, now_ms: int) -> bool:
        return (
            now_ms - self._heard_ms() > _HOLDER_SILENT_MS or self._struggling()
        )

    async def release(self) -> None:
        """Hands the lease back at a graceful stop."""
        claim = self._lease.release()
        if claim is not None:
            await self._store.write(
                TABLE, _KEY, _encode(claim.term), claim.expected_version
            )
            logger.info("lease released", extra={"token": claim.term.token})

    async def _read(self) -> None:
        row = await self._store.read(TABLE, _KEY)
        if isinstance(row, errors.StoreError):
            logger.info("lease not read", extra={"reason": row.reason})
            return
        self._read_ms = self._now_ms()
        self._lease.on_row(row.version, _decode(row.value), self._now_ms())

    async def _claim(self) -> None:
        claim = self._lease.next_claim(self._now_ms())
        if claim is None:
            return
        was_mine = self._lease.mine
        started_ms = self._now_ms()
        version = await self._store.write(
            TABLE, _KEY, _encode(claim.term), claim.expected_version
        )
        if isinstance(version, errors.StoreError):
            logger.warning(
                "lease not written",
                extra={
                    "reason": version.reason,
                    "failure": version.failure.value,
                    "expected": claim.expected_version,
                },
            )
            await self._read()
            return
        self._lease.on_written(claim, version, started_ms, self._now_ms())
        if not was_mine:
            logger.info(
                "lease taken",
                extra={"token": claim.term.token, "version": version},
            )


def _encode(term: order_lease.Term) -> bytes:
    return orjson.dumps(term._asdict())


def _decode(value: bytes | None) -> order_lease.Term | None:
    if value is None:
        return None
    try:
        return order_lease.Term(**orjson.loads(value))
    except (TypeError, ValueError) as error:
        logger.error("lease row unreadable", extra={"reason": repr(error)})
        return None

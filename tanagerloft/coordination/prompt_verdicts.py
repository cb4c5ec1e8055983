"""Keeps the barred prompt parts in the store, for processes that start later.

Instances pass verdicts on to each other; only if all of them start at once are
they read from the store.
"""

from __future__ import annotations

from collections.abc import Callable
import logging

import orjson

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import prompt_evidence
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

TABLE = "quarantine"
_KEY = "prompt-parts"
# Time between two checks whether the verdicts have changed.
_CHECK_INTERVAL_MS = 200
# Delay after a failed call.
_RETRY_DELAY_MS = 500


class PromptVerdicts:
    """Reads the verdicts at the start, and writes changes as lease holder.

    Args:
        store: The platform's store.
        evidence: Prompt parts, with the verdicts known to this instance.
        lease: State of the lease.
        now_ms: Clock.
    """

    def __init__(
        self,
        store: store_lib.Store,
        evidence: prompt_evidence.PartEvidence,
        lease: order_lease.OrderLease,
        now_ms: Callable[[], int],
    ):
        self._store = store
        self._evidence = evidence
        self._lease = lease
        self._now_ms = now_ms
        self._stored: list[str] = []
        self._version = 0

    async def run(self) -> None:
        """Reads the verdicts, then writes them, until the process ends."""
        while not await self._read():
            await loops.sleep(_RETRY_DELAY_MS)
        self._evidence.adopt(self._stored)
        while True:
            await loops.sleep(_CHECK_INTERVAL_MS)
            barred = self._evidence.barred
            if barred == self._stored or not self._lease.is_holder(
                self._now_ms()
            ):
                continue
            if not await self._write(barred):
                await loops.sleep(_RETRY_DELAY_MS)
                await self._read()

    async def _read(self) -> bool:
        """Reads the row; returns whether that succeeded."""
        row = await self._store.read(TABLE, _KEY)
        if isinstance(row, errors.StoreError):
            logger.info(
                "barred prompt parts could not be read",
                extra={"reason": row.reason},
            )
            return False
        self._version = row.version
        self._stored = _decode(row.value)
        return True

    async def _write(self, barred: list[str]) -> bool:
        """Writes the row; returns whether that succeeded."""
        written = await self._store.write(
            TABLE, _KEY, orjson.dumps(barred), self._version
        )
        if isinstance(written, errors.StoreError):
            logger.info(
                "barred prompt parts could not be written",
                extra={"reason": written.reason},
            )
            return False
        self._version, self._stored = written.version, barred
        return True


def _decode(value: bytes | None) -> list[str]:
    if value is None:
        return []
    try:
        parts = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        logger.error(
            "barred prompt parts unreadable", extra={"reason": repr(error)}
        )
        return []
    if not isinstance(parts, list):
        return []
    return sorted(part for part in parts if isinstance(part, str))

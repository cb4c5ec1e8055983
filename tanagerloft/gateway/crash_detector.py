"""Detects targets that crashed while they ran a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import prompt_evidence
from tanagerloft.fleet import types
from tanagerloft.net import connection_pool
from tanagerloft.net import target_connection
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# A crashed process no longer accepts connections after this time.
_PROBE_DELAY_MS = 50
# A target that accepts no connection for this long counts as down.
_CONNECT_TIMEOUT_MS = 500


class CrashDetector:
    """Probes targets whose connection was lost during a request.

    Args:
        pool: Connections to targets.
        counts: Crashes that this instance has seen.
        evidence: Prompt parts under crashes.
        now_ms: Clock.
    """

    def __init__(
        self,
        pool: connection_pool.Pool,
        counts: crash_quarantine.CrashCounts,
        evidence: prompt_evidence.PartEvidence,
        now_ms: Callable[[], int],
    ):
        self._pool = pool
        self._counts = counts
        self._evidence = evidence
        self._now_ms = now_ms
        self._probes: dict[str, asyncio.Task] = {}

    def record_lost_connection(
        self,
        digest: str,
        suspect_parts: tuple[str, ...],
        target: types.TargetEntry,
    ) -> None:
        """Records a connection lost during a request; probes its target.

        Args:
            digest: Digest of the request.
            suspect_parts: Parts of its prompt; none if the target had begun to
                answer it.
            target: Target that it was sent to.
        """
        self._evidence.record_lost(
            suspect_parts, target.target_id, self._now_ms()
        )
        self._counts.record_lost_connection(
            digest, target.target_id, self._now_ms()
        )
        if target.target_id not in self._probes:
            loop = asyncio.get_running_loop()
            self._probes[target.target_id] = loop.create_task(
                self._probe(target)
            )

    def record_answer(self, digest: Callable[[], str]) -> None:
        """Records that a request has been answered.

        Args:
            digest: Returns the digest of the request; called if it is needed.
        """
        if not self._counts.is_empty:
            self._counts.record_response(digest())

    async def _probe(self, target: types.TargetEntry) -> None:
        try:
            await loops.sleep(_PROBE_DELAY_MS)
            connection = await self._pool.connect(
                (target.host, target.port), _CONNECT_TIMEOUT_MS
            )
        finally:
            del self._probes[target.target_id]
        if isinstance(connection, target_connection.ExchangeFailure):
            self._record_down(target)
        else:
            self._counts.record_up(target.target_id)
            self._evidence.record_up(target.target_id)
            self._pool.release(connection)

    def _record_down(self, target: types.TargetEntry) -> None:
        now_ms = self._now_ms()
        self._counts.record_down(target.target_id, now_ms)
        crash_id = f"{target.target_id}/{target.born_ms}"
        accused = self._evidence.record_down(target.target_id, crash_id, now_ms)
        logger.info(
            "target crashed under requests",
            extra={"crash": crash_id, "suspect_parts": accused},
        )

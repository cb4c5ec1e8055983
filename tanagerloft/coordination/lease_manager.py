"""Carries out what the order lease decides, against the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import Protocol

import orjson

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.decisions import handover
from tanagerloft.decisions import order_lease
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

TABLE = "lease"
_KEY = "orders"
# While the holder answers, the row need not be read: it counts as silent after
# this time, or after so many reports without an answer, but in less time than
# one renewal is valid.
_MIN_SILENCE_MS = 900
_UNANSWERED_REPORTS = 2.5
_MAX_SILENCE_MS = 2_500
_TICK_MS = 100
# Least time between two renewals, below the time after which an instance that
# waits for tokens goes on alone.
_MIN_RENEW_INTERVAL_MS = 50
# Time between two readings by one instance while the lease may be free.
_READ_INTERVAL_MS = 500
# A small instance leaves a free lease to larger ones for so long: one reading
# of theirs, and a call before it that gets no answer.
_SMALL_INSTANCE_CLAIM_DELAY_MS = 1_600
# What the holder of a large fleet needs: measured at 76 instances, see
# docs/CAPACITY.md.
_MIN_HOLDER_PROCESSORS = 1.0
_MIN_HOLDER_LINK_MBPS = 50.0


def is_small(processors: float, link_mbps: float) -> bool:
    """Returns whether an instance should rather not hold the lease.

    Args:
        processors: Processor cores that it has.
        link_mbps: Speed of its network link.
    """
    return (
        processors < _MIN_HOLDER_PROCESSORS or link_mbps < _MIN_HOLDER_LINK_MBPS
    )


class HandoverSource(Protocol):
    """What the row of the lease hands on to the next holder."""

    def next_promises(self, term: order_lease.Term) -> dict[str, float]:
        """Returns the promises to write with a term, and keeps to them."""

    def on_promised(self, term: order_lease.Term) -> None:
        """Takes in that the row holds the promises of a term."""

    def last_promises(self) -> dict[str, float]:
        """Returns the promises of a holder that grants no more."""

    def handover_state(self, term: order_lease.Term) -> handover.HandoverState:
        """Returns what to hand on with a term of what has been learnt."""


class LeaseManager:
    """Reads, claims and renews the lease row.

    Args:
        store: The platform's store.
        lease: The lease's state.
        now_ms: Clock.
        heard_ms: Returns when the holder last answered this instance.
        struggling: Returns whether the holder says that it cannot renew.
        report_pause_ms: Returns the time between reports of this instance.
        jitter_ms: Delay by which this instance reads later than others.
        small: Whether it leaves a free lease to others for a while.
        legacy: What to hand on to the next holder.
    """

    def __init__(
        self,
        store: store_lib.Store,
        lease: order_lease.OrderLease,
        now_ms: Callable[[], int],
        last_answer_ms: Callable[[], int],
        renewal_overdue: Callable[[], bool],
        report_pause_ms: Callable[[], int],
        jitter_ms: int,
        small: bool,
        handover: HandoverSource,
    ):
        self._store = store
        self._lease = lease
        self._now_ms = now_ms
        self._last_answer_ms = last_answer_ms
        self._renewal_overdue = renewal_overdue
        self._report_pause_ms = report_pause_ms
        self._jitter_ms = jitter_ms
        self._claim_delay_ms = _SMALL_INSTANCE_CLAIM_DELAY_MS if small else 0
        self._handover = handover
        self._free_since_ms: int | None = None
        self._renewed_ms = 0
        self._renew_due_ms = 0
        self._read_due_ms = 0
        self._read_ms: int | None = None
        self._wake = asyncio.Event()

    def reads_store(self) -> bool:
        """Returns whether the row has just been read."""
        return (
            self._read_ms is not None
            and self._now_ms() - self._read_ms
            < _READ_INTERVAL_MS + self._jitter_ms
        )

    async def run(self) -> None:
        """Keeps the lease for as long as the process runs."""
        while True:
            now_ms = self._now_ms()
            if self._lease.is_mine and not self._lease.stepped_down:
                if now_ms >= self._renew_due_ms:
                    self._renewed_ms = now_ms
                    self._renew_due_ms = (
                        now_ms + self._lease.renewal_interval_ms
                    )
                    await self._claim()
            elif not self._lease.known or (
                self._may_be_free(now_ms) and now_ms >= self._read_due_ms
            ):
                self._read_due_ms = now_ms + _READ_INTERVAL_MS + self._jitter_ms
                if await self._read():
                    await self._claim()
                self._read_when_free()
            await loops.wait(self._wake, _TICK_MS)
            self._wake.clear()

    def _read_when_free(self) -> None:
        """Reads sooner than planned if the term seen ends before."""
        free_ms = self._lease.expires_ms
        if self._lease.known and free_ms > self._now_ms():
            self._read_due_ms = min(self._read_due_ms, free_ms)

    def renew_soon(self) -> None:
        """Makes the holder write its row again soon.

        A crowd of requests that wait for one write makes no crowd of writes.
        """
        soon_ms = self._renewed_ms + _MIN_RENEW_INTERVAL_MS
        if soon_ms < self._renew_due_ms:
            self._renew_due_ms = soon_ms
            loops.call_later(max(0, soon_ms - self._now_ms()), self._wake.set)

    def _may_be_free(self, now_ms: int) -> bool:
        return (
            self._lease.reported_free
            or self._renewal_overdue()
            or now_ms - self._last_answer_ms() > self._silence_limit_ms()
        )

    def _silence_limit_ms(self) -> float:
        """Returns the silence after which the holder may be gone.

        Load answered: many instances, each of which reports seldom. One lost
        datagram must not lead them all to the store.
        """
        unanswered_ms = _UNANSWERED_REPORTS * self._report_pause_ms()
        return min(_MAX_SILENCE_MS, max(_MIN_SILENCE_MS, unanswered_ms))

    async def release(self) -> None:
        """Gives no more orders; the process ends after a graceful stop."""
        claim = self._lease.stop()
        if claim is None:
            return
        claim = self._with_handover(claim, self._handover.last_promises())
        version = await self._store.write(
            TABLE, _KEY, _encode(claim.term), claim.expected_version
        )
        reason = ""
        if isinstance(version, errors.StoreError):
            reason = version.reason
        logger.info(
            "lease left to the next process",
            extra={"token": claim.term.token, "reason": reason},
        )

    async def _read(self) -> bool:
        row = await self._store.read(TABLE, _KEY)
        if isinstance(row, errors.StoreError):
            # Larger instances could not take it either.
            self._free_since_ms = None
            logger.info("lease not read", extra={"reason": row.reason})
            return False
        self._read_ms = self._now_ms()
        self._lease.on_row(row.version, _decode(row.value), self._now_ms())
        return True

    async def _claim(self) -> None:
        claim = self._lease.next_claim(self._now_ms())
        if claim is None:
            self._free_since_ms = None
            return
        was_mine = self._lease.is_mine
        if not was_mine and self._delays_claim():
            return
        promises = self._handover.next_promises(claim.term)
        claim = self._with_handover(claim, promises)
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
        self._handover.on_promised(claim.term)
        if not was_mine:
            logger.info(
                "lease taken",
                extra={"token": claim.term.token, "version": version},
            )

    def _with_handover(
        self, claim: order_lease.Claim, promises: dict[str, float]
    ) -> order_lease.Claim:
        learnt = self._handover.handover_state(claim.term)
        term = claim.term._replace(promises=promises, learnt=learnt)
        return claim._replace(term=term)

    def _delays_claim(self) -> bool:
        now_ms = self._now_ms()
        if self._free_since_ms is None:
            self._free_since_ms = now_ms
        return now_ms - self._free_since_ms < self._claim_delay_ms


def _encode(term: order_lease.Term) -> bytes:
    return orjson.dumps({**term._asdict(), "learnt": term.learnt._asdict()})


def _decode(value: bytes | None) -> order_lease.Term | None:
    if value is None:
        return None
    try:
        term = order_lease.Term(**orjson.loads(value))
        if isinstance(term.learnt, dict):
            term = term._replace(learnt=handover.HandoverState(**term.learnt))
        return term
    except (TypeError, ValueError) as error:
        logger.error("lease row unreadable", extra={"reason": repr(error)})
        return None

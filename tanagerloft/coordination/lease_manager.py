"""Reads, claims and renews the order lease in the platform's store.

The decisions are those of ``decisions.order_lease``; this module carries them
out.
"""

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
from tanagerloft.util import store_versions

logger = logging.getLogger(__name__)

TABLE = "lease"
_KEY = "orders"
# The row is not read while the holder answers. The holder counts as silent
# after this time or this many unanswered reports, whichever is longer, but
# sooner than a renewal expires.
_MIN_SILENCE_MS = 900
_UNANSWERED_REPORTS = 2.5
_MAX_SILENCE_MS = 2_500
_TICK_MS = 100
# Shorter than the time after which an instance that waits for tokens grants
# itself some.
_MIN_RENEW_INTERVAL_MS = 50
# Time between two reads by one instance while the lease may be free.
_READ_INTERVAL_MS = 500
# Time between two attempts to go on with a term whose row the store has lost.
_RETRY_CONTINUE_MS = 20
# Delay before a small instance claims a free lease, so that a larger one can do
# so first: one read interval and one call that times out before it.
_SMALL_INSTANCE_CLAIM_DELAY_MS = 1_600
# Resources that the holder of a fleet of 76 instances needs, see
# docs/CAPACITY.md.
_MIN_HOLDER_PROCESSORS = 1.0
_MIN_HOLDER_LINK_MBPS = 50.0


def is_small(processors: float, link_mbps: float) -> bool:
    """Returns whether an instance is too small to hold the lease by choice.

    Args:
        processors: Number of processor cores.
        link_mbps: Bandwidth of its network link.
    """
    return (
        processors < _MIN_HOLDER_PROCESSORS or link_mbps < _MIN_HOLDER_LINK_MBPS
    )


class HandoverSource(Protocol):
    """Provides the state that the lease row hands over to the next holder."""

    def next_promises(self, term: order_lease.Term) -> dict[str, float]:
        """Returns the promises to write with a term, and adheres to them."""

    def on_promised(self, term: order_lease.Term) -> None:
        """Handles the successful write of the promises of a term."""

    def last_promises(self) -> dict[str, float]:
        """Returns the promises of a holder that no longer grants tokens."""

    def handover_state(self, term: order_lease.Term) -> handover.HandoverState:
        """Returns the learned state to write with a term."""


class LeaseManager:
    """Reads, claims and renews the lease row.

    Args:
        store: The platform's store.
        lease: State of the lease.
        now_ms: Clock.
        last_answer_ms: Returns when the holder last answered this instance.
        renewal_overdue: Returns whether the holder reports that its renewals
            fail.
        report_pause_ms: Returns the time between two reports of this instance.
        jitter_ms: Delay added to the read interval of this instance.
        small: Whether this instance delays its claim on a free lease.
        handover: Provides the state for the next holder.
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
        """Returns whether the row has been read within one interval."""
        return (
            self._read_ms is not None
            and self._now_ms() - self._read_ms
            < _READ_INTERVAL_MS + self._jitter_ms
        )

    async def run(self) -> None:
        """Reads, claims and renews the lease until the process ends."""
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
        """Moves the next read forward to the end of the term last seen."""
        free_ms = self._lease.expires_ms
        if self._lease.known and free_ms > self._now_ms():
            self._read_due_ms = min(self._read_due_ms, free_ms)

    def renew_soon(self) -> None:
        """Schedules an early renewal.

        Calls are coalesced: many waiting requests cause a single write.
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

        It grows with the report interval: in a large fleet each instance
        reports rarely, and one lost datagram must not make all of them read
        the store.
        """
        unanswered_ms = _UNANSWERED_REPORTS * self._report_pause_ms()
        return min(_MAX_SILENCE_MS, max(_MIN_SILENCE_MS, unanswered_ms))

    async def release(self) -> None:
        """Stops giving orders and releases the lease on a graceful shutdown."""
        claim = self._lease.stop()
        if claim is None:
            return
        claim = self._with_handover(claim, self._handover.last_promises())
        written = await self._write(claim)
        reason = ""
        if isinstance(written, errors.StoreError):
            reason = written.reason
        logger.info(
            "lease released for the next process",
            extra={"token": claim.term.token, "reason": reason},
        )

    async def _read(self) -> bool:
        row = await self._store.read(TABLE, _KEY)
        if isinstance(row, errors.StoreError):
            # Larger instances could not claim the lease either.
            self._free_since_ms = None
            logger.info(
                "lease row could not be read", extra={"reason": row.reason}
            )
            return False
        self._read_ms = self._now_ms()
        version = store_versions.join_era(row.era, row.version)
        self._lease.on_row(version, _decode(row.value), self._now_ms())
        return True

    async def _claim(self) -> None:
        """Claims or renews the lease if it may.

        A holder whose row the store has lost claims it again at once, while its
        term is valid.
        """
        await self._claim_once()
        while self._lease.may_continue(self._now_ms()):
            if not await self._claim_once():
                await loops.sleep(_RETRY_CONTINUE_MS)

    async def _claim_once(self) -> bool:
        """Claims or renews the lease; returns whether the row was written."""
        claim = self._lease.next_claim(self._now_ms())
        if claim is None:
            self._free_since_ms = None
            return False
        was_mine = self._lease.is_mine
        if not was_mine and not claim.continues and self._delays_claim():
            return False
        claim = self._with_handover(claim, self._promises(claim))
        started_ms = self._now_ms()
        written = await self._write(claim)
        if isinstance(written, errors.StoreError):
            logger.warning(
                "lease row could not be written",
                extra={
                    "reason": written.reason,
                    "failure": written.failure.value,
                    "expected": claim.expected_version,
                },
            )
            await self._read()
            return False
        version = store_versions.join_era(written.era, written.version)
        self._lease.on_written(claim, version, started_ms, self._now_ms())
        term = self._lease.term
        if term is None or not self._lease.is_mine:
            return True
        self._handover.on_promised(term)
        if not was_mine:
            logger.info(
                "lease taken",
                extra={
                    "token": term.token,
                    "version": written.version,
                    "era": written.era,
                    "continues": claim.continues,
                    "orders_in_ms": self._lease.orders_in_ms(self._now_ms()),
                },
            )
        return True

    async def _write(
        self, claim: order_lease.Claim
    ) -> store_lib.Written | errors.StoreError:
        _, number = store_versions.split_era(claim.expected_version)
        return await self._store.write(TABLE, _KEY, _encode(claim.term), number)

    def _promises(self, claim: order_lease.Claim) -> dict[str, float]:
        """Returns the promises to write with a claim."""
        if claim.continues:
            return self._handover.last_promises()
        return self._handover.next_promises(claim.term)

    def _with_handover(
        self, claim: order_lease.Claim, promises: dict[str, float]
    ) -> order_lease.Claim:
        token = self._lease.own_token if claim.continues else claim.term.token
        learnt = self._handover.handover_state(claim.term._replace(token=token))
        term = claim.term._replace(promises=promises, learnt=learnt)
        return claim._replace(term=term)

    def _delays_claim(self) -> bool:
        now_ms = self._now_ms()
        if self._free_since_ms is None:
            self._free_since_ms = now_ms
        return now_ms - self._free_since_ms < self._claim_delay_ms


def _encode(term: order_lease.Term) -> bytes:
    learnt = handover.encode(term.learnt)
    return orjson.dumps({**term._asdict(), "learnt": learnt})


def _decode(value: bytes | None) -> order_lease.Term | None:
    """Decodes the row, which another release may have written."""
    if value is None:
        return None
    try:
        fields = orjson.loads(value)
        term = order_lease.Term(**fields)
        if isinstance(term.learnt, dict):
            term = term._replace(learnt=handover.decode(term.learnt))
        _check(term)
    except (TypeError, ValueError) as error:
        logger.error("lease row unreadable", extra={"reason": repr(error)})
        return order_lease.UNREADABLE
    return term


def _check(term: order_lease.Term) -> None:
    """Checks the values of a decoded row.

    Raises:
        TypeError: One is of another type.
        ValueError: The address has no port.
    """
    names = (term.holder, term.incarnation, term.address, *term.promises)
    numbers = (term.token, *term.promises.values())
    flags = (term.settled, term.released)
    if not (
        all(isinstance(name, str) for name in names)
        and all(isinstance(number, int | float) for number in numbers)
        and all(isinstance(flag, bool) for flag in flags)
        and isinstance(term.token, int)
    ):
        raise TypeError("a field of another type")
    int(term.address.rpartition(":")[2])

"""Permits for targets with a limit: needs of instances and grants to them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple
import zlib

from tanagerloft.decisions import order_lease
from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_notices
from tanagerloft.decisions import target_permits
from tanagerloft.decisions import token_grants
from tanagerloft.util import bounded

# Most recently requested incarnations of targets whose permits are counted.
_MAX_INCARNATIONS = 1_024


class Need(NamedTuple):
    """Permits that an instance needs for one target.

    Attributes:
        target_id: Name of the target.
        born_ms: Start of its incarnation.
        needed: Permits used since the start of the process, including those
            that requests wait for.
        granted: Permits granted to the process since then.
    """

    target_id: str
    born_ms: int
    needed: float
    granted: float


class Grant(NamedTuple):
    """The holder's answer to a need.

    Attributes:
        target_id: Name of the target.
        born_ms: Start of its incarnation.
        grant: Permits granted.
    """

    target_id: str
    born_ms: int
    grant: target_permits.PermitGrant


class TargetPermits:
    """Permits of an instance.

    Args:
        instance: Name of the instance.
        limits: Limits that targets have announced.
        now_ms: Clock.
        silence_ms: Time without an answer of the holder after which the
            instance grants itself permits.
        next_sequence: Returns the sequence number of the next report.
        report_soon: Schedules that report.
    """

    def __init__(
        self,
        instance: str,
        limits: target_limits.TargetLimits,
        now_ms: Callable[[], int],
        silence_ms: int,
        next_sequence: Callable[[], int],
        report_soon: Callable[[], None],
    ):
        self._instance = instance
        self._limits = limits
        self._now_ms = now_ms
        self._silence_ms = silence_ms
        self._next_sequence = next_sequence
        self._report_soon = report_soon
        self._permits: dict[
            target_notices.TargetIncarnation, target_permits.Permits
        ] = {}

    def acquire(
        self,
        incarnation: target_notices.TargetIncarnation,
        done: Callable[[target_permits.Outcome], None],
    ) -> None:
        """Waits for a permit to send a request to a target.

        Args:
            incarnation: Incarnation of the target.
            done: Called with the outcome, later.
        """
        permits = self._permits.get(incarnation)
        if permits is None:
            # The hashed text stays the same between releases: each instance's
            # phase depends on it.
            phase = (
                zlib.crc32(
                    f"{self._instance} "
                    f"Life(target_id={incarnation.target_id!r},"
                    f" born_ms={incarnation.born_ms!r})".encode()
                )
                / 2**32
            )
            permits = target_permits.Permits(self._silence_ms, phase)
        bounded.put_newest(
            self._permits, incarnation, permits, _MAX_INCARNATIONS
        )
        permits.acquire(self._next_sequence(), self._now_ms(), done)
        self._report_soon()

    def cancel(
        self,
        incarnation: target_notices.TargetIncarnation,
        done: Callable[[target_permits.Outcome], None],
    ) -> None:
        """Cancels a wait without an outcome."""
        permits = self._permits.get(incarnation)
        if permits is not None:
            permits.cancel(done)

    @property
    def waits(self) -> bool:
        """Whether a request waits for a permit."""
        return any(permits.has_waiters for permits in self._permits.values())

    def needs(self) -> list[Need]:
        """Returns the needs to report to the holder."""
        needs = (
            (incarnation, permits.need())
            for incarnation, permits in self._permits.items()
            if permits.has_waiters
        )
        return [
            Need(*incarnation, need.needed_tokens, need.granted_tokens)
            for incarnation, need in needs
        ]

    def on_grants(
        self, grants: Iterable[Grant], echoed_sequence: int, age_ms: int
    ) -> None:
        """Applies the holder's answer to a report.

        Args:
            grants: Grants in the answer.
            echoed_sequence: Sequence number of the report.
            age_ms: Time since the report was sent.
        """
        expired = age_ms > target_permits.PERMIT_VALID_MS
        for target_id, born_ms, grant in grants:
            incarnation = target_notices.TargetIncarnation(target_id, born_ms)
            permits = self._permits.get(incarnation)
            if permits is not None:
                permits.on_grant(grant, echoed_sequence, expired)

    def on_silence(self, instances: int) -> None:
        """Grants permits locally while the holder does not answer.

        Args:
            instances: Number of instances that share the limits, 0 if unknown.
        """
        now_ms = self._now_ms()
        # A request that gets no permit may request one for another target at
        # once, which adds to the permits.
        for incarnation, permits in list(self._permits.items()):
            limit_per_s = self._limits.limit_per_s(incarnation)
            if math.isinf(limit_per_s):
                permits.admit_all()
            else:
                permits.on_holder_timeout(now_ms, limit_per_s, instances)


class TargetGrants:
    """Grants permits to instances while the lease holds.

    Args:
        lease: State of the lease.
        limits: Limits that targets have announced.
        now_ms: Clock.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        limits: target_limits.TargetLimits,
        now_ms: Callable[[], int],
    ):
        self._lease = lease
        self._limits = limits
        self._now_ms = now_ms
        self._ledger = target_permits.PermitLedger()
        self._token = 0
        self._changes = -1

    def grant(self, process: str, needs: Iterable[Need]) -> list[Grant]:
        """Grants permits to an instance.

        Args:
            process: Identity of its process.
            needs: Permits that it needs.
        """
        now_ms = self._now_ms()
        self._update(now_ms)
        grants = []
        for target_id, born_ms, needed, granted in needs:
            need = token_grants.Need(needed, granted)
            target = _key(target_notices.TargetIncarnation(target_id, born_ms))
            grant = self._ledger.grant(process, target, need, now_ms)
            grants.append(Grant(target_id, born_ms, grant))
        return grants

    def _update(self, now_ms: int) -> None:
        """Starts afresh with each term, and applies changed limits."""
        term = self._lease.term
        assert term is not None
        if term.token != self._token:
            self._ledger = target_permits.PermitLedger()
            self._token = term.token
            self._changes = -1
        if self._changes != self._limits.changes:
            self._changes = self._limits.changes
            limits_per_s = {
                _key(incarnation): limit_per_s
                for incarnation, limit_per_s in self._limits.in_force().items()
            }
            self._ledger.configure(limits_per_s, now_ms)


def _key(incarnation: target_notices.TargetIncarnation) -> str:
    return f"{incarnation.target_id}/{incarnation.born_ms}"

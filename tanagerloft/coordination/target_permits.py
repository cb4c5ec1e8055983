"""Permits for targets with a limit: what instances need, what they get."""

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

# Lives of targets for which permits are counted, those asked for last.
_MAX_INCARNATIONS = 1_024


class Need(NamedTuple):
    """Permits that an instance needs for one target.

    Attributes:
        target_id: Target.
        born_ms: Start of its life.
        needed: Permits used since the start of the process, with those that
            are waited for.
        granted: Permits granted to it since then.
    """

    target_id: str
    born_ms: int
    needed: float
    granted: float


class Grant(NamedTuple):
    """The holder's answer to a need.

    Attributes:
        target_id: Target.
        born_ms: Start of its life.
        grant: What is granted.
    """

    target_id: str
    born_ms: int
    grant: target_permits.PermitGrant


class TargetPermits:
    """Permits at an instance.

    Args:
        instance: Name of the instance.
        limits: Limits that targets have named.
        now_ms: Clock.
        silence_ms: Time without an answer of the holder after which the
            instance goes on by itself.
        next_sequence: Returns the number of the next report.
        report_soon: Sends that report soon.
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
        life: target_notices.TargetIncarnation,
        done: Callable[[target_permits.Outcome], None],
    ) -> None:
        """Waits for a permit to send a request to a target.

        Args:
            life: Life of the target.
            done: Told the outcome, later.
        """
        permits = self._permits.get(life)
        if permits is None:
            # The hashed text stays the same between releases: each instance's
            # phase depends on it.
            phase = (
                zlib.crc32(
                    f"{self._instance} Life(target_id={life.target_id!r},"
                    f" born_ms={life.born_ms!r})".encode()
                )
                / 2**32
            )
            permits = target_permits.Permits(self._silence_ms, phase)
        bounded.put_newest(self._permits, life, permits, _MAX_INCARNATIONS)
        permits.acquire(self._next_sequence(), self._now_ms(), done)
        self._report_soon()

    def cancel(
        self,
        life: target_notices.TargetIncarnation,
        done: Callable[[target_permits.Outcome], None],
    ) -> None:
        """Ends a wait without an outcome."""
        permits = self._permits.get(life)
        if permits is not None:
            permits.cancel(done)

    @property
    def waits(self) -> bool:
        """Whether a request waits for a permit."""
        return any(permits.has_waiters for permits in self._permits.values())

    def needs(self) -> list[Need]:
        """Returns what to tell the holder."""
        needs = (
            (life, permits.need())
            for life, permits in self._permits.items()
            if permits.has_waiters
        )
        return [
            Need(*life, need.needed_tokens, need.granted_tokens)
            for life, need in needs
        ]

    def on_grants(
        self, grants: Iterable[Grant], echoed_sequence: int, age_ms: int
    ) -> None:
        """Takes in the holder's answer to a report.

        Args:
            grants: Its grants.
            echoed_sequence: Number of the report.
            age_ms: Time since the report was sent.
        """
        expired = age_ms > target_permits.PERMIT_VALID_MS
        for target_id, born_ms, grant in grants:
            life = target_notices.TargetIncarnation(target_id, born_ms)
            permits = self._permits.get(life)
            if permits is not None:
                permits.on_grant(grant, echoed_sequence, expired)

    def on_silence(self, instances: int) -> None:
        """Goes on alone while the holder does not answer.

        Args:
            instances: Instances that share the limits, 0 if that is not known.
        """
        now_ms = self._now_ms()
        # Who gets none may ask for a permit of another target at once.
        for life, permits in list(self._permits.items()):
            limit_per_s = self._limits.limit_per_s(life)
            if math.isinf(limit_per_s):
                permits.admit_all()
            else:
                permits.on_holder_timeout(now_ms, limit_per_s, instances)


class TargetGrants:
    """Grants permits to instances while the lease holds.

    Args:
        lease: The lease's state.
        limits: Limits that targets have named.
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
        """Returns the permits that an instance gets.

        Args:
            process: Identity of its process.
            needs: What it needs.
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
        """Begins anew with each term, and takes in changed limits."""
        term = self._lease.term
        assert term is not None
        if term.token != self._token:
            self._ledger = target_permits.PermitLedger()
            self._token = term.token
            self._changes = -1
        if self._changes != self._limits.changes:
            self._changes = self._limits.changes
            limits_per_s = {
                _key(life): limit_per_s
                for life, limit_per_s in self._limits.in_force().items()
            }
            self._ledger.configure(limits_per_s, now_ms)


def _key(life: target_notices.TargetIncarnation) -> str:
    return f"{life.target_id}/{life.born_ms}"

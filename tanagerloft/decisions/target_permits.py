"""Permits for requests to targets that have named a limit.

An overloaded target names the number of requests a second that it accepts from
all instances together, while callers keep sending requests to every instance.
The lease holder keeps one token bucket per target and grants whole permits,
each for one waiting request. As with tokens, both sides count permits granted
and used since their start, so lost, duplicated and reordered messages do no
harm. A permit that is not used at once is lost, not kept.

Without a lease holder each instance grants itself a permit at intervals. Over
any window of ``t`` seconds a limit of ``r`` requests a second then admits at
most ``r * t`` requests and a burst by grants, and half of ``r * t``, plus the
permits that are valid at both ends of the window, by self-granted permits.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple

from tanagerloft.decisions import token_grants

_MS_PER_S = 1_000
# Capacity of a bucket: the permits of this time, at least so many. With one
# permit alone, all that refills while that one is unused would be lost.
_BURST_S = 0.2
_MIN_BURST_PERMITS = 2.0
# Minimum rate of requests to a target that accepts fewer, or none: without
# them nobody would learn that its limit has ended.
_PROBES_PER_S = 0.1
# A permit granted longer ago is not used any more: the message that carries
# it was delayed, or its instance was suspended.
PERMIT_VALID_MS = 500
# Upper bound on the retry time that a caller is given.
_MAX_TURN_MS = 10_000
# Share of the limit that all instances together use by self-granted permits
# while no lease holder answers.
_SELF_GRANT_SHARE = 0.5
# Time for which a self-granted permit is valid.
_SELF_GRANT_VALID_MS = 500
# The successor of a lost lease holder answers within about this time.
_UNCONFIRMED_TURN_MS = 1_000


def permit_limit(limit_per_s: float) -> token_grants.Limit:
    """Returns rate and capacity of the permit bucket of a target.

    Args:
        limit_per_s: Requests a second that the target accepts.
    """
    rate = max(limit_per_s, _PROBES_PER_S)
    return token_grants.Limit(rate, max(_MIN_BURST_PERMITS, rate * _BURST_S))


class PermitGrant(NamedTuple):
    """Answer of the lease holder for one target.

    Each request that gets no permit is assigned a turn, the time at which it
    should retry, so that the retries come one after the other.

    Attributes:
        granted: Permits granted to the process since its start.
        free_ms: Time until the bucket holds the next permit.
        turn_ms: Time until the turn of the first request without a permit,
            after all turns assigned before.
        period_ms: Time between two turns, which is that between two permits.
    """

    granted: float
    free_ms: int
    turn_ms: int
    period_ms: int


class PermitLedger:
    """Permit buckets of all targets with a limit, at the lease holder.

    They start empty, because the grants of the previous holder are not known.
    """

    def __init__(self):
        self._ledger = token_grants.GrantLedger({}, unit_tokens=1.0)
        self._limits: dict[str, token_grants.Limit] = {}
        self._next_turn_ms: dict[str, float] = {}
        self._granted_at_ms: dict[tuple[str, str], int] = {}

    def configure(self, limits_per_s: dict[str, float], now_ms: int) -> None:
        """Sets the limits in force.

        Args:
            limits_per_s: Requests a second that each target accepts; other
                targets have no limit.
            now_ms: Reading of the clock.
        """
        self._limits = {
            target: permit_limit(limit_per_s)
            for target, limit_per_s in limits_per_s.items()
        }
        self._ledger.configure(self._limits, now_ms)
        self._next_turn_ms = {
            target: turn_ms
            for target, turn_ms in self._next_turn_ms.items()
            if target in self._limits
        }
        self._granted_at_ms = {
            key: granted_at_ms
            for key, granted_at_ms in self._granted_at_ms.items()
            if key[1] in self._limits
        }

    def grant(
        self, process: str, target: str, need: token_grants.Need, now_ms: int
    ) -> PermitGrant:
        """Grants what an instance needs, up to the level of the bucket.

        Args:
            process: Identity of the process that asks.
            target: The target.
            need: Counters that the process reported, in permits.
            now_ms: Reading of the clock.
        """
        key = (process, target)
        if now_ms - self._granted_at_ms.get(key, now_ms) > PERMIT_VALID_MS:
            # A permit that has not arrived by now is not used when it does.
            self._ledger.reset_granted(process, target)
            del self._granted_at_ms[key]
        grant = self._ledger.grant(process, target, need, now_ms)
        assert isinstance(grant, token_grants.Grant)
        if grant.granted_tokens > need.granted_tokens:
            self._granted_at_ms.setdefault(key, now_ms)
        else:
            self._granted_at_ms.pop(key, None)
        limit = self._limits.get(target)
        if limit is None:
            return PermitGrant(grant.granted_tokens, 0, 0, 0)
        period_ms = _MS_PER_S / limit.rate_tokens_per_s
        missing = round(need.needed_tokens - grant.granted_tokens)
        if missing <= 0:
            return PermitGrant(grant.granted_tokens, 0, 0, int(period_ms))
        free_ms = max(1.0, grant.retry_ms + 1 - (missing - 1) * period_ms)
        first_turn_ms = max(
            now_ms + free_ms, self._next_turn_ms.get(target, 0.0)
        )
        first_turn_ms = min(first_turn_ms, now_ms + _MAX_TURN_MS)
        self._next_turn_ms[target] = first_turn_ms + missing * period_ms
        return PermitGrant(
            grant.granted_tokens,
            math.ceil(free_ms),
            math.ceil(first_turn_ms - now_ms),
            int(period_ms),
        )


class Outcome(NamedTuple):
    """End of a wait for a permit.

    Attributes:
        granted: Whether the request may be sent now.
        free_ms: Time until the next permit, for any request, if it may not.
        turn_ms: Time until the turn of this request, if it may not.
    """

    granted: bool
    free_ms: int
    turn_ms: int


_GRANTED = Outcome(True, 0, 0)


class _Waiting(NamedTuple):
    report_sequence: int
    since_ms: int
    done: Callable[[Outcome], None]


class Permits:
    """Permits of one target at an instance.

    Args:
        holder_timeout_ms: Time that a request waits for an answer of the lease
            holder before the instance grants itself permits.
        phase: When it grants itself permits, as a fraction of the time between
            two; different for each instance, so that not all send at once.
    """

    def __init__(self, holder_timeout_ms: int, phase: float):
        self._holder_timeout_ms = holder_timeout_ms
        self._phase = phase
        self._used = 0.0
        self._granted = 0.0
        self._next_self_grant_ms = 0
        self._waiting: list[_Waiting] = []

    def acquire(
        self, next_sequence: int, now_ms: int, done: Callable[[Outcome], None]
    ) -> None:
        """Waits for a permit.

        Args:
            next_sequence: Number of the next report, which contains this need.
            now_ms: Reading of the clock.
            done: Called with the outcome.
        """
        self._waiting.append(_Waiting(next_sequence, now_ms, done))

    def cancel(self, done: Callable[[Outcome], None]) -> None:
        """Ends a wait; its callback ``done`` is not called."""
        self._waiting = [item for item in self._waiting if item.done != done]

    @property
    def has_waiters(self) -> bool:
        """Whether a request waits for a permit."""
        return bool(self._waiting)

    def need(self) -> token_grants.Need:
        """Returns the counters to report to the lease holder."""
        return token_grants.Need(self._used + len(self._waiting), self._granted)

    def on_grant(
        self, grant: PermitGrant, echoed_sequence: int, expired: bool
    ) -> None:
        """Applies an answer of the lease holder.

        Requests that the report contained and that have got no permit are
        refused, each with a turn of its own.

        Args:
            grant: The answer.
            echoed_sequence: Number of the report that it answers.
            expired: Whether it is too old for its permits to be used; waiting
                requests then wait for the answer to the next report.
        """
        self._granted = max(self._granted, grant.granted)
        if expired:
            self._used = max(self._used, self._granted)
            return
        self._admit()
        self._used = max(self._used, self._granted)
        self._refuse(
            [
                item
                for item in self._waiting
                if item.report_sequence <= echoed_sequence
            ],
            grant.free_ms,
            grant.turn_ms,
            grant.period_ms,
        )

    def admit_all(self) -> None:
        """Admits all waiting requests: the target has no limit any more."""
        self._granted = max(self._granted, self._used + len(self._waiting))
        self._admit()

    def on_holder_timeout(
        self, now_ms: int, limit_per_s: float, instances: int
    ) -> None:
        """Grants itself a permit if requests have waited too long.

        Called repeatedly while the lease holder does not answer. Overdue
        requests that get no permit are refused.

        Args:
            now_ms: Reading of the clock.
            limit_per_s: Requests a second that the target accepts.
            instances: Instances that share the limit, 0 if that is not known.
        """
        overdue = [
            item
            for item in self._waiting
            if now_ms - item.since_ms >= self._holder_timeout_ms
        ]
        if not overdue:
            return
        turn_ms, period_ms = _UNCONFIRMED_TURN_MS, 0
        if instances:
            rate = (
                permit_limit(limit_per_s).rate_tokens_per_s
                * _SELF_GRANT_SHARE
                / instances
            )
            period_ms = math.ceil(_MS_PER_S / rate)
            turn_ms = self._self_grant(now_ms, period_ms)
            overdue = [item for item in overdue if item in self._waiting]
        turn_ms = min(turn_ms, _UNCONFIRMED_TURN_MS)
        self._refuse(overdue, turn_ms, turn_ms, period_ms)

    def _self_grant(self, now_ms: int, period_ms: int) -> int:
        """Grants itself the permit of this period, if it is still valid.

        Returns:
            Time until the next one.
        """
        age_ms = (now_ms - int(self._phase * period_ms)) % period_ms
        if now_ms >= self._next_self_grant_ms and age_ms < _SELF_GRANT_VALID_MS:
            self._next_self_grant_ms = now_ms - age_ms + period_ms
            # Reported with the need, so that the next holder counts it.
            self._granted += 1.0
            self._admit()
        return period_ms - age_ms

    def _admit(self) -> None:
        while self._waiting and self._used + 1.0 <= self._granted:
            self._used += 1.0
            self._waiting.pop(0).done(_GRANTED)

    def _refuse(
        self, items: list[_Waiting], free_ms: int, turn_ms: int, period_ms: int
    ) -> None:
        self._waiting = [item for item in self._waiting if item not in items]
        for number, item in enumerate(items):
            item.done(Outcome(False, free_ms, turn_ms + number * period_ms))

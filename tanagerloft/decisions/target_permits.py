"""Permits for requests to targets that have named a limit.

Load answered: a target in need, which says how many requests a second it takes
from all instances together, while callers press at all of them. The holder of
the order lease keeps one bucket a target and grants whole permits, each for one
request that waits for it; as with tokens, both sides count what was granted
and used since their start, so lost, repeated and reordered messages change
nothing. A permit that nobody uses at once is lost, not kept.

Without the holder an instance gives itself a permit now and then. Over any
window of ``t`` seconds a limit of ``r`` a second then lets at most ``r * t``
requests and a burst pass by grants, and half of ``r * t``, with the permits
that are valid at both ends, by instances that go on alone.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple

from tanagerloft.decisions import token_grants

_MS_PER_S = 1_000
# Permits that may lie ready for the next requests: those of this time, or so
# many. Of one alone, all that comes in while it lies ready would be lost.
_BURST_S = 0.2
_MIN_BURST_PERMITS = 2.0
# Requests a second that are sent to a target which wants fewer, or none:
# nobody would learn otherwise that its limit has ended.
_PROBES_PER_S = 0.1
# A permit that was granted longer ago is not used any more: the answer that
# carries it, or the instance that it is for, has been held up.
PERMIT_VALID_MS = 500
# Turns that callers are told lie at most so far ahead.
_MAX_TURN_MS = 10_000
# Part of the limit that all instances use together while no holder answers.
_SELF_GRANT_SHARE = 0.5
# Time for which a permit that an instance gives itself is valid.
_SELF_GRANT_VALID_MS = 500
# A holder that is lost has a successor that answers within about this time.
_UNCONFIRMED_TURN_MS = 1_000


def permit_limit(limit_per_s: float) -> token_grants.Limit:
    """Returns the bucket that grants for a target are taken from.

    Args:
        limit_per_s: Requests a second that the target takes.
    """
    rate = max(limit_per_s, _PROBES_PER_S)
    return token_grants.Limit(rate, max(_MIN_BURST_PERMITS, rate * _BURST_S))


class PermitGrant(NamedTuple):
    """What the holder answers on one target.

    Attributes:
        granted: Permits granted to the process since its start.
        free_ms: Time until the next permit can be had.
        turn_ms: Time until there is one for the first request that got none,
            after those who have been told a turn before.
        period_ms: Time between two permits.
    """

    granted: float
    free_ms: int
    turn_ms: int
    period_ms: int


class PermitLedger:
    """Buckets of all targets with a limit, at the holder.

    They begin empty: what the holder before has granted is not known.
    """

    def __init__(self):
        self._ledger = token_grants.GrantLedger({}, unit_tokens=1.0)
        self._limits: dict[str, token_grants.Limit] = {}
        self._next_turn_ms: dict[str, float] = {}
        self._granted_at_ms: dict[tuple[str, str], int] = {}

    def configure(self, limits_per_s: dict[str, float], now_ms: int) -> None:
        """Takes in the limits in force, by target."""
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
            key: given_ms
            for key, given_ms in self._granted_at_ms.items()
            if key[1] in self._limits
        }

    def grant(
        self, process: str, target: str, need: token_grants.Need, now_ms: int
    ) -> PermitGrant:
        """Grants what an instance needs, as far as the bucket goes.

        Args:
            process: Identity of the process that asks.
            target: The target.
            need: What it told, in permits.
            now_ms: Reading of the clock.
        """
        key = (process, target)
        if now_ms - self._granted_at_ms.get(key, now_ms) > PERMIT_VALID_MS:
            # What has not arrived by now is not used when it does.
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
        first_ms = max(now_ms + free_ms, self._next_turn_ms.get(target, 0.0))
        first_ms = min(first_ms, now_ms + _MAX_TURN_MS)
        self._next_turn_ms[target] = first_ms + missing * period_ms
        return PermitGrant(
            grant.granted_tokens,
            math.ceil(free_ms),
            math.ceil(first_ms - now_ms),
            int(period_ms),
        )


class Outcome(NamedTuple):
    """End of a wait for a permit.

    Attributes:
        granted: Whether one request may be sent now.
        free_ms: Time until another request might get a permit, if not.
        turn_ms: Time until this one should.
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
        silence_ms: Time without an answer of the holder after which the
            instance goes on by itself.
        phase: When it gives itself permits, as a part of the time between two;
            different for each instance, so that they do not all send at once.
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
            next_sequence: Number of the next report, which will tell the need.
            now_ms: Reading of the clock.
            done: Told the outcome.
        """
        self._waiting.append(_Waiting(next_sequence, now_ms, done))

    def cancel(self, done: Callable[[Outcome], None]) -> None:
        """Ends a wait without an outcome."""
        self._waiting = [item for item in self._waiting if item.done != done]

    @property
    def has_waiters(self) -> bool:
        """Whether a request waits for a permit."""
        return bool(self._waiting)

    def need(self) -> token_grants.Need:
        """Returns what to tell the holder."""
        return token_grants.Need(self._used + len(self._waiting), self._granted)

    def on_grant(
        self, grant: PermitGrant, echoed_sequence: int, expired: bool
    ) -> None:
        """Takes in an answer of the holder.

        Args:
            grant: The answer.
            echoed_sequence: Number of the report that it answers.
            expired: Whether it is too old for its permits to be used; who
                waits is told by the answer to the next report.
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
        """Lets all requests go that wait: the target has no limit any more."""
        self._granted = max(self._granted, self._used + len(self._waiting))
        self._admit()

    def on_holder_timeout(
        self, now_ms: int, limit_per_s: float, instances: int
    ) -> None:
        """Goes on alone when the holder has not answered for a while.

        Args:
            now_ms: Reading of the clock.
            limit_per_s: Requests a second that the target takes.
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
        """Uses the permit of this time; returns the time until the next."""
        age_ms = (now_ms - int(self._phase * period_ms)) % period_ms
        if now_ms >= self._next_self_grant_ms and age_ms < _SELF_GRANT_VALID_MS:
            self._next_self_grant_ms = now_ms - age_ms + period_ms
            # Reported to the next holder with the need, which then counts it.
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

"""Tokens of an account at an instance: granted, used and waited for.

Requests wait here until the lease holder has granted their tokens. While no
holder answers, the instance grants itself its share of the account's rate.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.decisions import token_grants

_MS_PER_S = 1_000
# The successor of a lost lease holder answers within about this time.
_UNCONFIRMED_RETRY_MS = 1_000
# An instance without a holder grants itself its share of at most this time at
# once; with more, all instances together could exceed the account's limit.
_MAX_SELF_GRANT_MS = 1_000


class Outcome(NamedTuple):
    """End of a wait for tokens.

    Attributes:
        admitted: Whether the request has its tokens.
        retry_ms: Time until the caller should retry, if it has not.
        confirmed: Whether the lease holder has decided so; otherwise it is not
            known how much of the account's limit is left.
    """

    admitted: bool
    retry_ms: int
    confirmed: bool


class _Waiting(NamedTuple):
    cost_tokens: float
    report_sequence: int
    since_ms: int
    done: Callable[[Outcome], None]


class AccountTokens:
    """Tokens of one account at an instance.

    Args:
        holder_timeout_ms: Time that a request waits for an answer of the lease
            holder before the instance grants itself tokens.

    Attributes:
        fallback_tokens_per_s: Rate at which it grants itself tokens: its share
            of the account's rate, 0 while that is not known.
    """

    def __init__(self, holder_timeout_ms: int):
        self.fallback_tokens_per_s = 0.0
        self._holder_timeout_ms = holder_timeout_ms
        self._used = 0.0
        self._granted = 0.0
        self._self_granted = 0.0
        self._waiting: list[_Waiting] = []
        self._self_granted_ms: int | None = None

    def acquire(
        self,
        cost_tokens: float,
        next_sequence: int,
        now_ms: int,
        done: Callable[[Outcome], None],
    ) -> bool:
        """Acquires tokens, at once or after an answer of the lease holder.

        Args:
            cost_tokens: Tokens to acquire.
            next_sequence: Number of the next report, which contains this need.
            now_ms: Reading of the clock.
            done: Called with the outcome, unless the tokens were acquired at
                once.

        Returns:
            Whether the tokens were acquired at once.
        """
        if not self._waiting and self._used + cost_tokens <= self._granted:
            self._used += cost_tokens
            return True
        self._waiting.append(_Waiting(cost_tokens, next_sequence, now_ms, done))
        return False

    def refund(self, cost_tokens: float) -> None:
        """Refunds the tokens of a request that did not run."""
        self._used -= cost_tokens

    def cancel(self, done: Callable[[Outcome], None]) -> None:
        """Ends a wait; its callback ``done`` is not called."""
        self._waiting = [item for item in self._waiting if item.done != done]

    @property
    def has_waiters(self) -> bool:
        """Whether a request waits for tokens."""
        return bool(self._waiting)

    def need(self) -> token_grants.Need:
        """Returns the counters to report to the lease holder."""
        waiting_tokens = sum(item.cost_tokens for item in self._waiting)
        return token_grants.Need(
            self._used + waiting_tokens, self._granted, self._self_granted
        )

    def on_grant(
        self, grant: token_grants.Grant, echoed_sequence: int, now_ms: int
    ) -> None:
        """Applies the lease holder's answer to a report.

        Requests that the report contained and that have got no tokens are
        refused.

        Args:
            grant: The answer.
            echoed_sequence: Number of the report that it answers.
            now_ms: Reading of the clock.
        """
        self._granted = max(self._granted, grant.granted_tokens)
        self._self_granted_ms = None
        self._self_granted = 0.0
        self._admit()
        refused = [
            item
            for item in self._waiting
            if item.report_sequence <= echoed_sequence
        ]
        self._waiting = self._waiting[len(refused) :]
        for item in refused:
            item.done(Outcome(False, max(1, grant.retry_ms), confirmed=True))

    def on_holder_timeout(self, now_ms: int) -> None:
        """Grants itself tokens if the oldest request has waited too long.

        Called repeatedly while the lease holder does not answer. Requests that
        have waited for twice the timeout are refused.
        """
        if not self._waiting:
            return
        oldest_ms = self._waiting[0].since_ms
        if now_ms - oldest_ms < self._holder_timeout_ms:
            return
        since_ms = self._self_granted_ms
        if since_ms is None:
            since_ms = oldest_ms
        self._self_granted_ms = now_ms
        elapsed_ms = min(now_ms - since_ms, _MAX_SELF_GRANT_MS)
        # Reported with the need, so that the next holder counts them.
        tokens = self.fallback_tokens_per_s * elapsed_ms / _MS_PER_S
        self._granted += tokens
        self._self_granted += tokens
        self._admit()
        overdue = [
            item
            for item in self._waiting
            if now_ms - item.since_ms >= 2 * self._holder_timeout_ms
        ]
        self._waiting = self._waiting[len(overdue) :]
        for item in overdue:
            item.done(Outcome(False, _UNCONFIRMED_RETRY_MS, confirmed=False))

    def _admit(self) -> None:
        while self._waiting:
            item = self._waiting[0]
            if self._used + item.cost_tokens > self._granted:
                return
            self._waiting.pop(0)
            self._used += item.cost_tokens
            item.done(Outcome(True, 0, confirmed=True))

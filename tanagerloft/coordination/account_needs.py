"""Tokens of client accounts at an instance: needs and grants."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from tanagerloft.decisions import account_tokens
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types


class AccountNeeds:
    """Tokens by account.

    Args:
        silence_ms: Time without an answer of the holder after which the
            instance uses its share of each rate.
    """

    def __init__(self, silence_ms: int):
        self._silence_ms = silence_ms
        self._accounts: dict[str, account_tokens.AccountTokens] = {}
        self._rates: dict[str, float] = {}
        self._instances = 0

    def configure(self, configuration: types.Configuration) -> None:
        """Applies the accounts of a new configuration."""
        self._rates = {
            name: account.rate_tokens_per_s
            for name, account in configuration.accounts.items()
        }
        for name in self._rates:
            if name not in self._accounts:
                self._accounts[name] = account_tokens.AccountTokens(
                    self._silence_ms
                )
        self._share_rates()

    def set_instance_count(self, instances: int) -> None:
        """Sets the number of instances that share the rates."""
        if instances != self._instances:
            self._instances = instances
            self._share_rates()

    def _share_rates(self) -> None:
        """Sets the rate of each account at this instance without a holder.

        It is 0 until a holder has reported the number of instances.
        """
        for name, account in self._accounts.items():
            rate = self._rates.get(name, 0.0)
            share = rate / self._instances if self._instances else 0
            account.fallback_tokens_per_s = share

    def acquire(
        self,
        account: types.Account,
        cost_tokens: float,
        next_sequence: int,
        now_ms: int,
        done: Callable[[account_tokens.Outcome], None],
    ) -> bool:
        """Takes tokens of an account; see ``AccountTokens.acquire``."""
        if account.rate_tokens_per_s <= 0:
            return True
        grants = self._accounts[account.name]
        return grants.acquire(cost_tokens, next_sequence, now_ms, done)

    def refund(self, account: types.Account, cost_tokens: float) -> None:
        """Refunds the tokens of a request that did not run."""
        grants = self._accounts.get(account.name)
        if grants is not None and account.rate_tokens_per_s > 0:
            grants.refund(cost_tokens)

    def cancel(
        self,
        account: types.Account,
        done: Callable[[account_tokens.Outcome], None],
    ) -> None:
        """Cancels a wait for tokens."""
        grants = self._accounts.get(account.name)
        if grants is not None:
            grants.cancel(done)

    @property
    def waits(self) -> bool:
        """Whether a request waits for tokens."""
        return any(account.has_waiters for account in self._accounts.values())

    def needs(self) -> dict[str, token_grants.Need]:
        """Returns the needs to report to the holder, by account."""
        return {
            name: need
            for name, account in self._accounts.items()
            if (need := account.need()).needed_tokens > 0
        }

    def on_grants(
        self,
        grants: Mapping[str, token_grants.Grant],
        echoed_sequence: int,
        now_ms: int,
    ) -> None:
        """Applies the holder's answer to a report."""
        for name, grant in grants.items():
            account = self._accounts.get(name)
            if account is not None:
                account.on_grant(grant, echoed_sequence, now_ms)

    def on_silence(self, now_ms: int) -> None:
        """Grants tokens locally while the holder does not answer."""
        for account in self._accounts.values():
            account.on_holder_timeout(now_ms)

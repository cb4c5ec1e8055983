"""Token buckets of accounts at the lease holder, and its promises of tokens."""

from __future__ import annotations

from collections.abc import Callable

from tanagerloft.coordination import messages
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types


class AccountGrants:
    """Grants tokens to instances while this instance holds the lease.

    Args:
        lease: State of the lease.
        now_ms: Clock.
        tolerance: Amount by which accounts may exceed their limits.

    Attributes:
        withheld_from: Instances that wait for tokens which are promised to the
            next holder.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        now_ms: Callable[[], int],
        tolerance: token_grants.Tolerance,
    ):
        self._lease = lease
        self._now_ms = now_ms
        self._tolerance = tolerance
        self._ledger: token_grants.GrantLedger | None = None
        self._ledger_token = 0
        self._limits: dict[str, token_grants.Limit] = {}
        self.withheld_from: set[str] = set()

    def configure(self, configuration: types.Configuration) -> None:
        """Applies the limits of a new configuration."""
        self._limits = {}
        for account in configuration.accounts.values():
            limit = token_grants.Limit(
                account.rate_tokens_per_s, account.burst_tokens
            )
            if limit.rate_tokens_per_s > 0:
                limit = token_grants.apply_tolerance(limit, self._tolerance)
            self._limits[account.name] = limit
        if self._ledger is not None:
            self._ledger.configure(self._limits, self._now_ms())

    def grant(
        self, report: messages.Report, process: str
    ) -> dict[str, token_grants.Grant]:
        """Returns the grants that a report requests, by account.

        Leaves out accounts whose tokens are promised to the next holder;
        these can be granted once a new promise is written.

        Args:
            report: The report.
            process: Identity of the process that sent it.
        """
        now_ms = self._now_ms()
        ledger = self._current_ledger(now_ms)
        grants = {}
        for account, need in report.needs.items():
            grant = ledger.grant(process, account, need, now_ms)
            if isinstance(grant, token_grants.Withheld):
                self.withheld_from.add(report.instance)
            else:
                grants[account] = grant
        return grants

    def next_promises(self, term: order_lease.Term) -> dict[str, float]:
        """Returns the promises to write with a claim or a renewal."""
        if self._ledger is not None and self._is_current(term):
            return self._ledger.propose_promises(self._now_ms())
        return token_grants.promises_from_inherited(term.promises)

    def on_promised(self, term: order_lease.Term) -> None:
        """Handles the successful write of the promises of a term."""
        if self._ledger is not None and self._is_current(term):
            self._ledger.on_promises_written(term.promises)

    def last_promises(self) -> dict[str, float]:
        """Returns the promises of a holder that no longer grants tokens."""
        if (
            self._ledger is not None
            and self._ledger_token == self._lease.own_token
        ):
            return self._ledger.final_levels(self._now_ms())
        term = self._lease.term
        return term.promises if term is not None else {}

    def _is_current(self, term: order_lease.Term | None) -> bool:
        return term is not None and term.token == self._ledger_token

    def _current_ledger(self, now_ms: int) -> token_grants.GrantLedger:
        """Returns the buckets of this term.

        After a takeover they start with the promises of the previous holder.
        """
        term = self._lease.term
        assert term is not None
        if self._ledger is None or not self._is_current(term):
            self._ledger = token_grants.GrantLedger(
                None
                if self._lease.is_first_term
                else self._lease.inherited_promises,
                self._tolerance,
            )
            self._ledger.on_promises_written(term.promises)
            self._ledger.configure(self._limits, now_ms)
            self._ledger_token = term.token
        return self._ledger

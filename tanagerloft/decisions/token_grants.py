"""Fleet-wide token limits of client accounts.

The limit must hold when the requests of an account are spread unevenly over
the instances, and when an account sends several times its rate. The lease
holder keeps one token bucket per account and grants tokens from it; instances
count the tokens granted to them and used by them since their start, see
``account_tokens``. Both counters only increase, so lost, duplicated and
reordered messages do no harm.
"""

from collections.abc import Mapping
from typing import NamedTuple

_MS_PER_S = 1_000


class Limit(NamedTuple):
    """Limit of one account.

    Attributes:
        rate_tokens_per_s: Refill rate for the whole fleet.
        burst_tokens: Capacity of the bucket.
    """

    rate_tokens_per_s: float
    burst_tokens: float


class Tolerance(NamedTuple):
    """By how much an account may exceed its limit over any window.

    Attributes:
        tokens: Fixed number of tokens.
        share: Fraction of the limit, added to the fixed number.
    """

    tokens: float
    share: float


# Fractions of the tolerance that grants may use. The rest covers the time
# between a grant and the start of its request, and the tokens that instances
# grant themselves while no lease holder answers.
_TOLERANCE_TOKENS_FRACTION = 0.6
_TOLERANCE_SHARE_FRACTION = 0.6


def apply_tolerance(limit: Limit, tolerance: Tolerance) -> Limit:
    """Returns the limit, widened by the tolerance, that grants keep to.

    Without it a request that costs more than the burst of its account could
    never be granted.
    """
    factor = 1.0 + _TOLERANCE_SHARE_FRACTION * tolerance.share
    return Limit(
        limit.rate_tokens_per_s * factor,
        limit.burst_tokens * factor
        + _TOLERANCE_TOKENS_FRACTION * tolerance.tokens,
    )


class Need(NamedTuple):
    """Counters of one account that an instance reports.

    Attributes:
        needed_tokens: Tokens used since its start, plus those that its waiting
            requests need.
        granted_tokens: Tokens granted to it since its start.
        self_granted_tokens: Part of ``granted_tokens`` that it has granted
            itself since the last answer of a lease holder.
    """

    needed_tokens: float
    granted_tokens: float
    self_granted_tokens: float = 0.0


class Grant(NamedTuple):
    """Answer of the lease holder for one account.

    Attributes:
        granted_tokens: Tokens granted to the instance since its start.
        retry_ms: Time until the bucket holds the tokens that are still
            missing, 0 if none are.
    """

    granted_tokens: float
    retry_ms: int


class Withheld(NamedTuple):
    """The bucket holds the tokens, but they are promised to the next holder.

    They are granted once a new promise has been written.
    """

    missing_tokens: float


_NO_TOLERANCE = Tolerance(tokens=0.0, share=0.0)
# Fraction of a bucket's level that is promised to the next lease holder.
_PROMISED_FRACTION = 0.5
# Tokens that are never promised, as a fraction of the tolerated tokens.
_UNPROMISED_TOLERANCE_FRACTION = 0.6


class GrantLedger:
    """Token buckets of all accounts at the lease holder.

    A holder writes promises into the lease row: the tokens that it will leave
    in each bucket. The next holder starts its buckets with them, so a takeover
    refuses no requests that are within the limit of their account. No token is
    granted twice, because between two promises only unpromised tokens are
    granted.

    Args:
        initial_levels: Promises of the previous holder by account; None if no
            earlier holder can have granted tokens, so that buckets start full.
        tolerance: By how much accounts may exceed their limits.
        unit_tokens: Grants are multiples of it; 0 for any amount.
    """

    def __init__(
        self,
        initial_levels: Mapping[str, float] | None,
        tolerance: Tolerance = _NO_TOLERANCE,
        unit_tokens: float = 0.0,
    ):
        self._initial_levels = initial_levels
        self._tolerance = tolerance
        self._unit_tokens = unit_tokens
        self._limits: dict[str, Limit] = {}
        self._levels: dict[str, float] = {}
        self._refilled_ms: dict[str, int] = {}
        self._granted: dict[tuple[str, str], float] = {}
        self._promised: dict[str, float] = {}
        self._withheld: dict[str, float] = {}

    def propose_promises(self, now_ms: int) -> dict[str, float]:
        """Returns the promises to write next, by account.

        They bind from now on, since the write may take effect at any time. The
        previous promises stay binding too until ``on_promises_written``.
        """
        proposed = {}
        for name, level in self._refilled(now_ms).items():
            retained = max(
                level * (1.0 - _PROMISED_FRACTION),
                _UNPROMISED_TOLERANCE_FRACTION * self._tolerance.tokens,
                self._withheld.pop(name, 0.0),
            )
            proposed[name] = float(max(0, int(level - retained)))
            self._promised[name] = max(
                proposed[name], self._promised.get(name, 0.0)
            )
        return proposed

    def on_promises_written(self, promised: Mapping[str, float]) -> None:
        """Records that the lease row holds exactly these promises."""
        self._promised = dict(promised)

    def final_levels(self, now_ms: int) -> dict[str, float]:
        """Returns the levels that a holder leaves when it stops granting."""
        return {
            name: float(max(0, int(level)))
            for name, level in self._refilled(now_ms).items()
        }

    def _refilled(self, now_ms: int) -> dict[str, float]:
        for name in self._limits:
            self._refill(name, now_ms)
        return {name: self._levels[name] for name in self._limits}

    def configure(self, limits: dict[str, Limit], now_ms: int) -> None:
        """Sets the limits in force.

        Args:
            limits: Limits by account; other accounts are unlimited.
            now_ms: Reading of the clock.
        """
        for name in self._limits:
            self._refill(name, now_ms)
        for name, limit in limits.items():
            # An account that is withdrawn and declared again keeps its level.
            if name not in self._levels:
                self._levels[name] = limit.burst_tokens
                if self._initial_levels is not None:
                    self._levels[name] = self._initial_levels.get(name, 0.0)
                self._refilled_ms[name] = now_ms
            self._levels[name] = min(self._levels[name], limit.burst_tokens)
        self._limits = dict(limits)
        # A later report contains what its process was granted.
        self._granted = {
            key: granted
            for key, granted in self._granted.items()
            if key[1] in limits
        }

    def grant(
        self, process: str, account: str, need: Need, now_ms: int
    ) -> Grant | Withheld:
        """Grants what an instance needs, up to the level of the bucket.

        Args:
            process: Identity of the process that asks.
            account: Name of the account.
            need: Counters that it reported.
            now_ms: Reading of the clock.

        Returns:
            The grant, or ``Withheld`` if the bucket holds enough tokens but
            some of them are promised.
        """
        key = (process, account)
        granted_before = self._granted.get(key)
        if granted_before is None:
            # The previous holder has not counted the self-granted tokens.
            granted_before = need.granted_tokens
            self._deduct(account, need.self_granted_tokens, now_ms)
        if need.granted_tokens > granted_before:
            # The instance granted itself tokens while it had no answer.
            self._deduct(account, need.granted_tokens - granted_before, now_ms)
            granted_before = need.granted_tokens
        missing = need.needed_tokens - granted_before
        if missing <= 0:
            self._granted[key] = granted_before
            return Grant(granted_before, 0)
        limit = self._limits.get(account)
        if limit is None or limit.rate_tokens_per_s <= 0:
            self._granted[key] = need.needed_tokens
            return Grant(need.needed_tokens, 0)
        self._refill(account, now_ms)
        level = self._levels[account]
        unpromised = level - self._promised.get(account, 0.0)
        available = max(0.0, unpromised)
        if available < missing <= level:
            # The next promise leaves this amount out.
            self._withheld[account] = missing
            self._granted[key] = granted_before
            return Withheld(missing)
        amount = self._round_to_units(min(missing, available))
        self._levels[account] -= amount
        self._granted[key] = granted_before + amount
        shortfall = max(0.0, missing - unpromised)
        retry_ms = int(shortfall / limit.rate_tokens_per_s * _MS_PER_S)
        return Grant(granted_before + amount, retry_ms)

    def reset_granted(self, process: str, account: str) -> None:
        """Discards the count of a process; its next report replaces it."""
        self._granted.pop((process, account), None)

    def _round_to_units(self, tokens: float) -> float:
        if not self._unit_tokens:
            return tokens
        return tokens // self._unit_tokens * self._unit_tokens

    def _deduct(self, account: str, tokens: float, now_ms: int) -> None:
        if account in self._limits:
            self._refill(account, now_ms)
            self._levels[account] -= tokens

    def _refill(self, account: str, now_ms: int) -> None:
        limit = self._limits[account]
        elapsed_ms = now_ms - self._refilled_ms[account]
        self._refilled_ms[account] = now_ms
        level = self._levels[account]
        level += limit.rate_tokens_per_s * elapsed_ms / _MS_PER_S
        self._levels[account] = min(limit.burst_tokens, level)


def promises_from_inherited(promised: Mapping[str, float]) -> dict[str, float]:
    """Returns the first promises of a new holder.

    Args:
        promised: Promises of the previous holder by account.
    """
    return {
        name: float(int(level * _PROMISED_FRACTION))
        for name, level in promised.items()
    }

"""Limits of client accounts in tokens over the whole fleet.

Load answered: an account whose requests reach instances unevenly, or that
sends several times its rate. The holder of the order lease keeps one bucket an
account and grants tokens; instances count what they were granted and what they
used since their start, see ``account_tokens``. Both only ever rise, so that
lost, repeated and reordered messages change nothing.
"""

from collections.abc import Mapping
from typing import NamedTuple

_MS_PER_S = 1_000


class Limit(NamedTuple):
    """Limit of one account.

    Attributes:
        rate_tokens_per_s: Rate over the fleet.
        burst_tokens: Size of the bucket.
    """

    rate_tokens_per_s: float
    burst_tokens: float


class Tolerance(NamedTuple):
    """By how much an account may exceed its limit over any window.

    Attributes:
        tokens: Tokens.
        share: Share of the limit.
    """

    tokens: float
    share: float


# Parts of the tolerance that are used; the rest covers the time between a
# grant and the start of its request, and what instances use on their own.
_TOLERANCE_TOKENS_FRACTION = 0.6
_TOLERANCE_SHARE_FRACTION = 0.6


def apply_tolerance(limit: Limit, tolerance: Tolerance) -> Limit:
    """Returns the limit that grants keep to.

    Load answered: requests that are larger than their account's burst, which
    could never be granted otherwise.
    """
    share = 1.0 + _TOLERANCE_SHARE_FRACTION * tolerance.share
    return Limit(
        limit.rate_tokens_per_s * share,
        limit.burst_tokens * share
        + _TOLERANCE_TOKENS_FRACTION * tolerance.tokens,
    )


class Need(NamedTuple):
    """What an instance tells of one account.

    Attributes:
        needed_tokens: Tokens used since its start, with those waited for.
        granted_tokens: Tokens granted to it since its start.
        alone_tokens: Those of them that it has given itself since it last
            heard a holder.
    """

    needed_tokens: float
    granted_tokens: float
    self_granted_tokens: float = 0.0


class Grant(NamedTuple):
    """What the holder answers on one account.

    Attributes:
        granted_tokens: Tokens granted to the instance since its start.
        retry_ms: Time until what it still needs will be there.
    """

    granted_tokens: float
    retry_ms: int


class Withheld(NamedTuple):
    """The tokens are there, but promised to the next holder.

    They are granted once a new promise has been written.
    """

    missing_tokens: float


_NO_TOLERANCE = Tolerance(tokens=0.0, share=0.0)
# Of what a bucket holds, the part that is promised to the next holder; and the
# tokens, as a share of what is tolerated, that are never promised.
_PROMISED_FRACTION = 0.5
_UNPROMISED_TOLERANCE_FRACTION = 0.6


class GrantLedger:
    """Buckets of all accounts, at the holder.

    A holder promises, by the row of its lease, what it will leave in each
    bucket; the next one begins with that. So a change of the holder refuses no
    requests that are within their account's limit, and tokens are still never
    granted twice: between two promises only what has not been promised is
    granted.

    Args:
        start: What the holder before has promised, by account; None where no
            holder can have granted before, so that buckets start full.
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
        """Returns what to promise next, by account.

        It binds from now on, as whoever reads the row may find it there; what
        was promised before binds too until ``on_promised``.
        """
        proposed = {}
        for name, level in self._refilled(now_ms).items():
            kept = max(
                level * (1.0 - _PROMISED_FRACTION),
                _UNPROMISED_TOLERANCE_FRACTION * self._tolerance.tokens,
                self._withheld.pop(name, 0.0),
            )
            proposed[name] = float(max(0, int(level - kept)))
            self._promised[name] = max(
                proposed[name], self._promised.get(name, 0.0)
            )
        return proposed

    def on_promises_written(self, promised: Mapping[str, float]) -> None:
        """Takes in that the row holds these promises, and no others."""
        self._promised = dict(promised)

    def final_levels(self, now_ms: int) -> dict[str, float]:
        """Returns what a holder that grants no more leaves, by account."""
        return {
            name: float(max(0, int(level)))
            for name, level in self._refilled(now_ms).items()
        }

    def _refilled(self, now_ms: int) -> dict[str, float]:
        for name in self._limits:
            self._refill(name, now_ms)
        return {name: self._levels[name] for name in self._limits}

    def configure(self, limits: dict[str, Limit], now_ms: int) -> None:
        """Takes in the limits in force; accounts without one have none."""
        for name in self._limits:
            self._refill(name, now_ms)
        for name, limit in limits.items():
            if name not in self._limits:
                self._levels[name] = limit.burst_tokens
                if self._initial_levels is not None:
                    self._levels[name] = self._initial_levels.get(name, 0.0)
                self._refilled_ms[name] = now_ms
            self._levels[name] = min(self._levels[name], limit.burst_tokens)
        self._limits = dict(limits)
        # Who asks again tells what it was granted.
        self._granted = {
            key: granted
            for key, granted in self._granted.items()
            if key[1] in limits
        }

    def grant(
        self, process: str, account: str, need: Need, now_ms: int
    ) -> Grant | Withheld:
        """Grants what an instance needs, as far as the bucket goes.

        Args:
            process: Identity of the process that asks.
            account: Name of the account.
            need: What it told.
            now_ms: Reading of the clock.
        """
        key = (process, account)
        before = self._granted.get(key)
        if before is None:
            # The holder before has not counted these.
            before = need.granted_tokens
            self._deduct(account, need.self_granted_tokens, now_ms)
        if need.granted_tokens > before:
            # The instance went on alone while it did not hear the holder.
            self._deduct(account, need.granted_tokens - before, now_ms)
            before = need.granted_tokens
        missing = need.needed_tokens - before
        if missing <= 0:
            self._granted[key] = before
            return Grant(before, 0)
        limit = self._limits.get(account)
        if limit is None or limit.rate_tokens_per_s <= 0:
            self._granted[key] = need.needed_tokens
            return Grant(need.needed_tokens, 0)
        self._refill(account, now_ms)
        level = self._levels[account]
        unpromised = level - self._promised.get(account, 0.0)
        free = max(0.0, unpromised)
        if free < missing <= level:
            # The next promise leaves room for it.
            self._withheld[account] = missing
            self._granted[key] = before
            return Withheld(missing)
        given = self._round_to_units(min(missing, free))
        self._levels[account] -= given
        self._granted[key] = before + given
        short = max(0.0, missing - unpromised)
        retry_ms = int(short / limit.rate_tokens_per_s * _MS_PER_S)
        return Grant(before + given, retry_ms)

    def reset_granted(self, process: str, account: str) -> None:
        """Counts only what a process tells that it was granted."""
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
    """Returns what a new holder promises of what was promised to it."""
    return {
        name: float(int(level * _PROMISED_FRACTION))
        for name, level in promised.items()
    }

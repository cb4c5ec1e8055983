"""Client for tokens from other instances if the local bucket has too few."""

from typing import NamedTuple

from tanagerloft.decisions import bucket as bucket_lib
from tanagerloft.decisions import rendezvous
from tanagerloft.decisions import shares
from tanagerloft.peers import bus as bus_lib
from tanagerloft.peers import errors as peer_errors
from tanagerloft.util import clock as clock_lib

_UNRESPONSIVE_PEER_MS = 2_000
# Bounds the timeout per holder, so that a round reaches this many holders even
# if none of them replies.
_MIN_ASKED_HOLDERS = 3


class Grant(NamedTuple):
    """Tokens that another instance deducted from its bucket for this one.

    Attributes:
        address: Address of that instance.
        incarnation: Its incarnation; its bucket does not outlive it.
        reservation: Reservation in its bucket.
    """

    address: str
    incarnation: str
    reservation: bucket_lib.Reservation


class Charge(NamedTuple):
    """Tokens reserved for one request.

    Attributes:
        account: Name of the client account.
        cost_tokens: Total amount.
        local: Part from this instance's bucket.
        grants: Parts from the buckets of other instances.
    """

    account: str
    cost_tokens: int
    local: bucket_lib.Reservation
    grants: tuple[Grant, ...] = ()


class CollectedGrants(NamedTuple):
    """Result of one round of grant requests.

    Attributes:
        grants: The grants; their sum may be less than the missing amount.
        any_response: Whether any holder has replied.
        asked_all: Whether there was time to ask every reachable holder.
    """

    grants: tuple[Grant, ...]
    any_response: bool
    asked_all: bool


class _Level(NamedTuple):
    """Tokens that a holder had left after its latest grant."""

    micro_tokens: int
    at_ms: int


class GrantClient:
    """Requests grants, and keeps the level and responsiveness of each holder.

    Args:
        me: Name of this instance.
        bus: Messages between instances.
        clock: Clock of the process.
        grant_ms: Time limit of one round of grant requests.
    """

    def __init__(
        self,
        me: str,
        bus: bus_lib.Peers,
        clock: clock_lib.Clock,
        grant_ms: int,
    ):
        self._me = me
        self._bus = bus
        self._clock = clock
        self._grant_ms = grant_ms
        self._unresponsive_until_ms: dict[str, int] = {}
        self._last_levels: dict[tuple[str, str], _Level] = {}

    def collect(
        self,
        account: str,
        missing: int,
        holders: list[str],
        addresses: dict[str, str],
        share: shares.Size,
    ) -> CollectedGrants:
        """Asks holders one after another until the missing amount is granted.

        Args:
            account: Name of the account.
            missing: Amount, in millionths of a token.
            holders: Instances that hold shares; if empty, any peer is asked.
            addresses: Addresses of the live peers.
            share: Size of the bucket over one share.

        Returns:
            The grants of the holders.
        """
        grants: list[Grant] = []
        any_response, asked_all = False, True
        asked_ms = self._clock.now_ms()
        ordered = self._fullest_first(account, holders, share, asked_ms)
        for holder in ordered or rendezvous.rank(account, addresses):
            now_ms = self._clock.now_ms()
            left_ms = self._grant_ms - (now_ms - asked_ms)
            if missing == 0:
                break
            if left_ms <= 0:
                asked_all = False
                break
            if not self._may_ask(holder, addresses, now_ms):
                continue
            timeout_ms = min(left_ms, self._grant_ms // _MIN_ASKED_HOLDERS)
            grant = self._ask(
                holder, addresses[holder], account, missing, timeout_ms
            )
            if grant is None:
                continue
            any_response = True
            if grant.reservation.micro_tokens:
                grants.append(grant)
                missing -= grant.reservation.micro_tokens
        return CollectedGrants(tuple(grants), any_response, asked_all)

    def _may_ask(
        self, holder: str, addresses: dict[str, str], now_ms: int
    ) -> bool:
        unresponsive_until_ms = self._unresponsive_until_ms.get(holder, 0)
        is_peer = holder != self._me and holder in addresses
        return is_peer and unresponsive_until_ms <= now_ms

    def _fullest_first(
        self, account: str, holders: list[str], share: shares.Size, now_ms: int
    ) -> list[str]:
        """Returns the holders by descending estimate of their tokens.

        A bucket that stays full loses its refill, so spending from the fullest
        maximizes the tokens of the fleet.
        """

        def estimated_level(holder: str) -> int:
            level = self._last_levels.get((account, holder))
            if level is None:
                return share.cap_micro_tokens
            refilled = (now_ms - level.at_ms) * share.rate_milli_per_s
            return min(share.cap_micro_tokens, level.micro_tokens + refilled)

        return sorted(holders, key=estimated_level, reverse=True)

    def _ask(
        self,
        holder: str,
        address: str,
        account: str,
        missing: int,
        timeout_ms: int,
    ) -> Grant | None:
        payload = [account, missing]
        answer = self._bus.call(address, "grant", payload, timeout_ms)
        now_ms = self._clock.now_ms()
        if isinstance(answer, peer_errors.CallFailed):
            self._unresponsive_until_ms[holder] = now_ms + _UNRESPONSIVE_PEER_MS
            return None
        incarnation, left, *reservation_fields = answer
        self._last_levels[account, holder] = _Level(left, now_ms)
        reservation = bucket_lib.Reservation(*reservation_fields)
        return Grant(address, incarnation, reservation)

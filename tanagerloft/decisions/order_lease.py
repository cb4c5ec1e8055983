"""Decides which instance gives orders to targets, by a lease row in the store.

Handles holders that are killed, frozen or cut off from the store, and
candidates that race for the lease. Targets may not check fencing tokens, so the
orders of two holders must be separated in time as well as by token.

Handles a store that comes back from an older copy, too. The row may then name a
holder before the last one, or none, and no process knows all that the copy
lacks. So a term belongs to an era of the store: its token is made of the era
and of the version of its first write, which no other write of the era has, and
a row of an earlier era says neither who holds the lease nor that it is free.

Versions are those of ``store_versions.join_era``.
"""

from typing import NamedTuple

from tanagerloft.decisions import handover
from tanagerloft.util import store_versions

# Half of the maximum time that an order is in transit: the call that carries it
# times out after twice this time. A holder gives no order within this time
# before its term ends, and its successor waits this much longer than the
# takeover delay.
ORDER_TRANSIT_MS = 400
# Number of renewals within the validity of one.
_RENEWALS_PER_VALIDITY = 4
# A holder whose last renewal is older than this share of the validity is
# assumed to be unable to renew.
_RENEWAL_OVERDUE_SHARE = 0.65
# Bits of a token below its era. With an era of four digits it stays below 2**53
# and is exact in any JSON program.
_TOKEN_NUMBER_BITS = 36


class Term(NamedTuple):
    """Contents of the lease row.

    Attributes:
        holder: Instance that holds the lease.
        incarnation: Process that wrote the row.
        address: Where the holder receives messages of other instances,
            ``host:port``.
        token: Fencing token; rises with each new term. The first write of a
            term names the era alone, as the version of that write completes the
            token.
        settled: Whether the takeover delay after the previous holder is over.
        released: Whether the holder has released the lease. Only earlier
            releases of the program write this.
        promises: Tokens that the holder leaves in each account's bucket.
        learnt: State that the holder hands over to its successor. Rows written
            by earlier releases of the program lack it.
    """

    holder: str
    incarnation: str
    address: str
    token: int
    settled: bool
    released: bool
    promises: dict[str, float]
    learnt: handover.HandoverState = handover.EMPTY


class Claim(NamedTuple):
    """A conditional write of the lease row.

    Attributes:
        expected_version: Version that the row must have.
        term: New contents.
        continues: Whether it goes on with a valid term of this process, whose
            row the store has lost.
    """

    expected_version: int
    term: Term
    continues: bool = False

    @property
    def begins_term(self) -> bool:
        """Whether it is the first write of a term."""
        return _lacks_number(self.term.token)


# Stands for a row that cannot be read: an unknown holder.
UNREADABLE = Term(
    holder="",
    incarnation="",
    address="",
    token=0,
    settled=False,
    released=False,
    promises={},
)


class OrderLease:
    """State of the lease as one instance sees it.

    Args:
        holder: Name of this instance, the same after a restart.
        incarnation: Identity of this process.
        address: Where this instance receives messages of others, ``host:port``.
        valid_ms: Time from the start of a write during which it allows its
            holder to give orders.
        takeover_delay_ms: Minimum time between the orders of two holders.
        first_start: Whether the whole system starts for the first time, so that
            a missing row shows that there has been no holder. A store without
            eras shows that by itself.

    Attributes:
        term: Contents of the row as last seen.
        own_token: Token of the last term of this process, 0 if it had none.
        is_first_term: Whether there was no holder before that term.
        inherited_promises: Promises of the holder before the term of this
            process.
        inherited_state: State that that holder handed over.
        inherited_ms: Reading of this process' clock at the time of that state.
    """

    def __init__(
        self,
        holder: str,
        incarnation: str,
        address: str,
        valid_ms: int,
        takeover_delay_ms: int,
        first_start: bool = False,
    ):
        self._holder = holder
        self._incarnation = incarnation
        self._address = address
        self._valid_ms = valid_ms
        self._takeover_delay_ms = takeover_delay_ms
        self._first_start = first_start
        self._first_era: int | None = None
        self._version: int | None = None
        self._read_version = -1
        self._renewal_seen_ms = 0
        self._valid_until_ms = -1
        self._orders_from_ms = 0
        self._stopping = False
        self._stepped_down_token = 0
        self._reported_free_token = 0
        self._reported_free_ms = 0
        self.term: Term | None = None
        self.own_token = 0
        self.is_first_term = False
        self.inherited_promises: dict[str, float] = {}
        self.inherited_state = handover.EMPTY
        self.inherited_ms = 0

    @property
    def known(self) -> bool:
        """Whether the row has been read."""
        return self._version is not None

    @property
    def is_mine(self) -> bool:
        """Whether the row has the term of this process.

        A claim whose answer was lost is no term yet: the process claims the row
        again, like one that has restarted, and waits like one.
        """
        return (
            self.term is not None
            and self.term.token == self.own_token
            and not self.term.released
            and self._is_current()
        )

    def _is_current(self) -> bool:
        """Returns whether the term in the row is of the store's present era."""
        if self.term is None:
            return False
        return _token_era(self.term.token) == _era(self.version)

    def may_continue(self, now_ms: int) -> bool:
        """Returns whether the store has lost the row of a term that is valid.

        No other process can have given orders since: another claim is made only
        after the validity of the last renewal.
        """
        return (
            self.own_token > 0
            and _token_era(self.own_token) < _era(self.version)
            and self.own_token != self._stepped_down_token
            and not self._is_current()
            and not self._stopping
            and now_ms < self._valid_until_ms
        )

    def _may_be_first(self) -> bool:
        """Returns whether a missing row shows that there has been no holder."""
        era = _era(self.version)
        return self._first_era == era and (era == 0 or self._first_start)

    @property
    def version(self) -> int:
        """Version of the row as last seen, 0 for none."""
        return self._version or 0

    @property
    def expires_ms(self) -> int:
        """When the term last seen expires unless it is renewed."""
        return self._renewal_seen_ms + self._valid_ms

    @property
    def stepped_down(self) -> bool:
        """Whether this process stepped down from the term in the row."""
        return (
            self.term is not None
            and self._stepped_down_token == self.term.token
        )

    @property
    def reported_free(self) -> bool:
        """Whether the holder has reported that it gives no more orders."""
        return (
            self.term is not None
            and self.term.token == self._reported_free_token
            and self._is_current()
        )

    @property
    def renewal_interval_ms(self) -> int:
        """Time between renewals."""
        return self._valid_ms // _RENEWALS_PER_VALIDITY

    def is_renewal_overdue(self, now_ms: int) -> bool:
        """Returns whether this holder has missed renewals."""
        late_ms = self._valid_ms * _RENEWAL_OVERDUE_SHARE
        return self.renewed_ago_ms(now_ms) > late_ms

    def renewed_ago_ms(self, now_ms: int) -> int:
        """Returns the time since the start of the last renewal."""
        return now_ms - (self._valid_until_ms - self._valid_ms)

    def may_order(self, now_ms: int) -> bool:
        """Returns whether this process may give orders now."""
        return (
            self.is_holder(now_ms)
            and not self._stopping
            and self._orders_from_ms
            <= now_ms
            < self._valid_until_ms - ORDER_TRANSIT_MS
        )

    def orders_in_ms(self, now_ms: int) -> int:
        """Returns the estimated time until orders can be given.

        For a term of another instance, this is the time until a successor could
        give orders.
        """
        if self.is_mine and not self.stepped_down:
            return max(0, self._orders_from_ms - now_ms)
        if self.term is None:
            return 0
        return max(0, self._first_order_ms(self.term, now_ms) - now_ms)

    def is_holder(self, now_ms: int) -> bool:
        """Returns whether it holds the lease and hasn't stepped down."""
        return self.is_valid(now_ms) and not self.stepped_down

    def is_valid(self, now_ms: int) -> bool:
        """Returns whether its last renewal is valid, stepped down or not."""
        return self.is_mine and now_ms < self._valid_until_ms

    def on_holder_status(
        self, token: int, version: int, renewed_ago_ms: int, now_ms: int
    ) -> None:
        """Updates the expiry from the holder's status of its last renewal."""
        if self.term is None or token != self.term.token or self.is_mine:
            return
        if self._version is None or version >= self._version:
            self._version = version
            self._renewal_seen_ms = max(
                self._renewal_seen_ms, now_ms - renewed_ago_ms
            )

    def step_down(self) -> None:
        """Ends the term early: this process can't renew, others can."""
        if self.is_mine and self.term is not None:
            self._stepped_down_token = self.term.token

    def on_reported_free(self, token: int, now_ms: int) -> None:
        """Records the holder's report that it gives no more orders."""
        if token > self._reported_free_token:
            self._reported_free_token = token
            self._reported_free_ms = now_ms

    def on_row(self, version: int, term: Term | None, now_ms: int) -> None:
        """Updates the state from the row as read from the store."""
        # The contents of a version known only from the holder's status aren't
        # known yet.
        if version <= self._read_version or version < self.version:
            return
        if version > self.version or not self.known:
            self._renewal_seen_ms = now_ms
        if self._first_era is None:
            self._first_era = _era(version)
        self._set_row(version, term)

    def _set_row(self, version: int, term: Term | None) -> None:
        self._version = self._read_version = version
        self.term = term
        if term is None:
            return
        if not self._is_current():
            # Promised tokens have been spent since, and loads are done.
            self.term = term._replace(
                settled=False,
                released=False,
                promises={},
                learnt=term.learnt._replace(loads=()),
            )
        elif _lacks_number(term.token):
            self.term = term._replace(token=_token_at(version))

    def next_claim(self, now_ms: int) -> Claim | None:
        """Returns the write to make now: first claim, takeover or renewal.

        The promises are those of the row; the holder replaces them by its own.
        """
        if self._version is None or self._stopping:
            return None
        term = self.term
        if self.may_continue(now_ms):
            return self._claim_term(settled=False)._replace(continues=True)
        if term is None and self._may_be_first():
            return self._claim_term(settled=True)
        if term is not None and self._is_current():
            if self.is_mine and not self.stepped_down:
                settled = term.settled or now_ms >= self._orders_from_ms
                return self._claim(term.token, settled)
            if term.holder == self._holder and not term.released:
                return self._claim_term(term.settled)
            if term.released or self.reported_free:
                return self._claim_term(settled=False)
        if now_ms >= self.expires_ms:
            return self._claim_term(settled=False)
        return None

    def stop(self) -> Claim | None:
        """Stops using the lease; returns a last write of the row.

        The row still names this instance afterwards. Most instances that stop
        are started again, and the same instance may give orders immediately,
        while another one has to wait for the takeover delay.
        """
        last_write = None
        if self.is_mine and not self.stepped_down and self._version is not None:
            assert self.term is not None
            last_write = Claim(self._version, self.term)
        self._stopping = True
        self._valid_until_ms = -1
        return last_write

    def on_written(
        self, claim: Claim, version: int, started_ms: int, now_ms: int
    ) -> None:
        """Updates the state after a write that the store has acknowledged."""
        if _era(version) != _era(claim.expected_version):
            # The write has met an older copy of the row, so what this process
            # knew of the holder before it does not hold.
            self.on_row(version, claim.term, now_ms)
            return
        if self._stopping:
            self._set_row(version, claim.term)
            return
        if claim.begins_term:
            self._begin_term(claim, started_ms, now_ms)
            self.own_token = _token_at(version)
        self._set_row(version, claim.term)
        self._renewal_seen_ms = now_ms
        self._valid_until_ms = started_ms + self._valid_ms

    def _begin_term(self, claim: Claim, started_ms: int, now_ms: int) -> None:
        """Takes over from the term in the row, before it is replaced."""
        self._orders_from_ms = self._first_order_ms(self.term, now_ms)
        self.is_first_term = self.term is None and self._may_be_first()
        previous, at_ms = self.term, self._renewal_seen_ms
        if claim.continues:
            previous, at_ms = claim.term, started_ms
            if now_ms < self._valid_until_ms:
                # Orders with the earlier token must have arrived.
                self._orders_from_ms = now_ms + 2 * ORDER_TRANSIT_MS
        self.inherited_promises = {}
        if previous is not None:
            self.inherited_promises = previous.promises
            self.inherited_state = previous.learnt
            self.inherited_ms = at_ms

    def _first_order_ms(self, previous: Term | None, now_ms: int) -> int:
        # The last order of another holder may still be in transit.
        delay_ms = self._takeover_delay_ms + ORDER_TRANSIT_MS
        unknown_ms = self.expires_ms + delay_ms
        if previous is None:
            return now_ms if self._may_be_first() else unknown_ms
        if not self._is_current():
            return unknown_ms
        if previous.holder == self._holder and previous.settled:
            return now_ms
        if previous.holder == self._holder:
            return now_ms + delay_ms
        if previous.released:
            return self._renewal_seen_ms + delay_ms
        if previous.token == self._reported_free_token:
            return self._reported_free_ms + delay_ms
        return unknown_ms

    def _claim_term(self, settled: bool) -> Claim:
        """Returns the first write of a new term."""
        return self._claim(_era(self.version) << _TOKEN_NUMBER_BITS, settled)

    def _claim(self, token: int, settled: bool) -> Claim:
        assert self._version is not None
        term = Term(
            holder=self._holder,
            incarnation=self._incarnation,
            address=self._address,
            token=token,
            settled=settled,
            released=False,
            promises=self.term.promises if self.term is not None else {},
            learnt=self.term.learnt
            if self.term is not None
            else handover.EMPTY,
        )
        return Claim(self._version, term)


def _era(version: int) -> int:
    era, _ = store_versions.split_era(version)
    return era


def _token_era(token: int) -> int:
    return token >> _TOKEN_NUMBER_BITS


def _lacks_number(token: int) -> bool:
    """Returns whether a token names an era alone."""
    return not token & ((1 << _TOKEN_NUMBER_BITS) - 1)


def _token_at(version: int) -> int:
    """Returns the token of a term whose first write has a version."""
    era, number = store_versions.split_era(version)
    return era << _TOKEN_NUMBER_BITS | number

"""Decides which instance gives orders to targets, by a lease row in the store.

Handles holders that are killed, frozen or cut off from the store, and
candidates that race for the lease. Targets may not check fencing tokens, so the
orders of two holders must be separated in time as well as by token.
"""

from typing import NamedTuple

from tanagerloft.decisions import handover

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


class Term(NamedTuple):
    """Contents of the lease row.

    Attributes:
        holder: Instance that holds the lease.
        incarnation: Process that wrote the row.
        address: Where the holder receives messages of other instances,
            ``host:port``.
        token: Fencing token; rises with each new term.
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
    """

    expected_version: int
    term: Term


class OrderLease:
    """State of the lease as one instance sees it.

    Args:
        holder: Name of this instance, the same after a restart.
        incarnation: Identity of this process.
        address: Where this instance receives messages of others, ``host:port``.
        valid_ms: Time from the start of a write during which it allows its
            holder to give orders.
        takeover_delay_ms: Minimum time between the orders of two holders.

    Attributes:
        term: Contents of the row as last seen.
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
    ):
        self._holder = holder
        self._incarnation = incarnation
        self._address = address
        self._valid_ms = valid_ms
        self._takeover_delay_ms = takeover_delay_ms
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
        self.inherited_promises: dict[str, float] = {}
        self.inherited_state = handover.EMPTY
        self.inherited_ms = 0

    @property
    def known(self) -> bool:
        """Whether the row has been read."""
        return self._version is not None

    @property
    def is_mine(self) -> bool:
        """Whether the row names this process."""
        return (
            self.term is not None
            and self.term.holder == self._holder
            and self.term.incarnation == self._incarnation
            and not self.term.released
        )

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
        self._version = self._read_version = version
        self.term = term

    def next_claim(self, now_ms: int) -> Claim | None:
        """Returns the write to make now: first claim, takeover or renewal.

        The promises are those of the row; the holder replaces them by its own.
        """
        if self._version is None or self._stopping:
            return None
        term = self.term
        if term is None:
            return self._claim(1, settled=True)
        if self.is_mine and not self.stepped_down:
            settled = term.settled or now_ms >= self._orders_from_ms
            return self._claim(term.token, settled)
        if term.holder == self._holder and not term.released:
            return self._claim(term.token + 1, term.settled)
        if term.released or self.reported_free or now_ms >= self.expires_ms:
            return self._claim(term.token + 1, settled=False)
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
        previous = self.term
        self._version = self._read_version = version
        self.term = claim.term
        if self._stopping:
            return
        if previous is None or previous.token != claim.term.token:
            self._orders_from_ms = self._first_order_ms(previous, now_ms)
            self.inherited_promises = (
                previous.promises if previous is not None else {}
            )
            if previous is not None:
                self.inherited_state = previous.learnt
                self.inherited_ms = self._renewal_seen_ms
        self._renewal_seen_ms = now_ms
        self._valid_until_ms = started_ms + self._valid_ms

    def _first_order_ms(self, previous: Term | None, now_ms: int) -> int:
        if previous is None:
            return now_ms
        if previous.holder == self._holder and previous.settled:
            return now_ms
        if previous.holder == self._holder:
            return now_ms + self._takeover_delay_ms
        if previous.released:
            return self._renewal_seen_ms + self._takeover_delay_ms
        if previous.token == self._reported_free_token:
            return self._reported_free_ms + self._takeover_delay_ms
        return self.expires_ms + self._takeover_delay_ms + ORDER_TRANSIT_MS

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

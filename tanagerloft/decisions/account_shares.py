"""State machine of one instance's shares of one account's limit.

The driver feeds in the account's row as it reads it, and carries out the writes
that come out. The shares are used only while the instance's lease holds.
"""

import enum
from typing import Any
from typing import NamedTuple

from tanagerloft.decisions import bucket as bucket_lib
from tanagerloft.decisions import shares


class WriteOutcome(enum.Enum):
    """What became of a write."""

    COMMITTED = "committed"
    NOT_WRITTEN = "not written"
    UNKNOWN = "unknown, it may still take effect"


class RowView(NamedTuple):
    """An account's row as read.

    Attributes:
        revision: Revision of the row, 0 if it does not exist.
        body: Contents.
        lease_until_ms: When the instance's lease ends, as known when the read
            was sent. A lease renewed since does not count: another instance
            may have taken the shares before.
    """

    revision: int
    body: dict[str, Any]
    lease_until_ms: int


class Fleet(NamedTuple):
    """View of the other instances.

    Attributes:
        live: Instances believed to live, with this one. A hint.
        lapsed: Instances that cannot use their shares any more, and the
            revision at which their own rows must still be.
    """

    live: tuple[str, ...]
    lapsed: dict[str, int]


class Write(NamedTuple):
    """A conditional write of the account's row.

    Attributes:
        expected_revision: Revision at which it holds.
        body: New contents.
        checks: Revisions at which rows of other instances must be.
        change: What it means for this instance.
    """

    expected_revision: int
    body: dict[str, Any]
    checks: dict[str, int]
    change: shares.Change


class _Release(NamedTuple):
    """A hand-back whose write may still take effect."""

    expected_revision: int
    slots: frozenset[int]
    micro_tokens: int


class AccountShares:
    """Shares that this instance holds, and the bucket over them.

    Args:
        account: Name of the account.
        me: This instance.
        grant_ms: Time for which granted tokens may be under way.
        now_ms: Reading of the clock.
    """

    def __init__(
        self,
        account: str,
        me: shares.InstanceIncarnation,
        grant_transit_ms: int,
        now_ms: int,
    ):
        self._account = account
        self._me = me
        self._grant_transit_ms = grant_transit_ms
        self._rate_tokens_per_s = 0
        self._burst_tokens = 0
        self._bucket = bucket_lib.TokenBucket(now_ms)
        self._slots: frozenset[int] = frozenset()
        self._row: RowView | None = None
        self._lease_until_ms = 0
        self._pending_release: _Release | None = None

    @property
    def slots(self) -> frozenset[int]:
        """Slots held."""
        return self._slots

    def holders(self) -> list[str]:
        """Returns who holds shares as far as known, nobody if not known."""
        return shares.holders(self._row.body) if self._row else []

    def configure(
        self, rate_tokens_per_s: int, burst_tokens: int, now_ms: int
    ) -> None:
        """Sets the account's limit."""
        self._rate_tokens_per_s = rate_tokens_per_s
        self._burst_tokens = burst_tokens
        self._resize(now_ms)

    def renew(self, lease_until_ms: int, now_ms: int) -> None:
        """Extends the lease on shares that are held, unless it has ended."""
        self._drop_if_lapsed(now_ms)
        if self._slots:
            self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)

    def reserve_up_to(
        self, micro_tokens: int, now_ms: int
    ) -> bucket_lib.Reservation:
        """Takes as much of the amount as there is."""
        self._drop_if_lapsed(now_ms)
        return self._bucket.reserve_up_to(micro_tokens, now_ms)

    def available(self, now_ms: int) -> int:
        """Returns the tokens left, in millionths."""
        return self._bucket.available(now_ms)

    def settle(
        self,
        reservation: bucket_lib.Reservation,
        used_micro_tokens: int,
        now_ms: int,
    ) -> None:
        """Gives back what a reservation did not use."""
        self._bucket.settle(reservation, used_micro_tokens, now_ms)

    def on_row(self, row: RowView, fleet: Fleet, now_ms: int) -> Write | None:
        """Takes in the row; returns a write to carry out."""
        self._row = row
        pending = self._pending_release
        if pending is not None and row.revision == pending.expected_revision:
            return self._release_write(pending)
        self._pending_release = None
        self._slots = frozenset()
        if now_ms < row.lease_until_ms:
            self._slots = shares.held_by(row.body, self._me)
            self._lease_until_ms = row.lease_until_ms
        self._resize(now_ms)
        if now_ms >= row.lease_until_ms:
            return None
        return self._plan(row, fleet, now_ms)

    def release(self, slots: frozenset[int], now_ms: int) -> Write | None:
        """Stops using ``slots``; returns the write that frees them."""
        if self._row is None or not slots or self._pending_release is not None:
            return None
        before = self._bucket.available(now_ms)
        self._slots -= slots
        self._resize(now_ms)
        tokens = before - self._bucket.available(now_ms)
        self._pending_release = _Release(self._row.revision, slots, tokens)
        return self._release_write(self._pending_release)

    def on_written(
        self, write: Write, outcome: WriteOutcome, now_ms: int
    ) -> None:
        """Takes in what became of a write."""
        if outcome is not WriteOutcome.COMMITTED or self._row is None:
            return
        self._row = self._row._replace(
            revision=write.expected_revision + 1, body=write.body
        )
        self._pending_release = None
        if write.change.acquired:
            self._slots |= write.change.acquired
            self._lease_until_ms = self._row.lease_until_ms
            self._resize(now_ms)
            self._bucket.fill(write.change.acquired_micro_tokens, now_ms)

    def _plan(self, row: RowView, fleet: Fleet, now_ms: int) -> Write | None:
        body = row.body or shares.initial_body(self._size(shares.SLOTS)[1])
        change = shares.plan(
            self._account, body, self._me, fleet.live, fleet.lapsed
        )
        if change is None:
            return None
        if change.released:
            return self.release(change.released, now_ms)
        losers = {body["slots"][index]["holder"] for index in change.acquired}
        checks = {
            name: revision
            for name, revision in fleet.lapsed.items()
            if name in losers
        }
        return Write(row.revision, change.body, checks, change)

    def _release_write(self, pending: _Release) -> Write:
        """Returns the write of a hand-back.

        Until its outcome is known the slots must not be used again, for the
        write may take effect late; so it is repeated at the same revision
        until one of the two has.
        """
        assert self._row is not None
        body = shares.release(
            self._row.body, pending.slots, pending.micro_tokens
        )
        change = shares.Change(body, frozenset(), pending.slots, 0)
        return Write(pending.expected_revision, body, {}, change)

    def _drop_if_lapsed(self, now_ms: int) -> None:
        if self._slots and now_ms >= self._lease_until_ms:
            self._slots = frozenset()
            self._resize(now_ms)

    def _size(self, slot_count: int) -> shares.Size:
        return shares.size(
            slot_count,
            self._rate_tokens_per_s,
            self._burst_tokens,
            self._grant_transit_ms,
        )

    def _resize(self, now_ms: int) -> None:
        self._bucket.resize(*self._size(len(self._slots)), now_ms)

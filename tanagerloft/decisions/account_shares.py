"""State machine of one instance's shares of one account's limit.

The caller passes in the account's row whenever it has read it, and carries out
the writes that are returned. The shares are used only while the instance's
lease is valid.
"""

import enum
from typing import Any
from typing import NamedTuple

from tanagerloft.decisions import bucket as bucket_lib
from tanagerloft.decisions import shares


class WriteOutcome(enum.Enum):
    """Outcome of a write."""

    COMMITTED = "committed"
    NOT_WRITTEN = "not written"
    UNKNOWN = "unknown, it may still take effect"


class RowView(NamedTuple):
    """An account's row as read.

    Attributes:
        revision: Revision of the row, 0 if it does not exist.
        body: Contents of the row.
        lease_until_ms: When the instance's lease ends, as known when the read
            was sent. A later renewal does not count, because another instance
            may have taken over the shares before it.
    """

    revision: int
    body: dict[str, Any]
    lease_until_ms: int


class Fleet(NamedTuple):
    """View of the other instances.

    Attributes:
        live: Instances believed to be live, including this one. A hint.
        lapsed: Instances that cannot use their shares any more, each with the
            revision that its own row must still have.
    """

    live: tuple[str, ...]
    lapsed: dict[str, int]


class Write(NamedTuple):
    """A conditional write of the account's row.

    Attributes:
        expected_revision: Revision that the row must have.
        body: New contents of the row.
        checks: Revisions that the rows of other instances must have, by
            instance.
        change: Shares that this instance acquires or releases by it.
    """

    expected_revision: int
    body: dict[str, Any]
    checks: dict[str, int]
    change: shares.Change


class _Release(NamedTuple):
    """A release of slots whose write may still take effect."""

    expected_revision: int
    slots: frozenset[int]
    micro_tokens: int


class AccountShares:
    """Shares that this instance holds, and the bucket over them.

    Args:
        account: Name of the account.
        me: This instance.
        grant_transit_ms: Time for which granted tokens may be in transit.
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
        """Slots that this instance holds."""
        return self._slots

    def holders(self) -> list[str]:
        """Returns the known holders of shares, none if no row was read yet."""
        return shares.holders(self._row.body) if self._row else []

    def configure(
        self, rate_tokens_per_s: int, burst_tokens: int, now_ms: int
    ) -> None:
        """Sets the account's limit."""
        self._rate_tokens_per_s = rate_tokens_per_s
        self._burst_tokens = burst_tokens
        self._resize(now_ms)

    def renew(self, lease_until_ms: int, now_ms: int) -> None:
        """Extends the lease on the held shares, unless it has ended."""
        self._drop_if_lapsed(now_ms)
        if self._slots:
            self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)

    def reserve_up_to(
        self, micro_tokens: int, now_ms: int
    ) -> bucket_lib.Reservation:
        """Reserves the amount, or what is available if that is less."""
        self._drop_if_lapsed(now_ms)
        return self._bucket.reserve_up_to(micro_tokens, now_ms)

    def available(self, now_ms: int) -> int:
        """Returns the available tokens, in millionths of a token."""
        return self._bucket.available(now_ms)

    def settle(
        self,
        reservation: bucket_lib.Reservation,
        used_micro_tokens: int,
        now_ms: int,
    ) -> None:
        """Refunds the unused part of a reservation."""
        self._bucket.settle(reservation, used_micro_tokens, now_ms)

    def on_row(self, row: RowView, fleet: Fleet, now_ms: int) -> Write | None:
        """Applies a row as read.

        Args:
            row: The account's row.
            fleet: View of the other instances.
            now_ms: Reading of the clock.

        Returns:
            A write to carry out, or None.
        """
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
        available_before = self._bucket.available(now_ms)
        self._slots -= slots
        self._resize(now_ms)
        tokens = available_before - self._bucket.available(now_ms)
        self._pending_release = _Release(self._row.revision, slots, tokens)
        return self._release_write(self._pending_release)

    def on_written(
        self, write: Write, outcome: WriteOutcome, now_ms: int
    ) -> None:
        """Applies the outcome of a write."""
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
        previous_holders = {
            body["slots"][index]["holder"] for index in change.acquired
        }
        checks = {
            name: revision
            for name, revision in fleet.lapsed.items()
            if name in previous_holders
        }
        return Write(row.revision, change.body, checks, change)

    def _release_write(self, pending: _Release) -> Write:
        """Returns the write of a release.

        Until its outcome is known the slots must not be used again, because
        the write may still take effect. So it is retried at the same expected
        revision until one of the writes has taken effect.
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

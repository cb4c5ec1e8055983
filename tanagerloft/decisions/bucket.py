"""Token bucket with reservations that are settled for the amount used."""

import bisect
from typing import NamedTuple

_MICRO_PER_TOKEN = 1_000_000
# Bound on the recorded peaks; older reservations get no refund.
_MAX_PEAKS = 4_096
# Wait reported by a bucket that does not refill.
_NO_REFILL_WAIT_MS = 60_000


class Reservation(NamedTuple):
    """Tokens reserved from a bucket.

    Attributes:
        sequence: Position among the reservations of the bucket.
        micro_tokens: Reserved amount, in millionths of a token.
    """

    sequence: int
    micro_tokens: int


class TokenBucket:
    """Token bucket in integer arithmetic, in millionths of a token.

    Over every window it admits at most ``burst + rate * window`` tokens, where
    a settled reservation counts with its settled amount at the time of its
    reservation. Refunding the whole unused amount could break the bound,
    because the bucket may have been full in between; ``settle`` refunds no
    more than the bound allows.
    """

    def __init__(self, now_ms: int):
        self._rate_milli_per_s = 0
        self._cap_micro = 0
        self._level_micro = 0
        self._updated_ms = now_ms
        self._next_sequence = 0
        self._first_tracked = 0
        # Monotonic stack of decreasing levels: the peak since a sequence is the
        # first entry at or after it.
        self._peak_sequences: list[int] = []
        self._peak_levels: list[int] = []

    def resize(
        self, rate_milli_per_s: int, cap_micro_tokens: int, now_ms: int
    ) -> None:
        """Sets rate and capacity; the level is cut to the capacity.

        Args:
            rate_milli_per_s: Refill rate, in thousandths of a token per second.
            cap_micro_tokens: Capacity, in millionths of a token.
            now_ms: Reading of the clock.
        """
        self._refill(now_ms)
        if (rate_milli_per_s, cap_micro_tokens) == self.size:
            return
        self._rate_milli_per_s = rate_milli_per_s
        self._cap_micro = cap_micro_tokens
        self._void_reservations()
        self._set_level(self._level_micro)

    @property
    def size(self) -> tuple[int, int]:
        """Rate and capacity, in the units of ``resize``."""
        return self._rate_milli_per_s, self._cap_micro

    def fill(self, micro_tokens: int, now_ms: int) -> None:
        """Adds tokens that this bucket is entitled to, up to its capacity."""
        self._refill(now_ms)
        self._set_level(self._level_micro + micro_tokens)

    def available(self, now_ms: int) -> int:
        """Returns the level in millionths of a token."""
        self._refill(now_ms)
        return self._level_micro

    def reserve(self, micro_tokens: int, now_ms: int) -> Reservation | None:
        """Reserves the whole amount; returns None if the level is too low."""
        self._refill(now_ms)
        if micro_tokens > self._level_micro:
            return None
        self._next_sequence += 1
        self._level_micro -= micro_tokens
        self._record_peak()
        return Reservation(self._next_sequence, micro_tokens)

    def reserve_up_to(self, micro_tokens: int, now_ms: int) -> Reservation:
        """Reserves the amount, or the level if that is less."""
        amount = min(micro_tokens, self.available(now_ms))
        reservation = self.reserve(amount, now_ms)
        assert reservation is not None
        return reservation

    def settle(
        self, reservation: Reservation, used_micro_tokens: int, now_ms: int
    ) -> None:
        """Refunds the unused part of a reservation.

        The level becomes at most what it would be if only the used amount had
        been reserved in the first place.
        """
        self._refill(now_ms)
        unused = reservation.micro_tokens - used_micro_tokens
        headroom = self._cap_micro - self._peak_since(reservation.sequence)
        refunded = min(unused, headroom)
        if refunded > 0:
            self._level_micro += refunded
            self._raise_peaks(reservation.sequence, refunded)

    def wait_ms(self, micro_tokens: int, now_ms: int) -> int:
        """Returns the time until the amount is available if none is used."""
        missing = micro_tokens - self.available(now_ms)
        if missing <= 0:
            return 0
        if self._rate_milli_per_s == 0:
            return _NO_REFILL_WAIT_MS
        return -(-missing // self._rate_milli_per_s)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        # A thousandth of a token per second is a millionth per millisecond.
        self._set_level(self._level_micro + elapsed_ms * self._rate_milli_per_s)

    def _set_level(self, level_micro: int) -> None:
        self._level_micro = min(level_micro, self._cap_micro)
        self._record_peak()

    def _void_reservations(self) -> None:
        """Makes open reservations refund nothing: the capacity has changed."""
        self._first_tracked = self._next_sequence + 1
        self._peak_levels.clear()
        self._peak_sequences.clear()

    def _record_peak(self) -> None:
        while self._peak_levels and self._peak_levels[-1] <= self._level_micro:
            self._peak_levels.pop()
            self._peak_sequences.pop()
        self._peak_levels.append(self._level_micro)
        self._peak_sequences.append(self._next_sequence)
        if len(self._peak_levels) > _MAX_PEAKS:
            self._first_tracked = self._peak_sequences[1]
            del self._peak_levels[0], self._peak_sequences[0]

    def _raise_peaks(self, sequence: int, micro_tokens: int) -> None:
        """Raises the peaks since ``sequence`` by a refund.

        They become what they would have been with the smaller reservation.
        Otherwise two reservations settled one after the other would each be
        refunded the same headroom.
        """
        index = bisect.bisect_left(self._peak_sequences, sequence)
        for later in range(index, len(self._peak_levels)):
            self._peak_levels[later] += micro_tokens
        while (
            index and self._peak_levels[index - 1] <= self._peak_levels[index]
        ):
            index -= 1
            del self._peak_levels[index], self._peak_sequences[index]

    def _peak_since(self, sequence: int) -> int:
        if sequence < self._first_tracked:
            return self._cap_micro
        index = bisect.bisect_left(self._peak_sequences, sequence)
        return self._peak_levels[index]


def to_micro_tokens(tokens: int) -> int:
    """Converts tokens to millionths of a token."""
    return tokens * _MICRO_PER_TOKEN

"""Token bucket whose reservations can be settled for less afterwards."""

import bisect
from typing import NamedTuple

_MICRO_PER_TOKEN = 1_000_000
_MAX_PEAKS = 4_096
_NO_REFILL_WAIT_MS = 60_000


class Reservation(NamedTuple):
    """Tokens taken from a bucket.

    Attributes:
        sequence: Position among the bucket's reservations.
        micro_tokens: Amount taken, in millionths of a token.
    """

    sequence: int
    micro_tokens: int


class TokenBucket:
    """Token bucket in integer arithmetic, in millionths of a token.

    Over every window it admits at most ``burst + rate * window`` tokens, where
    a settled reservation counts with its settled amount at the time it was
    taken. Giving back more than that allows would break the bound, because the
    bucket may have been full in between; ``settle`` keeps track of that.
    """

    def __init__(self, now_ms: int):
        self._rate_milli_per_s = 0
        self._cap_micro = 0
        self._level_micro = 0
        self._updated_ms = now_ms
        self._next_sequence = 0
        self._first_tracked = 0
        # Decreasing levels: the peak since a sequence is the first one at or
        # after it.
        self._peak_sequences: list[int] = []
        self._peak_levels: list[int] = []

    def resize(
        self, rate_milli_per_s: int, cap_micro_tokens: int, now_ms: int
    ) -> None:
        """Sets rate and bound; the level is cut to the bound.

        Args:
            rate_milli_per_s: Refill in thousandths of a token a second.
            cap_micro_tokens: Bound on the level, in millionths of a token.
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
        """Rate in thousandths of a token a second, and bound."""
        return self._rate_milli_per_s, self._cap_micro

    def fill(self, micro_tokens: int, now_ms: int) -> None:
        """Adds tokens that this bucket has a right to, up to its bound."""
        self._refill(now_ms)
        self._set_level(self._level_micro + micro_tokens)

    def available(self, now_ms: int) -> int:
        """Returns the level in millionths of a token."""
        self._refill(now_ms)
        return self._level_micro

    def reserve(self, micro_tokens: int, now_ms: int) -> Reservation | None:
        """Takes the whole amount, or nothing."""
        self._refill(now_ms)
        if micro_tokens > self._level_micro:
            return None
        self._next_sequence += 1
        self._level_micro -= micro_tokens
        self._record_peak()
        return Reservation(self._next_sequence, micro_tokens)

    def reserve_up_to(self, micro_tokens: int, now_ms: int) -> Reservation:
        """Takes as much of the amount as there is."""
        amount = min(micro_tokens, self.available(now_ms))
        reservation = self.reserve(amount, now_ms)
        assert reservation is not None
        return reservation

    def settle(
        self, reservation: Reservation, used_micro_tokens: int, now_ms: int
    ) -> None:
        """Gives back what was not used.

        The level becomes at most what it would be, had only the used amount
        been taken in the first place.
        """
        self._refill(now_ms)
        unused = reservation.micro_tokens - used_micro_tokens
        headroom = self._cap_micro - self._peak_since(reservation.sequence)
        returned = min(unused, headroom)
        if returned > 0:
            self._level_micro += returned
            self._raise_peaks(reservation.sequence, returned)

    def wait_ms(self, micro_tokens: int, now_ms: int) -> int:
        """Returns how long until the amount is there, were nothing taken."""
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
        # A thousandth of a token a second is a millionth a millisecond.
        self._set_level(self._level_micro + elapsed_ms * self._rate_milli_per_s)

    def _set_level(self, level_micro: int) -> None:
        self._level_micro = min(level_micro, self._cap_micro)
        self._record_peak()

    def _void_reservations(self) -> None:
        """Lets open reservations give nothing back: the bound has changed."""
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
        """Raises the levels since ``sequence`` to what they would have been.

        Without that, two reservations settled one after the other would each
        be given the same room.
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

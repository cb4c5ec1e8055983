"""Versions of a store that may come back from an older copy of itself.

Each such restore begins a new era, in which numbers are given out again. Only a
number together with its era tells which of two versions is later.
"""

from __future__ import annotations

# Bits of a version that number it within its era.
_NUMBER_BITS = 48


def join_era(era: int, number: int) -> int:
    """Returns a version that rises over all eras.

    Args:
        era: Era of the store.
        number: Version within the era.
    """
    return (era << _NUMBER_BITS) | number


def split_era(version: int) -> tuple[int, int]:
    """Returns the era of a version, and its number within the era."""
    return version >> _NUMBER_BITS, version & ((1 << _NUMBER_BITS) - 1)

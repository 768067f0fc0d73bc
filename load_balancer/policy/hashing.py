"""A hash function whose values are the same on every node and after every restart."""

from __future__ import annotations

MASK_64 = (1 << 64) - 1


def hash64(number: int) -> int:
    """Hash an integer to 64 evenly distributed bits.

    The bits are mixed by xor-shift and multiplication, as in the finalizer of SplitMix64.
    """
    number = (number ^ (number >> 31)) * 0x9E3779B97F4A7C15 & MASK_64
    number = (number ^ (number >> 29)) * 0xBF58476D1CE4E5B9 & MASK_64
    return number ^ (number >> 32)

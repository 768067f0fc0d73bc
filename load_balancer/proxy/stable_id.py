"""Numeric ids derived from names."""

from __future__ import annotations

from hashlib import blake2b

_ID_BYTES = 8


def stable_id(name: bytes) -> int:
    """Return a 64-bit hash of a name, which is never 0 and is the same on every node and after a restart."""
    return int.from_bytes(blake2b(name, digest_size=_ID_BYTES).digest()) or 1

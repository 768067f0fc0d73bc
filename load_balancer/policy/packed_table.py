"""A memory-efficient sorted map from 64-bit keys to rows of one format.

A Python object with its fields takes hundreds of bytes; a row takes its packed size and 8 bytes for the key.
Rows are stored in buckets by the top bits of their keys, so that an insertion moves only the rows of one
bucket. Keys must be evenly distributed, as hashes are, so that buckets have similar sizes.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator
from struct import Struct
from typing import Any

KEY_BITS = 64
MAX_MEAN_BUCKET_ROWS = 512  # rows per bucket, on average over all buckets


class PackedTable:
    """A sorted map from keys below 2**64 to rows.

    Args:
        row_format: Format of a row, as for the struct module.
    """

    def __init__(self, row_format: str) -> None:
        self._row_struct = Struct(row_format)
        self._bucket_bits = 0  # the number of buckets is 2 ** _bucket_bits
        self._keys: list[array[int]] = [array("Q")]
        self._rows: list[bytearray] = [bytearray()]
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, key: int) -> bool:
        return self._find(key)[2]

    def _find(self, key: int) -> tuple[int, int, bool]:
        """Return the bucket of a key, the key's position in it, and whether the key is present."""
        bucket = key >> (KEY_BITS - self._bucket_bits)
        keys = self._keys[bucket]
        position = bisect_left(keys, key)
        return bucket, position, position < len(keys) and keys[position] == key

    def get(self, key: int) -> tuple[Any, ...] | None:
        """Return the row of a key, or None if there is none."""
        bucket, position, found = self._find(key)
        return (
            self._row_struct.unpack_from(self._rows[bucket], position * self._row_struct.size)
            if found
            else None
        )

    def put(self, key: int, *row: Any) -> None:
        """Insert a row, or replace the row of its key.

        Raises:
            struct.error: The values don't match the row format.
        """
        packed = self._row_struct.pack(*row)
        bucket, position, found = self._find(key)
        offset, size = position * self._row_struct.size, self._row_struct.size
        if found:
            self._rows[bucket][offset : offset + size] = packed
            return
        self._keys[bucket].insert(position, key)
        self._rows[bucket][offset:offset] = packed
        self._count += 1
        if self._count > MAX_MEAN_BUCKET_ROWS << self._bucket_bits:
            self._split_buckets()

    def pop(self, key: int) -> None:
        """Remove the row of a key, if there is one."""
        bucket, position, found = self._find(key)
        if found:
            offset = position * self._row_struct.size
            del self._keys[bucket][position]
            del self._rows[bucket][offset : offset + self._row_struct.size]
            self._count -= 1

    def _split_buckets(self) -> None:
        """Split each bucket in two by the next bit of the keys, without decoding rows."""
        self._bucket_bits += 1
        old_keys, old_rows = self._keys, self._rows
        self._keys, self._rows = [], []
        for bucket, (keys, rows) in enumerate(zip(old_keys, old_rows, strict=True)):
            split = bisect_left(keys, (2 * bucket + 1) << (KEY_BITS - self._bucket_bits))
            self._keys += [keys[:split], keys[split:]]
            self._rows += [rows[: split * self._row_struct.size], rows[split * self._row_struct.size :]]

    def items(self, low: int = 0, high: int = 1 << KEY_BITS) -> Iterator[tuple[int, tuple[Any, ...]]]:
        """Yield keys from ``low`` to below ``high`` in order, with their rows.

        The table must not change during the iteration.
        """
        if low >= high:
            return
        shift = KEY_BITS - self._bucket_bits
        for bucket in range(low >> shift, ((high - 1) >> shift) + 1):
            keys, rows, size = self._keys[bucket], self._rows[bucket], self._row_struct.size
            end = bisect_left(keys, high) if high < 1 << KEY_BITS else len(keys)
            for position in range(bisect_left(keys, low), end):
                yield keys[position], self._row_struct.unpack_from(rows, position * size)
